package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against two runs of a task at a time when a caller's connection breaks as it sends a job, and
// its library sends the job again at once, to another coordinator: the first one has the job too, and
// learns of the break a few milliseconds later.
func TestJobSentToTwoCoordinatorsRunsOnceAtATime(t *testing.T) {
	const tasks = 4
	for name, again := range map[string]time.Duration{
		"at the same time":         0,
		"before the break is seen": 1400 * time.Microsecond,
		"after the break is seen":  7 * time.Millisecond,
		"much later":               400 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			spec := testSpec()
			spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 900 * time.Millisecond, work.OutcomeDone }
			runFleet(t, spec, func(t *testing.T, f *Fleet) {
				seen := 5 * time.Millisecond
				if again > seen {
					seen = again - 2*time.Millisecond
				}
				var wg sync.WaitGroup
				for n := range 20 {
					at := n % len(f.Coordinators)
					next := (at + 1 + n%(len(f.Coordinators)-1)) % len(f.Coordinators)
					wg.Go(func() { f.submitUntil(at, testJob(n, true, tasks), seen) })
					time.Sleep(again)
					wg.Go(func() {
						if a := f.submitUntil(next, testJob(n, true, tasks), 3*time.Second); a.State != work.StateCompleted {
							t.Errorf("job %d: answer %+v, want it completed", n, a)
						}
					})
					time.Sleep(300 * time.Millisecond)
				}
				wg.Wait()
			})
		})
	}
}
