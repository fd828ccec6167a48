package entry

import (
	"time"

	"carobpulley"
)

const (
	// hedgeFactor is how many times its expected time an idempotent request may
	// take before a second copy is sent. Run times of one service spread by a
	// factor of two around their mean; three leaves ordinary requests alone.
	hedgeFactor = 3
	// leastHedge keeps short requests from being hedged for a pause of a process.
	leastHedge = 100 * time.Millisecond
)

// planHedge looks at a request again when it is overdue. mu is held.
func (e *Entry) planHedge(now time.Time, c *call) {
	if !c.retryable || c.hedge != nil {
		return
	}
	expected := e.placer.Expect(now, c.r.Service, 0).Sub(now)
	at := now.Add(max(leastHedge, hedgeFactor*expected))
	if !at.Before(c.r.Deadline) {
		return
	}
	e.goDo(func() {
		select {
		case <-c.done:
			return
		case <-time.After(time.Until(at)):
		case <-e.ctx.Done():
			return
		}
		e.sendHedge(c)
	})
}

// sendHedge queues a second copy of an overdue request under an id of its own,
// inside the member's retry budget. The first result ends both copies.
func (e *Entry) sendHedge(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if c.ended || c.left || !c.open || c.hedge != nil || !e.retry.Retry(now, c.r.Member) {
		return
	}
	h := &call{
		id:    carobpulley.JobID{Member: c.r.Member, Key: "request-" + e.newID()},
		r:     c.r,
		first: c,
		done:  make(chan struct{}),
	}
	c.hedge = h
	e.counters.hedges.Add(1)
	e.single[h.id] = h
	e.queue(now, h.waiting(now))
	e.pump(now)
}

// endCopies takes the end of one copy of a hedged request: a result ends the
// other copy too, and the end of the first one makes the second needless.
func (e *Entry) endCopies(c *call) {
	if c.first != nil && c.err == nil {
		e.endCall(c.first, c.task, nil)
		e.withdraw(c.first)
	}
	if c.hedge != nil && !c.hedge.ended {
		h := c.hedge
		e.endCall(h, carobpulley.Task{}, unknownCall())
		e.withdraw(h)
	}
}

// withdraw takes an ended copy out of the queue, or stops it at its endpoint.
func (e *Entry) withdraw(c *call) {
	if c.open {
		e.cancelTask(c.dispatch())
		return
	}
	e.admitter.Drop(time.Now(), c.id)
}
