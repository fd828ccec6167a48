package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against two runs of a task at a time because a coordinator that does not reach the store does not know of
// one that has joined: it chooses other replicas than those that do.
func TestCoordinatorThatDoesNotKnowOneThatJoined(t *testing.T) {
	spec := homesSpec(300 * time.Millisecond)
	spec.Coordinators, spec.Late = 5, 1
	spec.Capacity = work.Resources{CPU: 640_000, MemMB: 1_000_000}
	runFleet(t, spec, func(_ *testing.T, f *Fleet) {
		for n := range 2 {
			f.coordinator(n).Store.SetFault(FaultBusy)
		}
		time.Sleep(2 * time.Second) // reads under way end
		f.StartCoordinator(4)
		time.Sleep(4 * time.Second)
		var wg sync.WaitGroup
		for n := range 120 {
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 100*time.Millisecond) })
			wg.Go(func() { f.submitUntil(2, testJob(n, true, 1), 3*time.Second) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
	})
}
