package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// homesSpec has four coordinators, of which the last one is the home of some ids and gets no jobs.
func homesSpec(run time.Duration) Spec {
	spec := testSpec()
	spec.Coordinators = 4
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return run, work.OutcomeDone }
	return spec
}

func (f *Fleet) cutCoordinators(a, b int, on bool) {
	f.Net.SetBlocked(CoordinatorAddr(a), CoordinatorAddr(b), on)
	f.Net.SetBlocked(CoordinatorAddr(b), CoordinatorAddr(a), on)
}

// Guards against two runs of a task at a time if two coordinators pass over different homes: one of them
// could not reach a home for a moment, the other one can. All of them answer again when the job comes.
func TestHomeThatDidNotAnswerOneCoordinator(t *testing.T) {
	for name, healed := range map[string]bool{"cut": false, "healed": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.cutCoordinators(0, 3, true)
				var wg sync.WaitGroup
				for n := range 16 {
					wg.Go(func() { f.submitUntil(0, testJob(100+n, true, 1), 400*time.Millisecond) })
				}
				wg.Wait()
				if healed {
					f.cutCoordinators(0, 3, false)
					time.Sleep(50 * time.Millisecond)
				}
				for n := range 16 {
					wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 100*time.Millisecond) })
					wg.Go(func() {
						time.Sleep(10 * time.Millisecond)
						f.submitUntil(1, testJob(n, true, 1), 3*time.Second)
					})
				}
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time if the home of the id ends between the submissions.
func TestHomeEndsBetweenTwoSubmissions(t *testing.T) {
	for name, restarted := range map[string]bool{"killed": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			for n := range 8 {
				runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
					var wg sync.WaitGroup
					wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 100*time.Millisecond) })
					time.Sleep(10 * time.Millisecond)
					f.coordinator(3).Kill()
					if restarted {
						f.StartCoordinator(3)
						time.Sleep(10 * time.Millisecond)
					}
					f.submitUntil(1, testJob(n, true, 1), 3*time.Second)
					wg.Wait()
				})
			}
		})
	}
}

// Guards against two runs of a task at a time if a second caller at the holder leaves while the holder
// waits for the home's answer: the holder then denies that it asks for the id.
func TestSecondCallerLeavesWhileTheHomeIsAsked(t *testing.T) {
	for n := range 8 {
		runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
			f.Net.SetDelay(CoordinatorAddr(3), CoordinatorAddr(0), 60*time.Millisecond)
			var wg sync.WaitGroup
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 3*time.Second) })
			time.Sleep(2 * time.Millisecond)
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 3*time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
			f.submitUntil(1, testJob(n, true, 1), 3*time.Second)
			wg.Wait()
		})
	}
}

// Guards against two runs of a task at a time if a holder that did not have the job got it again before
// it is replaced.
func TestHolderGetsTheJobBeforeItIsReplaced(t *testing.T) {
	for after := 50 * time.Millisecond; after < 110*time.Millisecond; after += 4 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
				var wg sync.WaitGroup
				for n := range 16 { // connections to the home are open then
					wg.Go(func() { f.submitUntil(n%2, testJob(100+n, true, 1), 3*time.Second) })
				}
				wg.Wait()
				f.Net.SetDelay(CoordinatorAddr(3), CoordinatorAddr(0), 20*time.Millisecond)
				f.Net.SetDelay(CoordinatorAddr(1), CoordinatorAddr(3), 40*time.Millisecond)
				wg.Go(func() { f.submitUntil(0, testJob(0, true, 1), 10*time.Millisecond) })
				time.Sleep(5 * time.Millisecond)
				wg.Go(func() { f.submitUntil(1, testJob(0, true, 1), 3*time.Second) })
				time.Sleep(after)
				f.submitUntil(0, testJob(0, true, 1), 3*time.Second)
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time if the holder is killed long after it got the job, and the
// job comes at once to another coordinator.
func TestHolderKilledLate(t *testing.T) {
	for n := range 3 {
		runFleet(t, homesSpec(3*time.Second), func(_ *testing.T, f *Fleet) {
			var wg sync.WaitGroup
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 5*time.Second) })
			time.Sleep(1400 * time.Millisecond)
			f.coordinator(0).Kill()
			f.submitUntil(1, testJob(n, true, 1), 5*time.Second)
			wg.Wait()
		})
	}
}

// Guards against two runs of a task at a time if a job runs longer than a hold is kept.
func TestJobLongerThanItsHold(t *testing.T) {
	for n := range 3 {
		runFleet(t, homesSpec(16*time.Second), func(t *testing.T, f *Fleet) {
			var wg sync.WaitGroup
			job := func() *work.Job {
				j := testJob(n, true, 1)
				j.Steps[0].EstimateMS = 16_000
				return j
			}
			wg.Go(func() { f.submitUntil(0, job(), 30*time.Second) })
			time.Sleep(13 * time.Second)
			if a := f.submitUntil(1, job(), 10*time.Second); a.Code != carobpulley.AnswerOK {
				t.Errorf("answer %+v, want the first one's result", a)
			}
			wg.Wait()
		})
	}
}

// Guards against the answer that a job never runs, though the holder that is to be replaced has run it.
func TestCallerWhoseTimeEndsAsTheHolderIsReplacedIsNotRefused(t *testing.T) {
	for n := range 16 {
		runFleet(t, homesSpec(3*time.Second), func(t *testing.T, f *Fleet) {
			var wg sync.WaitGroup
			wg.Go(func() { f.submitUntil(0, testJob(n, true, 1), 5*time.Second) })
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				if a := f.submitUntil(1, testJob(n, true, 1), 1400*time.Millisecond); a.Code == carobpulley.AnswerRefused && f.Checker.RunCount() > 0 {
					t.Errorf("job %d: answer %+v after %d runs, want it unknown", n, a, f.Checker.RunCount())
				}
			})
			time.Sleep(40 * time.Millisecond)
			f.coordinator(0).Kill()
			time.Sleep(200 * time.Millisecond)
			f.cutCoordinators(1, 3, true)
			f.cutCoordinators(1, 2, true)
			wg.Wait()
		})
	}
}
