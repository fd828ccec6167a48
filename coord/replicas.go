package coord

import (
	"context"
	"net/netip"
	"slices"
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
	// hedgeAfter is the time after which another replica is asked beside those that have not answered.
	hedgeAfter = 40 * time.Millisecond
	// maxHoldBatch bounds the ids of one call.
	maxHoldBatch = 256
)

// holdings is what a coordinator knows of the processes that have best-effort jobs.
type holdings struct {
	// table has the ids of which this process is a replica. Until youngUntil it may lack holds in force.
	table      *holds.Table
	youngUntil time.Time
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
	// copies holds, by replica, the asks whose answers nobody waits for. They go with the next call, at the
	// next tick at the latest.
	copies map[string][]*holdAsk
	// forwarded holds the coordinators that are reached over agents, and when each is tried directly again.
	forwarded map[string]time.Time
}

func newHoldings(now time.Time) holdings {
	return holdings{
		table: holds.New(), youngUntil: now.Add(agentTimeout),
		members: holds.NewMembers(now, holds.Timing{Silent: agentTimeout, Ended: agentTimeout, Forgotten: agentTimeout}),
		pending: make(map[string]chan struct{}), asks: make(map[string][]*holdAsk), copies: make(map[string][]*holdAsk),
		forwarded: make(map[string]time.Time),
	}
}

// holdAsk asks a replica of an id to let this process hold it in place of a replaced hold.
type holdAsk struct {
	id               string
	number, replaced uint64
	replica          string
	// vote is the answer; nil if there was none.
	vote *holds.Vote
	// done gets the ask when the replica has answered or the call has failed; nil if nobody waits for it.
	done chan<- *holdAsk
}

// updateMembers takes over the coordinators among which replicas are chosen. The caller holds the lock.
func (c *Coordinator) updateMembers() {
	members := make([]holds.Member, 0, len(c.coordinators))
	for name, a := range c.coordinators {
		members = append(members, holds.Member{Name: name, Weight: a.Share})
	}
	c.holdings.members.Set(members)
	c.holdings.view = c.holdings.members.Digest()
}

// grant tells by which replicas and which view of the members a process was let start a job.
type grant struct {
	replicas, suspected []string
	number              uint64
	members             int
	view                uint64
}

// fields adds the grant to a log line.
func (g grant) fields(e *zerolog.Event) {
	if g.number == 0 {
		return
	}
	e.Strs("replicas", g.replicas).Uint64("hold", g.number).Int("members", g.members).Str("view", strconv.FormatUint(g.view, 16))
	if len(g.suspected) > 0 {
		e.Strs("suspected", g.suspected)
	}
}

// askReplicas asks the replicas of an id to let this process hold it in place of a replaced hold; 0 if there
// is none. It returns the hold in force with its outcome, Pending if ctx ends before.
func (c *Coordinator) askReplicas(ctx context.Context, id string, replaced uint64) (holds.Outcome, holds.Hold, grant) {
	answers := make(chan *holdAsk, holds.ReplicaCount)
	c.lock()
	now := c.now
	ballot := c.holdings.members.Ballot(now, id, c.self())
	c.holdings.lastNumber = max(c.holdings.lastNumber+1, uint64(now.UnixNano()))
	g := grant{number: c.holdings.lastNumber, members: c.holdings.members.Len(), view: c.holdings.view}
	send := func(replicas []string) {
		for _, name := range replicas {
			c.submitAsk(now, &holdAsk{id: id, number: g.number, replaced: replaced, replica: name, done: answers})
		}
	}
	send(ballot.Ask())
	c.mu.Unlock()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for {
		outcome, hold := ballot.Outcome()
		if outcome != holds.Pending {
			g.replicas, g.suspected = ballot.Granting(), ballot.Suspected()
			if outcome == holds.Granted {
				c.copyHold(id, g.number, ballot.Copies())
			}
			return outcome, hold, g
		}
		var more []string
		select {
		case ask := <-answers:
			ballot.Record(ask.replica, ask.vote)
			more = ballot.Ask()
		case <-hedge.C:
			if name := ballot.AskAnother(); name != "" {
				more = append(more, name)
			}
		case <-ctx.Done():
			return holds.Pending, holds.Hold{}, grant{}
		}
		if len(more) > 0 {
			c.lock()
			now = c.now
			send(more)
			c.mu.Unlock()
		}
	}
}

// copyHold tells replicas of a grant with the next calls to them.
func (c *Coordinator) copyHold(id string, number uint64, replicas []string) {
	if len(replicas) == 0 {
		return
	}
	c.lock()
	defer c.mu.Unlock()
	for _, name := range replicas {
		c.holdings.copies[name] = append(c.holdings.copies[name], &holdAsk{id: id, number: number, replica: name})
	}
}

