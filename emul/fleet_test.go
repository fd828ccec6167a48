package emul

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/work"
)

const testQueue = "q"

func testConfig() *work.RoutingConfig {
	config := &work.RoutingConfig{Version: 1, Routes: []work.Route{{Host: "h", Prefix: "/q/", Queue: work.Queue{
		Name: testQueue, Service: service, MaxAttempts: 3, Stretch: 1.6, TargetMS: 60,
	}}}}
	config.Index()
	return config
}

func testSpec() Spec {
	log := zerolog.Nop()
	if os.Getenv("EMUL_LOG") != "" {
		log = zerolog.New(os.Stdout).With().Timestamp().Logger()
	}
	return Spec{
		Coordinators: 3, Endpoints: 4, Shards: 1, Capacity: work.Resources{CPU: 64_000, MemMB: 100_000}, Config: testConfig(), Seed: 1, Log: log,
		Behavior: func(work.Start) (time.Duration, work.Outcome) { return 200 * time.Millisecond, work.OutcomeDone },
	}
}

// jobID returns the id of a test job.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func testJob(n int, bestEffort bool, tasks int) *work.Job {
	q, _ := testConfig().Queue(testQueue)
	return &work.Job{ID: jobID(n), Queue: q, Spec: "x", BestEffort: bestEffort, Steps: []work.Step{
		{Count: tasks, Resources: work.Resources{CPU: 6000, MemMB: 64}, EstimateMS: 200},
	}}
}

// runFleet runs a test on a fleet in virtual time and checks that no rule was violated.
func runFleet(t *testing.T, spec Spec, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := New(spec)
		defer f.Close()
		time.Sleep(4 * time.Second)
		test(t, f)
		for _, v := range f.Checker.Violations() {
			t.Errorf("violation: %s", v)
		}
	})
}

func submit(f *Fleet, at int, j *work.Job) carobpulley.JobAnswer {
	ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
	defer cancel()
	return f.coordinator(at).Coordinator.Submit(ctx, j)
}

// awaitEnd polls one coordinator until a job has ended.
func awaitEnd(t testing.TB, f *Fleet, at int, id string, limit time.Duration) work.State {
	t.Helper()
	until := time.Now().Add(limit)
	var last carobpulley.JobAnswer
	for time.Now().Before(until) {
		last = f.coordinator(at).Coordinator.State(f.ctx, testQueue, id)
		if last.Code == carobpulley.AnswerOK && last.State.Ended() {
			return last.State
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("job %s: no end within %s, last answer %+v", id, limit, last)
	return last.State
}

// Guards against best-effort jobs that are not answered at their end.
func TestBestEffortJobIsAnsweredWhenItEnds(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		began := time.Now()
		a := submit(f, 1, testJob(1, true, 8))
		if a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
			t.Errorf("answer %+v", a)
		}
		if took := time.Since(began); took > 260*time.Millisecond {
			t.Errorf("a job of 200 ms took %s", took)
		}
		if got := f.Checker.RunCount(); got != 8 {
			t.Errorf("%d runs, want 8", got)
		}
	})
}

// Guards against a durable job that is not stored, not run, or not found through another
// coordinator.
func TestKeptJobIsShownEverywhere(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		if a := submit(f, 0, testJob(1, false, 5)); a.Code != carobpulley.AnswerOK {
			t.Fatalf("answer %+v", a)
		}
		for at := range f.Coordinators {
			if got := awaitEnd(t, f, at, jobID(1), 2*time.Second); got != work.StateCompleted {
				t.Errorf("state at coordinator %d: %s", at, got)
			}
		}
		if a := submit(f, 2, testJob(1, false, 5)); a.Code != carobpulley.AnswerOK {
			t.Errorf("repeated submission: %+v", a)
		}
		time.Sleep(time.Second)
		if got := f.Checker.RunCount(); got != 5 {
			t.Errorf("%d runs, want 5", got)
		}
	})
}

