package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Lease returns the lease for a command that is sent now. It never outlives the oldest ownership
// proof by more than ProofTTL. Without one there is nothing to keep, and a lease, which is never
// shortened, would outlive the proof of the next run.
func (c *Controller) Lease(now time.Time) carobpulley.Lease {
	c.fenceDelayedStarts(now)
	l := carobpulley.Lease{Instance: c.heartbeat.Instance, Token: c.token}
	if c.clockMS == 0 || !c.listsKnown {
		return l
	}
	c.markExpiredEnds(now)
	limit, limited := c.earliestProofExpiry()
	if !limited {
		return l
	}
	until := now.Add(c.cfg.MaxLease)
	if limit.Before(until) {
		until = limit
	}
	if !until.After(now) {
		return l
	}
	// By then a slow clock, which may have stood while the host was suspended, has advanced by at least
	// this since it was read.
	advance := time.Duration(float64(until.Sub(c.clockAt)-c.suspendedSinceReading) * (1 - ClockSlack))
	l.DeadlineMS = c.clockMS + advance.Milliseconds()
	if expiry := until.Add(leaseExpiryMargin); expiry.After(c.leaseExpiresAt) {
		c.leaseExpiresAt = expiry
	}
	return l
}

// StartLease returns the lease for a start that is sent now. It ends the run instead, and returns the
// reason, if what the start was decided on holds no longer, as when this process was paused or the start
// is repeated: the proof of the run's coordinator, the knowledge of the failure domains, the endpoint's
// capacity. The proof must also be recent enough for the lease that the endpoint has.
func (c *Controller) StartLease(now time.Time, key work.Run) (lease carobpulley.Lease, refusal string) {
	r := c.runs[key]
	if r == nil || r.phase != phaseStarting {
		return carobpulley.Lease{}, ReasonStopped
	}
	if refusal = c.sendRefusal(now, r); refusal == "" {
		lease = c.Lease(now)
		r.leasedAt, r.leaseToken = now, lease.Token
		return lease, ""
	}
	outcome := work.OutcomeNotStarted
	if refusal == ReasonCapacity {
		outcome = work.OutcomeNoCapacity
	}
	c.endRun(now, key, r, outcome)
	return carobpulley.Lease{}, refusal
}

// fenceDelayedStarts makes the endpoint refuse starts that have not been answered for longer than their calls
// may take, as when this process was paused before it sent one. A lease that is renewed from now on would keep
// such a start at work, although its task may have been started elsewhere.
func (c *Controller) fenceDelayedStarts(now time.Time) {
	for _, r := range c.runs {
		if r.phase == phaseStarting && !r.leasedAt.IsZero() && now.Sub(r.leasedAt) > startDelayLimit {
			c.retireToken(r.leaseToken)
		}
	}
}

// sendRefusal returns the reason for which a start that was decided on may not be sent any more; empty
// if it may.
func (c *Controller) sendRefusal(now time.Time, r *run) string {
	proof := c.proof(r)
	if now.Sub(proof) > orphanTimeout {
		return ReasonProof
	}
	if now.Before(c.leaseExpiresAt) && c.leaseExpiresAt.Sub(proof) > resubmitAfter {
		return ReasonProof // a lease that was given for other runs would keep this one at work
	}
	if reason := c.domainRefusal(now); reason != "" {
		return reason
	}
	if !c.reservedResources().Fits(c.heartbeat.Capacity) {
		return ReasonCapacity
	}
	return ""
}

// markExpiredEnds marks the ends that precede an expiry of the endpoint's lease. They never count
// as recorded, so their tasks may be run elsewhere.
func (c *Controller) markExpiredEnds(now time.Time) {
	if !c.leasesExpired(now) {
		return
	}
	for _, e := range c.ends {
		e.leaseExpired = true
	}
}

// leasesExpired reports whether every lease that this process, or an earlier one, gave has expired.
func (c *Controller) leasesExpired(now time.Time) bool {
	return !now.Before(c.leaseExpiresAt) && !now.Before(c.inheritedLeaseExpiry())
}

// startRefusal returns the reason for which no start that is dispatched now can be sent with a
// lease; empty if one can.
func (c *Controller) startRefusal(now time.Time) string {
	if reason := c.domainRefusal(now); reason != "" {
		return reason
	}
	if !c.Usable() {
		return ReasonEndpoint
	}
	c.markExpiredEnds(now)
	if c.leaseBlocked(now) {
		return ReasonEndpoint
	}
	return ""
}

// leaseBlocked reports whether no lease can be given now: the proof of a run, or of an end that is
// not stored yet, has expired.
func (c *Controller) leaseBlocked(now time.Time) bool {
	limit, limited := c.earliestProofExpiry()
	return limited && !limit.After(now)
}