// sendCopies calls the replicas for which copies of holds wait. The caller holds the lock.
func (c *Coordinator) sendCopies() {
	for name := range c.holdings.copies {
		if _, calling := c.holdings.asks[name]; !calling {
			c.holdings.asks[name] = nil
			go c.callReplica(name)
		}
	}
}

// submitAsk adds an ask to the next call to a replica, or answers it if that is this process. The caller
// holds the lock.
func (c *Coordinator) submitAsk(now time.Time, ask *holdAsk) {
	if ask.replica == c.cfg.Self.Name {
		h := c.holdings.table.Take(now, ask.id, c.self(), ask.number, ask.replaced)
		ask.vote = &holds.Vote{Hold: h, Young: now.Before(c.holdings.youngUntil)}
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
		asks := slices.Concat(c.holdings.asks[name], c.holdings.copies[name])
		delete(c.holdings.copies, name)
		if len(asks) == 0 {
			delete(c.holdings.asks, name)
			c.mu.Unlock()
			return
		}
		n := min(len(asks), maxHoldBatch)
		asks, c.holdings.asks[name] = asks[:n:n], asks[n:]
		c.mu.Unlock()
		if c.recordReplica(name, c.sendAsks(name, asks), len(asks)) {
			asks = append(asks, c.takeWaiting(name)...)
		}
		for _, ask := range asks {
			if ask.done != nil {
				ask.done <- ask
			}
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

// sendAsks calls a replica, directly or over an agent, and sets the answers of the asks.
func (c *Coordinator) sendAsks(name string, asks []*holdAsk) error {
	c.lock()
	addr := c.coordinators[name].Addr
	c.mu.Unlock()
	m := c.holdRequest(asks)
	forwarded := c.isForwarded(name)
	var reply *relay.HoldReply
	var err error
	if forwarded {
		reply, err = c.forwardHold(addr, m)
	}
	if !forwarded || err != nil {
		forwarded = false
		if reply, err = c.callHold(c.baseCtx, addr, m); err != nil && !link.ConnectionRefused(err) {
			forwarded = true
			if r, forwardErr := c.forwardHold(addr, m); forwardErr == nil {
				reply, err = r, nil
			}
		}
	}
	if err != nil {
		return err
	}
	c.recordRoute(name, forwarded)
	now := c.clock.Now()
	for n, m := range reply.GetHolds()[:min(len(asks), len(reply.GetHolds()))] {
		h, err := link.HoldFromWire(now, c.self(), m)
		if err != nil {
			return err
		}
		asks[n].vote = &holds.Vote{Hold: h, Young: reply.GetYoung()}
	}
	return nil
}

func (c *Coordinator) holdRequest(asks []*holdAsk) *relay.HoldRequest {
	m := &relay.HoldRequest{Holder: link.HolderToWire(c.self()), Asks: make([]*relay.HoldAsk, len(asks))}
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

// recordReplica records whether a replica has answered, and reports whether it is suspected now.
func (c *Coordinator) recordReplica(name string, err error, asks int) (suspected bool) {
	c.lock()
	defer c.mu.Unlock()
	c.cfg.Meter.Add("hold_calls", 1)
	if err == nil {
		c.holdings.members.Answered(c.now, name)
		return false
	}
	c.holdings.members.Failed(c.now, name, link.ConnectionRefused(err))
	c.cfg.Meter.Add(meter.Name("holds", "unanswered"), int64(asks))
	c.log.Warn().Err(err).Str("coordinator", name).Int("asks", asks).Msg("hold not answered")
	return true
}

// probeReplicas calls the coordinators that are due for a probe. The caller holds the lock.
func (c *Coordinator) probeReplicas() {
	for _, name := range c.holdings.members.Probes(c.now) {
		if _, calling := c.holdings.asks[name]; !calling && name != c.cfg.Self.Name {
			c.holdings.asks[name] = nil
			go func() {
				c.recordReplica(name, c.sendAsks(name, nil), 0)
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
	reply := &relay.HoldReply{Holds: make([]*relay.Hold, len(holders)), Young: now.Before(c.holdings.youngUntil)}
	for n, ask := range r.Msg.GetAsks() {
		number := ask.GetNumber()
		if number == 0 {
			number = uint64(now.UnixNano())
		}
		reply.Holds[n] = link.HoldToWire(now, holders[n], c.holdings.table.Take(now, ask.GetId(), holders[n], number, ask.GetReplaced()))
	}
	return connect.NewResponse(reply), nil
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
