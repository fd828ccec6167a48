package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against two runs of a task at a time because a replica keeps a hold that the other one has replaced: it
// decides alone once that one has ended.
func TestReplacedHoldIsGoneAtAllReplicas(t *testing.T) {
	spec := homesSpec(700 * time.Millisecond)
	spec.Coordinators = 6
	spec.Capacity = work.Resources{CPU: 640_000, MemMB: 1_000_000}
	runFleet(t, spec, func(_ *testing.T, f *Fleet) {
		const jobs = 40
		f.askAll(100, 0, 1, 2)
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 50*time.Millisecond) })
		}
		wg.Wait()
		time.Sleep(100 * time.Millisecond)
		for n := range jobs {
			wg.Go(func() { f.submitUntil(1, testJob(n, true, 1), 300*time.Millisecond) })
		}
		time.Sleep(100 * time.Millisecond)
		f.coordinator(3).Kill()
		f.coordinator(4).Kill()
		for n := range jobs {
			wg.Go(func() { f.submitUntil(2, testJob(n, true, 1), 3*time.Second) })
		}
		wg.Wait()
	})
}
