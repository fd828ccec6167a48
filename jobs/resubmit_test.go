package jobs

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against a job that is answered as ended, in a state that is no result, because it was
// given up and is submitted again before its runs are known to have ended; and against a second run
// of its task beside the first.
func TestJobIsSubmittedAgainWhileItIsStopped(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, true))
	first := f.started["h0"][0]
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "left")
	if status := f.submit(testJob(1, 1, true)); status != SubmitPending {
		state, _ := f.table.DecidedState(testJob(1, 1, true).ID)
		t.Fatalf("submit status %d with state %q, want %d", status, state, SubmitPending)
	}
	if got := f.startCount(); got != 1 {
		t.Fatalf("%d starts while the first run is not known to have ended, want 1", got)
	}
	f.report("h0", end(first, 1, work.OutcomeStopped))
	if got := f.startCount(); got != 2 {
		t.Fatalf("%d starts after the end of the first run, want 2", got)
	}
	second := f.started["h0"][1]
	if second.Run.Number <= first.Run.Number {
		t.Errorf("run %d after run %d", second.Run.Number, first.Run.Number)
	}
	f.report("h0", end(second, 2, work.OutcomeDone))
	if diff := cmp.Diff([]BestEffortResult{{Job: testJob(1, 1, true).ID, State: work.StateCompleted}}, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}
