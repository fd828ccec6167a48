package coord

import (
	"context"
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
	// holdTimeout bounds one call to a home: a host that has used up its share of the processor runs
	// again within 100 ms.
	holdTimeout = 120 * time.Millisecond
	// relayTimeout bounds a call to the next home, which may ask the one that did not answer, over an open
	// connection and a new one.
	relayTimeout = 3*holdTimeout + 20*time.Millisecond
	// maxHoldTries bounds the calls for one job; each goes to the home that is then the next one.
	maxHoldTries = 3
	// maxHoldBatch bounds the ids of one call.
	maxHoldBatch = 256
)

// holdings is what a coordinator knows of the processes that have best-effort jobs.
type holdings struct {
	// table has the ids whose home this process is.
	table *holds.Table
	homes *holds.Homes
	// members are the coordinators among which homes are chosen, and view is the digest of their names and
	// weights, by which logs show whether two processes know the same.
	members []holds.Member
	view    uint64
	// pending holds the ids that this process asks for; the channels are closed when the
	// job is in the table, or at another process.
	pending map[string]chan struct{}
	// asks holds, by home, the asks that wait for the call under way; a home without a call has none.
	asks map[string][]*holdAsk
}

func newHoldings() holdings {
	return holdings{
		table: holds.New(), homes: holds.NewHomes(),
		pending: make(map[string]chan struct{}), asks: make(map[string][]*holdAsk),
	}
}

// holdAsk asks the home of an id to let a process hold it in place of a replaced hold.
type holdAsk struct {
	id       string
	by       holds.Holder
	replaced uint64
	// again is set if another home did not answer the ask, and passedOn if the process that gets it is to
	// answer it itself.
	again, passedOn bool
	// done is closed when the home has answered or the call has failed.
	done chan struct{}
	// answered is set if the home has answered, with the hold in force.
	answered bool
	hold     holds.Hold
}

// updateHomes takes over the coordinators among which homes are chosen. The caller holds the lock.
func (c *Coordinator) updateHomes() {
	c.holdings.members = c.holdings.members[:0]
	for name, a := range c.coordinators {
		c.holdings.members = append(c.holdings.members, holds.Member{Name: name, Weight: a.Share})
	}
	c.holdings.view = holds.Digest(c.holdings.members)
}

// grant tells by which home and which view of the members a process was let start a job.
type grant struct {
	home string
	// passedOver are the members before the home in the order for the id.
	passedOver []string
	number     uint64
	members    int
	view       uint64
}

// newGrant returns the grant of an id by a home. The caller holds the lock.
func (c *Coordinator) newGrant(id, home string) grant {
	return grant{
		home: home, passedOver: holds.Before(id, home, c.holdings.members),
		members: len(c.holdings.members), view: c.holdings.view,
	}
}

// fields adds the grant to a log line.
func (g grant) fields(e *zerolog.Event) {
	if g.home == "" {
		return
	}
	e.Str("home", g.home).Uint64("hold", g.number).Int("members", g.members).Str("view", strconv.FormatUint(g.view, 16))
	if len(g.passedOver) > 0 {
		e.Strs("passed_over", g.passedOver)
	}
}

// askHome asks the home of an id to let this process hold it in place of a replaced hold; 0 if there is
// none. It returns the hold in force. held is not set if no home answers: the job then runs unguarded.
func (c *Coordinator) askHome(ctx context.Context, id string, replaced uint64) (h holds.Hold, g grant, held bool) {
	for n := range maxHoldTries {
		ask := &holdAsk{id: id, by: c.self(), replaced: replaced, again: n > 0, done: make(chan struct{})}
		c.lock()
		now := c.now
		home := c.holdings.homes.Ask(now, id, c.cfg.Self.Name, c.holdings.members)
		c.submitAsk(now, ask, home)
		g = c.newGrant(id, home)
		c.mu.Unlock()
		select {
		case <-ask.done:
		case <-ctx.Done():
			return holds.Hold{}, grant{}, false
		}
		if ask.answered {
			if home == c.cfg.Self.Name && ask.hold.Holder.Same(c.self()) {
				c.copyHold(ctx, id)
			}
			g.number = ask.hold.Number
			return ask.hold, g, true
		}
	}
	c.cfg.Meter.Add(meter.Name("holds", "unguarded"), 1)
	c.log.Warn().Str("job", id).Msg("no home answers, the job is not guarded against another start")
	return holds.Hold{}, grant{}, false
}