// Guards against durable jobs that are lost, or whose tasks run twice at a time, when the
// owner of their shard is killed.
func TestDurableJobsSurviveOwnerKill(t *testing.T) {
	spec := testSpec()
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 1500 * time.Millisecond, work.OutcomeDone }
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		for n := range 6 {
			if a := submit(f, n%3, testJob(n, false, 4)); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
		}
		f.Coordinators[0].Kill()
		time.Sleep(time.Second)
		f.StartCoordinator(0)
		for n := range 6 {
			if got := awaitEnd(t, f, 1, jobID(n), 15*time.Second); got != work.StateCompleted {
				t.Errorf("job %d: %s", n, got)
			}
		}
	})
}

// Guards against accepted jobs that are lost when every process ends at once.
func TestKeptJobsSurviveEverything(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		for n := range 6 {
			if a := submit(f, n%3, testJob(n, false, 4)); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
		}
		for _, p := range append(append([]*Process(nil), f.Coordinators...), f.Agents...) {
			p.Kill()
		}
		time.Sleep(time.Second)
		for n := range f.Coordinators {
			f.StartCoordinator(n)
		}
		for n := range f.Agents {
			f.StartAgent(n)
		}
		for n := range 6 {
			if got := awaitEnd(t, f, 2, jobID(n), 12*time.Second); got != work.StateCompleted {
				t.Errorf("job %d: %s", n, got)
			}
		}
	})
}

// Guards against two runs of one task at a time when a coordinator is killed and its caller
// submits the job again to another coordinator after 1.3 s.
func TestResubmissionAfterKillRunsOnceAtATime(t *testing.T) {
	spec := testSpec()
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 3 * time.Second, work.OutcomeDone }
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		defer cancel()
		first := testJob(1, true, 4)
		first.Steps[0].EstimateMS = 3000
		go f.Coordinators[0].Coordinator.Submit(ctx, first)
		time.Sleep(300 * time.Millisecond)
		f.Coordinators[0].Kill()
		cancel()
		time.Sleep(1300 * time.Millisecond)
		resubmitted := testJob(1, true, 4)
		resubmitted.Steps[0].EstimateMS = 3000
		if a := submit(f, 1, resubmitted); a.State != work.StateCompleted {
			t.Errorf("answer %+v", a)
		}
	})
}

// Guards against runs that continue after their caller has disconnected.
func TestLeavingCallerStopsTheJob(t *testing.T) {
	spec := testSpec()
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 3 * time.Second, work.OutcomeDone }
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithTimeout(f.ctx, 400*time.Millisecond)
		defer cancel()
		f.Coordinators[0].Coordinator.Submit(ctx, testJob(1, true, 4))
		time.Sleep(300 * time.Millisecond)
		for n, e := range f.Endpoints {
			if got := len(e.runLists().Running); got != 0 {
				t.Errorf("endpoint %d still runs %d tasks", n, got)
			}
		}
	})
}

// Guards against jobs that fail, or tasks that run twice at a time, when an endpoint crashes,
// when an agent is killed, stopped or cut off, and when commands are not answered.
func TestEndpointFaults(t *testing.T) {
	faults := map[string]func(f *Fleet){
		"crash": func(f *Fleet) {
			f.Endpoints[0].Crash()
			time.Sleep(500 * time.Millisecond)
			f.Endpoints[0].Restart()
		},
		"agent killed": func(f *Fleet) {
			f.Agents[0].Kill()
			time.Sleep(200 * time.Millisecond)
			f.StartAgent(0)
		},
		"agent stopped": func(f *Fleet) {
			f.Agents[0].Stop()
			f.StartAgent(0)
		},
		"agent cut off": func(f *Fleet) {
			for n := range f.Coordinators {
				f.Net.SetBlocked(AgentAddr(0), CoordinatorAddr(n), true)
				f.Net.SetBlocked(CoordinatorAddr(n), AgentAddr(0), true)
			}
			time.Sleep(3 * time.Second)
			for n := range f.Coordinators {
				f.Net.SetBlocked(AgentAddr(0), CoordinatorAddr(n), false)
				f.Net.SetBlocked(CoordinatorAddr(n), AgentAddr(0), false)
			}
		},
		"orders unanswered": func(f *Fleet) {
			for _, e := range f.Endpoints {
				e.SetLossRate(0.1)
			}
			time.Sleep(3 * time.Second)
			for _, e := range f.Endpoints {
				e.SetLossRate(0)
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
				var wg sync.WaitGroup
				states := make([]work.State, 60)
				for n := range states {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 60 * time.Millisecond)
						states[n] = submit(f, n%3, testJob(n, n%2 == 0, 3)).State
					})
				}
				time.Sleep(600 * time.Millisecond)
				inject(f)
				wg.Wait()
				for n := range states {
					if n%2 == 0 && states[n] != work.StateCompleted {
						t.Errorf("job %d: %q", n, states[n])
					}
					if n%2 == 1 && awaitEnd(t, f, 0, jobID(n), 12*time.Second) != work.StateCompleted {
						t.Errorf("job %d did not complete", n)
					}
				}
			})
		})
	}
}

