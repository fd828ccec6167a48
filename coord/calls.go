package coord

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// retryAfter is the time to come back after a refusal.
	retryAfter = time.Second
	// ownerWait bounds the wait for an owner: a takeover of a silent owner takes
	// about a second, that of a killed one less.
	ownerWait = 900 * time.Millisecond
	// relayLimit bounds one call to an owner.
	relayLimit = 700 * time.Millisecond
	// relayPause separates the tries of one call.
	relayPause = 30 * time.Millisecond
	// storeWait bounds the wait for an append before a submission is withdrawn.
	storeWait = 600 * time.Millisecond
)

// Config implements carobpulley.Jobs.
func (c *Coordinator) Config() *work.RoutingConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// Ready implements carobpulley.Jobs.
func (c *Coordinator) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plan == nil || c.draining {
		return false
	}
	now := time.Now()
	for number := range c.cfg.Shards {
		claim, known := c.claims[number]
		if !known {
			return false
		}
		if c.mine(claim) {
			continue
		}
		if w := c.watch[number]; w == nil || now.Sub(w.goodAt) > loadGrace {
			return false
		}
	}
	return true
}

// Draining implements carobpulley.Jobs.
func (c *Coordinator) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

func refused(reason string) carobpulley.JobAnswer {
	return carobpulley.JobAnswer{Code: carobpulley.AnswerRefused, RetryAt: time.Now().Add(retryAfter), Reason: reason}
}

func unknown(reason string) carobpulley.JobAnswer {
	return carobpulley.JobAnswer{Code: carobpulley.AnswerUnknown, RetryAt: time.Now().Add(retryAfter), Reason: reason}
}

