package emul

import (
	"sync"
	"testing"
	"time"
)

// cutOff starts or ends the loss of what a coordinator sends to all hosts (there), or gets from them (back).
func (f *Fleet) cutOff(at int, there, back, on bool) {
	f.cutFromAgents(at, there, back, on)
	for n := range f.Coordinators {
		if n != at && there {
			f.Net.SetBlocked(CoordinatorAddr(at), CoordinatorAddr(n), on)
		}
		if n != at && back {
			f.Net.SetBlocked(CoordinatorAddr(n), CoordinatorAddr(at), on)
		}
	}
}

// Guards against two runs of a task at a time if a coordinator that was cut off reaches agents again before it
// has found out that it reaches the other coordinators, which it had left out.
func TestCoordinatorThatIsBack(t *testing.T) {
	for name, w := range map[string]struct{ there, back bool }{"both ways": {true, true}, "sends nothing": {true, false}, "hears nothing": {false, true}} {
		t.Run(name, func(t *testing.T) {
			for lasting := 2 * time.Second; lasting < 6*time.Second; lasting += 1700 * time.Millisecond {
				runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
					f.askAll(100, 0, 1, 2, 3)
					f.cutOff(0, w.there, w.back, true)
					f.askAll(1000, 0, 1)
					time.Sleep(lasting)
					f.cutOff(0, w.there, w.back, false)
					for n := range 6 {
						time.Sleep(100 * time.Millisecond)
						f.sendToTwo(10*n, 10, 1, 120*time.Millisecond)
					}
				})
			}
		})
	}
}

// Guards against two runs of a task at a time if a holder that was cut off, and has been replaced, starts its runs
// again before it sees that its callers have left.
func TestHolderThatIsBack(t *testing.T) {
	for lasting := 1100 * time.Millisecond; lasting < 2500*time.Millisecond; lasting += 300 * time.Millisecond {
		runFleet(t, homesSpec(1700*time.Millisecond), func(_ *testing.T, f *Fleet) {
			f.askAll(100, 0, 1, 2, 3)
			var wg sync.WaitGroup
			for n := range 8 {
				wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 60*time.Millisecond+lasting+150*time.Millisecond) })
				wg.Go(func() {
					time.Sleep(70 * time.Millisecond)
					f.submitUntil(1, testJob(n, true, 1), 4*time.Second)
				})
			}
			time.Sleep(60 * time.Millisecond)
			f.cutOff(0, true, true, true)
			time.Sleep(lasting)
			f.cutOff(0, true, true, false)
			wg.Wait()
		})
	}
}

// Guards against two runs of a task at a time if a coordinator that was cut off for less than it takes to leave
// others out decides alone as it is back, since the others have not answered.
func TestCoordinatorThatIsBackSoon(t *testing.T) {
	for lasting := 400 * time.Millisecond; lasting < 1200*time.Millisecond; lasting += 200 * time.Millisecond {
		runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
			f.askAll(100, 0, 1, 2, 3)
			f.cutOff(0, true, true, true)
			var wg sync.WaitGroup
			wg.Go(func() { f.askAll(1000, 0) })
			time.Sleep(lasting)
			for n := range 16 {
				wg.Go(func() { f.submitUntil(1, testJob(n, true, 1), 200*time.Millisecond) })
			}
			time.Sleep(50 * time.Millisecond)
			f.cutOff(0, true, true, false)
			time.Sleep(2 * time.Millisecond)
			for n := range 16 {
				wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 3*time.Second) })
			}
			wg.Wait()
		})
	}
}
