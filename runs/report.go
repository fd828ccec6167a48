package runs

import (
	"time"

	"carobpulley/work"
)

// Report is the message to a coordinator about the endpoint and its runs.
type Report struct {
	Attachment uint64
	// SentAt is the time of this report by the agent's clock. The coordinator returns it as an echo.
	SentAt int64
	State  work.EndpointState
	Ends   []work.End
	ends   []*end
	// Running is set only in the answer to an AttachRequest.
	Running []work.Run
	// Crashes holds the crashes that the coordinator has not got, and lastCrash the number of the
	// last one.
	Crashes   []work.Crash
	lastCrash int64
	// incarnation is that of the coordinator's process.
	incarnation uint64
}

// HasRunsOrEnds reports whether the agent holds a run or an end of the coordinator.
func (c *Controller) HasRunsOrEnds(coordinator string) bool {
	for _, r := range c.runs {
		if c.coordinatorOf(r) == coordinator {
			return true
		}
	}
	for _, e := range c.ends {
		if c.coordinatorOfEnd(e) == coordinator {
			return true
		}
	}
	return false
}

// Report returns the endpoint's state, the unreported ends of the coordinator, and those that are
// due to be reported again.
func (c *Controller) Report(now time.Time, coordinator string) Report {
	r := Report{SentAt: c.encodeTime(now), State: c.State(now, coordinator)}
	if co := c.coordinators[coordinator]; co != nil {
		r.Attachment = co.attachment
		r.incarnation = co.incarnation
		r.Crashes, r.lastCrash = c.unreportedCrashes(co)
	}
	for _, e := range c.ends {
		resend := e.reported && e.Sequence > 0 && !e.acked && now.Sub(e.reportedAt) > endResendInterval
		if (!e.reported || resend) && c.coordinatorOfEnd(e) == coordinator {
			r.Ends = append(r.Ends, e.End)
			r.ends = append(r.ends, e)
		}
	}
	return r
}

// FullReport returns the answer to an AttachRequest: a Report that also lists the runs that the
// coordinator's process answers for.
func (c *Controller) FullReport(now time.Time, a AttachRequest) Report {
	r := c.Report(now, a.Coordinator)
	for key, run := range c.runs {
		if c.coordinatorOf(run) == a.Coordinator && c.answersFor(a, run) {
			r.Running = append(r.Running, key)
		}
	}
	return r
}

// answersFor reports whether a run belongs to the process of its coordinator that attaches. A
// process that does not own the shard of a durable job yet would stop its run as unknown.
func (c *Controller) answersFor(a AttachRequest, r *run) bool {
	if !r.start.Durable {
		return a.Incarnation == r.incarnation
	}
	number := c.shardOf(r.start.Run.Task)
	s := c.shards[number]
	epoch, owned := a.Epochs[number]
	return owned && s != nil && s.epoch == epoch
}

// CanAttach reports whether an AttachRequest can be answered: the endpoint's lists have been read,
// or the leases of an earlier process of this agent have expired, and no run of that process is
// left.
func (c *Controller) CanAttach(now time.Time) bool {
	return !c.hasUnknownRuns() && c.polledOrUnreachable() && (c.listsKnown || now.After(c.inheritedLeaseExpiry()))
}

// inheritedLeaseExpiry returns the time by which the last lease that an earlier process of this
// agent can have given has expired.
func (c *Controller) inheritedLeaseExpiry() time.Time {
	span := c.cfg.MaxLease
	span += time.Duration(float64(span)*ClockSlack) + leaseExpiryMargin
	return c.origin.Add(span + c.suspended - c.cfg.Suspended)
}

// polledOrUnreachable reports whether the endpoint has answered a poll, or there is no responsive
// endpoint.
func (c *Controller) polledOrUnreachable() bool {
	return c.clockMS != 0 || c.unresponsive || !c.hasHeartbeat || c.shutDown
}

// ReportReply is a coordinator's answer to a report.
type ReportReply struct {
	Epochs map[int]uint64
	Acked  []int64
	// AckedGeneration is the endpoint generation that the numbers in Acked belong to.
	AckedGeneration string
	// Stops are those of dispatches that this agent has not answered. An agent that is reached by
	// answers only would go on renewing the proof of runs that are to be stopped.
	Stops []work.Run
}

// HandleReportReply handles the answer to a report.
func (c *Controller) HandleReportReply(now time.Time, coordinator string, sent Report, reply ReportReply) {
	co := c.coordinators[coordinator]
	if co == nil || co.incarnation != sent.incarnation || co.attachment != sent.Attachment {
		return
	}
	for _, key := range reply.Stops {
		c.stop(now, coordinator, key) // before the proof, which is newer than the decision to stop
	}
	at := c.decodeTime(sent.SentAt)
	c.recordProof(coordinator, at)
	co.crashesReported = max(co.crashesReported, sent.lastCrash)
	for number, epoch := range reply.Epochs {
		s := c.shards[number]
		if s != nil && s.owner == coordinator && s.epoch == epoch && at.After(s.proof) {
			s.proof = at
		}
	}
	for _, e := range sent.ends { // a run of the same number may have ended since
		e.reported = true
		e.reportedAt = now
	}
	c.HandleAcks(reply.AckedGeneration, reply.Acked)
	c.pruneEnds()
}
