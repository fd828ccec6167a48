package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/work"
)

func newSuspect(n int) work.Start {
	s := newStart(n, 100)
	s.Suspect = true
	return s
}

// crash lets the endpoint crash: a poll finds nobody at its address.
func (f *fixture) crash() {
	gone := &carobpulley.Error{Op: "hold", Kind: carobpulley.KindGone}
	f.advance(time.Millisecond)
	f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", gone)
}

// restart lets the endpoint's next generation send a heartbeat and answer a poll.
func (f *fixture) restart() {
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 2, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	})
	f.advance(time.Millisecond)
	sent := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 1, Generation: 2})
}

// breakStarts ends the calls of all commanded starts by the end of their connection.
func (f *fixture) breakStarts() {
	for _, c := range f.controller.Commands() {
		f.controller.HandleStartReply(f.now, c.Start.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindBroken})
	}
}

// checkCrashes checks what a coordinator gets to know of crashes.
func (f *fixture) checkCrashes(want ...work.Crash) {
	f.t.Helper()
	byTask := cmpopts.SortSlices(func(a, b work.Crash) bool { return a.Task < b.Task })
	got := f.controller.Report(f.now, "c").Crashes
	if diff := cmp.Diff(want, got, byTask, cmpopts.EquateEmpty()); diff != "" {
		f.t.Errorf("crashes (-want +got):\n%s", diff)
	}
}

// Guards against a task that is given up for crashes its starts may not have reached.
func TestUnansweredStartsAreNoCertainCrash(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.dispatch("c", newStart(2, 100), newStart(3, 100))
	f.breakStarts()
	f.crash()
	f.checkCrashes(
		work.Crash{Task: newRun(1).Task, Endpoint: "a/i/1", Certain: true},
		work.Crash{Task: newRun(2).Task, Endpoint: "a/i/1"},
		work.Crash{Task: newRun(3).Task, Endpoint: "a/i/1"},
	)
}

// Guards against a job that is given up for crashes of other causes: its start had timed out some time
// before the endpoint crashed, and may never have reached it.
func TestTimedOutStartIsNoCertainCrash(t *testing.T) {
	for name, s := range map[string]work.Start{"suspect": newSuspect(1), "alone": newStart(1, 100)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", s)
			f.controller.Commands()
			f.controller.HandleStartReply(f.now, s.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown})
			f.advance(100 * time.Millisecond)
			f.crash()
			f.restart()
			f.checkCrashes(work.Crash{Task: s.Run.Task, Endpoint: "a/i/1", Alone: true})
		})
	}
}

// Guards against a job that is given up for crashes of other causes: the endpoint crashed while it held the
// job's starts back, or after their connections had ended.
func TestStartThatIsHeldBackIsNoCertainCrash(t *testing.T) {
	timedOut := func(f *fixture, s work.Start) {
		f.controller.HandleStartReply(f.now, s.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown})
	}
	for name, s := range map[string]work.Start{"suspect": newSuspect(1), "alone": newStart(1, 100)} {
		for name, crash := range map[string]func(f *fixture){
			name + ", call timed out after the crash": func(f *fixture) {
				f.controller.Commands()
				f.crash()
				f.advance(20 * time.Millisecond)
				timedOut(f, s)
				f.restart()
			},
			name + ", call timed out after the restart": func(f *fixture) {
				f.controller.Commands()
				f.crash()
				f.restart()
				f.advance(20 * time.Millisecond)
				timedOut(f, s)
			},
			name + ", connection ended long before": func(f *fixture) {
				f.breakStarts()
				f.advance(100 * time.Millisecond)
				f.crash()
			},
			name + ", polled between the end of the connection and the crash": func(f *fixture) {
				f.breakStarts()
				sent := f.controller.BeginPoll(f.now)
				f.advance(time.Millisecond)
				f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 5100, Generation: 1})
				f.crash()
			},
			name + ", connection ended by the crash after a while": func(f *fixture) {
				f.advance(35 * time.Millisecond)
				f.breakStarts()
				f.crash()
			},
			name + ", connection ended after the crash was known": func(f *fixture) {
				f.advance(35 * time.Millisecond)
				f.crash()
				f.breakStarts()
				f.crash()
			},
			name + ", repeated after a time-out": func(f *fixture) {
				f.controller.Commands()
				timedOut(f, s)
				f.advance(time.Millisecond)
				f.poll(carobpulley.RunLists{})
				f.breakStarts()
				f.crash()
				f.restart() // until then the first start may begin
			},
		} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t)
				f.dispatch("c", s)
				crash(f)
				f.checkCrashes(work.Crash{Task: s.Run.Task, Endpoint: "a/i/1", Alone: true})
			})
		}
	}
}

