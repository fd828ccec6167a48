package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// HandleHeartbeat handles a heartbeat of the endpoint. It reports whether this is the first
// heartbeat, also after a shutdown, or the endpoint's instance, generation or draining state has
// changed.
func (c *Controller) HandleHeartbeat(now time.Time, hb carobpulley.Heartbeat) bool {
	if c.hasHeartbeat && !c.isNewer(hb) {
		return false
	}
	changed := !c.hasHeartbeat || c.shutDown || c.heartbeat.Draining != hb.Draining || c.heartbeat.Instance != hb.Instance || c.heartbeat.Generation != hb.Generation
	// A poll may have shown an earlier generation before the first heartbeat.
	restarted := c.hasHeartbeat && c.heartbeat.Instance != hb.Instance ||
		(c.hasHeartbeat || c.generation != 0) && hb.Generation != 0 && c.generation != hb.Generation
	if restarted {
		c.handleRestart(now, !c.heartbeat.Draining)
	}
	c.heartbeat = hb
	c.hasHeartbeat = true
	c.shutDown = false
	if hb.Generation != 0 {
		c.generation = hb.Generation
	}
	return changed
}

// isNewer reports whether a heartbeat has not been overtaken by a later one or by one of a later
// generation.
func (c *Controller) isNewer(hb carobpulley.Heartbeat) bool {
	if hb.Generation != c.heartbeat.Generation {
		return hb.Generation > c.heartbeat.Generation
	}
	if hb.Instance != c.heartbeat.Instance {
		return true
	}
	return hb.Sequence > c.heartbeat.Sequence
}

// HandleShutdown handles the endpoint's announcement that it has shut down. It reports whether it
// changed the state.
func (c *Controller) HandleShutdown(now time.Time, instance string) bool {
	if !c.hasHeartbeat || c.shutDown || c.heartbeat.Instance != instance {
		return false
	}
	c.shutDown = true
	c.handleRestart(now, false)
	return true
}

// handleRestart ends all runs of an endpoint that has lost its runs, except starts that may still
// reach its next generation. crashed is set unless the endpoint has left as announced.
func (c *Controller) handleRestart(now time.Time, crashed bool) {
	c.listsKnown = true
	evidence := c.crashEvidence()
	for key, r := range c.runs {
		if r.underWay() {
			if crashed && r.crashed == nil {
				r.crashed = evidence.of(key.Task, r)
			}
			// The command may still reach the next generation of the endpoint, which has seen no
			// token yet: a poll of it resolves the start.
			r.phase = phaseUncertain
			r.token = c.token
			r.phaseSince = now
			if r.crashed != nil && r.broken {
				c.crashRun(now, key, r)
			}
			continue
		}
		switch {
		case r.phase == phaseQueued:
			c.endRun(now, key, r, work.OutcomeNotStarted)
		case crashed:
			r.crashed = evidence.of(key.Task, r)
			c.crashRun(now, key, r)
		default:
			c.loseRun(now, key, r, LostLeft, Listing{})
		}
	}
	c.token++
	for _, e := range c.ends {
		e.Sequence = 0
	}
	c.lastListed = 0
	c.ackedUpTo = 0
	c.clockMS = 0
	c.unresponsive = false
}
