package coord

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"carobpulley/meter"
	"carobpulley/wire/relay"
)

const (
	// forwardTries bounds the agents over which one call to a coordinator is tried.
	forwardTries = 2
	// directProbeInterval is the time between two tries to reach a coordinator directly that is reached over
	// agents.
	directProbeInterval = time.Second
	// reachInterval is the time after which this process tries to reach an agent, if it has not, and apartAfter
	// that after which it takes itself to be cut off.
	reachInterval = 400 * time.Millisecond
	apartAfter    = reachInterval + 2*forwardTries*holdTimeout + proofMargin
)

// errNoAgent is the error of a call that no agent can pass on.
var errNoAgent = errors.New("no agent is attached")

// forwardHold calls a replica that can't be reached directly over an agent: coordinators may be cut off from
// each other while agents reach both.
func (c *Coordinator) forwardHold(addr netip.AddrPort, m *relay.HoldRequest) (*relay.HoldReply, error) {
	err := errNoAgent
	for _, agent := range c.forwardingAgents() {
		var reply *connect.Response[relay.HoldReply]
		peer := c.peers.At(agent)
		call, cancel := withTimeout(c.baseCtx, holdTimeout)
		reply, err = peer.Agent.Forward(call, connect.NewRequest(&relay.ForwardRequest{Addr: addr.String(), Hold: m}))
		cancel()
		if err == nil || connect.IsWireError(err) {
			c.lock()
			c.reachedAgent()
			c.mu.Unlock()
		}
		if err == nil {
			c.cfg.Meter.Add(meter.Name("holds", "forwarded"), int64(len(m.GetAsks())))
			return reply.Msg, nil
		}
		if !connect.IsWireError(err) {
			peer.CloseIdleConnections() // they may have gone silent
		}
	}
	return nil, err
}

// forwardingAgents returns the addresses of some agents that reach this process.
func (c *Coordinator) forwardingAgents() []netip.AddrPort {
	c.lock()
	defer c.mu.Unlock()
	names := c.table.ResponsiveAgents(c.now, reattachAfter)
	rand.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	var addrs []netip.AddrPort
	for _, name := range names[:min(forwardTries, len(names))] {
		if agent, known := c.agents[name]; known {
			addrs = append(addrs, agent.Addr)
		}
	}
	return addrs
}

// recordRoute records over which way a replica has answered.
func (c *Coordinator) recordRoute(name string, forwarded bool) {
	c.lock()
	defer c.mu.Unlock()
	_, before := c.holdings.forwarded[name]
	switch {
	case !forwarded:
		delete(c.holdings.forwarded, name)
	case !before:
		c.holdings.forwarded[name] = c.now.Add(directProbeInterval)
	}
	if forwarded != before {
		c.log.Info().Str("coordinator", name).Bool("over_agents", forwarded).Msg("way to a coordinator changed")
	}
}

// probeDirectly calls the replicas that are reached over agents and are due for a direct call. The caller holds
// the lock.
func (c *Coordinator) probeDirectly() {
	for name, at := range c.holdings.forwarded {
		if c.now.Before(at) {
			continue
		}
		c.holdings.forwarded[name] = c.now.Add(directProbeInterval)
		addr, m := c.coordinators[name].Addr, c.holdRequest(nil)
		go func() {
			if _, err := c.callHold(c.baseCtx, addr, m); err == nil {
				c.recordRoute(name, false)
			}
		}()
	}
}

// apart reports whether this process has reached no agent for a time, though there are other coordinators. These
// leave it out, as they don't reach it over agents either; it can't tell who else is out.
func (h *holdings) apart(now time.Time, d time.Duration) bool {
	return h.members.Len() > 1 && now.Sub(h.reachedAt) >= d
}

// young reports whether holds that are in force may be missing here.
func (h *holdings) young(now time.Time) bool {
	return now.Before(h.youngUntil) || h.apart(now, agentTimeout)
}

// reachedAgent records that this process reaches an agent. The caller holds the lock.
func (c *Coordinator) reachedAgent() {
	if c.holdings.apart(c.now, agentTimeout) {
		c.holdings.youngUntil = c.now.Add(agentTimeout)
		c.holdings.members.Recheck(c.now)
	}
	c.holdStartsIfApart()
	c.holdings.reachedAt = c.now
}

// holdStartsIfApart keeps best-effort jobs from starting anything while this process is cut off, and until the
// departure of their callers has been seen after it. The caller holds the lock.
func (c *Coordinator) holdStartsIfApart() {
	if c.holdings.apart(c.now, apartAfter) {
		c.table.HoldBestEffort(c.now.Add(wakeAllowance))
	}
}

// reachAgents calls a coordinator over an agent if this process has not reached one for a while. The caller holds
// the lock.
func (c *Coordinator) reachAgents() {
	name := c.holdings.members.Other(c.cfg.Self.Name)
	if c.holdings.reaching || name == "" || !c.holdings.apart(c.now, reachInterval) {
		return
	}
	c.holdings.reaching = true
	addr, m := c.coordinators[name].Addr, c.holdRequest(nil)
	go func() {
		_, _ = c.forwardHold(addr, m)
		c.lock()
		defer c.mu.Unlock()
		c.holdings.reaching = false
	}()
}
