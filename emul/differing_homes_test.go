package emul

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// sendToTwo submits jobs to coordinator 0, whose callers leave after a while, and 10 ms later to another one.
func (f *Fleet) sendToTwo(first, jobs, other int, leave time.Duration) {
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() { f.submitUntil(0, testJob(first+n, true, 1), leave) })
		wg.Go(func() {
			time.Sleep(10 * time.Millisecond)
			f.submitUntil(other, testJob(first+n, true, 1), 3*time.Second)
		})
	}
	wg.Wait()
}

// askAll submits jobs of all ids' homes to a coordinator, so that it finds out who does not answer.
func (f *Fleet) askAll(first int, at ...int) {
	var wg sync.WaitGroup
	for n := range 16 {
		for k, c := range at {
			wg.Go(func() { f.submitUntil(c, testJob(first+100*k+n, true, 1), 600*time.Millisecond) })
		}
	}
	wg.Wait()
}

// Guards against two runs of a task at a time because two coordinators that reach each other use different
// homes: one passes over a home that it does not reach, or did not reach a moment ago, and so does the one
// that it asks instead, while the other one reaches it.
func TestHomeThatIsPassedOverByTwo(t *testing.T) {
	for name, healed := range map[string]bool{"cut": false, "healed": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.cutCoordinators(1, 3, true)
				f.cutCoordinators(2, 3, true)
				f.askAll(100, 1, 2)
				if healed {
					f.cutCoordinators(1, 3, false)
					f.cutCoordinators(2, 3, false)
					time.Sleep(50 * time.Millisecond)
				}
				f.sendToTwo(0, 24, 1, 100*time.Millisecond)
			})
		})
	}
}

// Guards against two runs of a task at a time because a coordinator is the home of its own job, and another
// one, which did not reach it a moment ago, passes it over.
func TestHolderIsItsOwnHomeAndPassedOver(t *testing.T) {
	runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
		// Neither 1 nor 2 reaches 0, and 0 does not reach 3 directly as the jobs come.
		f.cutCoordinators(0, 1, true)
		f.cutCoordinators(0, 2, true)
		f.askAll(100, 0, 1, 2)
		f.cutCoordinators(0, 1, false)
		f.cutCoordinators(0, 2, false)
		f.cutCoordinators(0, 3, true)
		time.Sleep(10 * time.Millisecond)
		f.sendToTwo(0, 24, 1, 500*time.Millisecond)
	})
}

// isolate starts or ends the loss of all messages between a coordinator and the other ones.
func (f *Fleet) isolate(at int, on bool) {
	for n := range f.Coordinators {
		if n != at {
			f.cutCoordinators(at, n, on)
		}
	}
}

// Guards against two runs of a task at a time if a coordinator that does not reach the others, but the agents,
// starts a job whose caller then comes to another one.
func TestCoordinatorThatReachesAgentsOnly(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "after 1 s": time.Second, "after 4 s": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, homesSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0, 1, 2, 3)
				f.isolate(0, true)
				f.askAll(1000, 0)
				time.Sleep(after)
				f.sendToTwo(0, 24, 1, 400*time.Millisecond)
			})
		})
	}
}

// Guards against a start, or the answer that a job never runs, while no coordinator answers that would know of
// an earlier start; and against a job that never starts because of it.
func TestStartWaitsWhileNoReplicaAnswers(t *testing.T) {
	runFleet(t, homesSpec(100*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.askAll(100, 0, 1, 2, 3)
		for n := 1; n < len(f.Coordinators); n++ {
			f.coordinator(n).Kill()
		}
		var wg sync.WaitGroup
		var atOnce, unknown atomic.Int64
		for n := range 16 {
			wg.Go(func() {
				began := time.Now()
				if a := f.submitUntil(0, testJob(n, true, 1), 3*time.Second); a.State != work.StateCompleted {
					t.Errorf("job %d: answer %+v, want it completed", n, a)
				}
				switch took := time.Since(began); {
				case took < 200*time.Millisecond:
					atOnce.Add(1) // coordinator 0 is a replica
				case took < time.Second || took > 1600*time.Millisecond:
					t.Errorf("job %d took %s, want about 1.4 s", n, took)
				}
			})
			wg.Go(func() {
				switch a := f.submitUntil(0, testJob(1000+n, true, 1), 500*time.Millisecond); a.Code {
				case carobpulley.AnswerRefused:
					t.Errorf("job %d: answer %+v, want it unknown", 1000+n, a)
				case carobpulley.AnswerUnknown:
					unknown.Add(1)
				default:
				}
			})
		}
		wg.Wait()
		if atOnce.Load() == 0 || atOnce.Load() == 16 || unknown.Load() == 0 {
			t.Errorf("%d of 16 jobs started at once, %d had no answer", atOnce.Load(), unknown.Load())
		}
	})
}
