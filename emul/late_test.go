package emul

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// lateActions returns faults by which messages between processes arrive late, twice, or after
// messages that were sent since.
func lateActions() []faultAction {
	duration := func(rng *rand.Rand) time.Duration {
		return time.Duration(500+rng.IntN(3500)) * time.Millisecond
	}
	// slow adds a delay of up to 4 s between a host and the coordinators, one way or both.
	slow := func(f *Fleet, rng *rand.Rand, host netip.Addr) {
		there, back := rng.IntN(3) > 0, rng.IntN(3) > 0
		added := time.Duration(100+rng.IntN(3900)) * time.Millisecond
		set := func(added time.Duration) {
			for n := range f.Coordinators {
				if there {
					f.Net.SetDelay(host, CoordinatorAddr(n), added)
				}
				if back {
					f.Net.SetDelay(CoordinatorAddr(n), host, added)
				}
			}
		}
		set(added)
		time.Sleep(duration(rng))
		set(0)
	}
	return []faultAction{
		{"slow agent", targetNetwork, func(f *Fleet, rng *rand.Rand) { slow(f, rng, AgentAddr(rng.IntN(len(f.Agents)))) }},
		{"slow coordinator", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			slow(f, rng, CoordinatorAddr(rng.IntN(len(f.Coordinators))))
		}},
		{"repeat", targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			f.SetRepeatRate(0.05 + 0.5*rng.Float64())
			time.Sleep(duration(rng))
			f.SetRepeatRate(0)
		}},
		{"late store", targetStore, func(f *Fleet, rng *rand.Rand) {
			f.Store.SetFault(FaultLate)
			time.Sleep(duration(rng))
			f.Store.SetFault(FaultNone)
		}},
		{"late store for one", targetStore, func(f *Fleet, rng *rand.Rand) {
			v := f.coordinator(rng.IntN(len(f.Coordinators))).Store
			v.SetFault(FaultLate)
			time.Sleep(duration(rng))
			v.SetFault(FaultNone)
		}},
	}
}

// Guards against orders that are carried out twice, or on a permission that has run out, because
// messages of a hand-over arrive late, twice or in another order, beside all other faults.
func TestLateDays(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed
			spec.Shards = 1 + 3*int(seed%2)
			spec.Behavior = randomBehavior(seed)
			// Late messages are half of the faults.
			actions := faultActions()
			for range 2 {
				actions = append(actions, lateActions()...)
			}
			runFleet(t, spec, func(t *testing.T, f *Fleet) { runSeed(t, f, seed, actions) })
		})
	}
}

// Guards against work that runs again, or is said not to have run, because a caller got no answer
// several times in a row and came back at one coordinator after the other.
func TestAnswersLostInSeries(t *testing.T) {
	const tasks = 4
	for series := 1; series <= 4; series++ {
		for _, lostAfter := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond, 250 * time.Millisecond} {
			for _, kill := range []bool{false, true} {
				runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
					for try := range series {
						ctx, cancel := context.WithTimeout(f.ctx, lostAfter)
						f.coordinator(try%len(f.Coordinators)).Coordinator.Submit(ctx, testJob(1, false, tasks))
						cancel()
						time.Sleep(100 * time.Millisecond)
					}
					if kill {
						f.coordinator(0).Kill()
						f.StartCoordinator(0)
					}
					var a carobpulley.JobAnswer
					for try := range 20 {
						if a = submit(f, try%len(f.Coordinators), testJob(1, false, tasks)); a.Code == carobpulley.AnswerOK {
							break
						}
						if a.Code == carobpulley.AnswerRefused && f.Checker.RunCount() > 0 {
							t.Errorf("%d answers lost after %s: refused as not run after a start: %+v", series, lostAfter, a)
						}
						time.Sleep(300 * time.Millisecond)
					}
					if a.Code != carobpulley.AnswerOK {
						t.Errorf("%d answers lost after %s: last answer %+v", series, lostAfter, a)
						return
					}
					awaitEnd(t, f, 1, jobID(1), 10*time.Second)
					if got := f.Checker.RunCount(); got != tasks {
						t.Errorf("%d answers lost after %s, killed %v: %d runs of %d tasks", series, lostAfter, kill, got, tasks)
					}
				})
			}
		}
	}
}

