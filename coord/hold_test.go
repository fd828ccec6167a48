package coord

import (
	"context"
	"strings"
	"testing"
	"time"

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
