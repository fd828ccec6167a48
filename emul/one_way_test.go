package emul

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// deafen starts or ends the loss of all that a coordinator would receive from other hosts; what it sends arrives.
func (f *Fleet) deafen(n int, on bool) {
	for k := range f.Coordinators {
		if k != n {
			f.Net.SetBlocked(CoordinatorAddr(k), CoordinatorAddr(n), on)
		}
	}
	f.cutFromAgents(n, false, true, on)
}

// Guards against two runs of a task at a time because a coordinator that hears nothing, but is heard, has taken jobs
// and goes on with them, or takes new ones.
func TestCoordinatorThatHearsNothing(t *testing.T) {
	for _, cut := range []time.Duration{200, 400, 700, 1000, 1300, 1600, 2300, 3300} {
		for _, store := range []bool{false, true} {
			cut := cut * time.Millisecond
			t.Run(fmt.Sprintf("%s, store %t", cut, store), func(t *testing.T) {
				runFleet(t, sixSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
					f.askAll(1000, 0, 1, 2, 3)
					var wg sync.WaitGroup
					send := func(n int, leave time.Duration) {
						wg.Go(func() { f.submitUntil(2, longJob(n, 1), leave) })
						wg.Go(func() {
							time.Sleep(leave)
							f.submitUntil(n%2, longJob(n, 1), 3*time.Second)
						})
					}
					for n := range 16 {
						send(n, 300*time.Millisecond+cut)
					}
					time.Sleep(100 * time.Millisecond)
					if !store {
						f.coordinator(2).Store.SetFault(FaultUnresponsive)
					}
					f.deafen(2, true)
					for n := range 16 {
						send(100+n, 20*time.Millisecond)
						send(200+n, cut)
						time.Sleep(cut / 16)
					}
					f.deafen(2, false)
					f.coordinator(2).Store.SetFault(FaultNone)
					for n := range 8 {
						send(300+n, 300*time.Millisecond)
						time.Sleep(20 * time.Millisecond)
					}
					wg.Wait()
				})
			})
		}
	}
}

// Guards against two runs of a task at a time because a coordinator that reaches the holder of a job over agents only
// can't ask it about the job.
func TestHolderThatIsReachedOverAgents(t *testing.T) {
	for _, seen := range []time.Duration{0, 90 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(seen.String(), func(t *testing.T) {
			runFleet(t, sixSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.askAll(1000, 0, 1, 2, 3)
				f.cutCoordinators(0, 1, true)
				f.askAll(2000, 0, 1)
				var wg sync.WaitGroup
				for n := range 60 {
					wg.Go(func() { f.submitUntil(0, longJob(n, 1), 100*time.Millisecond+seen) })
					wg.Go(func() {
						time.Sleep(100 * time.Millisecond)
						f.submitUntil(1, longJob(n, 1), 4*time.Second)
					})
				}
				wg.Wait()
			})
		})
	}
}
