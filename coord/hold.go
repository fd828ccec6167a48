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
	// holdRenewInterval is the time between two asks for the hold of a job that is here, by which the replicas
	// learn that this process goes on.
	holdRenewInterval = 500 * time.Millisecond
	// holderGoneAfter is the time without a sign of life of a holder after which its runs are over: they
	// outlast their coordinator by less than agentTimeout.
	holderGoneAfter = holdRenewInterval + agentTimeout
	// callerGoneAfter is the time after which the runs for a caller who has left are over, also if their
	// coordinator can't be asked. Callers leave it before they send the job to another one.
	callerGoneAfter = agentTimeout
	// replicaPatience is how long a submission waits for a replica if its caller will not wait until the job
	// may start without one.
	replicaPatience = 2*holdTimeout + holderRetryInterval
)

// self returns this process as a holder.
func (c *Coordinator) self() holds.Holder {
	return holds.Holder{Coordinator: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Addr: c.cfg.Self.Addr}
}

// submission is a submission of a best-effort job before it is in a table.
type submission struct {
	job *work.Job
	// arrivedAt is the time at which the submission came from its caller, receivedAt that at which it came here.
	arrivedAt, receivedAt time.Time
	// replaced is the number of the hold to replace; 0 if there is none.
	replaced uint64
	// uncertain is set once a holder had to be replaced: it may have run the job.
	uncertain bool
	// joined is set once a holder was given the submission: it may wait for the result there, although
	// the call has broken. leftAt is the time at which this process last stopped to wait for it.
	joined bool
	leftAt time.Time
	// refusable is set if the submission is refused while this process is overloaded.
	refusable bool
	// passedTo is the coordinator that the submission was passed on to.
	passedTo string
	// grant tells who let this process start the job, and grantedAt when.
	grant     grant
	grantedAt time.Time
}

// grantedAfter returns the time from the submission until this process was let start the job; 0 if it was not.
func (s *submission) grantedAfter() time.Duration {
	if s.grantedAt.IsZero() {
		return 0
	}
	return s.grantedAt.Sub(s.arrivedAt)
}

// acquire makes this process the only one that may start a best-effort job: own is set, and the id is
// pending until the job is in the table. If another process has the job, it waits for that one's result
// and returns it: answered is set. Otherwise the job is in the table here.
func (c *Coordinator) acquire(ctx context.Context, s *submission) (own, answered bool, a carobpulley.JobAnswer) {
	id := s.job.ID
	elsewhere := false
	for c.beginPending(ctx, id) {
		outcome, h, g := c.askReplicas(ctx, id, s.replaced)
		s.replaced = 0
		if s.mayStart(c.clock.Now(), outcome) {
			s.grant, s.grantedAt = g, c.clock.Now()
			c.recordGrant(s, outcome)
			return true, false, carobpulley.JobAnswer{}
		}
		c.endPending(id)
		switch outcome {
		case holds.NoAnswer, holds.Granted, holds.GrantedByOne:
			if !c.awaitReplicas(ctx, s) {
				return false, true, unknownAnswer("no coordinator answers that would know of another start")
			}
		case holds.Elsewhere, holds.Contested:
			if !elsewhere {
				elsewhere = true
				c.logElsewhere(id, outcome, h)
			}
			if answered, a := c.joinHolder(ctx, s, outcome, h); answered {
				return false, true, a
			}
		case holds.Pending:
		}
	}
	if err := ctx.Err(); err != nil {
		return false, true, refusedAnswer("the caller has left: " + err.Error())
	}
	return false, false, carobpulley.JobAnswer{}
}

// recordGrant counts how a job that may start here is guarded against another start, and keeps the hold: others
// that know other members may take this process for a replica of the id.
func (c *Coordinator) recordGrant(s *submission, outcome holds.Outcome) {
	id, g := s.job.ID, s.grant
	c.lock()
	c.holdings.table.Take(c.now, id, c.self(), g.number, 0)
	if !s.uncertain && s.passedTo == "" { // it has not waited for another process
		c.processor.recordGrant(s.grantedAt.Sub(s.receivedAt))
	}
	c.mu.Unlock()
	c.cfg.Meter.Observe("grant", s.grantedAfter())
	result := "granted"
	switch {
	case g.members == 0:
		result = "unguarded"
	case outcome == holds.NoAnswer:
		result = "late"
		c.log.Warn().Str("job", id).Strs("silent", g.silent).Msg("no replica answers, the job starts as runs elsewhere are over")
	case outcome == holds.GrantedByOne:
		result = "by_one"
	}
	c.cfg.Meter.Add(meter.Name("holds", result), 1)
}

