package coord

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/wire/relay"
)

// Pending implements carobpulley.JobService. It sums the counts of the owners of all shards. While a shard has
// none that has loaded it, it waits for at most ownerWait and then fails.
//
// Answers the pattern of a process that is asked for jobs of a shard that it has not loaded, or no longer owns: its
// table lacks jobs that wait.
func (c *Coordinator) Pending(ctx context.Context, queue string) (int, error) {
	until := time.Now().Add(ownerWait)
	for {
		n, changed, err := c.countPending(ctx, queue)
		if err == nil {
			return n, nil
		}
		if ctx.Err() != nil || !time.Now().Before(until) {
			c.cfg.Meter.Add("pending_not_counted", 1)
			c.log.Info().Str("queue", queue).Str("why", err.Error()).Msg("pending not counted")
			return 0, err
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(forwardRetryInterval):
		}
	}
}

// countPending asks each owner once. The channel is closed when ownership changes.
func (c *Coordinator) countPending(ctx context.Context, queue string) (n int, changed chan struct{}, err error) {
	n, owners, changed, err := c.pendingHere(queue)
	if err != nil {
		return 0, changed, err
	}
	for addr, shards := range owners {
		peer := c.peers.At(addr)
		call, cancel := context.WithTimeout(ctx, forwardTimeout)
		r, err := peer.Coordinator.Pending(call, connect.NewRequest(&relay.PendingRequest{Queue: queue, Shards: shards}))
		cancel()
		if err != nil {
			return 0, changed, peer.CallError("pending", err)
		}
		n += int(r.Msg.GetPending())
	}
	return n, changed, nil
}

// pendingHere returns the count of this process's shards and, by owner, the shards of others.
func (c *Coordinator) pendingHere(queue string) (n int, owners map[netip.AddrPort][]uint32, changed chan struct{}, err error) {
	c.lock()
	defer c.mu.Unlock()
	owners = make(map[netip.AddrPort][]uint32)
	for number := range c.cfg.Shards {
		claim, known := c.claims[number]
		switch {
		case c.ownsProven(number):
		case !known || c.claimedBySelf(claim):
			return 0, nil, c.ownershipChanged, errNoOwner()
		default:
			owners[claim.Owner.Addr] = append(owners[claim.Owner.Addr], uint32(number))
		}
	}
	return c.table.PendingCount(queue, c.provenShards()), owners, c.ownershipChanged, nil
}

// pendingAsOwner returns the count of shards for another coordinator. One of an earlier build names none, and gets
// that of all shards of this process.
func (c *Coordinator) pendingAsOwner(queue string, shards []uint32) (int, error) {
	c.lock()
	defer c.mu.Unlock()
	counted := make([]int, 0, len(shards))
	for _, number := range shards {
		if !c.ownsProven(int(number)) {
			return 0, errNoOwner()
		}
		counted = append(counted, int(number))
	}
	if len(shards) == 0 {
		counted = c.provenShards()
	}
	if len(counted) == 0 {
		return 0, errNoOwner()
	}
	return c.table.PendingCount(queue, counted), nil
}

func errNoOwner() error {
	return &carobpulley.Error{Op: "pending", Kind: carobpulley.KindUnavailable, Msg: "a shard has no owner that has loaded it"}
}
