package emul

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// cutOff starts or ends the loss of all messages between a coordinator and all other hosts and the store.
func (f *Fleet) cutOffFromAll(n int, on bool) {
	fault := FaultNone
	if on {
		fault = FaultUnresponsive
	}
	f.coordinator(n).Store.SetFault(fault)
	f.isolate(n, on)
	f.cutFromAgents(n, true, true, on)
}

// Guards against two runs of a task at a time because a coordinator that was cut off from all hosts has left out
// the other ones and starts jobs on its own word once it is back.
func TestCoordinatorThatIsBackGrantsToItself(t *testing.T) {
	for _, c := range []struct{ cut, wait time.Duration }{
		{3300 * time.Millisecond, 800 * time.Millisecond},
		{3500 * time.Millisecond, 600 * time.Millisecond},
		{5 * time.Second, time.Second},
	} {
		t.Run(fmt.Sprintf("%s, %s later", c.cut, c.wait), func(t *testing.T) {
			runFleet(t, homesSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0, 1, 2, 3)
				var wg sync.WaitGroup
				wg.Go(func() { f.askAll(1000, 0) })
				time.Sleep(50 * time.Millisecond)
				f.cutOffFromAll(0, true)
				time.Sleep(c.cut)
				f.cutOffFromAll(0, false)
				time.Sleep(c.wait)
				f.sendToTwo(0, 16, 1, 150*time.Millisecond)
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time because a holder that was cut off from all hosts places its task
// again when it is back, before it learns that its caller is at another coordinator.
func TestHolderThatIsBackPlacesAgain(t *testing.T) {
	for _, cut := range []time.Duration{2300 * time.Millisecond, 2400 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(cut.String(), func(t *testing.T) {
			runFleet(t, homesSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0, 1, 2, 3)
				var wg sync.WaitGroup
				for n := range 16 {
					wg.Go(func() { f.submitUntil(2, testJob(n, true, 1), 200*time.Millisecond+cut) })
					wg.Go(func() {
						time.Sleep(600 * time.Millisecond)
						f.submitUntil(1, testJob(n, true, 1), 6*time.Second)
					})
				}
				time.Sleep(100 * time.Millisecond)
				f.cutOffFromAll(2, true)
				time.Sleep(cut)
				f.cutOffFromAll(2, false)
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time because the replicas have begun anew and let the next process have
// an id while runs of its holder are on, which has ended with them.
func TestHolderEndsWithTheReplicas(t *testing.T) {
	runFleet(t, homesSpec(1500*time.Millisecond), func(_ *testing.T, f *Fleet) {
		f.askAll(100, 0, 1, 2, 3)
		var wg sync.WaitGroup
		for n := range 16 {
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 5*time.Second) })
		}
		time.Sleep(200 * time.Millisecond)
		for n := range f.Coordinators {
			f.coordinator(n).Kill()
		}
		for n := 1; n < len(f.Coordinators); n++ {
			f.StartCoordinator(n)
		}
		time.Sleep(300 * time.Millisecond)
		for n := range 16 {
			wg.Go(func() { f.submitUntil(1, testJob(n, true, 1), 5*time.Second) })
		}
		wg.Wait()
		f.StartCoordinator(0)
	})
}
