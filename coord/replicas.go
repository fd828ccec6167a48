package coord

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// holdTimeout bounds one call to a replica: a host that has used up its share of the processor runs
	// again within 100 ms.
	holdTimeout = 120 * time.Millisecond
	// maxHoldBatch bounds the ids of one call.
	maxHoldBatch = 256
)

// holdings is what a coordinator knows of the processes that have best-effort jobs.
type holdings struct {
	// table has the ids of which this process is a replica. Until youngUntil it may lack holds in force.
	table      *holds.Table
	youngUntil time.Time
	// reachedAt is the time at which this process last reached an agent, and reaching is set while it tries to.
	reachedAt time.Time
	reaching  bool
	// members are the coordinators among which replicas are chosen, and view is their digest, by which logs
	// show whether two processes know the same.
	members *holds.Members
	view    uint64
	// lastNumber is the number of the latest hold that this process has asked for.
	lastNumber uint64
	// pending holds the ids that this process asks for; the channels are closed when the
	// job is in the table, or at another process.
	pending map[string]chan struct{}
	// asks holds, by replica, the asks that wait for the call under way; a replica without a call has none.
	asks map[string][]*holdAsk
	// forwarded holds the coordinators that are reached over agents, and when each is tried directly again.
	forwarded map[string]time.Time
}

func newHoldings(now time.Time) holdings {
	return holdings{
		table: holds.New(), youngUntil: now.Add(agentTimeout), reachedAt: now,
		members: holds.NewMembers(now, holds.Timing{Silent: agentTimeout, Ended: agentTimeout, Forgotten: agentTimeout}),
		pending: make(map[string]chan struct{}), asks: make(map[string][]*holdAsk),
		forwarded: make(map[string]time.Time),
	}
}

// holdAsk asks a replica of an id to let this process hold it in place of a replaced hold.
type holdAsk struct {
	id               string
	number, replaced uint64
	replica          string
	// vote is the answer; nil if there was none.
	vote    *holds.Vote
	silence holds.Silence
	// done gets the ask when the replica has answered or the call has failed.
	done chan<- *holdAsk
}

// updateMembers takes over the coordinators among which replicas are chosen. The caller holds the lock.
func (c *Coordinator) updateMembers() {
	members := make([]holds.Member, 0, len(c.coordinators))
	for name, a := range c.coordinators {
		members = append(members, holds.Member{Name: name, Weight: a.Share, Domain: a.Domain})
	}
	c.holdings.members.Set(members)
	c.holdings.view = c.holdings.members.Digest()
}

// grant tells by which replicas and which view of the members a process was let start a job.
type grant struct {
	replicas, silent []string
	number           uint64
	members          int
	view             uint64
}

// fields adds the grant to a log line.
func (g grant) fields(e *zerolog.Event) {
	if g.number == 0 {
		return
	}
	e.Strs("replicas", g.replicas).Uint64("hold", g.number).Int("members", g.members).Str("view", strconv.FormatUint(g.view, 16))
	if len(g.silent) > 0 {
		e.Strs("silent", g.silent)
	}
}

// askReplicas asks the replicas of an id to let this process hold it in place of a replaced hold; 0 if there
// is none. It returns the hold in force with its outcome, Pending if ctx ends before.
func (c *Coordinator) askReplicas(ctx context.Context, id string, replaced uint64) (holds.Outcome, holds.Hold, grant) {
	for {
		outcome, hold, g := c.holdBallot(ctx, id, replaced)
		c.lock()
		changed := c.holdings.view != g.view
		c.mu.Unlock()
		if outcome == holds.Pending || !changed {
			return outcome, hold, g
		}
	}
}

// holdBallot asks the replicas of an id by the members that are known now.
func (c *Coordinator) holdBallot(ctx context.Context, id string, replaced uint64) (holds.Outcome, holds.Hold, grant) {
	answers := make(chan *holdAsk, holds.VoterCount)
	c.lock()
	now := c.now
	ballot := c.holdings.members.Ballot(now, id, c.self())
	c.holdings.lastNumber = max(c.holdings.lastNumber+1, uint64(now.UnixNano()))
	g := grant{number: c.holdings.lastNumber, members: c.holdings.members.Len(), view: c.holdings.view}
	if c.holdings.apart(now, apartAfter) { // others may have left this process out, and it can't tell
		c.mu.Unlock()
		return holds.NoAnswer, holds.Hold{}, g
	}
	c.mu.Unlock()
	for {
		if next := ballot.Next(); len(next) > 0 {
			c.lock()
			for _, name := range next {
				c.submitAsk(c.now, &holdAsk{id: id, number: g.number, replaced: replaced, replica: name, done: answers})
			}
			c.mu.Unlock()
		}
		outcome, hold := ballot.Outcome()
		if outcome != holds.Pending {
			g.replicas, g.silent = ballot.Granting(), ballot.Silent()
			return outcome, hold, g
		}
		select {
		case ask := <-answers:
			ballot.Record(ask.replica, ask.vote, ask.silence)
		case <-ctx.Done():
			return holds.Pending, holds.Hold{}, grant{}
		}
	}
}

