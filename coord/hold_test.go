package coord

import (
	"context"
	"strings"
	"testing"
	"time"

	"carobpulley/holds"
	"carobpulley/work"
)

// Guards against a caller that left while the replicas were asked, and against a process that knows no
// coordinators yet, that count as guarded, or as replicas without an answer.
func TestUnguardedStartsAreCounted(t *testing.T) {
	const unguarded = `unguarded`
	count := func(c *Coordinator) string {
		for _, line := range strings.Split(string(c.cfg.Meter.Text()), "\n") {
			if strings.Contains(line, "holds") {
				return line
			}
		}
		return ""
	}
	j := &work.Job{ID: "0000000000000001", BestEffort: true, Queue: work.Queue{Name: "q", Service: "s"}, Spec: "x", Steps: []work.Step{{Count: 1}}}
	t.Run("no members known", func(t *testing.T) {
		c := newControlTest(t, &recordedStore{})
		c.acquire(t.Context(), &submission{job: j})
		if got := count(c); !strings.Contains(got, unguarded) {
			t.Errorf("counted %q, want it unguarded: no other process can know of the job", got)
		}
	})
	t.Run("the caller leaves", func(t *testing.T) {
		c := newControlTest(t, &recordedStore{})
		c.lock()
		c.handleCoordinatorAddress(work.Address{Name: "other", Addr: c.cfg.Self.Addr, Incarnation: 1})
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Microsecond)
		defer cancel()
		c.acquire(ctx, &submission{job: j})
		if got := count(c); strings.Contains(got, unguarded) {
			t.Errorf("counted %q, but nothing starts", got)
		}
	})
}

// Guards against an id that no longer counts as asked for because another caller of it has left.
func TestCallerThatLeavesKeepsThePendingIDOfAnother(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	j := &work.Job{ID: "0000000000000001", BestEffort: true, Queue: work.Queue{Name: "q", Service: "s"}, Spec: "x", Steps: []work.Step{{Count: 1}}}
	if !c.beginPending(t.Context(), j.ID) {
		t.Fatal("not pending")
	}
	left, cancel := context.WithCancel(t.Context())
	cancel()
	c.runBestEffort(left, j)
	if c.holdings.pending[j.ID] == nil {
		t.Error("the id is no longer asked for, although its first caller waits for the replicas")
	}
}

// Guards against a start beside the runs of a holder whose result the submission has waited for, as it ends or is
// cut off: the replicas may not know of it, or let it be replaced by an older sign of life.
func TestSubmissionThatHasJoinedStartsLater(t *testing.T) {
	arrived := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	left := arrived.Add(3 * time.Second)
	over := left.Add(holderGoneAfter)
	for _, joined := range []bool{false, true} {
		s := &submission{arrivedAt: arrived, joined: joined, leftAt: left}
		for outcome, want := range map[holds.Outcome]bool{holds.Granted: !joined, holds.GrantedByOne: !joined, holds.NoAnswer: !joined, holds.Elsewhere: false, holds.Contested: false} {
			if got := s.mayStart(left.Add(10*time.Millisecond), outcome); got != want {
				t.Errorf("joined %t, outcome %d: may start at once: %t, want %t", joined, outcome, got, want)
			}
			if got, want := s.mayStart(over, outcome), outcome != holds.Elsewhere && outcome != holds.Contested; got != want {
				t.Errorf("joined %t, outcome %d: may start once the holder's runs are over: %t, want %t", joined, outcome, got, want)
			}
		}
		if joined && s.holderGoneAt(holds.Hold{Seen: arrived}).Before(over) {
			t.Error("the holder counts as gone by a sign of life that is older than the wait for it")
		}
	}
}
