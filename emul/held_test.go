package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// heldCase is a fault around a job that reaches two coordinators.
type heldCase struct {
	// before strikes before the job's first submission, and between after it, before the second one.
	before  func(f *Fleet)
	between func(f *Fleet, first int)
}

// Guards against two runs of a task at a time, and against a caller without an answer, if the coordinator
// that has the job, or the one that is to know of that, ends or can't be reached as the job arrives at
// another one.
func TestJobSentToTwoCoordinatorsBesideFaults(t *testing.T) {
	const tasks = 3
	none := func(*Fleet, int) {}
	cutPeers := func(f *Fleet, a, b int, on bool) {
		f.Net.SetBlocked(CoordinatorAddr(a), CoordinatorAddr(b), on)
		f.Net.SetBlocked(CoordinatorAddr(b), CoordinatorAddr(a), on)
	}
	for name, c := range map[string]heldCase{
		"holder killed":            {noFault, func(f *Fleet, first int) { f.coordinator(first).Kill() }},
		"holder killed, restarted": {noFault, func(f *Fleet, first int) { f.coordinator(first).Kill(); f.StartCoordinator(first) }},
		"another one killed":       {func(f *Fleet) { f.coordinator(3).Kill() }, none},
		"another one cut off": {func(f *Fleet) {
			for n := range 3 {
				cutPeers(f, n, 3, true)
			}
		}, none},
		"another one restarted": {func(f *Fleet) { f.coordinator(3).Kill(); f.StartCoordinator(3) }, none},
		"messages twice":        {func(f *Fleet) { f.SetRepeatRate(0.5) }, none},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 8 {
				spec := testSpec()
				spec.Coordinators = 4
				spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 700 * time.Millisecond, work.OutcomeDone }
				runFleet(t, spec, func(t *testing.T, f *Fleet) {
					c.before(f)
					first := n % 3
					var wg sync.WaitGroup
					wg.Go(func() { f.submitUntil(first, testJob(n, true, tasks), 15*time.Millisecond) })
					time.Sleep(10 * time.Millisecond)
					c.between(f, first)
					a := f.submitUntil((first+1)%3, testJob(n, true, tasks), 4*time.Second)
					if a.State != work.StateCompleted {
						t.Errorf("job %d: answer %+v, want it completed", n, a)
					}
					f.Checker.CheckCompleted(testJob(n, true, tasks))
					wg.Wait()
				})
			}
		})
	}
}
