package jobs

import (
	"testing"
	"time"

	"carobpulley/work"
)

// waysBack holds, for each way in which a start may come back, whether the job may have begun.
var waysBack = map[string]struct {
	comeBack func(f *fixture, s work.Start, d *Dispatch)
	begun    bool
}{
	"in flight":                     {func(*fixture, work.Start, *Dispatch) {}, true},
	"refused for lack of capacity":  {refusedStart("room"), false},
	"refused as not usable":         {refusedStart("runner"), false},
	"refused beside a suspect":      {refusedStart(reasonSuspect), false},
	"refused as stopped":            {refusedStart("stopped"), true},
	"handed back":                   {endedRun(work.OutcomeNotStarted, true), false},
	"handed back without capacity":  {endedRun(work.OutcomeNoCapacity, true), false},
	"absent, of an earlier build":   {endedRun(work.OutcomeNotStarted, false), true},
	"no room, of an earlier build":  {endedRun(work.OutcomeNoCapacity, false), true},
	"lost, with a flag that is odd": {endedRun(work.OutcomeLost, true), true},
	"crashed":                       {endedRun(work.OutcomeCrashed, false), true},
	"stopped":                       {endedRun(work.OutcomeStopped, false), true},
	"lapsed":                        {endedRun(work.OutcomeLeaseExpired, false), true},
	"broken":                        {endedRun(work.OutcomeBroken, false), true},
	"failed":                        {endedRun(work.OutcomeFailed, false), true},
	"agent is silent": {func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.Refresh(f.now, d)
		f.now = f.now.Add(2 * testAgentTimeout)
		f.table.Tick(f.now)
	}, true},
	"not on the agent's list": {func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.Refresh(f.now, d)
		f.attachTo("h0", nil)
	}, true},
	"never sent": {func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.Detach("h0", d.Attachment)
		if f.table.Refresh(f.now, d) != SendNever {
			f.t.Error("sent to an agent that is not attached")
		}
		f.attachTo("h0", nil)
	}, false},
	"rejected as stale": {func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.Refresh(f.now, d)
		f.table.HandleStaleDispatch(d)
		f.attachTo("h0", nil)
	}, false},
	"rejected as stale after a try without an answer": {func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.Refresh(f.now, d)
		f.table.Refresh(f.now, d)
		f.table.HandleStaleDispatch(d)
		f.attachTo("h0", nil)
	}, true},
}

func refusedStart(reason string) func(f *fixture, s work.Start, d *Dispatch) {
	return func(f *fixture, s work.Start, d *Dispatch) {
		f.table.HandleRefusedStarts(f.now, d, []work.Run{s.Run}, reason)
	}
}

func endedRun(outcome work.Outcome, neverBegun bool) func(f *fixture, s work.Start, d *Dispatch) {
	return func(f *fixture, s work.Start, _ *Dispatch) {
		e := end(s, 1, outcome)
		e.NeverBegun = neverBegun
		f.report("h0", e)
	}
}

// startOnce submits a job of one task, lets its start come back, and keeps it from starting again.
func startOnce(t *testing.T, bestEffort bool, comeBack func(f *fixture, s work.Start, d *Dispatch)) *fixture {
	t.Helper()
	f := newOwner(t, 1)
	j := testJob(1, 1, bestEffort)
	f.table.Submit(f.now, j)
	if batch, err := f.table.NextBatch(0); err != nil {
		t.Fatal(err)
	} else if batch != nil {
		f.table.CommitBatch(f.now, batch)
	}
	d := f.table.Dispatches()
	if len(d) != 1 || len(d[0].Starts) != 1 {
		t.Fatalf("dispatches %v, want one with one start", d)
	}
	f.table.SetDomainsOutOfService([]string{"zh0"})
	comeBack(f, d[0].Starts[0], d[0])
	return f
}

// Guards against a count of pending jobs that leaves out those of which all starts were refused, and one with
// jobs that have begun.
func TestPendingCountsJobsThatHaveNotBegun(t *testing.T) {
	for name, way := range waysBack {
		f := startOnce(t, false, way.comeBack)
		want, shown := 1, work.StateQueued
		if way.begun {
			want, shown = 0, work.StateRunning
		}
		if got := f.table.PendingCount(testQueue, []int{0}); got != want {
			t.Errorf("%s: %d jobs pending, want %d", name, got, want)
		}
		if state, _ := f.table.State(testQueue, testJob(1, 1, false).ID); state != shown {
			t.Errorf("%s: shown as %s, want %s", name, state, shown)
		}
	}
}

// Guards against a caller who is told that a job has not run although a run may have begun, also of an
// earlier submission, and against the reverse.
func TestAbandonedJobTellsWhetherItMayHaveBegun(t *testing.T) {
	for name, way := range waysBack {
		f := startOnce(t, true, way.comeBack)
		id := testJob(1, 1, true).ID
		if got := f.table.Abandon(f.now, id, "left"); got == way.begun {
			t.Errorf("%s: told as not started: %v, want %v", name, got, !way.begun)
		}
		if f.table.HasJob(id) {
			continue // a run is being stopped
		}
		if status, reason := f.table.Submit(f.now, testJob(1, 1, true)); status != SubmitRefused {
			t.Fatalf("%s: status %v with all domains out: %s", name, status, reason)
		}
		f.table.SetDomainsOutOfService(nil)
		f.now = f.now.Add(time.Second)
		f.attachTo("h0", nil)
		f.submit(testJob(1, 1, true))
		for _, s := range f.started["h0"] {
			if s.Run.Number != 2 {
				t.Errorf("%s: run %d, want 2, since agents remember run 1", name, s.Run.Number)
			}
		}
	}
}

// Guards against a refusal while a start is held back: it is truthful only if the start is not sent later.
func TestHeldStartIsNotSentOnceItsJobIsRefused(t *testing.T) {
	f := startOnce(t, true, func(f *fixture, _ work.Start, d *Dispatch) {
		f.table.HoldBestEffort(f.now.Add(time.Second))
		if f.table.Refresh(f.now, d) != SendLater {
			f.t.Error("a start is sent while starts are held")
		}
		if !f.table.Abandon(f.now, testJob(1, 1, true).ID, "left") {
			f.t.Error("a job of which nothing was sent is told as begun")
		}
		f.now = f.now.Add(2 * time.Second)
		if f.table.Refresh(f.now, d); len(d.Starts) != 0 {
			f.t.Errorf("starts %v are sent for a job that was refused", d.Starts)
		}
	})
	if f.table.HasJob(testJob(1, 1, true).ID) {
		t.Error("the job is still known")
	}
}
