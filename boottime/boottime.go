// Package boottime reads the clock that counts the time for which the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements carobpulley.Clock.
type Clock struct {
	// boot and steady are the readings of the boot clock and of the runtime's clock at New.
	boot   time.Duration
	steady time.Time
}

// New returns a Clock, or an error if the host has no boot clock.
func New() (*Clock, error) {
	boot, err := read()
	if err != nil {
		return nil, err
	}
	return &Clock{boot: boot, steady: time.Now()}, nil
}

// Now implements carobpulley.Clock.
func (*Clock) Now() time.Time { return time.Now() }

// Suspended implements carobpulley.Clock.
func (c *Clock) Suspended() time.Duration {
	boot, _ := read() // it has been read at New
	return boot - c.boot - time.Since(c.steady)
}

// read returns the reading of the boot clock.
func read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
