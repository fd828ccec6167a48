package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against two runs of a task at a time because a holder goes on with a job for a coordinator that has joined
// it, and whose caller has left, as the holder does not learn of that.
func TestHolderThatDoesNotSeeAJoinerLeave(t *testing.T) {
	spec := homesSpec(6 * time.Second)
	runFleet(t, spec, func(_ *testing.T, f *Fleet) {
		const jobs = 8
		job := func(n int) *work.Job {
			j := testJob(n, true, 1)
			j.Steps[0].EstimateMS = 6000
			return j
		}
		f.askAll(100, 0, 1, 2)
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() { f.submitUntil(0, job(n), 50*time.Millisecond) })
			wg.Go(func() {
				time.Sleep(20 * time.Millisecond)
				f.submitFor(1, job(n), 380*time.Millisecond)
			})
		}
		time.Sleep(300 * time.Millisecond)
		f.SilenceCoordinators()
		f.isolate(0, true)
		time.Sleep(100*time.Millisecond + resubmitAfter)
		for n := range jobs {
			wg.Go(func() { f.submitUntil(2, job(n), 4*time.Second) })
		}
		wg.Wait()
	})
}
