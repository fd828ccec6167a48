package runs

import (
	"time"

	"carobpulley/work"
)

// handleRestart handles an endpoint whose earlier generation is over. A run that was started shortly
// before this is known may be at the next generation, so a later poll decides on each; see isOver.
// crashed is set unless the endpoint has left as announced.
func (c *Controller) handleRestart(now time.Time, crashed bool) {
	evidence := c.crashEvidence()
	for key, r := range c.runs {
		if r.phase == phaseQueued {
			c.endRun(now, key, r, work.OutcomeNotStarted)
			continue
		}
		if crashed && !r.affected() {
			c.record(now, evidence, key.Task, r)
		}
		r.left = r.left || !crashed && r.phase == phaseRunning
		// Only crashStart tells a start under way at a crash as not started.
		r.mayHaveBegun = r.mayHaveBegun || !crashed
		// The command may still reach the next generation of the endpoint, which has seen no token yet.
		r.phase = phaseUncertain
		r.token = c.token
		r.phaseSince = now
	}
	c.token++
	for _, e := range c.ends {
		e.Sequence = 0
	}
	c.lastListed = 0
	c.ackedUpTo = 0
	clear(c.listedEnds)
	c.unread = unread{lists: c.unread.lists}
	c.clockMS = 0
	c.unresponsive = false
}

// announced reports whether the endpoint has announced that it leaves.
func (c *Controller) announced() bool { return c.shutDown || c.heartbeat.Draining }

// settledAt returns the time from which on the run's start can't be carried out any more: the endpoint
// has confirmed it, or the connection of its call has ended. It is zero if there is none, as for a start that
// was repeated: the next generation of the endpoint may still carry out the earlier one.
func (r *run) settledAt() time.Time {
	if r.repeated {
		return time.Time{}
	}
	if !r.confirmedAt.IsZero() {
		return r.confirmedAt
	}
	return r.brokenAt
}

// affected reports whether the run was at the endpoint, or under way to it, when it crashed or left.
func (r *run) affected() bool { return r.crashed != nil || r.left }

// isOver reports whether an affected run is over if a poll shows that it isn't at the endpoint: the
// poll was sent after everything that could start the run.
func (r *run) isOver(sent Poll) bool {
	if settled := r.settledAt(); !settled.IsZero() {
		return settled.Before(sent.SentAt)
	}
	return r.token < sent.Lease.Token && r.phaseSince.Before(sent.SentAt)
}

// endAffected ends a run that is over with an earlier generation of the endpoint.
func (c *Controller) endAffected(now time.Time, key work.Run, r *run) {
	if r.crashed != nil {
		c.crashRun(now, key, r)
		return
	}
	c.loseRun(now, key, r, LostLeft, Listing{})
}

// handleGone handles an endpoint that no longer exists, as the refusal of a poll has shown.
func (c *Controller) handleGone(now time.Time, sent Poll) bool {
	changed := !c.unresponsive || len(c.runs) > 0
	c.handleRestart(now, !c.announced())
	for key, r := range c.runs {
		if r.affected() && !r.settledAt().IsZero() && r.isOver(sent) {
			c.endAffected(now, key, r)
		}
	}
	c.unresponsive = true
	c.gone = true
	c.adoptClaim(now)
	return changed
}