func (c *Coordinator) logElsewhere(id string, outcome holds.Outcome, h holds.Hold) {
	now := c.clock.Now()
	c.cfg.Meter.Add(meter.Name("holds", "elsewhere"), 1)
	c.log.Info().Str("job", id).Str("coordinator", h.Holder.Coordinator).Uint64("incarnation", h.Holder.Incarnation).Uint64("hold", h.Number).
		Bool("contested", outcome == holds.Contested).Int64("age_ms", now.Sub(h.At).Milliseconds()).Int64("seen_ms", now.Sub(h.Seen).Milliseconds()).Msg("held elsewhere")
}

// awaitReplicas waits before the replicas are asked again. It reports false if the caller does not wait until
// the job may start without their answer, or if this process is cut off.
func (c *Coordinator) awaitReplicas(ctx context.Context, s *submission) bool {
	if !s.uncertain {
		c.cfg.Meter.Add(meter.Name("holds", "no_answer"), 1)
	}
	s.uncertain = true // another process may run the job
	c.lock()
	now, apart := c.now, c.holdings.apart(c.now, apartAfter)
	c.mu.Unlock()
	left := s.lateAt().Sub(now)
	deadline, limited := ctx.Deadline()
	if now.Sub(s.arrivedAt) >= replicaPatience && (apart || limited && time.Until(deadline) < left) {
		return false
	}
	sleep(ctx, min(holderRetryInterval, left))
	return true
}

// joinHolder adds a submission to the job of a holder and waits for its result, or until the holder may be
// replaced.
func (c *Coordinator) joinHolder(ctx context.Context, s *submission, outcome holds.Outcome, h holds.Hold) (answered bool, a carobpulley.JobAnswer) {
	a, result := c.join(ctx, h, s)
	switch result {
	case joinAnswered:
		return true, a
	case joinAbsent:
		s.replaced, s.uncertain, s.joined = h.Number, true, false
		if outcome == holds.Contested && h.Holder.Coordinator < c.cfg.Self.Name {
			sleep(ctx, holderRetryInterval) // of two that contest an id, the other one goes first
		}
		return false, a
	case joinUnanswered:
	}
	goneAt := s.holderGoneAt(h)
	now := c.clock.Now()
	if !now.Before(goneAt) {
		s.replaced, s.uncertain = h.Number, true
		return false, a
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < goneAt.Sub(now) {
		c.cfg.Meter.Add("joins_unanswered", 1)
		return true, unknownAnswer("another coordinator has the job and does not answer")
	}
	sleep(ctx, min(holderRetryInterval, goneAt.Sub(now)))
	return false, a
}

// mayStart reports whether the job may start by what the replicas let this process do. They may not know of a
// holder whose result the submission has waited for.
func (s *submission) mayStart(now time.Time, outcome holds.Outcome) bool {
	switch outcome {
	case holds.Granted, holds.GrantedByOne:
		return !s.joined || !now.Before(s.lateAt())
	case holds.NoAnswer:
		return !now.Before(s.lateAt())
	case holds.Pending, holds.Elsewhere, holds.Contested:
	}
	return false
}

// lateAt returns the time from which no run of another process is on, if no replica tells which one that is.
func (s *submission) lateAt() time.Time {
	if s.joined {
		return s.leftAt.Add(holderGoneAfter)
	}
	return s.arrivedAt.Add(callerGoneAfter)
}

// holderGoneAt returns the time from which no run of a holder that does not answer is on.
func (s *submission) holderGoneAt(h holds.Hold) time.Time {
	gone := h.Seen.Add(holderGoneAfter)
	if s.joined && gone.Before(s.lateAt()) {
		return s.lateAt()
	}
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
