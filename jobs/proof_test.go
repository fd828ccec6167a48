package jobs

import (
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against an owner that infers that a run is over and starts its task again, while a newer owner,
// of which it has not read yet, has taken over the run or stored its end (review/1). Each case ends with
// a task whose run is over by what this owner knows.
func TestStartAfterAnInferredEndWaitsForProof(t *testing.T) {
	silent := func(f *fixture) {
		f.now = f.now.Add(testAgentTimeout + time.Millisecond)
		f.report("h1")
		f.table.Tick(f.now)
	}
	reattach := func(f *fixture, running []work.Run, ends ...work.End) {
		f.now = f.now.Add(time.Millisecond)
		r := f.newReport("h0", f.table.FollowingAttachment("h0"), ends...)
		r.Running = running
		f.table.Detach("h0", f.table.FollowingAttachment("h0")-1)
		f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
	}
	cases := map[string]func(f *fixture, run work.Start){
		"its agent is silent":                     func(f *fixture, _ work.Start) { silent(f) },
		"its agent does not list it":              func(f *fixture, _ work.Start) { reattach(f, nil) },
		"its agent, not proved since, reports it": func(f *fixture, run work.Start) { reattach(f, nil, end(run, 0, work.OutcomeLost)) },
		"its agent, not proved since, refuses it": func(f *fixture, run work.Start) {
			reattach(f, []work.Run{run.Run})
			f.table.HandleRefusedStarts(f.now, &Dispatch{Agent: "h0"}, []work.Run{run.Run}, "room")
		},
	}
	for name, inferEnd := range cases {
		t.Run(name, func(t *testing.T) {
			f := newOwner(t, 1)
			f.submit(testJob(1, 1, false))
			f.commit()
			run := f.started["h0"][0]
			f.agents = append(f.agents, "h1")
			f.table.AddAgent("h1", "zh1", nil)
			f.table.HandleAttachment(f.now, f.newReport("h1", 1), f.table.OwnedShards())
			f.prove()
			inferEnd(f, run)
			f.now = f.now.Add(time.Second)
			f.report("h1")
			if got := f.startCount(); got != 1 {
				t.Errorf("%d starts without a proof that was sent later, want 1", got)
			}
			if !f.table.AwaitsProof() {
				t.Error("no proof is asked for")
			}
			f.prove()
			f.report("h1")
			if got := f.startCount(); got != 2 {
				t.Errorf("%d starts after the proof, want 2", got)
			}
		})
	}
}

// Guards against the same at the end of a takeover that waits for an agent in vain: by then another
// owner may have taken over the runs there.
func TestTakeoverWithoutAgentWaitsForProof(t *testing.T) {
	first := newOwner(t, 2)
	first.submit(testJob(1, 1, false))
	first.commit()
	f := successor(t, first, 2)
	f.agents = f.agents[:1]
	f.attach()
	f.now = f.now.Add(testTakeoverWait + time.Millisecond)
	f.report("h0")
	f.table.Tick(f.now)
	f.takeDispatches()
	if got := f.startCount(); got != 0 {
		t.Errorf("%d starts without a proof that was sent after the wait", got)
	}
	f.prove()
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts after the proof, want 1", got)
	}
}

// Guards against an agent that has restarted, so that it knows no newer owner, and starts a task for one
// that was replaced.
func TestNewAttachmentGetsNoDurableStartBeforeAProof(t *testing.T) {
	f := newOwner(t, 1)
	f.now = f.now.Add(time.Millisecond)
	f.table.Detach("h0", f.table.FollowingAttachment("h0")-1)
	f.table.HandleAttachment(f.now, f.newReport("h0", f.table.FollowingAttachment("h0")), f.table.OwnedShards())
	f.submit(testJob(1, 1, false))
	f.commit()
	f.submit(testJob(2, 1, true))
	if got := f.startCount(); got != 1 || work.JobOfTask(f.started["h0"][0].Run.Task) != testJob(2, 1, true).ID {
		t.Errorf("started %v, want the best-effort job only", f.started["h0"])
	}
	if !f.table.AwaitsProof() {
		t.Error("no proof is asked for")
	}
	f.prove()
	if got := f.startCount(); got != 2 {
		t.Errorf("%d starts after the proof, want 2", got)
	}
}

// Guards against a process that wakes after a pause and starts durable tasks, on a fresh report, by an
// ownership that has expired meanwhile.
func TestPausedOwnerStartsNothing(t *testing.T) {
	f := newOwner(t, 1)
	f.table.Detach("h0", f.table.FollowingAttachment("h0")-1)
	f.submit(testJob(1, 1, false))
	f.commit()
	f.attach()
	if got := f.startCount(); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	f.submit(testJob(2, 1, false))
	batch, err := f.table.NextBatch(0)
	if err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(testAuthorityTTL + time.Second)
	f.table.CommitBatch(f.now, batch)
	f.report("h0")
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts after the pause, want 1", got)
	}
}
