//go:build review

package main

import (
	"context"
	"time"
)

// pause waits for a time, or until the case is ended.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
