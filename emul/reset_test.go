package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against jobs that are given up, stopped and begun again because the connection over which they were passed
// on has ended, while their callers and both coordinators are there.
func TestPassedOnJobsOutlastTheirConnections(t *testing.T) {
	const jobs = 20
	spec := homesSpec(500 * time.Millisecond)
	spec.Load = func(n int) carobpulley.ProcessorLoad {
		if n == 0 {
			return shortOfTime
		}
		return idle
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				if a := f.submitUntil(0, testJob(n, true, 1), 1440*time.Millisecond); a.State != work.StateCompleted {
					t.Errorf("job %d: answer %+v, want it completed", n, a)
				}
			})
		}
		for range 6 {
			time.Sleep(150 * time.Millisecond)
			for n := 1; n < spec.Coordinators; n++ {
				f.Net.Reset(CoordinatorAddr(0), CoordinatorAddr(n))
			}
		}
		wg.Wait()
		if runs := f.Checker.RunCount(); runs != jobs {
			t.Errorf("%d runs of %d jobs", runs, jobs)
		}
	})
}