// submitAsk adds an ask to the next call to a replica, or answers it if that is this process. The caller
// holds the lock.
func (c *Coordinator) submitAsk(now time.Time, ask *holdAsk) {
	if ask.replica == c.cfg.Self.Name {
		h := c.holdings.table.Take(now, ask.id, c.self(), ask.number, ask.replaced)
		ask.vote = &holds.Vote{Hold: h, Young: c.holdings.young(now)}
		ask.done <- ask
		return
	}
	waiting, calling := c.holdings.asks[ask.replica]
	c.holdings.asks[ask.replica] = append(waiting, ask)
	if !calling {
		go c.callReplica(ask.replica)
	}
}

// callReplica calls a replica until no asks for it are left. One call at a time carries all that have come
// during the one before, so that a busy coordinator makes fewer calls, not more.
func (c *Coordinator) callReplica(name string) {
	for {
		c.lock()
		asks := c.holdings.asks[name]
		if len(asks) == 0 {
			delete(c.holdings.asks, name)
			c.mu.Unlock()
			return
		}
		n := min(len(asks), maxHoldBatch)
		asks, c.holdings.asks[name] = asks[:n:n], asks[n:]
		c.mu.Unlock()
		silence, err := c.callAndRecord(name, asks)
		if err != nil {
			asks = append(asks, c.takeWaiting(name)...)
		}
		for _, ask := range asks {
			ask.silence = silence
			ask.done <- ask
		}
	}
}

// takeWaiting returns the asks that wait for the next call to a replica.
func (c *Coordinator) takeWaiting(name string) []*holdAsk {
	c.lock()
	defer c.mu.Unlock()
	asks := c.holdings.asks[name]
	c.holdings.asks[name] = nil
	return asks
}

// callAndRecord calls a replica, sets the answers of the asks, and records whether it has answered.
func (c *Coordinator) callAndRecord(name string, asks []*holdAsk) (holds.Silence, error) {
	reply, told, err := c.callReplicaOver(name, asks)
	ended := link.ConnectionRefused(err)
	c.lock()
	defer c.mu.Unlock()
	c.cfg.Meter.Add("hold_calls", 1)
	switch {
	case err == nil:
		c.holdings.members.Answered(c.now, name, reply.GetYoung())
		c.learnMembers(reply.GetMembers())
		c.learnUse(name, reply.GetProcessorUse())
		return holds.Unreached, c.setVotes(asks, reply)
	case told:
		c.holdings.members.Failed(c.now, name, ended)
	default:
		c.holdings.members.Unreached(c.now, name)
	}
	c.cfg.Meter.Add(meter.Name("holds", "unanswered"), int64(len(asks)))
	c.log.Warn().Err(err).Str("coordinator", name).Int("asks", len(asks)).Bool("told", told).Bool("ended", ended).Msg("hold not answered")
	switch {
	case ended:
		return holds.Ended, err
	case told:
		return holds.Told, err
	}
	return holds.Unreached, err
}

// setVotes sets the answers of the asks. The caller holds the lock.
func (c *Coordinator) setVotes(asks []*holdAsk, reply *relay.HoldReply) error {
	for n, m := range reply.GetHolds()[:min(len(asks), len(reply.GetHolds()))] {
		h, err := link.HoldFromWire(c.now, c.self(), m)
		if err != nil {
			return err
		}
		asks[n].vote = &holds.Vote{Hold: h, Young: reply.GetYoung()}
	}
	return nil
}

// callReplicaOver calls a replica, directly or over an agent.
func (c *Coordinator) callReplicaOver(name string, asks []*holdAsk) (reply *relay.HoldReply, told bool, err error) {
	c.lock()
	addr := c.coordinators[name].Addr
	_, forwarded := c.holdings.forwarded[name]
	m := c.holdRequest(asks)
	c.mu.Unlock()
	if forwarded {
		if reply, err = c.forwardHold(addr, m); err == nil {
			return reply, false, nil
		}
	}
	if reply, err = c.callHold(c.baseCtx, addr, m); err == nil {
		c.recordRoute(name, false)
		return reply, false, nil
	}
	if link.ConnectionRefused(err) || connect.IsWireError(err) {
		return nil, true, err
	}
	reply, forwardErr := c.forwardHold(addr, m)
	if forwardErr != nil {
		return nil, connect.IsWireError(forwardErr), err
	}
	c.recordRoute(name, true)
	return reply, false, nil
}

