package coord

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// handOverLimit bounds the search for a successor and its claim.
	handOverLimit = 1500 * time.Millisecond
	// handOverPause separates the tries to hand over.
	handOverPause = 150 * time.Millisecond
	// answerTime is left for the last answers.
	answerTime = 200 * time.Millisecond
	// leaveWait is kept from the request to stop, so that the balancer has seen two
	// refused checks of its one a second before the listeners close.
	leaveWait = 2300 * time.Millisecond
)

// awaitDrain hands the shards over once a stop was asked, and returns when
// callers have had time to leave.
func (c *Coordinator) awaitDrain(ctx, hard context.Context, leave func(context.Context)) error {
	select {
	case <-ctx.Done():
	case <-hard.Done():
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	c.draining = true
	c.drainAt = now
	c.mu.Unlock()
	c.log.Info().Msg("draining")
	for hard.Err() == nil && time.Since(now) < handOverLimit && c.handOver(hard) {
		pause(hard, handOverPause)
	}
	pause(hard, leaveWait-time.Since(now))
	closing, cancel := context.WithDeadline(hard, now.Add(c.cfg.DrainLimit))
	defer cancel()
	stop := context.AfterFunc(closing, c.abandonAll)
	defer stop()
	last, cancelLast := context.WithDeadline(hard, now.Add(c.cfg.DrainLimit+answerTime))
	defer cancelLast()
	leave(last)
	return nil
}

// abandonAll ends the jobs that callers still wait for, so that they get an
// answer before the process ends.
func (c *Coordinator) abandonAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.waiters {
		unstarted := c.table.Abandon(time.Now(), id, "the process ends")
		c.tell(id, waited{lost: true, finished: jobs.BestEffortResult{Job: id, State: work.StateCancelled, Unstarted: unstarted, Reason: "the process ends"}})
	}
	c.flush()
}

// handing reports whether new jobs are left to the next owner. The caller holds
// the lock.
func (c *Coordinator) handing(now time.Time) bool {
	return c.draining && now.Sub(c.drainAt) < handOverLimit
}

// handOver asks another coordinator to claim the owned shards. It reports whether
// some are still owned.
func (c *Coordinator) handOver(ctx context.Context) bool {
	c.mu.Lock()
	owned := c.table.OwnedShards()
	busy := false
	for number, j := range c.journals {
		busy = busy || j.busy || c.table.HasUnstoredChanges(number)
	}
	candidates := make([]work.Address, 0, len(c.peersAt))
	for name, a := range c.peersAt {
		if name != c.cfg.Self.Name {
			candidates = append(candidates, a)
		}
	}
	c.mu.Unlock()
	if len(owned) == 0 {
		return false
	}
	if busy {
		pause(ctx, appendEvery)
		return true
	}
	best, found := c.successor(candidates)
	if !found {
		return true
	}
	call, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	peer := c.peers.At(best)
	if _, err := peer.Coordinator.TakeOver(call, connect.NewRequest(&relay.TakeOverRequest{Shards: link.EpochsToWire(owned)})); err != nil {
		c.log.Warn().Err(peer.Failed("hand over", err)).Stringer("addr", best).Msg("not handed over")
	}
	return true
}

// successor returns the coordinator with the largest host that can take over.
func (c *Coordinator) successor(candidates []work.Address) (netip.AddrPort, bool) {
	var best work.Address
	for _, a := range candidates {
		if best.Addr.IsValid() && a.Share <= best.Share {
			continue
		}
		reply, err := c.ping(a.Addr)
		if err != nil || reply.GetDraining() || time.Duration(reply.GetStoreAgeMs())*time.Millisecond > freshView {
			continue
		}
		best = a
	}
	return best.Addr, best.Addr.IsValid()
}
