package emul

import (
	"testing"
	"time"

	"carobpulley"
)

// Guards against starts in a failure domain that operators took out of service while some or all
// coordinators did not reach the store.
func TestDomainOutBesideCoordinatorsWithoutStore(t *testing.T) {
	for cut := 1; cut <= 3; cut++ {
		for _, fault := range []Fault{FaultUnresponsive, FaultBusy} {
			runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
				for n := range cut {
					f.Coordinators[n].Store.SetFault(fault)
				}
				time.Sleep(500 * time.Millisecond)
				f.SetDomain("domain-1", true)
				acknowledged := time.Now()
				const count = 120
				answers := make(chan carobpulley.JobAnswer, count)
				for n := range count {
					go func() {
						time.Sleep(time.Duration(n) * 100 * time.Millisecond)
						answers <- submit(f, n%len(f.Coordinators), testJob(n, true, 2))
					}()
				}
				served := 0
				for range count {
					if a := <-answers; a.Code == carobpulley.AnswerOK {
						served++
					}
				}
				if served < count*9/10 {
					t.Errorf("%d coordinators without the store: %d of %d jobs served", cut, served, count)
				}
				if got := f.Checker.StartsAfter(1, acknowledged.Add(domainOutWithin)); got > 0 {
					t.Errorf("%d coordinators without the store: %d starts in the domain beyond %s", cut, got, domainOutWithin)
				}
			})
		}
	}
}
