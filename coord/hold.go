package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// holderTimeout bounds the question whether a holder has the job.
	holderTimeout = 150 * time.Millisecond
	// holderRetryInterval is the pause between two questions to a holder that does not answer.
	holderRetryInterval = 50 * time.Millisecond
	// holderGoneAfter is the age of a hold from which its holder is replaced if it does not answer.
	// Callers send a job again 1,300 ms after their call broke, or at once. At this age a call that was
	// made again at once is rare, and the runs of a holder that has ended are over.
	holderGoneAfter = 1300 * time.Millisecond
)

// self returns this process as a holder.
func (c *Coordinator) self() holds.Holder {
	return holds.Holder{Coordinator: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Addr: c.cfg.Self.Addr}
}

// acquire makes this process the only one that may start a best-effort job: own is set, and the id is
// pending until the job is in the table. If another process has the job, it waits for that one's result
// and returns it: answered is set. Otherwise the job is in the table here.
func (c *Coordinator) acquire(ctx context.Context, j *work.Job) (own, answered bool, a carobpulley.JobAnswer) {
	replaced := uint64(0)
	for c.beginPending(ctx, j.ID) {
		h, held := c.askHome(ctx, j.ID, replaced)
		if !held || h.Holder.Same(c.self()) {
			return true, false, carobpulley.JobAnswer{}
		}
		c.cfg.Meter.Add(meter.Name("holds", "elsewhere"), 1)
		c.log.Info().Str("job", j.ID).Str("coordinator", h.Holder.Coordinator).Uint64("incarnation", h.Holder.Incarnation).
			Int64("age_ms", time.Since(h.At).Milliseconds()).Msg("held elsewhere")
		c.endPending(j.ID)
		if a, answered = c.join(ctx, h, j); answered {
			return false, true, a
		}
		replaced = h.Number
	}
	if err := ctx.Err(); err != nil {
		return false, true, refusedAnswer("the caller has left: " + err.Error())
	}
	return false, false, carobpulley.JobAnswer{}
}

// beginPending marks an id as pending. It waits while another submission has it so, and reports false if
// the job is in the table then or the caller has left.
func (c *Coordinator) beginPending(ctx context.Context, id string) bool {
	for {
		c.lock()
		if c.table.HasJob(id) || ctx.Err() != nil {
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

// join adds a submission to a job that another process holds and returns its result. joined is not set
// if that process does not have the job, or is gone.
func (c *Coordinator) join(ctx context.Context, h holds.Hold, j *work.Job) (a carobpulley.JobAnswer, joined bool) {
	body, err := work.EncodeJob(j)
	if err != nil {
		return carobpulley.JobAnswer{Code: carobpulley.AnswerInvalid, Reason: err.Error()}, true
	}
	peer := c.peers.At(h.Holder.Addr)
	goneAt := h.At.Add(holderGoneAfter)
	for ctx.Err() == nil {
		code, err := c.askHolder(ctx, peer, h.Holder, j.ID)
		switch {
		case err == nil && code == relay.Code_CODE_NOT_OWNER:
			return carobpulley.JobAnswer{}, false
		case err == nil && code == relay.Code_CODE_OK:
			reply, err := peer.Coordinator.Join(ctx, connect.NewRequest(&relay.JoinRequest{Id: j.ID, Job: body, Incarnation: h.Holder.Incarnation}))
			if err == nil && reply.Msg.GetCode() != relay.Code_CODE_NOT_OWNER {
				c.cfg.Meter.Add("joins", 1)
				return answerFromReply(reply.Msg), true
			}
			continue
		}
		now := time.Now()
		if !now.Before(goneAt) {
			return carobpulley.JobAnswer{}, false
		}
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(goneAt) {
			break
		}
		sleep(ctx, min(holderRetryInterval, goneAt.Sub(now)))
	}
	c.cfg.Meter.Add("joins_unanswered", 1)
	return unknownAnswer("another coordinator has the job and does not answer"), true
}

// askHolder asks a holder whether it has the job.
func (c *Coordinator) askHolder(ctx context.Context, peer *link.Peer, holder holds.Holder, id string) (relay.Code, error) {
	call, cancel := withTimeout(ctx, holderTimeout)
	defer cancel()
	reply, err := peer.Coordinator.Join(call, connect.NewRequest(&relay.JoinRequest{Id: id, Incarnation: holder.Incarnation}))
	if err != nil {
		err = peer.CallError("join", err)
		c.log.Warn().Err(err).Str("job", id).Str("coordinator", holder.Coordinator).Msg("holder does not answer")
		return relay.Code_CODE_UNSPECIFIED, err
	}
	return reply.Msg.GetCode(), nil
}

// Join implements relay.CoordinatorServiceHandler.
func (s server) Join(ctx context.Context, r *connect.Request[relay.JoinRequest]) (*connect.Response[relay.JobReply], error) {
	c, id := s.c, r.Msg.GetId()
	if r.Msg.GetIncarnation() != c.cfg.Self.Incarnation {
		// Runs of the process that had this address may be on.
		return connect.NewResponse(&relay.JobReply{Code: relay.Code_CODE_ABSENT}), nil
	}
	if len(r.Msg.GetJob()) == 0 {
		code := relay.Code_CODE_NOT_OWNER
		if c.awaitJob(ctx, id) {
			code = relay.Code_CODE_OK
		}
		return connect.NewResponse(&relay.JobReply{Code: code}), nil
	}
	j, err := work.DecodeJob(r.Msg.GetJob())
	if err != nil {
		return connect.NewResponse(&relay.JobReply{Code: relay.Code_CODE_INVALID, Reason: err.Error()}), nil
	}
	return connect.NewResponse(replyFromAnswer(c.runHere(ctx, j, false))), nil
}

// awaitJob waits while an id is asked for and reports whether the job is in the table then.
func (c *Coordinator) awaitJob(ctx context.Context, id string) bool {
	for {
		c.lock()
		has, asked := c.table.HasJob(id), c.holdings.pending[id]
		c.mu.Unlock()
		if has || asked == nil {
			return has
		}
		select {
		case <-asked:
		case <-ctx.Done():
			return false
		}
	}
}