// earliestProofExpiry returns the earliest time at which the proof of a launched run expires. An
// unstored end of a durable job counts as a run until the lease has expired: its task may be run
// elsewhere only then. It reports false if there is neither a run nor such an end.
func (c *Controller) earliestProofExpiry() (time.Time, bool) {
	var first time.Time
	found := false
	consider := func(proof time.Time) {
		limit := proof.Add(ProofTTL)
		if !found || limit.Before(first) {
			first = limit
			found = true
		}
	}
	for _, r := range c.runs {
		if r.phase != phaseQueued {
			consider(c.leaseProof(r))
		}
	}
	for _, e := range c.ends {
		if e.coordinator == "" && e.Sequence > 0 && !e.acked && !e.leaseExpired {
			consider(c.shardProof(e.Run.Task))
		}
	}
	return first, found
}

// leaseProof returns the proof that a lease for a run rests on. That of a best-effort run that is to be
// stopped isn't renewed: an endpoint that carries out no stop ends it with the lease, before the caller
// submits the job elsewhere.
func (c *Controller) leaseProof(r *run) time.Time {
	proof := c.proof(r)
	if r.stopping && !r.start.Durable && r.stopProof.Before(proof) {
		return r.stopProof
	}
	return proof
}

// requestStop commands the stop of a run at the endpoint.
func (c *Controller) requestStop(key work.Run, r *run) {
	if !r.stopping {
		r.stopping = true
		r.stopProof = c.proof(r)
	}
	c.commands = append(c.commands, Command{Stop: key})
}

// proof returns the latest time at which a run's coordinator is known to have been alive, or to
// have owned the run's shard.
func (c *Controller) proof(r *run) time.Time {
	if r.coordinator == "" || r.start.Durable {
		return c.shardProof(r.start.Run.Task)
	}
	if co := c.coordinators[r.coordinator]; co != nil && co.incarnation == r.incarnation {
		return co.proof
	}
	return time.Time{}
}

func (c *Controller) shardProof(task string) time.Time {
	if s := c.shards[c.shardOf(task)]; s != nil {
		return s.proof
	}
	return time.Time{}
}

// stopOrphans stops runs whose proof is older than orphanTimeout, drops ends whose coordinator has
// been replaced or is unresponsive, and removes unresponsive coordinators.
func (c *Controller) stopOrphans(now time.Time) {
	for key, r := range c.runs {
		if !r.stopping && r.phase != phaseQueued && now.Sub(c.proof(r)) > orphanTimeout {
			c.requestStop(key, r)
		}
	}
	dropped := false
	for _, e := range c.ends {
		if e.coordinator == "" {
			continue
		}
		co := c.coordinators[e.coordinator]
		if co == nil || co.incarnation != e.incarnation || now.Sub(co.proof) > endRetention {
			e.reported = true
			dropped = true
		}
	}
	if dropped {
		c.pruneEnds()
	}
	for name, co := range c.coordinators {
		if now.Sub(co.proof) > coordinatorRetention && !c.isReferenced(name) {
			delete(c.coordinators, name)
		}
	}
}

// isReferenced reports whether a coordinator owns a shard or dispatched a run.
func (c *Controller) isReferenced(name string) bool {
	for _, s := range c.shards {
		if s.owner == name {
			return true
		}
	}
	for _, r := range c.runs {
		if r.coordinator == name {
			return true
		}
	}
	return false
}

// Tick applies the time-outs. It ends the runs of an unresponsive endpoint as lost once its lease
// has certainly expired. It reports whether a run ended.
func (c *Controller) Tick(now time.Time) bool {
	c.dropCrashes(now)
	for key, at := range c.refusedStarts {
		if now.Sub(at) > tombstoneTTL {
			delete(c.refusedStarts, key)
		}
	}
	for key, at := range c.earlyStops {
		if now.Sub(at) > tombstoneTTL {
			delete(c.earlyStops, key)
		}
	}
	for key, ended := range c.endedRuns {
		if now.Sub(ended.at) > tombstoneTTL {
			delete(c.endedRuns, key)
		}
	}
	c.markExpiredEnds(now)
	c.stopOrphans(now)
	changed := c.processQueue(now)
	if !c.unresponsive || len(c.runs) == 0 || !c.leasesExpired(now) {
		return changed
	}
	for key, r := range c.runs {
		if r.affected() {
			c.endAffected(now, key, r)
			continue
		}
		c.loseRun(now, key, r, LostLeaseExpired, Listing{})
		ended := c.endedRuns[key]
		ended.inferred = true
		c.endedRuns[key] = ended
	}
	c.token++
	return true
}
