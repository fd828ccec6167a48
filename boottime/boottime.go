// Package boottime reads the clock that counts the time for which the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements carobpulley.Clock. Its times don't follow the time of day, which may jump.
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
func (c *Clock) Now() time.Time { return c.steady.Add(c.sinceNew()) }

// Suspended implements carobpulley.Clock.
func (c *Clock) Suspended() time.Duration {
	boot := c.sinceNew()
	return boot - time.Since(c.steady)
}

// sinceNew returns the time since New on the boot clock.
func (c *Clock) sinceNew() time.Duration {
	boot, _ := read() // it has been read at New
	return boot - c.boot
}

// read returns the reading of the boot clock.
func read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