// Guards against a job that is given up for crashes of other causes, as its starts were held back like the
// commands before them: those that a restarted process sends first are polls and stops.
func TestStartsAreHeldBackLikeOtherCommands(t *testing.T) {
	timedOut := &carobpulley.Error{Op: "order", Kind: carobpulley.KindUnknown}
	for name, command := range map[string]func(f *fixture){
		"start": func(f *fixture) {
			f.dispatch("c", newStart(1, 100))
			f.controller.Commands()
			f.controller.HandleStartReply(f.now, newRun(1), f.controller.Lease(f.now), carobpulley.StartAnswer{}, timedOut)
			f.advance(time.Millisecond)
			f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone}}})
		},
		"stop": func(f *fixture) { f.controller.HandleStopError(f.now, timedOut) },
		"poll": func(f *fixture) { f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", timedOut) },
	} {
		for since, certain := range map[time.Duration]bool{time.Millisecond: false, holdBackMemory + time.Second: true} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t)
				command(f)
				f.advance(since)
				f.poll(carobpulley.RunLists{})
				f.report("c", nil)
				f.dispatch("c", newSuspect(2))
				f.breakStarts()
				f.crash()
				f.checkCrashes(work.Crash{Task: newRun(2).Task, Endpoint: "a/i/1", Certain: certain, Alone: true})
			})
		}
	}
}

// Guards against a task that crashes its endpoint during the call of its start and is not counted,
// since a poll finds the endpoint gone before the call ends.
func TestStartThatACrashEndsIsACertainCrash(t *testing.T) {
	for name, s := range map[string]work.Start{"suspect": newSuspect(1), "alone": newStart(1, 100)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", s)
			f.controller.Commands()
			f.crash()
			f.controller.HandleStartReply(f.now, s.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindBroken})
			f.checkCrashes() // the call may have reached the endpoint's next generation
			f.crash()
			f.checkCrashes(work.Crash{Task: s.Run.Task, Endpoint: "a/i/1", Certain: true, Alone: true})
		})
	}
}

// Guards against a task that crashes its endpoint before the start is answered, and so is never known
// to have been there.
func TestSuspectStartsAreSentOneAtATime(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.dispatch("c", newSuspect(2), newStart(3, 100))
	if got := len(f.controller.Commands()); got != 1 {
		t.Fatalf("%d starts under way beside a suspect's, want that one only", got)
	}
	f.controller.HandleStartReply(f.now, newRun(2), f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindBroken})
	if got := len(f.controller.Commands()); got != 0 {
		t.Fatalf("%d starts sent after a suspect's start broke off", got)
	}
	f.crash()
	f.checkCrashes(
		work.Crash{Task: newRun(1).Task, Endpoint: "a/i/1", Certain: true},
		work.Crash{Task: newRun(2).Task, Endpoint: "a/i/1", Certain: true},
	)
}

// Guards against starts that wait for good behind a suspect's start that was answered.
func TestStartsGoOnAfterASuspectsAnswer(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newSuspect(1), newStart(2, 100), newStart(3, 100))
	if got := []int{f.confirmStarts(), f.confirmStarts()}; got[0] != 1 || got[1] != 2 {
		t.Errorf("starts sent in turn: %v, want 1, then 2", got)
	}
}

// Guards against jobs that are lost together and placed together again, so that the cause is never
// found and the others are lost with it each time.
func TestSuspectJobsAreKeptApart(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newSuspect(1))
	f.confirmStarts()
	if diff := cmp.Diff([]RefusedStart{{newRun(2), ReasonSuspect}}, f.dispatch("c", newSuspect(2))); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	f.crash()
	f.checkCrashes(work.Crash{Task: newRun(1).Task, Endpoint: "a/i/1", Certain: true, Alone: true})
}

