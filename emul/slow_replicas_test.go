package emul

import (
	"sync"
	"testing"
	"time"
)

// slowness is the delay of what a slow coordinator receives. A call, its repetition and the calls over agents end
// before.
const slowness = 600 * time.Millisecond

// setDelay adds a delay to all that a coordinator receives from other coordinators and agents: it is alive, but its
// answers come late. 0 ends this.
func (f *Fleet) setDelay(n int, added time.Duration) {
	for k := range f.spec.Coordinators {
		if k != n {
			f.Net.SetDelay(CoordinatorAddr(k), CoordinatorAddr(n), added)
		}
	}
	for k := range f.spec.Endpoints {
		f.Net.SetDelay(AgentAddr(k), CoordinatorAddr(n), added)
	}
}

// Guards against two runs of a task at a time if two replicas are slow one after the other: one coordinator has the
// word of the second one only, as it takes the first one for out, and another coordinator that of the first one.
func TestReplicasThatAreSlowInTurn(t *testing.T) {
	for _, between := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(between.String(), func(t *testing.T) {
			runFleet(t, sixSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.askAll(1000, 0, 1, 2, 3)
				f.setDelay(3, slowness)
				f.askAll(2000, 0)
				f.setDelay(3, 0)
				time.Sleep(between)
				var wg sync.WaitGroup
				for n := range 100 {
					wg.Go(func() { f.submitUntil(0, longJob(n, 1), 1200*time.Millisecond) })
				}
				time.Sleep(10 * time.Millisecond)
				f.setDelay(2, slowness)
				for n := range 100 {
					wg.Go(func() { f.submitUntil(1, longJob(n, 1), 3*time.Second) })
				}
				time.Sleep(time.Second)
				f.setDelay(2, 0)
				wg.Wait()
			})
		})
	}
}
