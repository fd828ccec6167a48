package load

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// fleet returns a pattern of three usual classes on unequal endpoints, that uses a fraction of
// their capacity.
func fleet(coordinators, endpoints int, utilization float64) Pattern {
	p := Pattern{
		Coordinators: coordinators, Capacity: work.Resources{CPU: 64_000, MemMB: 100_000},
		Classes: []Class{
			{Tasks: 8, CPU: 15_000, Mean: 60 * time.Millisecond, Spread: 0.4},
			{Tasks: 4, CPU: 15_000, Mean: 900 * time.Millisecond, Spread: 0.4},
			{Tasks: 2, CPU: 15_000, Mean: 200 * time.Millisecond, Spread: 0.4},
		},
		Length: 10 * time.Second, Seed: 1,
	}
	slots := 0.0
	for n := range endpoints {
		speed := 1.2
		if n%4 == 0 {
			speed = 0.55
		}
		p.Speeds = append(p.Speeds, speed)
		slots += speed * float64(p.Capacity.CPU/15_000)
	}
	// Each class uses a share of the capacity as on the large site.
	for n, share := range []float64{0.21, 0.28, 0.51} {
		c := &p.Classes[n]
		c.PerSecond = utilization * share * slots / (float64(c.Tasks) * c.Mean.Seconds()) / float64(coordinators)
	}
	return p
}

// wastedStarts is the greatest part of the starts that may be refused: 0.1 of the messages, as
// docs/design.md asks for.
const wastedStarts = 0.1

// Answers the pattern of several coordinators that use the same unequal endpoints and see each
// other's runs late: while there is room, they must neither refuse each other's starts nor
// be late.
func TestSharedEndpointsWithRoom(t *testing.T) {
	for _, utilization := range []float64{0.4, 0.6} {
		r := Play(fleet(6, 26, utilization))
		if part := float64(r.RefusedStarts) / float64(r.Starts); part > wastedStarts {
			t.Errorf("at %.1f of the capacity %.3f of %d starts were refused, want at most %.1f", utilization, part, r.Starts, wastedStarts)
		}
		if part := float64(r.InTime) / float64(r.Asked); part < 0.95 {
			t.Errorf("at %.1f of the capacity %.3f of %d jobs were in time", utilization, part, r.Asked)
		}
		if r.Refused > 0 {
			t.Errorf("at %.1f of the capacity %d jobs were refused", utilization, r.Refused)
		}
	}
}

// Guards against a measurement that differs between two plays of a pattern.
func TestPlayRepeats(t *testing.T) {
	p := fleet(3, 9, 0.8)
	if diff := cmp.Diff(Play(p), Play(p)); diff != "" {
		t.Errorf("two plays (-one +other):\n%s", diff)
	}
}