// Guards against tasks that are suspected because their endpoint was stopped, replaced or cut off.
func TestEndpointThatLeavesIsNoCrash(t *testing.T) {
	hb := carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 2, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}}
	for name, leave := range map[string]func(f *fixture){
		"announced, not there any more": func(f *fixture) {
			leaving := hb
			leaving.Draining = true
			f.controller.HandleHeartbeat(f.now, leaving)
			f.crash()
		},
		"announced, new generation known by its heartbeat": func(f *fixture) {
			leaving, next := hb, hb
			leaving.Draining = true
			next.Generation, next.Sequence = 2, 1
			f.controller.HandleHeartbeat(f.now, leaving)
			f.controller.HandleHeartbeat(f.now, next)
			f.controller.HandlePoll(f.now, f.controller.BeginProbe(f.now), carobpulley.RunLists{Clock: 1, Generation: 2})
		},
		"announced, new generation known by a poll": func(f *fixture) {
			leaving := hb
			leaving.Draining = true
			f.controller.HandleHeartbeat(f.now, leaving)
			sent := f.controller.BeginPoll(f.now)
			f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 1, Generation: 2})
		},
		"shut down": func(f *fixture) {
			f.controller.HandleShutdown(f.now, "i")
			f.crash()
		},
		"cut off": func(f *fixture) {
			for range maxFailedPolls {
				f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
			}
			f.advance(2 * time.Second)
			f.controller.Tick(f.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", newStart(1, 100))
			f.confirmStarts()
			f.advance(time.Millisecond)
			leave(f)
			f.checkCrashes()
			ends := f.report("c", nil)
			if len(ends) != 1 || ends[0].Outcome != work.OutcomeLost {
				t.Errorf("ends %v, want one lost run", ends)
			}
		})
	}
}

// Guards against a crash that a coordinator never learns of since the answer to its report was lost,
// or since the coordinator attached later.
func TestCrashesAreReportedUntilAnswered(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.crash()
	want := work.Crash{Task: newRun(1).Task, Endpoint: "a/i/1", Certain: true, Alone: true}
	f.checkCrashes(want)
	f.checkCrashes(want)
	f.report("c", nil)
	f.checkCrashes()
	f.attach("d", 1, nil)
	f.attach("c", 2, nil)
	f.report("c", nil)
	f.checkCrashes()
	f.attach("c", 3, nil)
	f.advance(crashRetention + time.Second)
	f.controller.Tick(f.now)
	if got := len(f.controller.crashes); got != 0 {
		t.Errorf("%d crashes after their retention", got)
	}
}

// Guards against starts beyond the capacity of an endpoint whose capacity shrinks while it runs, with
// runs that are being stopped.
func TestCapacityShrinksAndGrows(t *testing.T) {
	f := newFixture(t)
	sequence := int64(1)
	setCapacity := func(cpu int64) {
		sequence++
		f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
			Instance: "i", Generation: 1, Sequence: sequence, Service: "s", Capacity: work.Resources{CPU: cpu, MemMB: 1000},
		})
	}
	f.dispatch("c", newStart(1, 4000))
	f.confirmStarts()
	setCapacity(6000)
	f.controller.HandleDispatch(f.now, Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: f.echo, Stops: []work.Run{newRun(1)}})
	if got := f.dispatch("c", newStart(2, 4000)); len(got) != 1 || got[0].Reason != ReasonCapacity {
		t.Errorf("start beside a run that is being stopped: refused %v, want for its capacity", got)
	}
	queued := newStart(3, 2000)
	queued.WaitMS = 1000
	setCapacity(4000)
	if got := f.dispatch("c", queued); len(got) != 1 {
		t.Errorf("start at a full endpoint: refused %v, want 1 as the queue is too short", got)
	}
	if got := f.confirmStarts(); got != 0 {
		t.Errorf("%d starts beyond the capacity", got)
	}
	setCapacity(10_000)
	if got := f.dispatch("c", newStart(4, 4000)); len(got) != 0 || f.confirmStarts() != 1 {
		t.Errorf("start after the capacity has grown: refused %v", got)
	}
}

// Guards against a repeated start that exceeds a capacity that has shrunk since its first try.
func TestRepeatedStartFitsTheCapacity(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 6000))
	f.confirmStarts()
	f.dispatch("c", newStart(2, 4000))
	f.controller.Commands()
	f.controller.HandleStartReply(f.now, newRun(2), f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown})
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 1, Sequence: 2, Service: "s", Capacity: work.Resources{CPU: 8000, MemMB: 1000},
	})
	f.advance(10 * time.Millisecond)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	for _, c := range f.controller.Commands() {
		if _, refusal := f.controller.StartLease(f.now, c.Start.Run); refusal == "" {
			t.Errorf("start of %s beyond the capacity", c.Start.Run.Task)
		}
	}
	ends := f.report("c", nil)
	if len(ends) != 1 || ends[0].Run != newRun(2) || ends[0].Outcome != work.OutcomeNoCapacity {
		t.Errorf("ends %v, want the repeated start refused for its capacity", ends)
	}
}
