package jobs

import (
	"testing"

	"carobpulley/work"
)

// Guards against a best-effort job that is shown without a state.
func TestBestEffortJobIsShown(t *testing.T) {
	f := newFixture(t, 1)
	id := testJob(1, 1, true).ID
	f.table.SetShare(nil) // the job waits for the share's agents
	f.submit(testJob(1, 1, true))
	check := func(want work.State) {
		t.Helper()
		if state, known := f.table.State(testQueue, id); !known || state != want {
			t.Errorf("known %v as %q, want %q", known, state, want)
		}
	}
	check(work.StateQueued)
	f.attach()
	check(work.StateRunning)
	f.report("h0", end(f.started["h0"][0], 1, work.OutcomeDone))
	check(work.StateCompleted)
}
