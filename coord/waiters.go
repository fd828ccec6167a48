package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/jobs"
)

// addWaiter registers a channel on which the result for a job is delivered. The caller
// holds the lock.
func (c *Coordinator) addWaiter(id string) chan waitResult {
	ch := make(chan waitResult, 1)
	c.waiters[id] = append(c.waiters[id], ch)
	return ch
}

// removeWaiter removes the channel of a caller that no longer waits. The caller holds
// the lock.
func (c *Coordinator) removeWaiter(id string, ch chan waitResult) {
	remaining := c.waiters[id][:0]
	for _, other := range c.waiters[id] {
		if other != ch {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(c.waiters, id)
		return
	}
	c.waiters[id] = remaining
}

// awaitStored waits for stored states of a job until enough accepts one. After
// storeTimeout a submission that was not sent to the store is withdrawn.
func (c *Coordinator) awaitStored(ctx context.Context, id string, ch chan waitResult, enough func(jobs.StoredJob) bool) carobpulley.JobAnswer {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	for {
		select {
		case w := <-ch:
			if w.shardReleased {
				return unknownAnswer("the shard was given up meanwhile")
			}
			if enough(w.stored) {
				return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: w.stored.State}
			}
			c.lock()
			ch = c.addWaiter(id)
			c.mu.Unlock()
		case <-timer.C:
			return c.withdrawSubmission(id, ch)
		case <-ctx.Done():
			return c.withdrawSubmission(id, ch)
		}
	}
}

// withdrawSubmission ends a caller's wait for the store, and withdraws the submission if no other caller
// waits for it. A result that came at the same time goes first: a job whose shard was released is not in
// the table either, but may be stored.
func (c *Coordinator) withdrawSubmission(id string, ch chan waitResult) carobpulley.JobAnswer {
	c.lock()
	defer c.mu.Unlock()
	select {
	case w := <-ch:
		if w.stored.Accepted {
			return carobpulley.JobAnswer{Code: carobpulley.AnswerOK, State: w.stored.State}
		}
		return unknownAnswer("the shard was given up meanwhile")
	default:
	}
	c.removeWaiter(id, ch)
	if len(c.waiters[id]) > 0 {
		return unknownAnswer("the store did not answer in time") // the job stays for its other callers
	}
	if c.table.Withdraw(id) {
		return refusedAnswer("the store did not answer in time")
	}
	return unknownAnswer("the store did not answer in time")
}