// copyHold gives the hold of a job whose home is this process to the home after it, which has to know of
// it if this process ends.
func (c *Coordinator) copyHold(ctx context.Context, id string) {
	ask := &holdAsk{id: id, by: c.self(), replaced: holds.AnyHold, passedOn: true, done: make(chan struct{})}
	c.lock()
	now := c.now
	next := c.holdings.homes.Next(now, id, c.cfg.Self.Name, c.holdings.members)
	if next != "" {
		c.submitAsk(now, ask, next)
	}
	c.mu.Unlock()
	if next == "" {
		return
	}
	select {
	case <-ask.done:
	case <-ctx.Done():
	}
}

// submitAsk adds an ask to the next call to a home, or answers it if that is this process. The caller
// holds the lock.
func (c *Coordinator) submitAsk(now time.Time, ask *holdAsk, home string) {
	if home == "" || home == c.cfg.Self.Name {
		c.takeHere(now, ask)
		return
	}
	waiting, calling := c.holdings.asks[home]
	c.holdings.asks[home] = append(waiting, ask)
	if !calling {
		go c.callHome(home)
	}
}

// takeHere answers an ask as the home of its id. The caller holds the lock.
func (c *Coordinator) takeHere(now time.Time, ask *holdAsk) {
	ask.hold, ask.answered = c.holdings.table.Take(now, ask.id, ask.by, ask.replaced), true
	close(ask.done)
	switch {
	case !ask.by.Same(c.self()):
	case len(c.holdings.members) == 0:
		c.cfg.Meter.Add(meter.Name("holds", "unguarded"), 1)
	default:
		c.cfg.Meter.Add(meter.Name("holds", "own"), 1)
	}
}

// callHome calls a home until no asks for it are left. One call at a time carries all that have come
// during the one before, so that a busy coordinator makes fewer calls, not more.
func (c *Coordinator) callHome(home string) {
	for {
		c.lock()
		asks := c.holdings.asks[home]
		if len(asks) == 0 {
			delete(c.holdings.asks, home)
			c.mu.Unlock()
			return
		}
		n := min(len(asks), maxHoldBatch)
		asks, c.holdings.asks[home] = asks[:n:n], asks[n:]
		peer := c.peers.At(c.coordinators[home].Addr)
		c.mu.Unlock()
		if c.recordHome(home, c.sendAsks(peer, asks), len(asks)) {
			asks = append(asks, c.takeWaiting(home)...)
		}
		for _, ask := range asks {
			close(ask.done)
		}
	}
}

// takeWaiting returns the asks that wait for the next call to a home.
func (c *Coordinator) takeWaiting(home string) []*holdAsk {
	c.lock()
	defer c.mu.Unlock()
	asks := c.holdings.asks[home]
	c.holdings.asks[home] = nil
	return asks
}

// sendAsks calls a home, and sets the answers of the asks. A call that fails over a connection that was open
// before is made again over a new one: the connection may have ended or gone silent, which tells nothing about
// the home, and others may go on asking it.
func (c *Coordinator) sendAsks(peer *link.Peer, asks []*holdAsk) error {
	reused, err := c.sendAsksOnce(peer, asks)
	if err == nil || !reused {
		return err
	}
	c.log.Info().Err(peer.CallError("hold", err)).Int("asks", len(asks)).Msg("hold repeated over a new connection")
	c.cfg.Meter.Add(meter.Name("holds", "repeated"), int64(len(asks)))
	peer.CloseIdleConnections()
	_, err = c.sendAsksOnce(peer, asks)
	return err
}

