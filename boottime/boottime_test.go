package boottime

import (
	"testing"
	"time"

	"carobpulley"
)

var _ carobpulley.Clock = (*Clock)(nil)

// Guards against a clock that takes the passing of time for a suspension.
func TestNoSuspensionOnAHostThatIsUp(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
		// A pause between the two readings makes it negative.
		if got := c.Suspended(); got > 10*time.Millisecond {
			t.Fatalf("suspended for %s", got)
		}
	}
}

// Guards against a clock that goes back, or that passes at another pace than time does.
func TestClockKeepsTime(t *testing.T) {
	// slack covers the resolution of the two clocks.
	const slack = time.Millisecond
	before := time.Now()
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	first := c.Now()
	after := time.Now()
	for last := first; time.Since(after) < 50*time.Millisecond; {
		least := time.Since(after)
		now := c.Now()
		most := time.Since(before)
		if now.Before(last) {
			t.Fatalf("%s after %s", now, last)
		}
		last = now
		if got := now.Sub(first); got < least-slack || got > most+slack {
			t.Fatalf("%s have passed, want from %s to %s", got, least, most)
		}
	}
}
