package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/meter"
)

// suspendedClock is a clock that shows a time of suspension.
type suspendedClock struct {
	carobpulley.SteadyClock
	total *time.Duration
}

func (c suspendedClock) Suspended() time.Duration { return *c.total }

// Guards against suspensions that are not logged, or logged again, and against pauses between two
// readings that are taken for one.
func TestSuspensionsAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	total := 5 * time.Millisecond
	s := NewSuspensions(suspendedClock{total: &total}, zerolog.New(&out), meter.New())
	for _, step := range []struct {
		total time.Duration
		lines int
	}{
		{6 * time.Millisecond, 0},
		{3006 * time.Millisecond, 1},
		{3006 * time.Millisecond, 1},
		{2006 * time.Millisecond, 1},
		{3006 * time.Millisecond, 1},
		{3306 * time.Millisecond, 2},
	} {
		total = step.total
		s.Check()
		if got := strings.Count(out.String(), "process was suspended"); got != step.lines {
			t.Errorf("%d lines at %s, want %d", got, step.total, step.lines)
		}
	}
	if want := `"gap_ms":3000`; !strings.Contains(out.String(), want) {
		t.Errorf("no %s in %s", want, out.String())
	}
}
