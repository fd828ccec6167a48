package load

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// peak returns a pattern of three queues of different priorities at 13 coordinators, six of which work with
// each of 70 unequal endpoints. 18% of the endpoints are lost after a second, and from the fourth to the eighth
// second the demand is 1.35 times the given part of the capacity that is left.
func peak(utilization float64) Pattern {
	const lostShare, coordinators = 0.18, 13
	p := Pattern{
		Coordinators: coordinators, Share: 6, Capacity: work.Resources{CPU: 64_000, MemMB: 100_000},
		Classes: []Class{
			{PerSecond: 206, Tasks: 8, CPU: 6_600, Mean: 51 * time.Millisecond, Spread: 0.4, Priority: 0},
			{PerSecond: 600, Tasks: 2, CPU: 6_600, Mean: 170 * time.Millisecond, Spread: 0.4, Priority: 1},
			{PerSecond: 37.5, Tasks: 4, CPU: 6_600, Mean: 760 * time.Millisecond, Spread: 0.4, Priority: 2},
		},
		Tail: 0.03, TailFactor: 7, Uneven: 0.15, Patience: 2940 * time.Millisecond, Length: 10 * time.Second, Seed: 1,
	}
	lost := func(endpoint int) bool { return float64(endpoint*37%70)/70 < lostShare }
	capacity, demand := 0.0, 0.0
	for n := range 70 {
		p.Speeds = append(p.Speeds, []float64{1, 1, 1.3}[n/3%3])
		p.Sizes = append(p.Sizes, []float64{1, 1, 1.5}[n%3])
		if !lost(n) {
			capacity += p.Speeds[n] * p.Sizes[n] * float64(p.Capacity.CPU)
		}
	}
	for _, c := range p.Classes {
		demand += c.PerSecond * float64(c.Tasks) * float64(c.CPU) * c.Mean.Seconds() * (1 + p.Tail*(p.TailFactor-1))
	}
	for n := range p.Classes {
		p.Classes[n].PerSecond *= utilization * capacity / demand / coordinators
	}
	p.Lost = func(endpoint int, since time.Duration) bool { return since > time.Second && lost(endpoint) }
	p.Factor = func(since time.Duration) float64 {
		if since > 4*time.Second && since < 8*time.Second {
			return 1.35
		}
		return 0.85
	}
	return p
}

// The plays of a peak, which take seconds each, are shared by the tests.
var (
	belowCapacity = sync.OnceValue(func() Result { return Play(peak(0.8)) })
	atCapacity    = sync.OnceValue(func() Result { return Play(peak(1)) })
)

func (w Window) part(n int) float64 { return float64(n) / float64(max(w.Asked, 1)) }

// Guards against the most urgent jobs being refused first in an overload since they have the least slack, and
// against a less urgent queue that is shut out.
func TestUrgentJobsInAPeak(t *testing.T) {
	for utilization, r := range map[float64]Result{0.8: belowCapacity(), 1: atCapacity()} {
		urgent, normal, batch := r.Classes[0], r.Classes[1], r.Classes[2]
		t.Logf("at %.1f: in time %.3f %.3f %.3f, refused %.3f %.3f %.3f, left %.3f %.3f %.3f", utilization,
			urgent.part(urgent.InTime), normal.part(normal.InTime), batch.part(batch.InTime), urgent.part(urgent.Refused),
			normal.part(normal.Refused), batch.part(batch.Refused), urgent.part(urgent.Left), normal.part(normal.Left), batch.part(batch.Left))
		if in := urgent.part(urgent.InTime); in < 0.95 {
			t.Errorf("at %.1f of the capacity %.3f of the most urgent jobs were in time, want 0.95", utilization, in)
		}
		if urgent.part(urgent.Refused) > normal.part(normal.Refused) || normal.part(normal.Refused) > batch.part(batch.Refused) {
			t.Errorf("at %.1f of the capacity more urgent jobs were refused more often: %+v", utilization, r.Classes)
		}
		if served := batch.part(batch.InTime + batch.Late); served < 0.4 {
			t.Errorf("at %.1f of the capacity %.3f of the least urgent jobs were served, want 0.4", utilization, served)
		}
	}
}

// Guards against jobs whose callers wait until their own time limit, although it is known that no capacity
// becomes free for them.
func TestFewCallersLeaveInAPeak(t *testing.T) {
	r := atCapacity()
	if left := r.part(r.Left); left > 0.01 {
		t.Errorf("%.3f of the callers left without an answer, want 0.01 at the most", left)
	}
}

// Guards against starts that several coordinators send for the same free capacity and that are refused while
// other endpoints have some: a start may wait at its agent for the next end.
func TestStartsAreSeldomRefused(t *testing.T) {
	r := belowCapacity()
	if part := float64(r.RefusedStarts) / float64(r.Starts); part > 0.01 {
		t.Errorf("%.4f of %d starts were refused, want 0.01 at the most", part, r.Starts)
	}
}
