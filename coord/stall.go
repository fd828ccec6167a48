package coord

import (
	"context"
	"sync"
	"time"

	"carobpulley/jobs"
	"carobpulley/work"
)

const (
	// pauseThreshold is the time without a tick from which this process counts as paused.
	pauseThreshold = 400 * time.Millisecond
	// wakeAllowance is how long nothing of best-effort jobs starts after a pause: the departure of
	// their callers has to be seen first.
	wakeAllowance = 250 * time.Millisecond
	// confirmTimeout bounds the time for which starts wait until the homes have confirmed the holds of this
	// process's jobs after a pause.
	confirmTimeout = time.Second
	// replacedAfter is the least pause in which a holder may have been replaced.
	replacedAfter = time.Second
)

// lock acquires the lock. Whatever acts first after this process was paused finds the pause here,
// before it can place a task.
func (c *Coordinator) lock() {
	c.mu.Lock()
	now := c.clock.Now()
	c.now = now
	pause := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || pause < pauseThreshold {
		return
	}
	c.table.HoldBestEffort(now.Add(confirmTimeout)) // confirmHolds may run late
	c.holdings.memory.Lost(now)
	c.holdings.wakes++
	go c.confirmHolds(now, c.holdings.wakes, pause >= replacedAfter)
	c.log.Warn().Int64("pause_ms", pause.Milliseconds()).Msg("process was paused, best-effort jobs wait")
	c.cfg.Meter.Add("pauses", 1)
	c.lastTick = now
}

// confirmHolds keeps best-effort jobs from starting anything until the homes have confirmed that this process
// holds them. Jobs that others hold are given up, and those without an answer if they may have been replaced.
func (c *Coordinator) confirmHolds(wokeAt time.Time, wakes uint64, mayBeReplaced bool) {
	c.lock()
	if c.holdings.wakes != wakes {
		c.mu.Unlock()
		return // another pause has followed
	}
	var ids []string
	for _, id := range c.table.BestEffortIDs() {
		if len(c.waiters[id]) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		c.table.HoldBestEffort(wokeAt.Add(wakeAllowance))
	}
	c.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.baseCtx, confirmTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			switch h, held := c.askHome(ctx, id, 0); {
			case held && !h.Holder.Same(c.self()):
				c.giveUp(id, "the job is held by "+h.Holder.Coordinator)
			case !held && mayBeReplaced:
				c.giveUp(id, "no home confirms the hold after a pause")
			}
		})
	}
	wg.Wait()
	c.lock()
	defer c.mu.Unlock()
	if c.holdings.wakes == wakes {
		c.table.HoldBestEffort(wokeAt.Add(wakeAllowance))
	}
}

// giveUp abandons a best-effort job and answers its callers.
func (c *Coordinator) giveUp(id, reason string) {
	c.lock()
	defer c.mu.Unlock()
	if len(c.waiters[id]) == 0 {
		return
	}
	c.cfg.Meter.Add("given_up_after_pause", 1)
	c.log.Warn().Str("job", id).Str("why", reason).Msg("given up after a pause")
	c.table.Abandon(c.now, id, reason)
	// Another coordinator may run the job, so its callers aren't told that it has not run.
	c.notifyWaiters(id, waitResult{result: jobs.BestEffortResult{Job: id, State: work.StateCancelled, Reason: reason}})
	c.flush()
}
