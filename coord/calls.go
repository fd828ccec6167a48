package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// retryAfter is the delay after which callers are asked to retry.
	retryAfter = time.Second
	// ownerWait bounds the wait for an owner and the retries of a call: a takeover from an
	// unresponsive owner takes about a second, that from a killed one less.
	ownerWait = 900 * time.Millisecond
	// forwardTimeout bounds one call that is forwarded to an owner.
	forwardTimeout = 700 * time.Millisecond
	// forwardRetryInterval is the pause between attempts at one call.
	forwardRetryInterval = 30 * time.Millisecond
	// storeTimeout bounds the wait for an append; then the submission is withdrawn.
	storeTimeout = 600 * time.Millisecond
)

// Config implements carobpulley.JobService.
func (c *Coordinator) Config() *work.RoutingConfig {
	c.lock()
	defer c.mu.Unlock()
	return c.routing
}

// Ready implements carobpulley.JobService.
func (c *Coordinator) Ready() bool {
	c.lock()
	defer c.mu.Unlock()
	if c.routing == nil || c.draining {
		return false
	}
	now := c.now
	for number := range c.cfg.Shards {
		claim, known := c.claims[number]
		if !known {
			return false
		}
		if c.claimedBySelf(claim) {
			continue
		}
		if h := c.health[number]; h == nil || now.Sub(h.healthyAt) > loadGrace {
			return false
		}
	}
	return true
}

// Draining implements carobpulley.JobService.
func (c *Coordinator) Draining() bool {
	c.lock()
	defer c.mu.Unlock()
	return c.draining
}

func refusedAnswer(reason string) carobpulley.JobAnswer {
	return carobpulley.JobAnswer{Code: carobpulley.AnswerRefused, RetryAt: time.Now().Add(retryAfter), Reason: reason}
}

func unknownAnswer(reason string) carobpulley.JobAnswer {
	return carobpulley.JobAnswer{Code: carobpulley.AnswerUnknown, RetryAt: time.Now().Add(retryAfter), Reason: reason}
}

