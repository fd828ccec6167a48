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
}

// acquire makes this process the only one that may start a best-effort job: own is set, and the id is
// pending until the job is in the table. If another process has the job, it waits for that one's result
// and returns it: answered is set. Otherwise the job is in the table here.
func (c *Coordinator) acquire(ctx context.Context, s *submission) (own, answered bool, a carobpulley.JobAnswer) {
	id := s.job.ID
	for n := 0; c.beginPending(ctx, id); n++ {
		h, held := c.askHome(ctx, id, s.replaced)
		if !held || h.Holder.Same(c.self()) {
			return true, false, carobpulley.JobAnswer{}
		}
		if n == 0 {
			c.cfg.Meter.Add(meter.Name("holds", "elsewhere"), 1)
			c.log.Info().Str("job", id).Str("coordinator", h.Holder.Coordinator).Uint64("incarnation", h.Holder.Incarnation).
				Int64("age_ms", ageMS(h.At)).Int64("seen_ms", ageMS(h.Seen)).Msg("held elsewhere")
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
		if now := time.Now(); !now.Before(goneAt) {
			s.replaced, s.uncertain = h.Number, true
			continue
		}
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(goneAt) {
			c.cfg.Meter.Add("joins_unanswered", 1)
			return false, true, unknownAnswer("another coordinator has the job and does not answer")
		}
		sleep(ctx, min(holderRetryInterval, time.Until(goneAt)))
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

func ageMS(t time.Time) int64 { return time.Since(t).Milliseconds() }

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

// joinResult is what became of a submission that was to join a job of another process.
type joinResult int

const (
	// joinUnanswered means that the process did not answer, or is another one than the holder.
	joinUnanswered joinResult = iota
	// joinAnswered means that there is an answer for the caller.
	joinAnswered
	// joinAbsent means that the holder does not have the job.
	joinAbsent
)

// join adds a submission to a job that another process holds and waits for its result.
func (c *Coordinator) join(ctx context.Context, h holds.Hold, s *submission) (carobpulley.JobAnswer, joinResult) {
	body, err := work.EncodeJob(s.job)
	if err != nil {
		return carobpulley.JobAnswer{Code: carobpulley.AnswerInvalid, Reason: err.Error()}, joinAnswered
	}
	peer := c.peers.At(h.Holder.Addr)
	switch code, err := c.askHolder(ctx, peer, h.Holder, s.job.ID); {
	case err == nil && code == relay.Code_CODE_NOT_OWNER:
		return carobpulley.JobAnswer{}, joinAbsent
	case err != nil || code != relay.Code_CODE_OK:
		return carobpulley.JobAnswer{}, joinUnanswered
	}
	s.joined = true
	c.cfg.Meter.Add("joins", 1)
	reply, err := peer.Coordinator.Join(ctx, connect.NewRequest(&relay.JoinRequest{Id: s.job.ID, Job: body, Incarnation: h.Holder.Incarnation}))
	switch {
	case err != nil:
		err = peer.CallError("join", err)
		c.log.Warn().Err(err).Str("job", s.job.ID).Str("coordinator", h.Holder.Coordinator).Msg("join failed")
		return carobpulley.JobAnswer{}, joinUnanswered
	case reply.Msg.GetCode() == relay.Code_CODE_NOT_OWNER:
		return carobpulley.JobAnswer{}, joinAbsent
	}
	return answerFromReply(reply.Msg), joinAnswered
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