// Guards against jobs that are accepted but not stored during an outage of the store, and
// against callers that wait longer than 2 s for their answer.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]Fault{"busy": FaultBusy, "silent": FaultUnresponsive, "answers lost": FaultLostAnswers} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
				f.Store.SetFault(fault)
				codes := make(map[carobpulley.AnswerCode]int)
				for n := range 20 {
					began := time.Now()
					a := submit(f, n%3, testJob(n, false, 2))
					codes[a.Code]++
					if took := time.Since(began); took > 2*time.Second {
						t.Errorf("job %d waited %s", n, took)
					}
					if v := submit(f, n%3, testJob(1000+n, true, 2)); v.State != work.StateCompleted {
						t.Errorf("best-effort job: %+v", v)
					}
				}
				if fault != FaultLostAnswers && codes[carobpulley.AnswerOK] > 0 {
					t.Errorf("%d jobs accepted without the store", codes[carobpulley.AnswerOK])
				}
				f.Store.SetFault(FaultNone)
				time.Sleep(3 * time.Second)
				if a := submit(f, 0, testJob(500, false, 2)); a.Code != carobpulley.AnswerOK {
					t.Errorf("after the outage: %+v", a)
				}
			})
		})
	}
}

// Guards against tasks that start in a failure domain that is out of service.
func TestDomainOut(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		f.SetDomain("domain-0", true)
		time.Sleep(500 * time.Millisecond)
		before := f.Endpoints[0].startedRuns() + f.Endpoints[3].startedRuns()
		for n := range 10 {
			if a := submit(f, n%3, testJob(n, true, 3)); a.State != work.StateCompleted {
				t.Errorf("answer %+v", a)
			}
		}
		if after := f.Endpoints[0].startedRuns() + f.Endpoints[3].startedRuns(); after != before {
			t.Errorf("%d starts in the domain", after-before)
		}
		f.SetDomain("domain-0", false)
		time.Sleep(500 * time.Millisecond)
		for n := range 10 {
			submit(f, n%3, testJob(100+n, true, 12))
		}
		if after := f.Endpoints[0].startedRuns() + f.Endpoints[3].startedRuns(); after == before {
			t.Error("no starts in the domain after its return")
		}
	})
}

// Guards against a configuration that is out of date for seconds because a tail read of the
// store missed a record, as happened after an outage. The operators' bound is 2 s.
func TestConfigChangeMissedByTail(t *testing.T) {
	const (
		bound  = 2 * time.Second
		phases = 5
	)
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		f.Store.DelayTails(true)
		time.Sleep(7300 * time.Millisecond) // tail reads that began earlier still return appended records at once
		for phase := range phases {
			f.SetDomain("domain-0", true)
			time.Sleep(bound)
			before := f.Endpoints[0].startedRuns() + f.Endpoints[3].startedRuns()
			for n := range f.Coordinators {
				submit(f, n, testJob(10*phase+n, true, 12))
			}
			if after := f.Endpoints[0].startedRuns() + f.Endpoints[3].startedRuns(); after != before {
				t.Errorf("phase %d: %d starts in the domain %s after it went out of service", phase, after-before, bound)
			}
			f.SetDomain("domain-0", false)
			time.Sleep(7700 * time.Millisecond)
		}
	})
}

// startedRuns returns the number of running and ended runs of the current generation.
func (e *Endpoint) startedRuns() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endCount + int64(len(e.running))
}