// Submit implements carobpulley.JobService.
func (c *Coordinator) Submit(ctx context.Context, j *work.Job) carobpulley.JobAnswer {
	if j.BestEffort {
		return c.runBestEffort(ctx, j)
	}
	began := time.Now()
	a := c.callOwner(ctx, j.ID, true, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return replyFromAnswer(c.submitAsOwner(ctx, j)), nil
		}
		body, err := work.EncodeJob(j)
		if err != nil {
			return nil, err
		}
		r, err := peer.Coordinator.Submit(ctx, connect.NewRequest(&relay.SubmitRequest{
			Id: j.ID, Job: body, Coordinator: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Number: c.lastAttempt.Add(1),
		}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	took := time.Since(began)
	c.recordAnswer(j, a, took)
	c.log.Info().Str("job", j.ID).Int64("took_ms", took.Milliseconds()).Str("queue", j.Queue.Name).Int("tasks", j.Tasks()).
		Int("code", int(a.Code)).Str("why", a.Reason).Msg("submitted")
	return a
}

// State implements carobpulley.JobService.
func (c *Coordinator) State(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	return c.callOwner(ctx, id, false, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return replyFromAnswer(c.stateAsOwner(queue, id)), nil
		}
		r, err := peer.Coordinator.State(ctx, connect.NewRequest(&relay.StateRequest{Id: id, Queue: queue}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

// Cancel implements carobpulley.JobService.
func (c *Coordinator) Cancel(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	a := c.callOwner(ctx, id, true, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return replyFromAnswer(c.cancelAsOwner(ctx, queue, id)), nil
		}
		r, err := peer.Coordinator.Cancel(ctx, connect.NewRequest(&relay.CancelRequest{Id: id, Queue: queue}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	c.log.Info().Str("job", id).Int("code", int(a.Code)).Str("why", a.Reason).Msg("cancel")
	return a
}

// ownerCall is a call to the owner of a shard; peer is nil if that is this process.
type ownerCall func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error)

// callOwner makes a call to the owner of a job. It waits for an owner and retries for at
// most ownerWait. If mutates is set, a call without an answer may have taken effect.
func (c *Coordinator) callOwner(ctx context.Context, id string, mutates bool, do ownerCall) carobpulley.JobAnswer {
	number := work.ShardOf(id, c.cfg.Shards)
	until := time.Now().Add(ownerWait)
	uncertain := false
	reason := "its shard has no owner"
	for ctx.Err() == nil && time.Now().Before(until) {
		peer, known, changed := c.ownerOf(number)
		if known {
			a, answered, unconfirmed := callOwnerOnce(ctx, peer, do)
			if answered && (a.Code != carobpulley.AnswerUnknown || !mutates) {
				return correctRefusal(a, uncertain, mutates)
			}
			uncertain = uncertain || unconfirmed
			if a.Reason != "" {
				reason = a.Reason
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(forwardRetryInterval):
		}
	}
	if uncertain && mutates {
		return unknownAnswer(reason)
	}
	return refusedAnswer(reason)
}

// callOwnerOnce makes one call. answered is set if the owner answered, unconfirmed if
// the call may have taken effect although no answer confirms it.
func callOwnerOnce(ctx context.Context, peer *link.Peer, do ownerCall) (a carobpulley.JobAnswer, answered, unconfirmed bool) {
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := do(call, peer)
	switch {
	case err != nil && peer != nil:
		err = peer.CallError("call", err)
		return carobpulley.JobAnswer{Reason: err.Error()}, false, carobpulley.KindOf(err) == carobpulley.KindUnknown
	case err != nil:
		return carobpulley.JobAnswer{Reason: err.Error()}, false, false
	case reply.GetCode() == relay.Code_CODE_NOT_OWNER:
		return carobpulley.JobAnswer{}, false, false
	}
	a = answerFromReply(reply)
	return a, true, a.Code == carobpulley.AnswerUnknown
}

// correctRefusal turns a refusal into an unknown outcome after an attempt whose effect
// is uncertain: an append by an earlier owner may have stored the job.
func correctRefusal(a carobpulley.JobAnswer, uncertain, mutates bool) carobpulley.JobAnswer {
	if a.Code == carobpulley.AnswerRefused && uncertain && mutates {
		return unknownAnswer(a.Reason)
	}
	return a
}

// ownerOf returns the owner of a shard; a nil peer stands for this process. The
// channel is closed when ownership changes.
func (c *Coordinator) ownerOf(number int) (peer *link.Peer, known bool, changed chan struct{}) {
	c.lock()
	defer c.mu.Unlock()
	if c.journals[number] != nil {
		return nil, true, c.ownershipChanged
	}
	claim, known := c.claims[number]
	if !known || c.claimedBySelf(claim) {
		return nil, false, c.ownershipChanged
	}
	return c.peers.At(claim.Owner.Addr), true, c.ownershipChanged
}

// submitAsOwner adds a submitted job to the table and returns once it is stored.
func (c *Coordinator) submitAsOwner(ctx context.Context, spec *work.Job) carobpulley.JobAnswer {
	number := work.ShardOf(spec.ID, c.cfg.Shards)
	c.lock()
	now := c.now
	j := c.journals[number]
	if j == nil || c.handingOver(now) {
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: notOwner}
	}
	known := c.table.HasJob(spec.ID)
	if !known && (j.storeUnavailable(now) || !c.ownershipProven(now)) {
		c.mu.Unlock()
		return refusedAnswer("the store is away")
	}
	status, reason := c.table.Submit(now, spec)
	switch status {
	case jobs.SubmitRefused:
		c.mu.Unlock()
		return refusedAnswer(reason)
	case jobs.SubmitConflict:
		proven := c.ownershipProven(now)
		c.mu.Unlock()
		if !proven {
			return carobpulley.JobAnswer{Code: notOwner} // a newer owner may have stored this submission
		}
		return carobpulley.JobAnswer{Code: carobpulley.AnswerConflict, Reason: reason}
	case jobs.SubmitComplete:
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
	case jobs.SubmitUnreadable:
		c.mu.Unlock()
		return unknownAnswer(reason)
	case jobs.SubmitPending:
	}
	ch := c.addWaiter(spec.ID)
	c.flush()
	c.mu.Unlock()
	return c.awaitStored(ctx, spec.ID, ch, func(s jobs.StoredJob) bool { return s.Accepted })
}

func (c *Coordinator) stateAsOwner(queue, id string) carobpulley.JobAnswer {
	c.lock()
	defer c.mu.Unlock()
	if !c.ownsProven(work.ShardOf(id, c.cfg.Shards)) {
		return carobpulley.JobAnswer{Code: notOwner}
	}
	state, known := c.table.State(queue, id)
	if !known {
		return carobpulley.JobAnswer{Code: carobpulley.AnswerNotFound}
	}
	if state == "" {
		return refusedAnswer(jobs.ReasonUnreadable)
	}
	return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: state, Reason: c.table.Reason(id)}
}

func (c *Coordinator) cancelAsOwner(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	c.lock()
	if !c.ownsProven(work.ShardOf(id, c.cfg.Shards)) {
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: notOwner}
	}
	if state, known := c.table.State(queue, id); known && state == "" {
		c.mu.Unlock()
		return refusedAnswer(jobs.ReasonUnreadable)
	}
	known, stored := c.table.Cancel(c.now, queue, id)
	if !known || stored {
		c.flush()
		c.mu.Unlock()
		if !known {
			return carobpulley.JobAnswer{Code: carobpulley.AnswerNotFound}
		}
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
	}
	ch := c.addWaiter(id)
	c.flush()
	c.mu.Unlock()
	timer := time.NewTimer(forwardTimeout)
	defer timer.Stop()
	for {
		select {
		case w := <-ch:
			if w.shardReleased {
				return unknownAnswer("the shard was given up meanwhile")
			}
			if w.stored.State.Ended() {
				return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
			}
			c.lock()
			ch = c.addWaiter(id)
			c.mu.Unlock()
		case <-timer.C:
			return unknownAnswer("the store did not answer in time")
		case <-ctx.Done():
			return unknownAnswer("the store did not answer in time")
		}
	}
}
