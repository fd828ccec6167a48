package coord

import (
	"context"
	"strings"
	"time"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/jobs"
	"carobpulley/meter"
	"carobpulley/work"
)

// runBestEffort runs a best-effort job and returns at its end. When the caller
// disconnects or its deadline passes, the job is abandoned, so that its runs are stopped
// before the caller submits the job again elsewhere.
func (c *Coordinator) runBestEffort(ctx context.Context, j *work.Job) carobpulley.JobAnswer {
	began := time.Now()
	now := c.clock.Now()
	s := &submission{job: j, arrivedAt: now, receivedAt: now}
	a := c.awaitBestEffort(ctx, s)
	took := time.Since(began)
	c.recordAnswer(j, a, took)
	c.log.Info().Str("job", j.ID).Int64("took_ms", took.Milliseconds()).Int64("granted_ms", s.grantedAfter().Milliseconds()).Int64("objective_ms", j.Objective().Milliseconds()).Str("queue", j.Queue.Name).Int("tasks", j.Tasks()).
		Int("code", int(a.Code)).Str("state", string(a.State)).Str("why", a.Reason).Str("passed_to", s.passedTo).Func(s.grant.fields).Msg("answered")
	return a
}

func (c *Coordinator) awaitBestEffort(ctx context.Context, s *submission) carobpulley.JobAnswer {
	s.refusable = !c.keeps(s.job.ID)
	if s.refusable {
		if answered, a := c.offload(ctx, s); answered {
			return a
		}
	}
	return c.awaitHere(ctx, s)
}

// awaitHere is awaitBestEffort for a submission that is not passed on.
func (c *Coordinator) awaitHere(ctx context.Context, s *submission) carobpulley.JobAnswer {
	for {
		own, answered, a := c.acquire(ctx, s)
		reason := ""
		if own && s.refusable {
			reason = c.overloaded(s.job)
		}
		switch {
		case answered:
		case reason != "": // no other process has the job, so it never runs
			c.endPending(s.job.ID)
			a = refusedAnswer(reason)
		default:
			a = c.runHere(ctx, s.job, s.arrivedAt, own)
		}
		if a.Code != notOwner {
			return correctRefusal(a, s.uncertain, true)
		}
	}
}

// runHere adds a submission to the table and waits for the job's result. Unless this process may start the
// job, it has to be in the table already.
func (c *Coordinator) runHere(ctx context.Context, j *work.Job, arrivedAt time.Time, mayStart bool) carobpulley.JobAnswer {
	c.lock()
	if mayStart {
		c.dropPending(j.ID)
	} else if !c.table.HasJob(j.ID) {
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: notOwner}
	}
	ch, a := c.submitBestEffort(ctx, j, arrivedAt)
	c.mu.Unlock()
	if ch == nil {
		return a
	}
	return c.awaitResult(ctx, j.ID, ch)
}

// submitBestEffort adds a submission to the table. It returns the channel for the result, or nil and
// the answer. The caller holds the lock.
func (c *Coordinator) submitBestEffort(ctx context.Context, j *work.Job, arrivedAt time.Time) (chan waitResult, carobpulley.JobAnswer) {
	if err := ctx.Err(); err != nil {
		return nil, refusedAnswer("the caller has left: " + err.Error())
	}
	now := c.now
	if deadline, ok := ctx.Deadline(); ok {
		j.AnswerBy = now.Add(time.Until(deadline))
	}
	j.SubmittedAt = arrivedAt
	status, reason := c.table.Submit(now, j)
	switch status {
	case jobs.SubmitRefused:
		return nil, refusedAnswer(reason)
	case jobs.SubmitConflict:
		return nil, carobpulley.JobAnswer{Code: carobpulley.AnswerConflict, Reason: reason}
	case jobs.SubmitComplete:
		state, reason := c.table.DecidedState(j.ID)
		return nil, bestEffortAnswer(jobs.BestEffortResult{State: state, Reason: reason})
	case jobs.SubmitUnreadable:
		return nil, unknownAnswer(reason)
	case jobs.SubmitPending:
	}
	ch := c.addWaiter(j.ID)
	c.flush()
	return ch, carobpulley.JobAnswer{}
}

// awaitResult waits for a job's result, and abandons the job if the caller leaves first, or if another
// coordinator has replaced this one as its holder.
func (c *Coordinator) awaitResult(ctx context.Context, id string, ch chan waitResult) carobpulley.JobAnswer {
	renew := time.NewTicker(holdRenewInterval)
	defer renew.Stop()
	lost := make(chan string, 1)
	for {
		select {
		case w := <-ch:
			return bestEffortAnswer(w.result)
		case <-ctx.Done():
			return c.abandon(id, ch, ctx.Err().Error())
		case holder := <-lost:
			return correctRefusal(c.abandon(id, ch, "the job is held by "+holder), true, true) // which may run it
		case <-renew.C:
			go c.renewHold(ctx, id, lost)
		}
	}
}

// renewHold asks for the hold of a job again, and tells who has it instead.
func (c *Coordinator) renewHold(ctx context.Context, id string, lost chan<- string) {
	outcome, h, _ := c.askReplicas(ctx, id, 0)
	if outcome != holds.Elsewhere {
		return
	}
	select {
	case lost <- h.Holder.Coordinator:
	default:
	}
}

// recordAnswer counts an answer to a submission and records its response time.
func (c *Coordinator) recordAnswer(j *work.Job, a carobpulley.JobAnswer, took time.Duration) {
	c.cfg.Meter.Add(meter.Name("answers", wireCodes[a.Code].String()), 1)
	if a.Code == carobpulley.AnswerRefused {
		kind, _, _ := strings.Cut(a.Reason, ":")
		c.cfg.Meter.Add(meter.Name("refused", j.Queue.Name+" "+kind), 1)
	}
	c.cfg.Meter.Observe(meter.Name("response", j.Queue.Name), took)
}

// bestEffortAnswer returns the answer to a submission. Only a job that has run to its end is
// answered as such.
func bestEffortAnswer(r jobs.BestEffortResult) carobpulley.JobAnswer {
	switch {
	case r.State == work.StateCompleted || r.State == work.StateFailed:
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: r.State, Reason: r.Reason}
	case r.State == work.StateCancelled && r.Unstarted:
		return refusedAnswer(r.Reason)
	default:
		return unknownAnswer(r.Reason)
	}
}

// abandon removes a waiting caller and abandons the job if no other caller waits for it.
func (c *Coordinator) abandon(id string, ch chan waitResult, reason string) carobpulley.JobAnswer {
	c.lock()
	defer c.mu.Unlock()
	select {
	case w := <-ch:
		return bestEffortAnswer(w.result)
	default:
	}
	c.removeWaiter(id, ch)
	if len(c.waiters[id]) > 0 {
		return unknownAnswer(reason)
	}
	unstarted := c.table.Abandon(c.now, id, reason)
	c.flush()
	if unstarted {
		return refusedAnswer("given up before a start: " + reason)
	}
	return unknownAnswer("given up: " + reason)
}
