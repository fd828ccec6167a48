package carobpulley

import "time"

// Clock is the time by which the ages of messages and of knowledge are judged. Its times may be compared
// with each other only: timers and contexts run on the clock of the runtime.
type Clock interface {
	Now() time.Time
	// Suspended returns for how long the host was suspended since some fixed time.
	Suspended() time.Duration
}

// SteadyClock is the clock of the runtime. It stands still while the host is suspended.
type SteadyClock struct{}

// Now implements Clock.
func (SteadyClock) Now() time.Time { return time.Now() }

// Suspended implements Clock.
func (SteadyClock) Suspended() time.Duration { return 0 }
