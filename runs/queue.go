package runs

import (
	"time"

	"carobpulley/work"
)

// queuePart is the part of a runner's capacity that queued orders may need, so
// that a run that ends is followed by another without a message's way. Half of
// it waits for a fraction of a usual run time.
const queuePart = 0.35

// queueRoom reports whether one more order may wait.
func (g *Gate) queueRoom(need work.Resources) bool {
	var sum int64
	for _, r := range g.runs {
		if r.phase == phaseQueued {
			sum += r.start.Resources.CPU
		}
	}
	return float64(sum+need.CPU) <= queuePart*float64(g.beat.Capacity.CPU)
}

// firstQueued returns the queued run that is to start next: the one with the
// earliest latest start, those that are too late for it after all others.
func (g *Gate) firstQueued(now time.Time) *run {
	var first *run
	for _, r := range g.runs {
		if r.phase == phaseQueued && (first == nil || r.before(first, now)) {
			first = r
		}
	}
	return first
}

func (r *run) before(other *run, now time.Time) bool {
	late, otherLate := r.latest.Before(now), other.latest.Before(now)
	if late != otherLate {
		return otherLate
	}
	return r.latest.Before(other.latest)
}

// launch starts a run at the runner.
func (g *Gate) launch(now time.Time, key work.Run, r *run) {
	r.phase = phaseStarting
	r.since = now
	g.runs[key] = r
	g.commands = append(g.commands, Command{Start: &r.start})
}

// fill starts queued runs as far as there is room, and gives up those that have
// waited for too long or whose coordinator is not known to live. It reports
// whether it gave one up.
func (g *Gate) fill(now time.Time) bool {
	changed := false
	for key, r := range g.runs {
		if r.phase != phaseQueued {
			continue
		}
		switch {
		case now.Sub(g.proof(r)) > orphanLimit || !g.Usable():
			g.settle(now, key, r, work.OutcomeNotStarted)
			changed = true
		case now.After(r.until):
			g.settle(now, key, r, work.OutcomeNoCapacity)
			changed = true
		}
	}
	for {
		r := g.firstQueued(now)
		if r == nil || !g.taken().Add(r.start.Resources).Fits(g.beat.Capacity) {
			return changed
		}
		g.launch(now, r.start.Run, r)
	}
}
