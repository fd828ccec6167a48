package coord

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// pauseThreshold is the time without a tick from which this process counts as paused.
	pauseThreshold = 400 * time.Millisecond
	// wakeAllowance is how long nothing of earlier best-effort jobs starts after a pause: the
	// departure of their callers has to be seen first.
	wakeAllowance = 250 * time.Millisecond
)

// lock acquires the lock. Whatever acts first after this process was paused finds the pause here,
// before it can place a task.
func (c *Coordinator) lock() {
	c.mu.Lock()
	now := time.Now()
	pause := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || pause < pauseThreshold {
		return
	}
	c.table.HoldBestEffort(now, now.Add(wakeAllowance))
	c.log.Warn().Int64("pause_ms", pause.Milliseconds()).Msg("process was paused, earlier best-effort jobs wait")
	c.cfg.Meter.Add("pauses", 1)
	c.lastTick = now
}

const (
	// lateTimer is the lateness of a timer from which this process counts as delayed.
	lateTimer = 20 * time.Millisecond
	// maxExtension bounds the time that is added to a call's timeout.
	maxExtension = 400 * time.Millisecond
)

// withTimeout returns a context that ends after a timeout, or later if this process did not run in
// time: an answer that has arrived meanwhile is read before the call counts as unanswered.
//
// Answers an overload in which a busy process repeats calls that were answered, each over a new
// connection, and has still less time for the answers.
func withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	due := time.Now().Add(timeout)
	var mu sync.Mutex
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(timeout, func() {
		late := time.Since(due)
		if late < lateTimer {
			cancel(context.DeadlineExceeded)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		timer = time.AfterFunc(min(late, maxExtension), func() { cancel(context.DeadlineExceeded) })
	})
	return callContext{ctx}, func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
		cancel(context.Canceled)
	}
}

// callContext is the context of a call, whose error tells a timeout from a cancellation.
type callContext struct{ context.Context }

// Err implements context.Context.
func (c callContext) Err() error {
	if err := c.Context.Err(); err == nil || !errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return err
	}
	return context.DeadlineExceeded
}
