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
