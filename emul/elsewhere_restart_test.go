package emul

import (
	"testing"
	"time"
)

// Guards against two runs of a task at a time because a restarted coordinator takes an end of its
// earlier process for that of a run that it has just started: a job waited at an agent for room, its
// caller comes back at the restarted coordinator, and both runs have number 1.
func TestRestartedCoordinatorKnowsItsOwnRuns(t *testing.T) {
	for down := 1200 * time.Millisecond; down < 1700*time.Millisecond; down += 50 * time.Millisecond {
		spec := elsewhereSpec(1, longRun)
		spec.Endpoints = 1
		runFleet(t, spec, func(_ *testing.T, f *Fleet) {
			const fills = 10
			go f.submitUntil(0, longJob(1, fills), 4*time.Second)
			time.Sleep(100 * time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() {
				f.coordinator(0).Kill()
				time.Sleep(down)
				f.StartCoordinator(0)
			})
			f.submitUntil(0, testJob(2, true, 4), time.Second)
			time.Sleep(max(resubmitAfter, down+time.Millisecond))
			f.submitUntil(0, testJob(2, true, 4), 3*time.Second)
		})
	}
}
