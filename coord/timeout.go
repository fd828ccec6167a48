package coord

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

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
	return withTimeoutOn(parent, timeout, time.Now)
}

func withTimeoutOn(parent context.Context, timeout time.Duration, now func() time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	due := now().Add(timeout)
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	var timer *time.Timer // guarded by mu: it is replaced when it fires late
	timer = time.AfterFunc(timeout, func() {
		late := now().Sub(due)
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