// Guards against durable work that is stopped or runs again because its coordinator was restarted,
// at any moment of it.
func TestRestartKeepsDurableRuns(t *testing.T) {
	const tasks = 4
	for _, runTime := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond} {
		for phase := 10 * time.Millisecond; phase < runTime+100*time.Millisecond; phase += 20 * time.Millisecond {
			spec := testSpec()
			spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return runTime, work.OutcomeDone }
			runFleet(t, spec, func(t *testing.T, f *Fleet) {
				if a := submit(f, 0, testJob(1, false, tasks)); a.Code != carobpulley.AnswerOK {
					t.Fatalf("answer %+v", a)
				}
				time.Sleep(phase)
				f.coordinator(0).Kill()
				f.StartCoordinator(0)
				awaitEnd(t, f, 1, jobID(1), 10*time.Second)
				if got := f.Checker.RunCount(); got != tasks {
					t.Errorf("restarted after %s of %s: %d runs of %d tasks", phase, runTime, got, tasks)
				}
			})
		}
	}
}

// Guards against records that are lost, so that their tasks run again, because the answer to an
// append was lost and the store then refused its repetition for a while.
func TestAppendRefusedAfterItsAnswerWasLost(t *testing.T) {
	const jobs, tasks = 60, 2
	for _, lost := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond} {
		runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
			const begin = 150 * time.Millisecond
			time.AfterFunc(begin, func() { f.Store.SetFault(FaultLostAnswers) })
			time.AfterFunc(begin+lost, func() { f.Store.SetFault(FaultBusy) })
			time.AfterFunc(begin+lost+time.Second, func() { f.Store.SetFault(FaultNone) })
			var wg sync.WaitGroup
			for n := range jobs {
				wg.Go(func() {
					time.Sleep(time.Duration(n) * 20 * time.Millisecond)
					for submit(f, n%len(f.Coordinators), testJob(n, false, tasks)).Code != carobpulley.AnswerOK {
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			for n := range jobs {
				awaitEnd(t, f, 1, jobID(n), 10*time.Second)
			}
			for n := range f.Coordinators {
				f.coordinator(n).Kill()
				f.StartCoordinator(n)
			}
			time.Sleep(5 * time.Second)
			for n := range jobs {
				if state := awaitEnd(t, f, 1, jobID(n), time.Second); state != work.StateCompleted {
					t.Errorf("answers lost for %s: job %d is %s after the restart", lost, n, state)
				}
			}
			if got := f.Checker.RunCount(); got != jobs*tasks {
				t.Errorf("answers lost for %s: %d runs of %d tasks", lost, got, jobs*tasks)
			}
		})
	}
}

// Guards against a run that goes on for a caller that has left, because dispatches do not reach its
// agent while the agent's reports are answered: the caller submits the job elsewhere 1.3 s later.
func TestStopReachesAnAgentByItsReports(t *testing.T) {
	spec := testSpec()
	spec.Endpoints = 1
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 4 * time.Second, work.OutcomeDone }
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithTimeout(f.ctx, 400*time.Millisecond)
		defer cancel()
		j := testJob(1, true, 3)
		j.Steps[0].EstimateMS = 4000
		time.AfterFunc(200*time.Millisecond, func() { f.SetOrdersHeld("agent-0", true) })
		f.coordinator(0).Coordinator.Submit(ctx, j)
		if got := len(f.Endpoints[0].runLists().Running); got != 3 {
			t.Fatalf("%d runs, want 3", got)
		}
		time.Sleep(1300 * time.Millisecond)
		if got := len(f.Endpoints[0].runLists().Running); got != 0 {
			t.Errorf("%d runs 1.3 s after the caller left", got)
		}
	})
}
