package jobs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// stoppedFixture returns a fixture with a job that was given up after its only start was sent, and
// the dispatch with the start.
func stoppedFixture(t *testing.T, agents int) (*fixture, *Dispatch) {
	t.Helper()
	f := newFixture(t, agents).attach()
	f.table.Submit(f.now, testJob(1, 1, true))
	dispatches := f.table.Dispatches()
	if len(dispatches) != 1 || f.table.Refresh(f.now, dispatches[0]) != SendNow {
		t.Fatalf("dispatches %+v, want one that may be sent", dispatches)
	}
	d := dispatches[0]
	f.started[d.Agent] = append(f.started[d.Agent], d.Starts...)
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "left")
	f.takeDispatches()
	return f, d
}

// Guards against a run that counts as over, so that its task may run elsewhere, because its dispatch
// is sent again after the job was given up: the agent may have got the dispatch that it didn't answer.
func TestUnansweredStartIsNotOverWithItsJob(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	start := f.started["h0"][0]
	if got := f.table.Refresh(f.now, d); got != SendNow {
		t.Fatalf("sendable %d, want %d", got, SendNow)
	}
	if !f.table.HasPlacedTasks("h0") {
		t.Error("the run counts as over although its start may have been carried out")
	}
	// The stop keeps an agent that never got the start from carrying it out, and its refusal shows
	// that the run is over.
	if diff := cmp.Diff([]work.Run{start.Run}, d.Stops); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
	if len(d.Starts) != 1 {
		t.Fatalf("starts %+v, want the one that got no answer", d.Starts)
	}
	f.table.HandleRefusedStarts(f.now, d, []work.Run{start.Run}, "stopped")
	if f.table.HasPlacedTasks("h0") || f.table.HasJob(testJob(1, 1, true).ID) {
		t.Error("the run counts as on after its start was refused")
	}
}

// Guards against a run that counts as over, so that its task may run elsewhere, because its job was
// given up when the agent was attached again, although the agent lists the run.
func TestListedRunOfAStoppedJobIsOn(t *testing.T) {
	f, _ := stoppedFixture(t, 1)
	run := f.started["h0"][0].Run
	f.stopped = map[string][]work.Run{}
	r := f.newReport("h0", f.table.FollowingAttachment("h0"))
	r.Running = []work.Run{run}
	f.table.HandleAttachment(f.now, r, nil)
	f.takeDispatches()
	if !f.table.HasPlacedTasks("h0") {
		t.Error("the run counts as over although the agent lists it")
	}
	if diff := cmp.Diff([]work.Run{run}, f.stopped["h0"]); diff != "" {
		t.Errorf("stops of the new attachment (-want +got):\n%s", diff)
	}
	f.report("h0", end(f.started["h0"][0], 1, work.OutcomeStopped))
	if f.table.HasPlacedTasks("h0") || f.table.HasJob(testJob(1, 1, true).ID) {
		t.Error("the run counts as on after its end")
	}
}

// Guards against a run that is stopped as overdue and goes on, because the stop was lost with the
// attachment in which it was sent.
func TestStopIsRepeatedWithAnAttachment(t *testing.T) {
	f := newFixture(t, 1).attach()
	f.submit(testJob(1, 1, true))
	run := f.started["h0"][0].Run
	f.advance(overdueMargin + overdueFactor*200*time.Millisecond + 100*time.Millisecond)
	if diff := cmp.Diff([]work.Run{run}, f.stopped["h0"]); diff != "" {
		t.Fatalf("stops (-want +got):\n%s", diff)
	}
	f.stopped = map[string][]work.Run{}
	r := f.newReport("h0", f.table.FollowingAttachment("h0"))
	r.Running = []work.Run{run}
	f.table.HandleAttachment(f.now, r, nil)
	f.takeDispatches()
	if diff := cmp.Diff([]work.Run{run}, f.stopped["h0"]); diff != "" {
		t.Errorf("stops of the new attachment (-want +got):\n%s", diff)
	}
}

// Guards against a task that stays placed for ever at an agent that was removed while it was not
// attached.
func TestRemovedAgentEndsItsRuns(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	f.table.Detach("h0", d.Attachment)
	f.table.RemoveAgent(f.now, "h0")
	f.now = f.now.Add(testAgentTimeout + time.Millisecond)
	f.table.Tick(f.now)
	if f.table.HasJob(testJob(1, 1, true).ID) {
		t.Error("the job's run counts as on after the agent timeout")
	}
}

// Guards against a task that stays placed for ever, and a submission that waits for it, because the
// agent does not know the run that is to be stopped and so reports no end.
func TestStopWithoutAnEndIsChecked(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	f.submit(longJob(1))
	attached := func() bool { return f.table.Incarnation("h0") != 0 }
	for limit := f.now.Add(2 * stopCheckInterval); attached() && f.now.Before(limit); {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report("h0")
		f.table.Tick(f.now)
	}
	if attached() {
		t.Fatal("the agent's list is not asked for although a stop has no end")
	}
	f.table.HandleAttachment(f.now, f.newReport("h0", f.table.FollowingAttachment("h0")), nil)
	f.takeDispatches()
	if got := len(f.started[d.Agent]); got != 2 {
		t.Errorf("%d starts after a list without the run, want 2", got)
	}
}
