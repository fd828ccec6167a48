package emul

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// offloadSpec has four coordinators, of which the first one is short of processor time.
func offloadSpec(run time.Duration) Spec {
	spec := homesSpec(run)
	spec.Load = func(n int) carobpulley.ProcessorLoad {
		if n == 0 {
			return shortOfTime
		}
		return idle
	}
	return spec
}

// submitAll submits jobs to a coordinator at the same time, and returns the answers. estimate is their expected run time.
func (f *Fleet) submitAll(at, first, jobs int, estimate, leave time.Duration) []carobpulley.JobAnswer {
	answers := make([]carobpulley.JobAnswer, jobs)
	var wg sync.WaitGroup
	for n := range jobs {
		j := testJob(first+n, true, 1)
		j.Steps[0].EstimateMS = estimate.Milliseconds()
		wg.Go(func() { answers[n] = f.submitUntil(at, j, leave) })
	}
	wg.Wait()
	return answers
}

// completed returns the number of answers that tell of a completed job.
func completed(answers []carobpulley.JobAnswer) int {
	n := 0
	for _, a := range answers {
		if a.State == work.StateCompleted {
			n++
		}
	}
	return n
}

// Guards against two runs of a task at a time because a coordinator takes a job that it has passed on for one that
// never arrived, since the process that had it has restarted; the connections between the two were silent.
func TestReceiverOfAPassedOnJobRestarts(t *testing.T) {
	for _, after := range []time.Duration{350 * time.Millisecond, 750 * time.Millisecond, 1150 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runFleet(t, offloadSpec(3*time.Second), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0)
				time.AfterFunc(after, func() {
					f.SilenceCoordinators()
					f.coordinator(1).Kill()
					f.cutFromAgents(1, true, true, true)
					f.StartCoordinator(1)
				})
				f.submitAll(0, 0, 12, 3*time.Second, 8*time.Second)
			})
		})
	}
}

// Guards against two runs of a task at a time because a submission that has joined a job takes the word of the process
// that has the holder's address now for that of the holder, whose connections were silent as it ended.
func TestHolderOfAJoinedJobRestarts(t *testing.T) {
	for _, after := range []time.Duration{750 * time.Millisecond, 1150 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runFleet(t, homesSpec(3*time.Second), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0, 1)
				time.AfterFunc(after, func() {
					f.SilenceCoordinators()
					f.coordinator(1).Kill()
					f.cutFromAgents(1, true, true, true)
					f.StartCoordinator(1)
				})
				var wg sync.WaitGroup
				wg.Go(func() { f.submitAll(1, 0, 12, 3*time.Second, 100*time.Millisecond) })
				time.Sleep(10 * time.Millisecond)
				f.submitAll(0, 0, 12, 3*time.Second, 8*time.Second)
				wg.Wait()
			})
		})
	}
}

// scriptedPeer is a coordinator that grants all holds, has all processor time left, and answers a job that is passed
// on to it as a test says.
type scriptedPeer struct {
	relay.UnimplementedCoordinatorServiceHandler
	// join answers the calls of a kind, which are counted from 1 on. Without an answer the call hangs.
	join            func(question bool, n int64) (relay.Code, bool)
	jobs, questions atomic.Int64
}

// Hold implements relay.CoordinatorServiceHandler.
func (p *scriptedPeer) Hold(_ context.Context, r *connect.Request[relay.HoldRequest]) (*connect.Response[relay.HoldReply], error) {
	holder, err := link.HolderFromWire(r.Msg.GetHolder())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	reply := &relay.HoldReply{ProcessorUse: 1}
	for _, ask := range r.Msg.GetAsks() {
		reply.Holds = append(reply.Holds, link.HoldToWire(now, holder, holds.Hold{Holder: holder, Number: ask.GetNumber(), At: now, Seen: now}))
	}
	return connect.NewResponse(reply), nil
}

// Join implements relay.CoordinatorServiceHandler.
func (p *scriptedPeer) Join(ctx context.Context, r *connect.Request[relay.JoinRequest]) (*connect.Response[relay.JobReply], error) {
	question, count := len(r.Msg.GetJob()) == 0, &p.jobs
	if question {
		count = &p.questions
	}
	code, answered := p.join(question, count.Add(1))
	if !answered {
		<-ctx.Done()
	}
	return connect.NewResponse(&relay.JobReply{Code: code}), ctx.Err()
}

