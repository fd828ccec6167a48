package emul

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/work"
)

const testQueue = "q"

func testPlan() *work.RoutingConfig {
	p := &work.RoutingConfig{Version: 1, Routes: []work.Route{{Host: "h", Prefix: "/q/", Queue: work.Queue{
		Name: testQueue, Service: service, MaxAttempts: 3, Stretch: 1.6, TargetMS: 60,
	}}}}
	p.Index()
	return p
}

func testSpec() Spec {
	log := zerolog.Nop()
	if os.Getenv("EMUL_LOG") != "" {
		log = zerolog.New(os.Stdout).With().Timestamp().Logger()
	}
	return Spec{
		Coordinators: 3, Runners: 4, Capacity: work.Resources{CPU: 64_000, MemMB: 100_000}, Plan: testPlan(), Seed: 1, Log: log,
		Run: func(work.Start) (time.Duration, work.Outcome) { return 200 * time.Millisecond, work.OutcomeDone },
	}
}

func testJob(n int, volatile bool, tasks int) *work.Job {
	q, _ := testPlan().Queue(testQueue)
	return &work.Job{ID: fmt.Sprintf("%016x", n), Queue: q, Spec: "x", BestEffort: volatile, Steps: []work.Step{
		{Count: tasks, Resources: work.Resources{CPU: 6000, MemMB: 64}, EstimateMS: 200},
	}}
}

// bubble runs a test with a fleet in virtual time and checks that no rule broke.
func bubble(t *testing.T, spec Spec, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := New(spec)
		defer f.Close()
		time.Sleep(4 * time.Second)
		test(t, f)
		if diff := cmp.Diff([]string(nil), f.Judge.Broken()); diff != "" {
			t.Errorf("broken rules (-want +got):\n%s", diff)
		}
	})
}

func submit(f *Fleet, at int, j *work.Job) carobpulley.JobAnswer {
	ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
	defer cancel()
	return f.coordinator(at).Coord.Submit(ctx, j)
}

// ended asks one coordinator until a job has ended.
func ended(t *testing.T, f *Fleet, at, n int, limit time.Duration) work.State {
	t.Helper()
	until := time.Now().Add(limit)
	var last carobpulley.JobAnswer
	for time.Now().Before(until) {
		last = f.coordinator(at).Coord.State(f.ctx, testQueue, fmt.Sprintf("%016x", n))
		if last.Code == carobpulley.AnswerOK && last.State.Ended() {
			return last.State
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("job %d: no end within %s, last answer %+v", n, limit, last)
	return last.State
}

// Guards against a path that does not serve: a job that is not kept is answered
// at its end.
func TestVolatileJobIsAnsweredAtItsEnd(t *testing.T) {
	bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
		began := time.Now()
		a := submit(f, 1, testJob(1, true, 8))
		if a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
			t.Errorf("answer %+v", a)
		}
		if took := time.Since(began); took > 260*time.Millisecond {
			t.Errorf("a job of 200 ms took %s", took)
		}
		if got := f.Judge.Begun(); got != 8 {
			t.Errorf("%d runs, want 8", got)
		}
	})
}

// Guards against a kept job that is not stored, not run, or not known at another
// coordinator.
func TestKeptJobIsShownEverywhere(t *testing.T) {
	bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
		if a := submit(f, 0, testJob(1, false, 5)); a.Code != carobpulley.AnswerOK {
			t.Fatalf("answer %+v", a)
		}
		for at := range f.Coords {
			if got := ended(t, f, at, 1, 2*time.Second); got != work.StateCompleted {
				t.Errorf("state at %d: %s", at, got)
			}
		}
		if a := submit(f, 2, testJob(1, false, 5)); a.Code != carobpulley.AnswerOK {
			t.Errorf("repeated submission: %+v", a)
		}
		time.Sleep(time.Second)
		if got := f.Judge.Begun(); got != 5 {
			t.Errorf("%d runs, want 5", got)
		}
	})
}

