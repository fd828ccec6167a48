package emul

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// stopFaults are faults that keep the runs of a given up job from being stopped for a while.
func stopFaults() map[string]func(f *Fleet, on bool) {
	forAll := func(set func(f *Fleet, n int, on bool)) func(*Fleet, bool) {
		return func(f *Fleet, on bool) {
			for n := range f.Agents {
				set(f, n, on)
			}
		}
	}
	return map[string]func(f *Fleet, on bool){
		"none":                func(*Fleet, bool) {},
		"agents unheard":      forAll(func(f *Fleet, n int, on bool) { f.silence(n, false, on) }),
		"agents hear nothing": forAll(func(f *Fleet, n int, on bool) { f.silence(n, true, on) }),
		"agents cut off": forAll(func(f *Fleet, n int, on bool) {
			f.silence(n, false, on)
			f.silence(n, true, on)
		}),
		"orders held": forAll(func(f *Fleet, n int, on bool) { f.SetOrdersHeld(fmt.Sprint("agent-", n), on) }),
		"stops lost": forAll(func(f *Fleet, n int, on bool) {
			trouble := Trouble{}
			if on {
				trouble.Unsent = 1
			}
			f.Endpoints[n].SetTrouble(trouble, CommandStop)
		}),
		"answers lost": forAll(func(f *Fleet, n int, on bool) {
			f.Endpoints[n].SetLossRate(map[bool]float64{true: 0.5}[on])
		}),
		"messages twice": func(f *Fleet, on bool) { f.SetRepeatRate(map[bool]float64{true: 0.5}[on]) },
	}
}

// Guards against an answer 200 without a result, against one without the tasks' ends, and against
// two runs of one task at a time, when a caller comes back to the same coordinator while the runs of
// its earlier submission can't be stopped.
func TestCallerComesBackWhileItsJobIsStopped(t *testing.T) {
	const tasks, callers, tries = 3, 2, 10
	for name, set := range stopFaults() {
		t.Run(name, func(t *testing.T) {
			for _, lasting := range []time.Duration{600 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second} {
				for _, back := range []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 1300 * time.Millisecond} {
					spec := testSpec()
					spec.Endpoints = 2
					spec.Behavior = func(s work.Start) (time.Duration, work.Outcome) {
						if s.Run.Number == 1 {
							return 4 * time.Second, work.OutcomeDone
						}
						return 200 * time.Millisecond, work.OutcomeDone
					}
					runFleet(t, spec, func(t *testing.T, f *Fleet) {
						time.AfterFunc(390*time.Millisecond, func() {
							set(f, true)
							time.AfterFunc(lasting, func() { set(f, false) })
						})
						ctx, cancel := context.WithTimeout(f.ctx, 400*time.Millisecond)
						f.coordinator(0).Coordinator.Submit(ctx, testJob(1, true, tasks))
						cancel()
						time.Sleep(back)
						var wg sync.WaitGroup
						for range callers {
							wg.Go(func() {
								if a := submitUntilDone(t, f, testJob(1, true, tasks), back, tries); a.Code != carobpulley.AnswerOK {
									t.Errorf("fault of %s, back after %s: last answer %+v", lasting, back, a)
								}
							})
						}
						wg.Wait()
					})
				}
			}
		})
	}
}

// submitUntilDone submits a best-effort job to one coordinator, with the time limit of callers, until
// it has a result, and checks each answer.
func submitUntilDone(t *testing.T, f *Fleet, j *work.Job, pause time.Duration, tries int) carobpulley.JobAnswer {
	t.Helper()
	var a carobpulley.JobAnswer
	for range tries {
		spec := *j
		a = submit(f, 0, &spec)
		if a.Code == carobpulley.AnswerOK {
			if a.State != work.StateCompleted {
				t.Errorf("answer %+v, want it completed", a)
			}
			f.Checker.CheckCompleted(j)
			return a
		}
		time.Sleep(max(pause, 300*time.Millisecond))
	}
	return a
}
