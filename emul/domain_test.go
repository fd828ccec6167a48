package emul

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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

// Guards against requests that are handled by an old configuration for as long as their coordinator does
// not reach the store, and against a return to an older version.
func TestConfigBesideCoordinatorsWithoutStore(t *testing.T) {
	const configInForceWithin = 2 * time.Second
	for cut := 1; cut <= 2; cut++ {
		for _, fault := range []Fault{FaultUnresponsive, FaultBusy} {
			runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
				latest := make([]int64, len(f.Coordinators))
				version := func(n int) int64 {
					got := f.coordinator(n).Coordinator.Config().Version
					if got < latest[n] {
						t.Errorf("coordinator %d is back at version %d after %d", n, got, latest[n])
					}
					latest[n] = got
					return got
				}
				for n := range cut {
					f.Coordinators[n].Store.SetFault(fault)
				}
				time.Sleep(500 * time.Millisecond)
				for want := int64(2); want <= 4; want++ {
					f.SetConfigVersion(want)
					for until := time.Now().Add(configInForceWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
						for n := range f.Coordinators {
							version(n)
						}
					}
					for n := range f.Coordinators {
						if got := version(n); got != want {
							t.Errorf("%d coordinators without the store: version %d at coordinator %d after %s, want %d", cut, got, n, configInForceWithin, want)
						}
					}
				}
				for n := range cut {
					f.Coordinators[n].Store.SetFault(FaultNone)
				}
				time.Sleep(3 * time.Second)
				for n := range f.Coordinators {
					if got := version(n); got != 4 {
						t.Errorf("version %d at coordinator %d with the store back, want 4", got, n)
					}
				}
			})
		}
	}
}

// evacuationActions returns evacuations that outlast domainOutWithin, long faults of the store for one
// coordinator, and the other random faults but those of the whole store, without which no process can
// learn of an evacuation.
func evacuationActions() []faultAction {
	evacuate := faultAction{"evacuate", targetOperators, func(f *Fleet, rng *rand.Rand) {
		number := rng.IntN(3)
		domain := fmt.Sprintf("domain-%d", number)
		f.SetDomain(domain, true)
		due := time.Now().Add(domainOutWithin)
		time.Sleep(domainOutWithin + 2*time.Second)
		for n := number; n < len(f.Endpoints); n += 3 {
			if got := f.Checker.StartsAfter(n, due); got > 0 {
				f.Checker.AddViolation(fmt.Sprintf("%d starts at endpoint %d beyond %s after the evacuation of its domain", got, n, domainOutWithin))
			}
		}
		f.SetDomain(domain, false)
	}}
	cutOff := faultAction{"store for one, long", targetStore, func(f *Fleet, rng *rand.Rand) {
		v := f.coordinator(rng.IntN(len(f.Coordinators))).Store
		v.SetFault(FaultUnresponsive)
		time.Sleep(time.Duration(4000+rng.IntN(4000)) * time.Millisecond)
		v.SetFault(FaultNone)
	}}
	actions := []faultAction{evacuate, evacuate, evacuate, cutOff, cutOff, cutOff}
	for _, a := range faultActions() {
		if a.name != "store" && a.name != "domain" {
			actions = append(actions, a)
		}
	}
	return actions
}

// Guards against starts in a failure domain that was taken out of service while coordinators are cut off
// from the store, restarted or out of touch with agents.
func TestEvacuationDays(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed
			spec.Behavior = randomBehavior(seed)
			runFleet(t, spec, func(t *testing.T, f *Fleet) { runSeed(t, f, seed, evacuationActions()) })
		})
	}
}
