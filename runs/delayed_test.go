package runs

import (
	"testing"
	"time"

	"carobpulley"
)

// pauseStart lets a start get its lease and pauses the agent before it is sent, while the coordinator starts
// the task elsewhere and attaches again.
func pauseStart(f *fixture, pause time.Duration) carobpulley.Lease {
	f.t.Helper()
	f.dispatch("c", newStart(1, 100))
	f.controller.Commands()
	lease, refusal := f.controller.StartLease(f.now, newRun(1))
	if refusal != "" {
		f.t.Fatalf("start refused: %s", refusal)
	}
	f.advance(pause)
	f.attach("c", 2, nil)
	return lease
}

// Guards against a start that an agent sends after a pause and that the endpoint takes since its lease was
// renewed meanwhile: the coordinator has started the task elsewhere.
func TestDelayedStartIsFencedBeforeTheLeaseIsRenewed(t *testing.T) {
	f := newFixture(t)
	start := pauseStart(f, 1500*time.Millisecond)
	renewed := f.controller.BeginPoll(f.now).Lease
	if renewed.DeadlineMS == 0 {
		t.Fatal("the lease is not renewed")
	}
	if renewed.Token <= start.Token {
		t.Errorf("the lease is renewed with token %d, and the start under way has %d", renewed.Token, start.Token)
	}
	if again := f.controller.BeginPoll(f.now).Lease.Token; again != renewed.Token {
		t.Errorf("the token rises again to %d for the same start", again)
	}
}

// Guards against a fenced start that is given up, or repeated, although it can go on.
func TestFencedStartIsRepeatedUnderTheUsualChecks(t *testing.T) {
	f := newFixture(t)
	start := pauseStart(f, 300*time.Millisecond)
	fence := f.controller.BeginPoll(f.now).Lease.Token
	f.controller.HandleStartReply(f.now, newRun(1), start, carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}, nil)
	if n := len(f.controller.Commands()); n != 1 {
		t.Fatalf("%d commands, want the start again", n)
	}
	lease, refusal := f.controller.StartLease(f.now, newRun(1))
	if refusal != "" || lease.Token != fence {
		t.Errorf("the repeated start has token %d and refusal %q, want token %d", lease.Token, refusal, fence)
	}
}

// Guards against a stop of a run that is on, as its confirmed start counts as delayed.
func TestDelayedAnswerConfirmsAStartBeforeItsFence(t *testing.T) {
	f := newFixture(t)
	start := pauseStart(f, 300*time.Millisecond)
	f.controller.BeginPoll(f.now)
	f.controller.HandleStartReply(f.now, newRun(1), start, carobpulley.StartAnswer{}, nil)
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	if lost := f.controller.Lost(); len(lost) > 0 || !f.controller.HasRun(newRun(1)) {
		t.Errorf("lost %v", lost)
	}
}
