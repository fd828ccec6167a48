package runs

import (
	"cmp"
	"slices"
	"time"

	"carobpulley/work"
)

// queueShare is the fraction of an endpoint's CPU capacity that queued runs may need in total, so
// that the next run starts without a message round trip when one ends. Coordinators queue few runs on
// purpose; the rest is for starts that several of them send for the same free capacity.
const queueShare = 0.49

// fitsQueue reports whether one more run may be queued.
func (c *Controller) fitsQueue(resources work.Resources) bool {
	var sum int64
	for _, r := range c.runs {
		if r.phase == phaseQueued {
			sum += r.start.Resources.CPU
		}
	}
	return float64(sum+resources.CPU) <= queueShare*float64(c.heartbeat.Capacity.CPU)
}

// queued returns the queued runs in the order of their tasks.
func (c *Controller) queued() []*run {
	var queued []*run
	for _, r := range c.runs {
		if r.phase == phaseQueued {
			queued = append(queued, r)
		}
	}
	slices.SortFunc(queued, func(a, b *run) int { return cmp.Compare(a.start.Run.Task, b.start.Run.Task) })
	return queued
}

// nextQueued returns the queued run to start next: the most urgent one with the earliest latestStart, with
// runs whose latestStart has passed after all others.
func (c *Controller) nextQueued(now time.Time) *run {
	var first *run
	for _, r := range c.runs {
		if r.phase == phaseQueued && (first == nil || r.startsBefore(first, now)) {
			first = r
		}
	}
	return first
}

func (r *run) startsBefore(other *run, now time.Time) bool {
	late, otherLate := r.latestStart.Before(now), other.latestStart.Before(now)
	if late != otherLate {
		return otherLate
	}
	if r.start.Priority != other.start.Priority {
		return r.start.Priority < other.start.Priority
	}
	if !r.latestStart.Equal(other.latestStart) {
		return r.latestStart.Before(other.latestStart)
	}
	return r.start.Run.Task < other.start.Run.Task
}

// launch starts a run at the endpoint.
func (c *Controller) launch(now time.Time, key work.Run, r *run) {
	r.phase = phaseStarting
	r.phaseSince = now
	r.launchedAt = now
	c.runs[key] = r
	c.commands = append(c.commands, Command{Start: &r.start})
}

// processQueue starts queued runs as far as capacity is free. It ends those whose waiting time is
// over or whose proof is older than orphanTimeout, and all if the endpoint isn't usable or its failure
// domain is out of service. It reports whether it ended one.
func (c *Controller) processQueue(now time.Time) bool {
	changed := false
	for _, r := range c.queued() {
		key := r.start.Run
		switch {
		case now.Sub(c.proof(r)) > orphanTimeout || !c.Usable() || c.domainRefusal(now) != "":
			c.endRun(now, key, r, work.OutcomeNotStarted)
			changed = true
		case now.After(r.waitUntil):
			c.endRun(now, key, r, work.OutcomeNoCapacity)
			changed = true
		}
	}
	for {
		r := c.nextQueued(now)
		if r == nil || c.mustWait(&r.start) || !c.reservedResources().Add(r.start.Resources).Fits(c.heartbeat.Capacity) {
			return changed
		}
		c.launch(now, r.start.Run, r)
	}
}
