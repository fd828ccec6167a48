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
	// holdTimeout bounds one call to a home: a host that has used up its share of the processor runs
	// again within 100 ms.
	holdTimeout = 120 * time.Millisecond
	// maxHoldTries bounds the calls for one job; each goes to the home that is then the next one.
	maxHoldTries = 3
	// holderTimeout bounds the question whether a holder has the job.
	holderTimeout = 150 * time.Millisecond
	// holderRetryInterval is the pause between two questions to a holder that does not answer.
	holderRetryInterval = 50 * time.Millisecond
	// holderGoneAfter is the age of a hold from which its holder is replaced if it does not answer.
	// Callers send a job again 1,300 ms after their call broke, or at once. At this age a call that was
	// made again at once is rare, and the runs of a holder that has ended are over.
	holderGoneAfter = 1300 * time.Millisecond
)

// holdings is what a coordinator knows of the processes that have best-effort jobs.
type holdings struct {
	// table has the ids whose home this process is.
	table *holds.Table
	homes *holds.Homes
	// members are the coordinators among which homes are chosen.
	members []holds.Member
	// pending holds the ids that this process asks for; the channels are closed when the
	// job is in the table, or at another process.
	pending map[string]chan struct{}
}

func newHoldings() holdings {
	return holdings{table: holds.New(), homes: holds.NewHomes(), pending: make(map[string]chan struct{})}
}

// updateHomes takes over the coordinators among which homes are chosen. The caller holds the lock.
func (c *Coordinator) updateHomes() {
	c.holdings.members = c.holdings.members[:0]
	for name, a := range c.coordinators {
		c.holdings.members = append(c.holdings.members, holds.Member{Name: name, Weight: a.Share})
	}
}

// self returns this process as a holder.
func (c *Coordinator) self() holds.Holder {
	return holds.Holder{Coordinator: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Addr: c.cfg.Self.Addr}
}

// acquire makes this process the only one that may start a best-effort job. If another one has the job,
// it waits for that one's result instead and returns it. Unless it does, the caller has to end the
// pending state of the id.
func (c *Coordinator) acquire(ctx context.Context, j *work.Job) (a carobpulley.JobAnswer, elsewhere bool) {
	if !c.beginPending(ctx, j.ID) {
		return carobpulley.JobAnswer{}, false
	}
	var replaced holds.Holder
	for ctx.Err() == nil {
		holder, since, held := c.askHome(ctx, j.ID, replaced)
		if !held || holder.Same(c.self()) {
			return carobpulley.JobAnswer{}, false
		}
		c.cfg.Meter.Add(meter.Name("holds", "elsewhere"), 1)
		c.log.Info().Str("job", j.ID).Str("coordinator", holder.Coordinator).Uint64("incarnation", holder.Incarnation).
			Int64("age_ms", c.clock.Now().Sub(since).Milliseconds()).Msg("held elsewhere")
		c.endPending(j.ID)
		joined := false
		if a, joined = c.join(ctx, holder, since, j); joined {
			return a, true
		}
		replaced = holder
		if !c.beginPending(ctx, j.ID) {
			return carobpulley.JobAnswer{}, false
		}
	}
	return carobpulley.JobAnswer{}, false
}

// beginPending marks an id as asked for. It waits while it is asked for already, and reports false if
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

// askHome asks the home of an id to let this process hold it in place of a replaced holder. held is not
// set if no home answers: the job then runs unguarded.
func (c *Coordinator) askHome(ctx context.Context, id string, replaced holds.Holder) (holder holds.Holder, since time.Time, held bool) {
	for range maxHoldTries {
		c.lock()
		now := c.now
		home := c.holdings.homes.Of(now, id, c.holdings.members)
		if home == "" || home == c.cfg.Self.Name {
			holder, since = c.holdings.table.Take(now, id, c.self(), replaced)
			c.mu.Unlock()
			c.cfg.Meter.Add(meter.Name("holds", "own"), 1)
			return holder, since, true
		}
		peer := c.peers.At(c.coordinators[home].Addr)
		c.mu.Unlock()
		holder, since, err := c.callHome(ctx, peer, id, replaced)
		if ctx.Err() != nil {
			break
		}
		if c.recordHome(home, peer, err) {
			return holder, since, true
		}
	}
	c.cfg.Meter.Add(meter.Name("holds", "unguarded"), 1)
	c.log.Warn().Str("job", id).Msg("no home answers, the job is not guarded against another start")
	return holds.Holder{}, time.Time{}, false
}

