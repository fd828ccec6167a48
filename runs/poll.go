package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// HandleStartReply handles the endpoint's answer to a start that was sent with a lease.
func (c *Controller) HandleStartReply(now time.Time, key work.Run, l carobpulley.Lease, a carobpulley.StartAnswer, err error) {
	r := c.runs[key]
	if r == nil || l.Token < r.minToken {
		return
	}
	r.mayHaveBegun = r.mayHaveBegun || err == nil && !provesNotBegun(a.Refusal)
	if r.crashed != nil && r.phase == phaseUncertain {
		c.crashStart(now, key, r, a.Refusal, err)
		return
	}
	if r.phase != phaseStarting {
		return
	}
	if err != nil {
		c.handleUnansweredStart(now, key, r, l, err)
		c.processQueue(now)
		return
	}
	switch a.Refusal {
	case "":
		r.phase = phaseRunning
		r.phaseSince = now
		r.confirmedAt = now
		c.company.join(now, r)
		r.crashed, r.left = nil, false
		if r.stopping {
			c.commands = append(c.commands, Command{Stop: key})
		}
	case carobpulley.RefusalStaleToken, carobpulley.RefusalLeaseExpired:
		c.handleRefusedStart(now, key, r, l, a.Refusal)
	case carobpulley.RefusalNoCapacity:
		c.endRun(now, key, r, work.OutcomeNoCapacity)
	default:
		c.endRun(now, key, r, work.OutcomeNotStarted)
	}
	c.processQueue(now)
}

// handleUnansweredStart raises the token, so that the endpoint refuses a start that is still in
// transit, unless the start was never sent.
func (c *Controller) handleUnansweredStart(now time.Time, key work.Run, r *run, l carobpulley.Lease, err error) {
	if neverSent(err) && !r.repeated {
		c.endRun(now, key, r, work.OutcomeNotStarted)
		return
	}
	r.mayHaveBegun = true
	r.phase = phaseUncertain
	r.phaseSince = now
	if carobpulley.KindOf(err) == carobpulley.KindBroken {
		r.brokenAt = now
	} else {
		c.timedOutAt = now
	}
	r.token = l.Token
	c.retireToken(l.Token)
}

// neverSent reports whether a call has reached no endpoint.
func neverSent(err error) bool {
	kind := carobpulley.KindOf(err)
	return kind == carobpulley.KindUnavailable || kind == carobpulley.KindGone
}

// retireToken makes the next commands carry a higher token, so that the endpoint refuses an earlier one
// that reaches it after them.
func (c *Controller) retireToken(token int64) {
	if c.token == token {
		c.token++
	}
}

// retryStart repeats a start that has not taken effect and no longer can. It ends the run instead
// after maxStartAttempts, or if the run is being stopped or the endpoint isn't usable.
func (c *Controller) retryStart(now time.Time, key work.Run, r *run) {
	r.attempts++
	if r.attempts >= maxStartAttempts || r.stopping || !c.Usable() {
		c.endRun(now, key, r, work.OutcomeNotStarted)
		return
	}
	r.phase = phaseStarting
	r.phaseSince = now
	r.brokenAt = time.Time{}
	r.leasedAt = time.Time{}
	r.minToken = c.token
	c.commands = append(c.commands, Command{Start: &r.start})
}

func (c *Controller) handleRefusedStart(now time.Time, key work.Run, r *run, l carobpulley.Lease, refusal string) {
	if refusal == carobpulley.RefusalStaleToken {
		c.RaiseToken(l.Token)
	}
	c.retryStart(now, key, r)
}

// RaiseToken handles a refusal of a token as too low. Each refusal of the newest token doubles the
// step, since the refusal doesn't carry the highest token that the endpoint has seen.
func (c *Controller) RaiseToken(token int64) {
	if token < c.token {
		return
	}
	step := max(1, token-c.cfg.Token)
	c.token = token + 2*step
}

// Poll holds the parameters of a poll of the endpoint's run lists.
type Poll struct {
	SentAt time.Time
	Lease  carobpulley.Lease
	// AckedUpTo is the number up to which the endpoint may drop ends.
	AckedUpTo int64
	// claim is what the poll is to decide; nil if it is a poll of the instance in force.
	claim *claim
}

// BeginPoll returns the parameters of the next poll.
func (c *Controller) BeginPoll(now time.Time) Poll {
	if c.restartClaimed() {
		// The clock and the numbers of ends are those of the earlier generation.
		return Poll{SentAt: now, Lease: carobpulley.Lease{Instance: c.heartbeat.Instance, Token: c.token}}
	}
	return Poll{SentAt: now, Lease: c.Lease(now), AckedUpTo: c.ackedUpTo}
}

// HandlePoll handles the endpoint's lists. It reports whether a run ended or the endpoint became
// usable or restarted.
func (c *Controller) HandlePoll(now time.Time, sent Poll, lists carobpulley.RunLists) bool {
	usable, restarted := c.observeGeneration(now, sent, lists.Generation)
	if !usable {
		return false
	}
	c.observeUnread(now, lists)
	// What can't be read may be a run of an earlier process, until its lease has expired.
	c.listsKnown = c.listsKnown || len(lists.UnreadRunning) == 0 || now.After(c.inheritedLeaseExpiry())
	changed := restarted || c.unresponsive || c.clockMS == 0
	c.unresponsive = false
	c.failedPolls = 0
	if sent.SentAt.After(c.answeredPoll) {
		c.answeredPoll = sent.SentAt
	}
	if c.clockMS == 0 || !sent.SentAt.Before(c.wokeAt) {
		c.clockMS = lists.Clock
		c.clockAt = now
		c.suspendedSinceReading = 0
		c.readingVoid = false
	}
	for i := range lists.Finished {
		if c.isNewEnd(lists.Finished[i].Sequence) {
			c.handleListedEnd(now, lists.Finished[i])
			changed = true
		}
	}
	if changed {
		c.pruneEnds()
	}
	changed = c.reconcile(now, sent, lists) || changed
	return c.processQueue(now) || changed
}

