package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that is told not started while it is at work: the start of a run was repeated,
// and the first attempt, which another generation of the endpoint never got, ends after that.
func TestAnswerToAnEarlierAttemptEndsNoRun(t *testing.T) {
	f := newFixture(t)
	s := newStart(1, 100)
	f.dispatch("c", s)
	f.controller.Commands()
	earlier, _ := f.controller.StartLease(f.now, s.Run)
	f.controller.HandleShutdown(f.now, "i")
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{Instance: "i", Generation: 2, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
	for range 2 {
		f.advance(time.Millisecond)
		sent := f.controller.BeginPoll(f.now)
		f.advance(time.Millisecond)
		f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 10, Generation: 2})
	}
	if got := len(f.controller.Commands()); got != 1 {
		t.Fatalf("%d commands, want the start once more", got)
	}
	if _, refusal := f.controller.StartLease(f.now, s.Run); refusal != "" {
		t.Fatalf("the start is not repeated: %s", refusal)
	}
	f.controller.HandleStartReply(f.now, s.Run, earlier, carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindGone})
	if diff := cmp.Diff([]work.End(nil), f.report("c", nil)); diff != "" {
		t.Errorf("ends reported while the second attempt is under way (-want +got):\n%s", diff)
	}
}

// Guards against the same between two runs: two coordinators have given the same number to a task's
// run, and the answer to the first one's start comes when the second one's is under way.
func TestAnswerToAnotherRunOfTheSameNumberEndsNoRun(t *testing.T) {
	f := newFixture(t)
	f.attach("d", 1, nil)
	s := newStart(1, 100)
	f.report("c", nil)
	f.dispatch("c", s)
	f.controller.Commands()
	earlier, _ := f.controller.StartLease(f.now, s.Run)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: s.Run, Outcome: work.OutcomeStopped}}})
	f.report("c", nil)
	f.report("d", nil)
	f.dispatch("d", s)
	if got := len(f.controller.Commands()); got != 1 {
		t.Fatalf("%d commands, want the second coordinator's start", got)
	}
	if _, refusal := f.controller.StartLease(f.now, s.Run); refusal != "" {
		t.Fatalf("the start is not sent: %s", refusal)
	}
	f.controller.HandleStartReply(f.now, s.Run, earlier, carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindGone})
	if diff := cmp.Diff([]work.End(nil), f.report("d", nil)); diff != "" {
		t.Errorf("ends reported while the second run's start is under way (-want +got):\n%s", diff)
	}
}
