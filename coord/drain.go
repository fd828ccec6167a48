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
	// handOverTimeout bounds the search for a successor and the wait for its claims.
	handOverTimeout = 1500 * time.Millisecond
	// handOverInterval is the pause between attempts to hand over.
	handOverInterval = 150 * time.Millisecond
	// finalAnswerTime is added to DrainTimeout for sending the last answers.
	finalAnswerTime = 200 * time.Millisecond
	// listenerCloseDelay is the least time from the shutdown request until the listeners
	// close, so that the load balancer, which checks once a second, has seen two refused
	// checks.
	listenerCloseDelay = 2300 * time.Millisecond
)

// awaitDrain waits until ctx ends, hands the shards over and calls closeListeners. It
// returns at once when running ends.
func (c *Coordinator) awaitDrain(ctx, running context.Context, closeListeners func(context.Context)) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return nil
	}
	began := time.Now()
	c.lock()
	c.draining = true
	c.drainSince = c.now
	c.mu.Unlock()
	c.log.Info().Msg("draining")
	for running.Err() == nil && time.Since(began) < handOverTimeout && c.handOver(running) {
		sleep(running, handOverInterval)
	}
	sleep(running, listenerCloseDelay-time.Since(began))
	closing, cancel := context.WithDeadline(running, began.Add(c.cfg.DrainTimeout))
	defer cancel()
	stop := context.AfterFunc(closing, c.abandonWaitingJobs)
	defer stop()
	last, cancelLast := context.WithDeadline(running, began.Add(c.cfg.DrainTimeout+finalAnswerTime))
	defer cancelLast()
	closeListeners(last)
	return nil
}

// abandonWaitingJobs ends the waits of all callers and abandons their best-effort jobs,
// so that the callers get an answer before the process ends.
func (c *Coordinator) abandonWaitingJobs() {
	c.lock()
	defer c.mu.Unlock()
	for id := range c.waiters {
		unstarted := c.table.Abandon(c.now, id, "the process ends")
		c.notifyWaiters(id, waitResult{shardReleased: true, result: jobs.BestEffortResult{Job: id, State: work.StateCancelled, Unstarted: unstarted, Reason: "the process ends"}})
	}
	c.flush()
}

// handingOver reports whether this process is handing its shards over; new jobs then go
// to the next owner. The caller holds the lock.
func (c *Coordinator) handingOver(now time.Time) bool {
	return c.draining && now.Sub(c.drainSince) < handOverTimeout
}

// handOver asks another coordinator to claim the owned shards once all changes are
// stored. It reports whether this process still owns a shard.
func (c *Coordinator) handOver(ctx context.Context) bool {
	c.lock()
	owned := c.table.OwnedShards()
	busy := false
	for number, j := range c.journals {
		busy = busy || j.appending || c.table.HasUnstoredChanges(number)
	}
	candidates := make([]work.Address, 0, len(c.coordinators))
	for name, a := range c.coordinators {
		if name != c.cfg.Self.Name {
			candidates = append(candidates, a)
		}
	}
	c.mu.Unlock()
	if len(owned) == 0 {
		return false
	}
	if busy {
		sleep(ctx, appendInterval)
		return true
	}
	best, found := c.findSuccessor(candidates)
	if !found {
		return true
	}
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	peer := c.peers.At(best)
	if _, err := peer.Coordinator.TakeOver(call, connect.NewRequest(&relay.TakeOverRequest{Shards: link.EpochsToWire(owned)})); err != nil {
		c.log.Warn().Err(peer.CallError("hand over", err)).Stringer("addr", best).Msg("handing the shards over failed")
	}
	return true
}

// findSuccessor returns the coordinator with the largest CPU share among those that
// answer, do not drain and have read the store within freshProofAge.
func (c *Coordinator) findSuccessor(candidates []work.Address) (netip.AddrPort, bool) {
	var best work.Address
	for _, a := range candidates {
		if best.Addr.IsValid() && a.Share <= best.Share {
			continue
		}
		reply, err := c.ping(a.Addr)
		if err != nil || reply.GetDraining() || time.Duration(reply.GetStoreAgeMs())*time.Millisecond > freshProofAge {
			continue
		}
		best = a
	}
	return best.Addr, best.Addr.IsValid()
}
