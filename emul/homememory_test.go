package emul

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobpulley/holds"
	"carobpulley/work"
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

// playHome lets a job that runs for long reach one coordinator, then another, with trouble of the home
// between, for several ids of the home coordinator-3. The first caller leaves after a time.
func playHome(t *testing.T, first, second int, leaves time.Duration, trouble func(f *Fleet)) {
	t.Helper()
	for _, n := range idsOf(3, 4, 6) {
		runFleet(t, homesSpec(700*time.Millisecond), func(t *testing.T, f *Fleet) {
			var wg sync.WaitGroup
			wg.Go(func() { f.submitUntil(first, testJob(n, true, 1), leaves) })
			time.Sleep(10 * time.Millisecond)
			trouble(f)
			if a := f.submitUntil(second, testJob(n, true, 1), 3*time.Second); a.State != work.StateCompleted {
				t.Errorf("job %d: answer %+v, want it completed", n, a)
			}
			wg.Wait()
		})
	}
}

func (f *Fleet) restartCoordinator(n int) {
	f.coordinator(n).Kill()
	f.StartCoordinator(n)
}

// Guards against two runs of a task at a time if a home ends or restarts beside a coordinator that does not
// answer, has restarted too, or after that long enough before the second submission for it to know itself.
func TestHomeRestartsBesideTrouble(t *testing.T) {
	wait := func(d time.Duration, trouble func(f *Fleet)) func(f *Fleet) {
		return func(f *Fleet) {
			trouble(f)
			time.Sleep(d)
		}
	}
	for name, trouble := range map[string]func(f *Fleet){
		"silent peer": wait(10*time.Millisecond, func(f *Fleet) {
			f.Net.SetBlocked(CoordinatorAddr(2), CoordinatorAddr(3), true)
			f.restartCoordinator(3)
		}),
		"killed beside a silent peer": func(f *Fleet) {
			f.cutCoordinators(2, 1, true)
			f.cutCoordinators(2, 3, true)
			f.coordinator(3).Kill()
		},
		"two young homes": wait(10*time.Millisecond, func(f *Fleet) {
			f.restartCoordinator(3)
			f.restartCoordinator(2)
		}),
		"twice": wait(10*time.Millisecond, func(f *Fleet) {
			f.restartCoordinator(3)
			time.Sleep(20 * time.Millisecond)
			f.restartCoordinator(3)
		}),
		"killed, then back": wait(10*time.Millisecond, func(f *Fleet) {
			f.coordinator(3).Kill()
			time.Sleep(60 * time.Millisecond)
			f.StartCoordinator(3)
		}),
		"slow peer": wait(10*time.Millisecond, func(f *Fleet) {
			f.Net.SetDelay(CoordinatorAddr(0), CoordinatorAddr(3), 15*time.Millisecond)
			f.restartCoordinator(3)
		}),
		"at once": wait(0, func(f *Fleet) { f.restartCoordinator(3) }),
		"400 ms":  wait(400*time.Millisecond, func(f *Fleet) { f.restartCoordinator(3) }),
	} {
		t.Run(name, func(t *testing.T) {
			playHome(t, 0, 1, 100*time.Millisecond, trouble)
			playHome(t, 0, 1, 5*time.Second, trouble)
		})
	}
}

// Guards against two runs of a task at a time if a coordinator that is the home of its own job restarts, or
// ends, and the job comes to it again or to another one.
func TestHomeRestartsWithItsOwnJob(t *testing.T) {
	for name, c := range map[string]struct {
		again int
		wait  time.Duration
	}{"there": {3, 10 * time.Millisecond}, "elsewhere": {1, 10 * time.Millisecond}, "there, later": {3, 300 * time.Millisecond}, "elsewhere at once": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			playHome(t, 3, c.again, 5*time.Second, func(f *Fleet) {
				f.restartCoordinator(3)
				time.Sleep(c.wait)
			})
		})
	}
}

// Guards against two runs of a task at a time if a coordinator joins that is the home of ids which others
// hold.
func TestHomeJoinsBetweenTwoSubmissions(t *testing.T) {
	for _, wait := range []time.Duration{0, 2, 5, 10, 50, 400} {
		for _, n := range idsOf(4, 5, 4) {
			runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
				var wg sync.WaitGroup
				wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 3*time.Second) })
				time.Sleep(10 * time.Millisecond)
				f.mu.Lock()
				f.Coordinators = append(f.Coordinators, nil)
				f.mu.Unlock()
				f.StartCoordinator(4)
				time.Sleep(wait * time.Millisecond)
				f.submitUntil(1, testJob(n, true, 1), 3*time.Second)
				wg.Wait()
			})
		}
	}
}

// Guards against two runs of a task at a time if a home is suspended, the next one lets a coordinator have
// an id of which the home was not asked, and the job comes to another coordinator, or to the home, as it wakes.
func TestHomeComesBackFromASuspension(t *testing.T) {
	const known = 260 * time.Millisecond // the calls to the home have failed
	for _, again := range []int{1, 3} {
		for _, d := range []time.Duration{300, 390, 450, 600, 1000, 1150} {
			t.Run(fmt.Sprintf("%d ms, then at %d", d, again), func(t *testing.T) {
				ids := idsOf(3, 4, 12)
				for _, n := range ids[:4] {
					runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
						f.warmUp()
						var wg sync.WaitGroup
						wg.Go(func() { f.coordinator(3).Suspend(d * time.Millisecond) })
						for _, other := range ids[4:] {
							wg.Go(func() { f.submitUntil(0, testJob(other, true, 1), 3*time.Second) })
						}
						wg.Go(func() {
							time.Sleep(max(known, d*time.Millisecond-150*time.Millisecond))
							f.submitUntil(0, testJob(n, true, 1), 3*time.Second)
						})
						time.Sleep(d*time.Millisecond + 2*time.Millisecond)
						f.submitUntil(again, testJob(n, true, 1), 3*time.Second)
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
	for _, again := range []int{3, 1} {
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

// Guards against two runs of a task at a time if the holder and the home of an id restart at a time.
func TestHolderAndHomeRestart(t *testing.T) {
	for name, started := range map[string]bool{"killed": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			playHome(t, 0, 1, 5*time.Second, func(f *Fleet) {
				f.coordinator(3).Kill()
				f.coordinator(0).Kill()
				if started {
					f.StartCoordinator(3)
					f.StartCoordinator(0)
				}
				time.Sleep(10 * time.Millisecond)
			})
		})
	}
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

// Guards against jobs that wait as a whole system starts: each home is young then, asks the others, and nobody
// has held anything.
func TestFirstStartDoesNotWaitForHolds(t *testing.T) {
	const (
		run  = 50 * time.Millisecond
		most = run + 60*time.Millisecond
	)
	for _, start := range []time.Duration{1000, 1400} {
		synctest.Test(t, func(t *testing.T) {
			f := New(homesSpec(run))
			defer f.Close()
			time.Sleep(start * time.Millisecond)
			var wg sync.WaitGroup
			for n := range 40 {
				wg.Go(func() {
					began := time.Now()
					a := f.submitUntil(n%4, testJob(n, true, 1), 3*time.Second)
					if took := time.Since(began); a.State != work.StateCompleted || took > most {
						t.Errorf("job %d: answer %+v after %s, want it completed after %s at most", n, a, took, most)
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			wg.Wait()
		})
	}
}