// reconcile handles the runs that the endpoint lists, among them those that this process didn't
// start, and those that it no longer lists. It reports whether a run ended as lost.
func (c *Controller) reconcile(now time.Time, sent Poll, lists carobpulley.RunLists) bool {
	changed := false
	complete := len(lists.Finished)+len(lists.UnreadEnds) < maxPageSize
	listed := make(map[work.Run]bool, len(lists.Running))
	for i := range lists.Running {
		listed[lists.Running[i].Run] = true
		c.handleListedRun(now, sent, lists.Running[i].Run)
	}
	for key, r := range c.runs {
		if complete && !listed[key] && !c.mayBeUnread(r) && c.handleUnlistedRun(now, sent, key, r) {
			changed = true
		}
	}
	return changed
}

// handleListedRun handles a run that the endpoint lists as running.
func (c *Controller) handleListedRun(now time.Time, sent Poll, key work.Run) {
	r := c.runs[key]
	if r == nil {
		if ended, ok := c.endedRuns[key]; ok && !ended.inferred && !ended.at.Before(sent.SentAt) {
			// This poll was answered before the run ended, and another poll has shown the end.
			return
		}
		// An earlier process of this agent started it, or a command reached a later generation of
		// the endpoint. It is stopped before anything else starts.
		c.recordFound(now, key)
		r = &run{start: work.Start{Run: key}, phase: phaseRunning, phaseSince: now, confirmedAt: now, stopping: true, listedIn: c.unread.lists}
		c.runs[key] = r
		c.company.join(now, r)
		c.commands = append(c.commands, Command{Stop: key})
		return
	}
	r.listedIn = c.unread.lists
	r.mayHaveBegun = true
	if r.phase == phaseUncertain {
		// A list shows that the run has ended only if it was asked for after this one was made.
		r.phase = phaseRunning
		r.phaseSince = now
		r.confirmedAt = now
		c.company.join(now, r)
		r.crashed, r.left = nil, false
		r.listed = Listing{SentAt: sent.SentAt, HandledAt: now, ClockMS: c.clockMS}
	}
}

// handleUnlistedRun ends or retries a run that the endpoint doesn't list, if the poll was sent
// after every command that could still start it. It reports whether the run ended as lost.
func (c *Controller) handleUnlistedRun(now time.Time, sent Poll, key work.Run, r *run) bool {
	switch {
	case r.phase == phaseRunning && r.phaseSince.Before(sent.SentAt):
		c.loseRun(now, key, r, LostUnlisted, Listing{SentAt: sent.SentAt, HandledAt: now, ClockMS: c.clockMS})
	case r.phase == phaseUncertain && r.affected():
		if !r.isOver(sent) {
			return false
		}
		c.endAffected(now, key, r)
	case r.phase == phaseUncertain && r.token < sent.Lease.Token && r.phaseSince.Before(sent.SentAt):
		// The endpoint refuses the lower token from now on, so the start can be repeated.
		r.repeated = true
		c.retryStart(now, key, r)
		return false
	default:
		return false
	}
	return true
}

// handleListedEnd records an end that the endpoint lists for the first time.
func (c *Controller) handleListedEnd(now time.Time, e work.End) {
	c.lastListed = max(c.lastListed, e.Sequence)
	c.listedEnds[e.Sequence] = true
	r := c.runs[e.Run]
	e.ElapsedMS = elapsed(now, r)
	e.Beside, e.BesideKnown = c.company.leave(now, r)
	delete(c.runs, e.Run)
	c.recordEnded(now, e.Run, r)
	c.ends = append(c.ends, newEnd(e, r))
}

// HandlePollError handles a refused or unanswered poll. It reports whether the endpoint became
// unresponsive or its runs were lost.
func (c *Controller) HandlePollError(now time.Time, sent Poll, refusal string, err error) bool {
	switch {
	case refusal == carobpulley.RefusalStaleToken:
		c.RaiseToken(sent.Lease.Token)
		return false
	case sent.claim != nil:
		c.handleProbeError(sent, refusal)
		return false
	case refusal == carobpulley.RefusalWrongInstance:
		return c.handleWrongInstance(now, sent)
	case err != nil && carobpulley.KindOf(err) == carobpulley.KindGone:
		if c.predatesGeneration(sent) {
			return false
		}
		c.listsKnown = true // nothing is there that could run anything
		return c.handleGone(now, sent)
	}
	if refusal == "" && carobpulley.KindOf(err) == carobpulley.KindUnknown {
		// It may still be carried out and renew a lease that nothing else renews any more.
		c.retireToken(sent.Lease.Token)
		c.timedOutAt = now
	}
	c.failedPolls++
	if c.failedPolls < maxFailedPolls {
		return false
	}
	changed := !c.unresponsive
	c.unresponsive = true
	return changed
}
