package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/meter"
	"carobpulley/work"
)

// runVolatile runs a job that is not kept and returns at its end. A caller that
// leaves, or whose time is up, ends the job: what runs is stopped before the
// caller submits it again elsewhere.
func (c *Coordinator) runVolatile(ctx context.Context, j *work.Job) carobpulley.JobAnswer {
	began := time.Now()
	a := c.awaitVolatile(ctx, j)
	took := time.Since(began)
	c.answered(j, a, took)
	c.log.Info().Str("job", j.ID).Int64("took_ms", took.Milliseconds()).Int64("objective_ms", j.Objective().Milliseconds()).Str("queue", j.Queue.Name).Int("tasks", j.Tasks()).
		Int("code", int(a.Code)).Str("state", string(a.State)).Str("why", a.Reason).Msg("answered")
	return a
}

func (c *Coordinator) awaitVolatile(ctx context.Context, j *work.Job) carobpulley.JobAnswer {
	c.mu.Lock()
	now := time.Now()
	verdict, why := c.table.Submit(now, j)
	if verdict == jobs.SubmitRefused {
		c.mu.Unlock()
		return refused(why)
	}
	if verdict == jobs.SubmitComplete {
		state := c.table.DecidedState(j.ID)
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: state}
	}
	ch := c.wait(j.ID)
	c.flush()
	c.mu.Unlock()
	select {
	case w := <-ch:
		return volatileAnswer(w.finished)
	case <-ctx.Done():
		return c.abandon(j.ID, ch, ctx.Err().Error())
	}
}

// answered counts an answer to a submission.
func (c *Coordinator) answered(j *work.Job, a carobpulley.JobAnswer, took time.Duration) {
	c.cfg.Meter.Add(meter.Name("answers", codes[a.Code].String()), 1)
	c.cfg.Meter.Observe(meter.Name("response", j.Queue.Name), took)
}

func volatileAnswer(f jobs.BestEffortResult) carobpulley.JobAnswer {
	if f.State == work.StateCancelled {
		if f.Unstarted {
			return refused(f.Reason)
		}
		return unknown(f.Reason)
	}
	return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: f.State}
}

// abandon ends a job once the last caller that waits for it has left.
func (c *Coordinator) abandon(id string, ch chan waited, why string) carobpulley.JobAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case w := <-ch:
		return volatileAnswer(w.finished)
	default:
	}
	c.unwait(id, ch)
	if len(c.waiters[id]) > 0 {
		return unknown(why)
	}
	unstarted := c.table.Abandon(time.Now(), id, why)
	c.flush()
	if unstarted {
		return refused("given up before a start: " + why)
	}
	return unknown("given up: " + why)
}