// Guards against jobs that are lost, or run twice at a time, when the owner of
// their shard is killed.
func TestKeptJobsSurviveTheirOwner(t *testing.T) {
	spec := testSpec()
	spec.Run = func(work.Start) (time.Duration, work.Outcome) { return 1500 * time.Millisecond, work.OutcomeDone }
	bubble(t, spec, func(t *testing.T, f *Fleet) {
		for n := range 6 {
			if a := submit(f, n%3, testJob(n, false, 4)); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
		}
		f.Coords[0].Kill()
		time.Sleep(time.Second)
		f.StartCoordinator(0)
		for n := range 6 {
			if got := ended(t, f, 1, n, 15*time.Second); got != work.StateCompleted {
				t.Errorf("job %d: %s", n, got)
			}
		}
	})
}

// Guards against accepted jobs that are lost when every process ends at once.
func TestKeptJobsSurviveEverything(t *testing.T) {
	bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
		for n := range 6 {
			if a := submit(f, n%3, testJob(n, false, 4)); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
		}
		for _, p := range append(append([]*Process(nil), f.Coords...), f.Agents...) {
			p.Kill()
		}
		time.Sleep(time.Second)
		for n := range f.Coords {
			f.StartCoordinator(n)
		}
		for n := range f.Agents {
			f.StartAgent(n)
		}
		for n := range 6 {
			if got := ended(t, f, 2, n, 12*time.Second); got != work.StateCompleted {
				t.Errorf("job %d: %s", n, got)
			}
		}
	})
}

// Guards against two runs of one task at a time when a coordinator is killed and
// its caller submits the job again elsewhere after 1.3 s.
func TestResubmissionAfterKillRunsOnceAtATime(t *testing.T) {
	spec := testSpec()
	spec.Run = func(work.Start) (time.Duration, work.Outcome) { return 3 * time.Second, work.OutcomeDone }
	bubble(t, spec, func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		defer cancel()
		first := testJob(1, true, 4)
		first.Steps[0].EstimateMS = 3000
		go f.Coords[0].Coord.Submit(ctx, first)
		time.Sleep(300 * time.Millisecond)
		f.Coords[0].Kill()
		cancel()
		time.Sleep(1300 * time.Millisecond)
		again := testJob(1, true, 4)
		again.Steps[0].EstimateMS = 3000
		if a := submit(f, 1, again); a.State != work.StateCompleted {
			t.Errorf("answer %+v", a)
		}
	})
}

// Guards against work that goes on after its caller has left.
func TestLeavingCallerStopsTheJob(t *testing.T) {
	spec := testSpec()
	spec.Run = func(work.Start) (time.Duration, work.Outcome) { return 3 * time.Second, work.OutcomeDone }
	bubble(t, spec, func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithTimeout(f.ctx, 400*time.Millisecond)
		defer cancel()
		f.Coords[0].Coord.Submit(ctx, testJob(1, true, 4))
		time.Sleep(300 * time.Millisecond)
		for n, r := range f.Runner {
			if got := len(r.lists().Running); got != 0 {
				t.Errorf("runner %d still runs %d tasks", n, got)
			}
		}
	})
}