// serveScripted replaces the process of a coordinator.
func (f *Fleet) serveScripted(n int, p *scriptedPeer) (stop func()) {
	f.coordinator(n).Kill()
	mux := http.NewServeMux()
	mux.Handle(relay.NewCoordinatorServiceHandler(p))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ln := f.Net.Listen(netip.AddrPortFrom(CoordinatorAddr(n), innerPort))
	f.wg.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.Checker.AddViolation("server: " + err.Error())
		}
	})
	return func() { _ = server.Close() }
}

// Guards against a start, or an answer by which a job has not run, while runs of it may be on at the coordinator that
// it was passed on to: an earlier call has no answer, and what a later one is told is no word about it.
func TestLaterCallOfAPassedOnJobIsNoWordAboutAnEarlierOne(t *testing.T) {
	for name, c := range map[string]struct{ question, job relay.Code }{
		"another process":          {relay.Code_CODE_OK, relay.Code_CODE_ABSENT},
		"refused":                  {relay.Code_CODE_OK, relay.Code_CODE_REFUSED},
		"another process is asked": {relay.Code_CODE_ABSENT, relay.Code_CODE_UNSPECIFIED},
	} {
		t.Run(name, func(t *testing.T) {
			spec := offloadSpec(100 * time.Millisecond)
			spec.Coordinators = 2
			runFleet(t, spec, func(t *testing.T, f *Fleet) {
				p := &scriptedPeer{join: func(question bool, n int64) (relay.Code, bool) {
					switch {
					case question:
						return c.question, true
					case n == 1:
						return 0, false
					default:
						return c.job, true
					}
				}}
				defer f.serveScripted(1, p)()
				time.Sleep(3 * time.Second)
				f.submitUntil(0, testJob(100, true, 1), time.Second) // whose hold tells of the peer's processor
				before, began := f.Checker.RunCount(), time.Now()
				a := f.submitUntil(0, testJob(1, true, 1), 1500*time.Millisecond)
				if p.jobs.Load() == 0 {
					t.Fatal("no job was passed on")
				}
				if a.Code != carobpulley.AnswerUnknown {
					t.Errorf("answer %+v after %s, want an unknown outcome", a, time.Since(began))
				}
				if got := f.Checker.RunCount() - before; got != 0 {
					t.Errorf("%d runs began, want none", got)
				}
			})
		})
	}
}

// Guards against a start that nobody asks for by a submission that a coordinator reads as it wakes from a pause: its
// caller has left meanwhile, which this coordinator sees a moment later, and the one that it passes the job on to
// later still.
func TestPausedCoordinatorPassesNothingOn(t *testing.T) {
	runFleet(t, offloadSpec(200*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.askAll(100, 0)
		before := f.Checker.RunCount()
		var wg sync.WaitGroup
		wg.Go(func() { f.coordinator(0).Freeze(600 * time.Millisecond) })
		time.Sleep(100 * time.Millisecond)
		for n := range 12 {
			wg.Go(func() { f.submitFor(0, testJob(n, true, 1), 100*time.Millisecond) })
		}
		wg.Wait()
		time.Sleep(time.Second)
		if got := f.Checker.RunCount() - before; got != 0 {
			t.Errorf("%d runs began for callers who had left", got)
		}
	})
}

// Guards against callers whose jobs get no result since they are passed on to a coordinator that has the most
// processor time left because it reaches no agent, or has just begun; their own coordinator could run them.
func TestJobsArePassedOnToOneThatCanRunThem(t *testing.T) {
	for name, trouble := range map[string]func(f *Fleet){
		"cut off from agents":     func(f *Fleet) { f.cutFromAgents(1, true, true, true); time.Sleep(1500 * time.Millisecond) },
		"cut off from agents now": func(f *Fleet) { f.cutFromAgents(1, true, true, true); time.Sleep(500 * time.Millisecond) },
		"restarted":               func(f *Fleet) { f.coordinator(1).Kill(); f.StartCoordinator(1); time.Sleep(20 * time.Millisecond) },
		"restarted 100 ms ago":    func(f *Fleet) { f.coordinator(1).Kill(); f.StartCoordinator(1); time.Sleep(100 * time.Millisecond) },
		"killed":                  func(f *Fleet) { f.coordinator(1).Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, offloadSpec(200*time.Millisecond), func(t *testing.T, f *Fleet) {
				f.askAll(100, 0)
				trouble(f)
				f.askAll(200, 0)
				answers := f.submitAll(0, 0, 18, 200*time.Millisecond, 1300*time.Millisecond)
				if got := completed(answers); got != len(answers) {
					t.Errorf("%d of %d jobs were completed: %+v", got, len(answers), answers)
				}
			})
		})
	}
}

