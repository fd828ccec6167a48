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
)

// errNoAgent is the error of a call that no agent can pass on.
var errNoAgent = errors.New("no agent is attached")

// forwardHold calls a replica that can't be reached directly over an agent: coordinators may be cut off from
// each other while agents reach both.
func (c *Coordinator) forwardHold(addr netip.AddrPort, m *relay.HoldRequest) (*relay.HoldReply, error) {
	err := errNoAgent
	for _, agent := range c.forwardingAgents() {
		var reply *connect.Response[relay.HoldReply]
		call, cancel := withTimeout(c.baseCtx, holdTimeout)
		reply, err = c.peers.At(agent).Agent.Forward(call, connect.NewRequest(&relay.ForwardRequest{Addr: addr.String(), Hold: m}))
		cancel()
		if err == nil {
			c.cfg.Meter.Add(meter.Name("holds", "forwarded"), int64(len(m.GetAsks())))
			return reply.Msg, nil
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

// isForwarded reports whether a replica is reached over agents.
func (c *Coordinator) isForwarded(name string) bool {
	c.lock()
	defer c.mu.Unlock()
	_, forwarded := c.holdings.forwarded[name]
	return forwarded
}

// probeDirectly calls the replicas that are reached over agents and are due for a direct call. The caller holds
// the lock.
func (c *Coordinator) probeDirectly() {
	for name, at := range c.holdings.forwarded {
		if c.now.Before(at) {
			continue
		}
		c.holdings.forwarded[name] = c.now.Add(directProbeInterval)
		addr := c.coordinators[name].Addr
		go func() {
			if _, err := c.callHold(c.baseCtx, addr, c.holdRequest(nil)); err == nil {
				c.recordRoute(name, false)
			}
		}()
	}
}
