package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
)

// Guards against refusals for want of processor time by waits that others caused: jobs that wait until runs of a
// coordinator which has ended are over.
func TestWaitForRunsElsewhereIsNoWantOfProcessorTime(t *testing.T) {
	spec := homesSpec(200 * time.Millisecond)
	spec.Load = func(n int) carobpulley.ProcessorLoad {
		if n == 0 {
			return shortOfTime
		}
		return carobpulley.ProcessorLoad{Used: 95 * time.Millisecond}
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() { f.submitAll(1, n, 1, 2*time.Second, 100*time.Millisecond) })
			wg.Go(func() {
				time.Sleep(110 * time.Millisecond)
				f.submitAll(0, n, 1, 2*time.Second, 4*time.Second)
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.coordinator(1).Kill()
		for n := range 60 {
			wg.Go(func() {
				if a := f.submitUntil(0, testJob(100+n, true, 1), time.Second); a.Code == carobpulley.AnswerRefused {
					t.Errorf("job %d: answer %+v", n, a)
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		wg.Wait()
	})
}