// Guards against an exchange of jobs, a call each, between coordinators of which none has processor time left:
// each one's goroutines wait for the processor.
func TestNoJobIsPassedOnToOneThatIsShort(t *testing.T) {
	spec := homesSpec(200 * time.Millisecond)
	spec.Load = func(int) carobpulley.ProcessorLoad {
		return carobpulley.ProcessorLoad{Used: 30 * time.Millisecond, Wait: 3 * time.Millisecond}
	}
	var joins atomic.Int64
	spec.JoinSeen = func(take bool) {
		if take {
			joins.Add(1)
		}
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		f.askAll(100, 0, 1, 2, 3)
		joins.Store(0)
		f.submitAll(0, 0, 12, 200*time.Millisecond, time.Second)
		f.submitAll(1, 50, 12, 200*time.Millisecond, time.Second)
		if got := joins.Load(); got != 0 {
			t.Errorf("%d of 24 jobs were passed on", got)
		}
	})
}

// Guards against a job that runs seconds after its caller has left, by a copy of the call by which it was passed on.
func TestCopyOfAPassedOnJobRunsNothing(t *testing.T) {
	runFleet(t, offloadSpec(200*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.askAll(100, 0)
		f.SetRepeatRate(1)
		f.submitAll(0, 0, 12, 200*time.Millisecond, 50*time.Millisecond)
		f.SetRepeatRate(0)
		time.Sleep(250 * time.Millisecond)
		before := f.Checker.RunCount()
		time.Sleep(2 * maxRepeatDelay)
		if got := f.Checker.RunCount() - before; got != 0 {
			t.Errorf("%d runs began after the callers had left", got)
		}
	})
}

// Guards against jobs that wait until their runs at another coordinator would be over although they were not passed on
// to it: nothing listens there any more.
func TestJobsAreNotTakenForPassedOnToOneThatHasEnded(t *testing.T) {
	runFleet(t, offloadSpec(200*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.askAll(100, 0)
		f.coordinator(1).Kill()
		answers := f.submitAll(0, 0, 18, 200*time.Millisecond, 1300*time.Millisecond)
		if got := completed(answers); got != len(answers) {
			t.Errorf("%d of %d jobs were completed: %+v", got, len(answers), answers)
		}
	})
}

// Guards against two runs of a task at a time because a job was passed on: its receiver, which is cut off from the
// coordinators as the caller leaves, and from its agents before it gives the job up, runs it for longer than a
// coordinator would whose caller has left.
func TestReceiverOfAPassedOnJobIsCutOff(t *testing.T) {
	for _, agents := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1150 * time.Millisecond} {
		t.Run(agents.String(), func(t *testing.T) {
			runFleet(t, offloadSpec(3*time.Second), func(_ *testing.T, f *Fleet) {
				f.askAll(100, 0)
				var wg sync.WaitGroup
				for n := range 12 {
					j := testJob(n, true, 1)
					j.Steps[0].EstimateMS = 3000
					wg.Go(func() { f.submitFor(0, j, 80*time.Millisecond) })
				}
				time.Sleep(99 * time.Millisecond)
				f.SilenceCoordinators()
				f.isolate(1, true)
				time.AfterFunc(agents, func() { f.cutFromAgents(1, true, true, true) })
				time.Sleep(10 * time.Millisecond)
				wg.Go(func() { f.submitAll(2, 0, 12, 3*time.Second, 6*time.Second) })
				wg.Wait()
			})
		})
	}
}

// Guards against runs for callers who have left by a call that a coordinator reads as it wakes from a pause: it does
// not learn that the sender has left, as the connection has gone silent.
func TestPausedReceiverTakesNothing(t *testing.T) {
	runFleet(t, offloadSpec(700*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.askAll(100, 0)
		before := f.Checker.RunCount()
		var wg sync.WaitGroup
		wg.Go(func() { f.coordinator(1).Suspend(700 * time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
		for n := range 12 {
			wg.Go(func() { f.submitFor(0, testJob(n, true, 1), 20*time.Millisecond) })
		}
		time.Sleep(30 * time.Millisecond)
		f.SilenceCoordinators()
		time.Sleep(640 * time.Millisecond) // until right before the end of the pause
		started := f.Checker.RunCount()
		wg.Wait()
		time.Sleep(2 * time.Second)
		if got := f.Checker.RunCount() - started; got != 0 {
			t.Errorf("%d runs began after the pause for callers who had left, %d before", got, started-before)
		}
	})
}
