package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// holderTimeout bounds the question whether a holder has the job.
	holderTimeout = 150 * time.Millisecond
	// joinRepeatInterval is the time after which a call that waits for a holder's result is made again.
	joinRepeatInterval = 400 * time.Millisecond
	// joinLimit bounds one call that waits for a result: the departure of a process that has made no later one may
	// have got lost, and its caller may have left.
	joinLimit = 3 * joinRepeatInterval
	// joinGrace is the time after the end of a call's connection after which its caller counts as gone: it may call
	// again, over a new connection.
	joinGrace = 100 * time.Millisecond
	// maxRejoins bounds the calls that are made again at once after their connections have ended.
	maxRejoins = 3
)

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
	reply, err := c.awaitJoin(ctx, peer, h.Holder, s.job.ID, func() *relay.JoinRequest {
		return &relay.JoinRequest{Id: s.job.ID, Job: body, Incarnation: h.Holder.Incarnation}
	})
	s.leftAt = c.clock.Now()
	switch {
	case err != nil:
		err = peer.CallError("join", err)
		c.log.Warn().Err(err).Str("job", s.job.ID).Str("coordinator", h.Holder.Coordinator).Msg("join failed")
		return carobpulley.JobAnswer{}, joinUnanswered
	case reply.GetCode() == relay.Code_CODE_NOT_OWNER:
		return carobpulley.JobAnswer{}, joinAbsent
	}
	return answerFromReply(reply), joinAnswered
}

// errOtherProcess is the error of a call to a holder that has ended: runs of it may be on.
var errOtherProcess = &carobpulley.Error{Op: "join", Kind: carobpulley.KindUnknown, Msg: "another process has the holder's address"}

// joinCalls are the calls of Join by which a submission waits at a holder.
type joinCalls struct {
	ctx     context.Context
	peer    *link.Peer
	request func() *relay.JoinRequest
	results chan joinReply
	// older and newer end the two latest calls.
	older, newer context.CancelFunc
	// repeated is set once there was more than one call, and rejoins counts those made since a connection had ended.
	repeated bool
	rejoins  int
}

// joinReply is the outcome of one call.
type joinReply struct {
	reply *relay.JobReply
	err   error
}

// newJoinCalls makes the first call.
func newJoinCalls(ctx context.Context, peer *link.Peer, request func() *relay.JoinRequest) *joinCalls {
	j := &joinCalls{ctx: ctx, peer: peer, request: request, results: make(chan joinReply), older: func() {}}
	j.newer = j.call()
	return j
}

// call makes a call and returns the function that ends it.
func (j *joinCalls) call() context.CancelFunc {
	ctx, cancel := context.WithCancel(j.ctx)
	m := j.request()
	go func() {
		r := joinReply{}
		if reply, err := j.peer.Coordinator.Join(ctx, connect.NewRequest(m)); err != nil {
			r.err = err
		} else {
			r.reply = reply.Msg
		}
		if ctx.Err() != nil {
			return // this call, or all of them
		}
		select {
		case j.results <- r:
		case <-ctx.Done():
		}
	}()
	return cancel
}

// again makes another call beside the latest one. A call ends once two later ones wait: a holder gives a job up as its
// last caller leaves.
func (j *joinCalls) again() {
	j.older()
	j.older, j.newer, j.repeated = j.newer, j.call(), true
}

// rejoin makes another call if a connection has ended, which tells nothing about the peer.
func (j *joinCalls) rejoin(err error) bool {
	if err == nil || j.rejoins >= maxRejoins || link.ConnectionRefused(err) {
		return false
	}
	j.peer.CloseIdleConnections()
	j.rejoins++
	j.again()
	return true
}

func (j *joinCalls) end() {
	j.older()
	j.newer()
}

// awaitJoin calls Join at a holder. The connection of a call that waits for long may go silent, so another
// call joins it from time to time, over a connection that has just worked.
func (c *Coordinator) awaitJoin(ctx context.Context, peer *link.Peer, holder holds.Holder, id string, request func() *relay.JoinRequest) (*relay.JobReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := newJoinCalls(ctx, peer, request)
	defer calls.end()
	tick := time.NewTicker(joinRepeatInterval)
	defer tick.Stop()
	for {
		select {
		case r := <-calls.results:
			if calls.rejoin(r.err) {
				continue
			}
			if calls.repeated {
				return replyToRepeated(r.reply, r.err)
			}
			return r.reply, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
		code, err := c.askHolder(ctx, peer, holder, id)
		if err != nil {
			code, err = c.askHolder(ctx, peer, holder, id) // over a new connection
		}
		switch {
		case err != nil:
		case code == relay.Code_CODE_OK:
			calls.again()
		case code == relay.Code_CODE_ABSENT:
			return nil, errOtherProcess
		default: // the first call did not arrive
			return &relay.JobReply{Code: relay.Code_CODE_NOT_OWNER}, nil
		}
	}
}

// replyToRepeated returns what the answer to one of several calls tells about the job. Another one that has no answer
// may have run it.
func replyToRepeated(r *relay.JobReply, err error) (*relay.JobReply, error) {
	if err != nil {
		return nil, errors.Errorf("the last of several calls: %v", err) // it may be that this one was not sent
	}
	switch r.GetCode() {
	case relay.Code_CODE_ABSENT:
		return nil, errOtherProcess
	case relay.Code_CODE_DECLINED:
		return &relay.JobReply{Code: relay.Code_CODE_NOT_OWNER}, nil
	case relay.Code_CODE_REFUSED:
		return &relay.JobReply{Code: relay.Code_CODE_UNKNOWN, Reason: r.GetReason()}, nil
	default:
		return r, nil
	}
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
	ctx, cancel := withGrace(ctx, joinLimit, joinGrace)
	defer cancel()
	if r.Msg.GetTake() {
		if !c.beginAttempt(attempt{r.Msg.GetCoordinator(), r.Msg.GetSenderIncarnation(), r.Msg.GetNumber()}) {
			return connect.NewResponse(&relay.JobReply{Code: relay.Code_CODE_UNKNOWN, Reason: "the call arrived twice"}), nil
		}
		return connect.NewResponse(c.take(ctx, j, time.Duration(r.Msg.GetAgeMs())*time.Millisecond)), nil
	}
	return connect.NewResponse(replyFromAnswer(c.runHere(ctx, j, c.clock.Now(), false))), nil
}

// withGrace returns a context that ends after a timeout, at the parent's deadline, or a grace period after the parent
// was cancelled.
func withGrace(parent context.Context, timeout, grace time.Duration) (context.Context, context.CancelFunc) {
	deadline := time.Now().Add(timeout)
	if d, ok := parent.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(parent), deadline)
	stop := context.AfterFunc(parent, func() { time.AfterFunc(grace, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
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