// callHome makes one call to a home.
func (c *Coordinator) callHome(ctx context.Context, peer *link.Peer, id string, replaced holds.Holder) (holder holds.Holder, since time.Time, err error) {
	call, cancel := withTimeout(ctx, holdTimeout)
	defer cancel()
	reply, err := peer.Coordinator.Hold(call, connect.NewRequest(&relay.HoldRequest{
		Id: id, Holder: link.HolderToWire(c.self()), Replaced: link.HolderToWire(replaced),
	}))
	if err != nil {
		return holds.Holder{}, time.Time{}, err
	}
	holder, err = link.HolderFromWire(reply.Msg.GetHolder())
	return holder, c.clock.Now().Add(-link.HoldAge(reply.Msg)), err
}

// recordHome records whether a home has answered. A connection that broke tells nothing about the home,
// which the next call asks over another one.
func (c *Coordinator) recordHome(home string, peer *link.Peer, err error) bool {
	c.lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.holdings.homes.Answered(home)
		c.cfg.Meter.Add(meter.Name("holds", "granted"), 1)
		return true
	case link.ConnectionBroken(err):
		c.cfg.Meter.Add(meter.Name("holds", "broken"), 1)
	default:
		c.holdings.homes.Failed(c.now, home)
		c.cfg.Meter.Add(meter.Name("holds", "unanswered"), 1)
		c.log.Warn().Err(peer.CallError("hold", err)).Str("coordinator", home).Msg("hold not answered")
	}
	return false
}

// join adds a submission to a job that another process holds and returns its result. joined is not set
// if that process does not have the job, or is gone.
func (c *Coordinator) join(ctx context.Context, holder holds.Holder, since time.Time, j *work.Job) (a carobpulley.JobAnswer, joined bool) {
	body, err := work.EncodeJob(j)
	if err != nil {
		return carobpulley.JobAnswer{Code: carobpulley.AnswerInvalid, Reason: err.Error()}, true
	}
	peer := c.peers.At(holder.Addr)
	goneAt := since.Add(holderGoneAfter)
	for ctx.Err() == nil {
		code, err := c.askHolder(ctx, peer, holder, j.ID)
		switch {
		case err == nil && code == relay.Code_CODE_NOT_OWNER:
			return carobpulley.JobAnswer{}, false
		case err == nil && code == relay.Code_CODE_OK:
			reply, err := peer.Coordinator.Join(ctx, connect.NewRequest(&relay.JoinRequest{Id: j.ID, Job: body, Incarnation: holder.Incarnation}))
			if err == nil && reply.Msg.GetCode() != relay.Code_CODE_NOT_OWNER {
				c.cfg.Meter.Add("joins", 1)
				return answerFromReply(reply.Msg), true
			}
			continue
		}
		now := c.clock.Now()
		if !now.Before(goneAt) {
			return carobpulley.JobAnswer{}, false
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < goneAt.Sub(now) {
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

// Hold implements relay.CoordinatorServiceHandler.
func (s server) Hold(_ context.Context, r *connect.Request[relay.HoldRequest]) (*connect.Response[relay.HoldReply], error) {
	by, err := link.HolderFromWire(r.Msg.GetHolder())
	if err == nil {
		err = work.CheckID(r.Msg.GetId())
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	replaced, err := link.HolderFromWire(r.Msg.GetReplaced())
	if err != nil {
		replaced = holds.Holder{}
	}
	c := s.c
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	holder, since := c.holdings.table.Take(now, r.Msg.GetId(), by, replaced)
	return connect.NewResponse(&relay.HoldReply{Holder: link.HolderToWire(holder), AgeMs: now.Sub(since).Milliseconds()}), nil
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
	return connect.NewResponse(replyFromAnswer(c.joinBestEffort(ctx, j))), nil
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