// holdRequest returns a call with asks. The caller holds the lock.
func (c *Coordinator) holdRequest(asks []*holdAsk) *relay.HoldRequest {
	m := &relay.HoldRequest{Holder: link.HolderToWire(c.self()), View: c.holdings.view, Asks: make([]*relay.HoldAsk, len(asks))}
	for n, ask := range asks {
		m.Asks[n] = &relay.HoldAsk{Id: ask.id, Number: ask.number, Replaced: ask.replaced}
	}
	return m
}

// callHold calls a replica. A call that fails over a connection that was open before is made again over a new
// one: the connection may have ended or gone silent, which tells nothing about the replica.
func (c *Coordinator) callHold(ctx context.Context, addr netip.AddrPort, m *relay.HoldRequest) (*relay.HoldReply, error) {
	peer := c.peers.At(addr)
	reply, reused, err := callHoldOnce(ctx, peer, m)
	if err == nil || !reused {
		return reply, err
	}
	c.log.Info().Err(peer.CallError("hold", err)).Int("asks", len(m.GetAsks())).Msg("hold repeated over a new connection")
	c.cfg.Meter.Add(meter.Name("holds", "repeated"), int64(len(m.GetAsks())))
	peer.CloseIdleConnections()
	reply, _, err = callHoldOnce(ctx, peer, m)
	return reply, err
}

// callHoldOnce makes one call. reused is set if it went over a connection that was open before.
func callHoldOnce(ctx context.Context, peer *link.Peer, m *relay.HoldRequest) (r *relay.HoldReply, reused bool, err error) {
	call, cancel := withTimeout(ctx, holdTimeout)
	defer cancel()
	call, wasReused := link.WithReuseTrace(call)
	reply, err := peer.Coordinator.Hold(call, connect.NewRequest(m))
	if err != nil {
		return nil, wasReused(), err
	}
	return reply.Msg, false, nil
}

// probeReplicas calls the coordinators that are due for a probe. The caller holds the lock.
func (c *Coordinator) probeReplicas() {
	for _, name := range c.holdings.members.Probes(c.now) {
		if _, calling := c.holdings.asks[name]; !calling && name != c.cfg.Self.Name {
			c.holdings.asks[name] = nil
			go func() {
				_, _ = c.callAndRecord(name, nil)
				c.callReplica(name)
			}()
		}
	}
}

// Hold implements relay.CoordinatorServiceHandler.
func (s server) Hold(_ context.Context, r *connect.Request[relay.HoldRequest]) (*connect.Response[relay.HoldReply], error) {
	sender, err := link.HolderFromWire(r.Msg.GetHolder())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	holders := make([]holds.Holder, len(r.Msg.GetAsks()))
	for n, ask := range r.Msg.GetAsks() {
		if holders[n], err = askedFor(sender, ask); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	c := s.c
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	c.holdings.table.Heard(now, sender)
	c.holdings.members.Called(now, sender.Coordinator)
	reply := &relay.HoldReply{Holds: make([]*relay.Hold, len(holders)), Young: c.holdings.young(now), ProcessorUse: c.ownUse()}
	if r.Msg.GetView() != c.holdings.view {
		reply.Members = link.CoordinatorsToWire(c.coordinators)
	}
	for n, ask := range r.Msg.GetAsks() {
		id, number, replaced := ask.GetId(), ask.GetNumber(), ask.GetReplaced()
		if number == 0 {
			number = uint64(now.UnixNano())
		}
		if c.table.HasJob(id) && !c.table.BeingStopped(id) {
			replaced = 0 // a process that does not reach this one takes it for gone
		}
		reply.Holds[n] = link.HoldToWire(now, holders[n], c.holdings.table.Take(now, id, holders[n], number, replaced))
	}
	return connect.NewResponse(reply), nil
}

// learnMembers takes over the coordinators of a peer that knows others. The caller holds the lock.
func (c *Coordinator) learnMembers(members []*relay.Member) {
	for _, a := range link.CoordinatorsFromWire(members) {
		if known, ok := c.coordinators[a.Name]; !ok || known.Incarnation < a.Incarnation {
			c.log.Info().Str("coordinator", a.Name).Uint64("incarnation", a.Incarnation).Msg("coordinator told by a peer")
			c.handleCoordinatorAddress(a)
		}
	}
}

// askedFor returns the process that an ask is for.
func askedFor(sender holds.Holder, ask *relay.HoldAsk) (holds.Holder, error) {
	if err := work.CheckID(ask.GetId()); err != nil {
		return holds.Holder{}, err
	}
	if ask.GetHolder() == nil {
		return sender, nil
	}
	return link.HolderFromWire(ask.GetHolder())
}
