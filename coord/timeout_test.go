package coord

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a call that counts as unanswered because its own process did not run in time, and
// against one that lasts for good in a process that is always late.
func TestTimeoutOfADelayedProcess(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, tt := range []struct{ late, want time.Duration }{
		{0, timeout},
		{lateTimer / 2, timeout},
		{100 * time.Millisecond, timeout + 100*time.Millisecond},
		{5 * time.Second, timeout + maxExtension},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			var late atomic.Int64
			ctx, cancel := withTimeoutOn(t.Context(), timeout, func() time.Time { return time.Now().Add(time.Duration(late.Load())) })
			defer cancel()
			late.Store(int64(tt.late))
			<-ctx.Done()
			if got := time.Since(began); got != tt.want || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				t.Errorf("a process that is %s late: ended after %s with %v, want %s", tt.late, got, ctx.Err(), tt.want)
			}
		})
	}
}

// Guards against a call that is cancelled and counts as unanswered.
func TestCancelledCallIsNoTimeout(t *testing.T) {
	ctx, cancel := withTimeout(t.Context(), time.Hour)
	cancel()
	<-ctx.Done()
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("error %v, want a cancellation", ctx.Err())
	}
}
