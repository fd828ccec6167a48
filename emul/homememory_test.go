package emul

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"carobpulley/holds"
)

// idsOf returns numbers of jobs whose home is a coordinator of a number of them.
func idsOf(home, coordinators, count int) []int {
	members := make([]holds.Member, coordinators)
	for n := range members {
		members[n] = holds.Member{Name: fmt.Sprintf("coordinator-%d", n), Weight: 1}
	}
	var ids []int
	for n := 0; len(ids) < count; n++ {
		if holds.First(jobID(n), members) == members[home].Name {
			ids = append(ids, n)
		}
	}
	return ids
}

// Guards against two runs of a task at a time if a holder wakes whose hold was replaced, and gets no answer
// from the homes for a while.
func TestHolderWakesAfterItWasReplaced(t *testing.T) {
	for _, d := range []time.Duration{1400, 1900} {
		for _, cut := range []time.Duration{200, 400, 5000} {
			t.Run(fmt.Sprintf("%d ms, then cut off for %d ms", d, cut), func(t *testing.T) {
				for _, n := range idsOf(3, 4, 4) {
					runFleet(t, homesSpec(2*time.Second), func(_ *testing.T, f *Fleet) {
						var wg sync.WaitGroup
						wg.Go(func() { f.submitOnce(0, testJob(n, true, 1)) })
						time.Sleep(10 * time.Millisecond)
						wg.Go(func() { f.coordinator(0).Suspend(d * time.Millisecond) })
						wg.Go(func() { f.submitUntil(1, testJob(n, true, 1), 5*time.Second) })
						time.Sleep(d*time.Millisecond - time.Millisecond)
						for other := range 3 {
							f.cutCoordinators(0, 1+other, true)
						}
						time.Sleep(cut * time.Millisecond)
						for other := range 3 {
							f.cutCoordinators(0, 1+other, false)
						}
						wg.Wait()
					})
				}
			})
		}
	}
}

// Guards against two runs of a task at a time if a home was cut off from the others, the next one lets a
// coordinator have an id, and the job comes to the home as it is reached again.
func TestHomeComesBackFromACut(t *testing.T) {
	for _, again := range []int{3} {
		t.Run(fmt.Sprint("again at ", again), func(t *testing.T) {
			for _, n := range idsOf(3, 4, 6) {
				runFleet(t, homesSpec(2*time.Second), func(_ *testing.T, f *Fleet) {
					cut := func(on bool) {
						for other := range 3 {
							f.cutCoordinators(3, other, on)
						}
					}
					cut(true)
					var wg sync.WaitGroup
					wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 5*time.Second) })
					time.Sleep(600 * time.Millisecond)
					cut(false)
					time.Sleep(5 * time.Millisecond)
					f.submitUntil(again, testJob(n, true, 1), 5*time.Second)
					wg.Wait()
				})
			}
		})
	}
}
