package memnet

import (
	"net/netip"
	"time"
)

// processor is a host's processor, which handles one message at a time.
type processor struct {
	cost      time.Duration
	busyUntil time.Time
	// used, waited and turns are the processor time, the waits for it and their number since the last
	// ProcessorLoad.
	used, waited time.Duration
	turns        int64
}

// SetMessageCost makes each message that a host receives take a time of the host's processor, one message after
// the other.
func (n *Net) SetMessageCost(host netip.Addr, cost time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.processors[host] == nil {
		n.processors[host] = &processor{}
	}
	n.processors[host].cost = cost
}

// Handle waits until a host's processor has handled one message, if messages have a cost there.
func (n *Net) Handle(host netip.Addr) {
	n.mu.Lock()
	p := n.processors[host]
	if p == nil || p.cost == 0 {
		n.mu.Unlock()
		return
	}
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.waited += p.busyUntil.Sub(now)
	p.busyUntil = p.busyUntil.Add(p.cost)
	p.used += p.cost
	p.turns++
	until := p.busyUntil
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

// ProcessorLoad returns the time that a host's processor has spent on messages, and the mean time for which they
// have waited for it, since the last call.
func (n *Net) ProcessorLoad(host netip.Addr) (used, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.processors[host]
	if p == nil || p.turns == 0 {
		return 0, 0
	}
	used, wait = p.used, p.waited/time.Duration(p.turns)
	p.used, p.waited, p.turns = 0, 0, 0
	return used, wait
}