// Guards against jobs that fail, or tasks that run twice at a time, when a runner
// crashes, when an agent is cut off, and when orders have no answer.
func TestTroubleAtRunners(t *testing.T) {
	trouble := map[string]func(f *Fleet){
		"crash": func(f *Fleet) {
			f.Runner[0].Crash()
			time.Sleep(500 * time.Millisecond)
			f.Runner[0].Restart()
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
			for n := range f.Coords {
				f.Net.Cut(AgentAddr(0), CoordinatorAddr(n), true)
				f.Net.Cut(CoordinatorAddr(n), AgentAddr(0), true)
			}
			time.Sleep(3 * time.Second)
			for n := range f.Coords {
				f.Net.Cut(AgentAddr(0), CoordinatorAddr(n), false)
				f.Net.Cut(CoordinatorAddr(n), AgentAddr(0), false)
			}
		},
		"orders unanswered": func(f *Fleet) {
			for _, r := range f.Runner {
				r.Lose(0.1)
			}
			time.Sleep(3 * time.Second)
			for _, r := range f.Runner {
				r.Lose(0)
			}
		},
	}
	for name, strike := range trouble {
		t.Run(name, func(t *testing.T) {
			bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
				var wg sync.WaitGroup
				served := make([]work.State, 60)
				for n := range served {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 60 * time.Millisecond)
						served[n] = submit(f, n%3, testJob(n, n%2 == 0, 3)).State
					})
				}
				time.Sleep(600 * time.Millisecond)
				strike(f)
				wg.Wait()
				for n := range served {
					if n%2 == 0 && served[n] != work.StateCompleted {
						t.Errorf("job %d: %q", n, served[n])
					}
					if n%2 == 1 && ended(t, f, 0, n, 12*time.Second) != work.StateCompleted {
						t.Errorf("job %d did not complete", n)
					}
				}
			})
		})
	}
}

// Guards against new jobs that are taken but not stored while the store is away,
// and against callers that wait for long.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]Fault{"busy": FaultBusy, "silent": FaultSilent, "answers lost": FaultLost} {
		t.Run(name, func(t *testing.T) {
			bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
				f.Store.Break(fault)
				codes := make(map[carobpulley.AnswerCode]int)
				for n := range 20 {
					began := time.Now()
					a := submit(f, n%3, testJob(n, false, 2))
					codes[a.Code]++
					if took := time.Since(began); took > 2*time.Second {
						t.Errorf("job %d waited %s", n, took)
					}
					if v := submit(f, n%3, testJob(1000+n, true, 2)); v.State != work.StateCompleted {
						t.Errorf("a job that is not kept: %+v", v)
					}
				}
				if fault != FaultLost && codes[carobpulley.AnswerOK] > 0 {
					t.Errorf("%d jobs accepted without the store", codes[carobpulley.AnswerOK])
				}
				f.Store.Break(FaultNone)
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
	bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
		f.SetDomain("domain-0", true)
		time.Sleep(500 * time.Millisecond)
		before := f.Runner[0].begun() + f.Runner[3].begun()
		for n := range 10 {
			if a := submit(f, n%3, testJob(n, true, 3)); a.State != work.StateCompleted {
				t.Errorf("answer %+v", a)
			}
		}
		if after := f.Runner[0].begun() + f.Runner[3].begun(); after != before {
			t.Errorf("%d starts in the domain", after-before)
		}
		f.SetDomain("domain-0", false)
		time.Sleep(500 * time.Millisecond)
		for n := range 10 {
			submit(f, n%3, testJob(100+n, true, 12))
		}
		if after := f.Runner[0].begun() + f.Runner[3].begun(); after == before {
			t.Error("no starts in the domain after its return")
		}
	})
}

// Guards against a configuration that is old for seconds because a waiting read of
// the store missed a record, as one did after an outage. The operators' bound is 2 s.
func TestChangeThatAWaitingReadMisses(t *testing.T) {
	const (
		bound  = 2 * time.Second
		phases = 5
	)
	bubble(t, testSpec(), func(t *testing.T, f *Fleet) {
		f.Store.Deafen(true)
		time.Sleep(7300 * time.Millisecond) // reads that wait already hear what comes
		for phase := range phases {
			f.SetDomain("domain-0", true)
			time.Sleep(bound)
			before := f.Runner[0].begun() + f.Runner[3].begun()
			for n := range f.Coords {
				submit(f, n, testJob(10*phase+n, true, 12))
			}
			if after := f.Runner[0].begun() + f.Runner[3].begun(); after != before {
				t.Errorf("phase %d: %d starts in the domain %s after it went out of service", phase, after-before, bound)
			}
			f.SetDomain("domain-0", false)
			time.Sleep(7700 * time.Millisecond)
		}
	})
}

func (r *Endpoint) begun() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count + int64(len(r.live))
}