// sendAsksOnce makes one call. reused is set if it went over a connection that was open before.
func (c *Coordinator) sendAsksOnce(peer *link.Peer, asks []*holdAsk) (reused bool, err error) {
	timeout := holdTimeout
	m := &relay.HoldRequest{Holder: link.HolderToWire(c.self()), Asks: make([]*relay.HoldAsk, len(asks))}
	for n, ask := range asks {
		m.Asks[n] = &relay.HoldAsk{Id: ask.id, Replaced: ask.replaced}
		if ask.passedOn || !ask.by.Same(c.self()) {
			m.Asks[n].Holder = link.HolderToWire(ask.by)
		}
		if ask.again {
			timeout = relayTimeout
		}
	}
	call, cancel := withTimeout(c.baseCtx, timeout)
	defer cancel()
	call, wasReused := link.WithReuseTrace(call)
	reply, err := peer.Coordinator.Hold(call, connect.NewRequest(m))
	if err != nil {
		return wasReused(), err
	}
	now := c.clock.Now()
	for n, m := range reply.Msg.GetHolds()[:min(len(asks), len(reply.Msg.GetHolds()))] {
		if asks[n].hold, err = link.HoldFromWire(now, asks[n].by, m); err != nil {
			return false, err
		}
		asks[n].answered = true
	}
	return false, nil
}

// recordHome records whether a home has answered, and reports whether it is passed over now.
func (c *Coordinator) recordHome(home string, err error, asks int) (down bool) {
	c.lock()
	defer c.mu.Unlock()
	c.cfg.Meter.Add("hold_calls", 1)
	if err == nil {
		c.holdings.homes.Answered(home)
		c.cfg.Meter.Add(meter.Name("holds", "granted"), int64(asks))
		return false
	}
	c.holdings.homes.Failed(c.now, home)
	c.cfg.Meter.Add(meter.Name("holds", "unanswered"), int64(asks))
	c.log.Warn().Err(err).Str("coordinator", home).Int("asks", asks).Msg("hold not answered")
	return true
}

// Hold implements relay.CoordinatorServiceHandler. Asks for ids whose home is another process, as far as
// this one knows, are passed on: the sender has passed that home over, and others may not have.
func (s server) Hold(ctx context.Context, r *connect.Request[relay.HoldRequest]) (*connect.Response[relay.HoldReply], error) {
	asks, err := asksFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	c := s.c
	c.lock()
	for _, ask := range asks {
		c.passOn(ask)
	}
	c.mu.Unlock()
	for n := range asks {
		if asks[n], err = c.awaitHome(ctx, asks[n]); err != nil {
			return nil, err
		}
	}
	now := c.clock.Now()
	reply := &relay.HoldReply{Holds: make([]*relay.Hold, len(asks))}
	for n, ask := range asks {
		reply.Holds[n] = link.HoldToWire(now, ask.by, ask.hold)
	}
	return connect.NewResponse(reply), nil
}

// passOn adds an ask of another process to the next call to the home of its id, or answers it if that is
// this process or the ask was passed on before. The caller holds the lock.
func (c *Coordinator) passOn(ask *holdAsk) {
	now, home := c.now, c.cfg.Self.Name
	if !ask.passedOn {
		home = c.holdings.homes.Of(now, ask.id, c.holdings.members)
	}
	c.submitAsk(now, ask, home)
}

// awaitHome waits for the answer to an ask of another process. If the home does not answer, the ask is
// passed on to the next one once, and then answered here.
func (c *Coordinator) awaitHome(ctx context.Context, ask *holdAsk) (*holdAsk, error) {
	for n := 0; ; n++ {
		select {
		case <-ask.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if ask.answered {
			return ask, nil
		}
		ask = &holdAsk{id: ask.id, by: ask.by, replaced: ask.replaced, passedOn: n > 0, done: make(chan struct{})}
		c.lock()
		c.passOn(ask)
		c.mu.Unlock()
	}
}

func asksFromWire(m *relay.HoldRequest) ([]*holdAsk, error) {
	sender, err := link.HolderFromWire(m.GetHolder())
	if err != nil {
		return nil, err
	}
	asks := make([]*holdAsk, len(m.GetAsks()))
	for n, ask := range m.GetAsks() {
		if err := work.CheckID(ask.GetId()); err != nil {
			return nil, err
		}
		asks[n] = &holdAsk{id: ask.GetId(), by: sender, replaced: ask.GetReplaced(), done: make(chan struct{})}
		if ask.GetHolder() == nil {
			continue
		}
		asks[n].passedOn = true
		if asks[n].by, err = link.HolderFromWire(ask.GetHolder()); err != nil {
			return nil, err
		}
	}
	return asks, nil
}
