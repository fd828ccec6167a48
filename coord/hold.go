package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/meter"
	"carobpulley/work"
)

const (
	// holderRetryInterval is the pause between two questions to a holder that does not answer.
	holderRetryInterval = 50 * time.Millisecond
	// holdRenewInterval is the time between two asks for the hold of a job that is here, by which the home
	// learns that this process goes on.
	holdRenewInterval = 500 * time.Millisecond
	// holderGoneAfter is the time without a sign of life of a holder after which its runs are over: they
	// outlast their coordinator by less than agentTimeout.
	holderGoneAfter = holdRenewInterval + agentTimeout
	// callerGoneAfter is the time after which the runs for a caller who has left are over, also if their
	// coordinator can't be asked. Callers leave it before they send the job to another one.
	callerGoneAfter = agentTimeout
)

// self returns this process as a holder.
func (c *Coordinator) self() holds.Holder {
	return holds.Holder{Coordinator: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Addr: c.cfg.Self.Addr}
}

// submission is a submission of a best-effort job before it is in a table.
type submission struct {
	job       *work.Job
	arrivedAt time.Time
	// replaced is the number of the hold to replace; 0 if there is none.
	replaced uint64
	// uncertain is set once a holder had to be replaced: it may have run the job.
	uncertain bool
	// joined is set once a holder was given the submission: it may wait for the result there, although
	// the call has broken.
	joined bool
	// grant tells who let this process start the job.
	grant grant
}

// acquire makes this process the only one that may start a best-effort job: own is set, and the id is
// pending until the job is in the table. If another process has the job, it waits for that one's result
// and returns it: answered is set. Otherwise the job is in the table here.
func (c *Coordinator) acquire(ctx context.Context, s *submission) (own, answered bool, a carobpulley.JobAnswer) {
	id := s.job.ID
	for n := 0; c.beginPending(ctx, id); n++ {
		h, g, held := c.askHome(ctx, id, s.replaced)
		if !held || h.Holder.Same(c.self()) {
			s.grant = g
			return true, false, carobpulley.JobAnswer{}
		}
		if n == 0 {
			now := c.clock.Now()
			c.cfg.Meter.Add(meter.Name("holds", "elsewhere"), 1)
			c.log.Info().Str("job", id).Str("coordinator", h.Holder.Coordinator).Uint64("incarnation", h.Holder.Incarnation).
				Int64("age_ms", now.Sub(h.At).Milliseconds()).Int64("seen_ms", now.Sub(h.Seen).Milliseconds()).Msg("held elsewhere")
		}
		c.endPending(id)
		s.replaced = 0
		a, result := c.join(ctx, h, s)
		switch result {
		case joinAnswered:
			return false, true, a
		case joinAbsent:
			s.replaced, s.uncertain = h.Number, true
			continue
		case joinUnanswered:
		}
		goneAt := s.holderGoneAt(h)
		now := c.clock.Now()
		if !now.Before(goneAt) {
			s.replaced, s.uncertain = h.Number, true
			continue
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < goneAt.Sub(now) {
			c.cfg.Meter.Add("joins_unanswered", 1)
			return false, true, unknownAnswer("another coordinator has the job and does not answer")
		}
		sleep(ctx, min(holderRetryInterval, goneAt.Sub(now)))
	}
	if err := ctx.Err(); err != nil {
		return false, true, refusedAnswer("the caller has left: " + err.Error())
	}
	return false, false, carobpulley.JobAnswer{}
}

// holderGoneAt returns the time from which no run of a holder that does not answer is on.
func (s *submission) holderGoneAt(h holds.Hold) time.Time {
	gone := h.Seen.Add(holderGoneAfter)
	if left := s.arrivedAt.Add(callerGoneAfter); !s.joined && left.Before(gone) {
		return left
	}
	return gone
}

// beginPending marks an id as pending. It waits while another submission has it so, and reports false if
// the job is in the table then, and not being stopped, or the caller has left.
func (c *Coordinator) beginPending(ctx context.Context, id string) bool {
	for {
		c.lock()
		if c.table.HasJob(id) && !c.table.BeingStopped(id) || ctx.Err() != nil {
			c.mu.Unlock()
			return false
		}
		asked := c.holdings.pending[id]
		if asked == nil {
			c.holdings.pending[id] = make(chan struct{})
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		select {
		case <-asked:
		case <-ctx.Done():
		}
	}
}

func (c *Coordinator) endPending(id string) {
	c.lock()
	defer c.mu.Unlock()
	c.dropPending(id)
}

// dropPending ends the pending state of an id. The caller holds the lock.
func (c *Coordinator) dropPending(id string) {
	if asked := c.holdings.pending[id]; asked != nil {
		delete(c.holdings.pending, id)
		close(asked)
	}
}
