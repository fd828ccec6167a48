package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a job that is given up for crashes of endpoints at which none of its runs was: its starts
// got no answer there, and ended by their time limit or with the endpoint.
func TestStartsWithoutAnAnswerAreNotBlamedForCrashes(t *testing.T) {
	for _, trouble := range []Trouble{{Unsent: 0.7}, {Lost: 0.7}} {
		for seed := uint64(1); seed <= 4; seed++ {
			spec := testSpec()
			spec.Endpoints, spec.Seed = 8, seed
			runFleet(t, spec, func(_ *testing.T, f *Fleet) {
				var wg sync.WaitGroup
				for n, e := range f.Endpoints {
					e.SetTrouble(trouble, CommandStart)
					wg.Go(func() {
						time.Sleep(2*time.Second + time.Duration(n)*37*time.Millisecond)
						for range 20 {
							time.Sleep(200 * time.Millisecond)
							e.Crash()
							time.Sleep(100 * time.Millisecond)
							e.Restart()
						}
					})
				}
				for n := range 300 {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 25 * time.Millisecond)
						j := testJob(n, true, 1)
						if a := submit(f, n%len(f.Coordinators), j); a.Code == carobpulley.AnswerOK && a.State == work.StateFailed {
							f.Checker.CheckFailed(j)
						}
					})
				}
				wg.Wait()
			})
		}
	}
}