// Submit implements carobpulley.Jobs.
func (c *Coordinator) Submit(ctx context.Context, j *work.Job) carobpulley.JobAnswer {
	if j.BestEffort {
		return c.runVolatile(ctx, j)
	}
	began := time.Now()
	a := c.atOwner(ctx, j.ID, true, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return toReply(c.submitHere(ctx, j)), nil
		}
		body, err := work.EncodeJob(j)
		if err != nil {
			return nil, err
		}
		r, err := peer.Coordinator.Submit(ctx, connect.NewRequest(&relay.SubmitRequest{Id: j.ID, Job: body}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	took := time.Since(began)
	c.answered(j, a, took)
	c.log.Info().Str("job", j.ID).Int64("took_ms", took.Milliseconds()).Str("queue", j.Queue.Name).Int("tasks", j.Tasks()).
		Int("code", int(a.Code)).Str("why", a.Reason).Msg("submitted")
	return a
}

// State implements carobpulley.Jobs.
func (c *Coordinator) State(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	return c.atOwner(ctx, id, false, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return toReply(c.stateHere(queue, id)), nil
		}
		r, err := peer.Coordinator.State(ctx, connect.NewRequest(&relay.StateRequest{Id: id, Queue: queue}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
}

// Cancel implements carobpulley.Jobs.
func (c *Coordinator) Cancel(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	a := c.atOwner(ctx, id, true, func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error) {
		if peer == nil {
			return toReply(c.cancelHere(ctx, queue, id)), nil
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

// Pending implements carobpulley.Jobs. It adds up what the owners of all shards
// say.
func (c *Coordinator) Pending(ctx context.Context, queue string) (int, error) {
	c.mu.Lock()
	n := c.table.PendingCount(queue)
	owners := make(map[netip.AddrPort]bool)
	for number := range c.cfg.Shards {
		if c.journals[number] != nil {
			continue
		}
		claim, known := c.claims[number]
		if !known {
			c.mu.Unlock()
			return 0, &carobpulley.Error{Op: "pending", Kind: carobpulley.KindUnavailable, Msg: "a shard has no owner"}
		}
		owners[claim.Owner.Addr] = true
	}
	c.mu.Unlock()
	for addr := range owners {
		peer := c.peers.At(addr)
		call, cancel := context.WithTimeout(ctx, relayLimit)
		r, err := peer.Coordinator.Pending(call, connect.NewRequest(&relay.PendingRequest{Queue: queue}))
		cancel()
		if err != nil {
			return 0, peer.Failed("pending", err)
		}
		n += int(r.Msg.GetPending())
	}
	return n, nil
}

// call is made at the owner: peer is nil if that is this process.
type call func(ctx context.Context, peer *link.Peer) (*relay.JobReply, error)

// atOwner makes a call at the owner of a job, waiting for one for a while. If
// effect is set, a call without an answer may have taken effect.
func (c *Coordinator) atOwner(ctx context.Context, id string, effect bool, do call) carobpulley.JobAnswer {
	number := work.ShardOf(id, c.cfg.Shards)
	until := time.Now().Add(ownerWait)
	doubt := false
	why := "its shard has no owner"
	for ctx.Err() == nil && time.Now().Before(until) {
		peer, known, changed := c.owner(number)
		if known {
			a, answered, open := tryOwner(ctx, peer, do)
			if answered && (a.Code != carobpulley.AnswerUnknown || !effect) {
				return settled(a, doubt, effect)
			}
			doubt = doubt || open
			if a.Reason != "" {
				why = a.Reason
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(relayPause):
		}
	}
	if doubt && effect {
		return unknown(why)
	}
	return refused(why)
}

// tryOwner makes one call. Answered is set if the peer is the owner, open if the
// call may have taken effect though it has no answer.
func tryOwner(ctx context.Context, peer *link.Peer, do call) (a carobpulley.JobAnswer, answered, open bool) {
	limit, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	reply, err := do(limit, peer)
	switch {
	case err != nil && peer != nil:
		err = peer.Failed("call", err)
		return carobpulley.JobAnswer{Reason: err.Error()}, false, carobpulley.KindOf(err) == carobpulley.KindUnknown
	case err != nil:
		return carobpulley.JobAnswer{Reason: err.Error()}, false, false
	case reply.GetCode() == relay.Code_CODE_NOT_OWNER:
		return carobpulley.JobAnswer{}, false, false
	}
	a = fromReply(reply)
	return a, true, a.Code == carobpulley.AnswerUnknown
}

// settled corrects a refusal after a try whose effect is not known: the job may
// be stored by an earlier owner's append.
func settled(a carobpulley.JobAnswer, doubt, effect bool) carobpulley.JobAnswer {
	if a.Code == carobpulley.AnswerRefused && doubt && effect {
		return unknown(a.Reason)
	}
	return a
}

// owner returns the owner of a shard: a nil peer is this process. The channel is
// closed when ownership changes.
func (c *Coordinator) owner(number int) (peer *link.Peer, known bool, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.journals[number] != nil {
		return nil, true, c.changed
	}
	claim, known := c.claims[number]
	if !known || c.mine(claim) {
		return nil, false, c.changed
	}
	return c.peers.At(claim.Owner.Addr), true, c.changed
}

// submitHere takes a submission as the owner.
func (c *Coordinator) submitHere(ctx context.Context, spec *work.Job) carobpulley.JobAnswer {
	number := work.ShardOf(spec.ID, c.cfg.Shards)
	now := time.Now()
	c.mu.Lock()
	j := c.journals[number]
	if j == nil || c.handing(now) {
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: notOwner}
	}
	known := c.table.HasJob(spec.ID)
	if !known && (j.away(now) || !c.fresh(now)) {
		c.mu.Unlock()
		return refused("the store is away")
	}
	verdict, why := c.table.Submit(now, spec)
	switch verdict {
	case jobs.SubmitRefused:
		c.mu.Unlock()
		return refused(why)
	case jobs.SubmitComplete:
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
	case jobs.SubmitPending:
	}
	ch := c.wait(spec.ID)
	c.flush()
	c.mu.Unlock()
	return c.awaitStored(ctx, spec.ID, ch, func(s jobs.StoredJob) bool { return s.Accepted })
}

// wait registers a caller. The caller holds the lock.
func (c *Coordinator) wait(id string) chan waited {
	ch := make(chan waited, 1)
	c.waiters[id] = append(c.waiters[id], ch)
	return ch
}

// unwait removes a caller that gives up. The caller holds the lock.
func (c *Coordinator) unwait(id string, ch chan waited) {
	kept := c.waiters[id][:0]
	for _, other := range c.waiters[id] {
		if other != ch {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(c.waiters, id)
		return
	}
	c.waiters[id] = kept
}

// awaitStored waits until what the caller asked for is stored. After storeWait a
// submission that was not sent to the store is withdrawn.
func (c *Coordinator) awaitStored(ctx context.Context, id string, ch chan waited, enough func(jobs.StoredJob) bool) carobpulley.JobAnswer {
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	for {
		select {
		case w := <-ch:
			if w.lost {
				return unknown("the shard was given up meanwhile")
			}
			if enough(w.stored) {
				return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: w.stored.State}
			}
			c.mu.Lock()
			ch = c.wait(id)
			c.mu.Unlock()
		case <-timer.C:
			return c.giveUp(id, ch)
		case <-ctx.Done():
			return c.giveUp(id, ch)
		}
	}
}

func (c *Coordinator) giveUp(id string, ch chan waited) carobpulley.JobAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwait(id, ch)
	if c.table.Withdraw(id) {
		return refused("the store did not answer in time")
	}
	return unknown("the store did not answer in time")
}

func (c *Coordinator) stateHere(queue, id string) carobpulley.JobAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.journals[work.ShardOf(id, c.cfg.Shards)] == nil || !c.fresh(time.Now()) {
		return carobpulley.JobAnswer{Code: notOwner}
	}
	state, known := c.table.State(queue, id)
	if !known {
		return carobpulley.JobAnswer{Code: carobpulley.AnswerNotFound}
	}
	return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: state}
}

func (c *Coordinator) cancelHere(ctx context.Context, queue, id string) carobpulley.JobAnswer {
	c.mu.Lock()
	if c.journals[work.ShardOf(id, c.cfg.Shards)] == nil || !c.fresh(time.Now()) {
		c.mu.Unlock()
		return carobpulley.JobAnswer{Code: notOwner}
	}
	known, stored := c.table.Cancel(time.Now(), queue, id)
	if !known || stored {
		c.mu.Unlock()
		if !known {
			return carobpulley.JobAnswer{Code: carobpulley.AnswerNotFound}
		}
		return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
	}
	ch := c.wait(id)
	c.flush()
	c.mu.Unlock()
	timer := time.NewTimer(relayLimit)
	defer timer.Stop()
	for {
		select {
		case w := <-ch:
			if w.lost {
				return unknown("the shard was given up meanwhile")
			}
			if w.stored.State.Ended() {
				return carobpulley.JobAnswer{Code: carobpulley.AnswerOK}
			}
			c.mu.Lock()
			ch = c.wait(id)
			c.mu.Unlock()
		case <-timer.C:
			return unknown("the store did not answer in time")
		case <-ctx.Done():
			return unknown("the store did not answer in time")
		}
	}
}
