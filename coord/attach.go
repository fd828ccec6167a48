package coord

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

const (
	// attachTimeout bounds one attach call.
	attachTimeout = 400 * time.Millisecond
	// attachRetryInterval is the pause before another attach call to an agent that
	// refused one or that holds placed tasks; idleAttachRetryInterval is the pause after
	// a failed call to any other agent.
	attachRetryInterval     = 100 * time.Millisecond
	idleAttachRetryInterval = 800 * time.Millisecond
	// reattachAfter is the time without a report after which the coordinator
	// attaches to an agent again. Agents report every 400 ms at least.
	reattachAfter = 900 * time.Millisecond
	// dispatchTimeout bounds one dispatch call.
	dispatchTimeout = 300 * time.Millisecond
	// dispatchRetryInterval is the pause between attempts at one dispatch.
	dispatchRetryInterval = 30 * time.Millisecond
)

// attachDetached attaches to all agents without an attachment whose retry pause is
// over. The caller holds the lock.
func (c *Coordinator) attachDetached(now time.Time) {
	c.table.DetachUnresponsive(now, reattachAfter)
	for _, name := range c.table.AgentsToAttach(now) {
		agent, known := c.agents[name]
		if !known || now.Before(c.nextAttachAt[name]) {
			continue
		}
		c.nextAttachAt[name] = now.Add(attachTimeout + idleAttachRetryInterval)
		go c.attach(agent, c.table.NextAttachment(name), c.table.OwnedShards())
	}
}

// attach announces the owned shards to an agent and takes over its list of runs and
// ends.
func (c *Coordinator) attach(agent work.Address, attachment uint64, epochs map[int]uint64) {
	peer := c.peers.At(agent.Addr)
	call, cancel := withTimeout(c.baseCtx, attachTimeout)
	defer cancel()
	reply, err := peer.Agent.Attach(call, connect.NewRequest(&relay.AttachRequest{
		Coordinator: c.cfg.Self.Name,
		Incarnation: c.cfg.Self.Incarnation,
		Addr:        c.cfg.Self.Addr.String(),
		Attachment:  attachment,
		Shards:      link.EpochsToWire(epochs),
	}))
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	if err != nil {
		err = peer.CallError("attach", err)
		c.nextAttachAt[agent.Name] = now.Add(c.attachRetryDelay(agent.Name))
		c.log.Warn().Err(err).Str("host", agent.Name).Uint64("attachment", attachment).Msg("attach failed")
		return
	}
	if reason := reply.Msg.GetRefusal(); reason != "" {
		c.nextAttachAt[agent.Name] = now.Add(attachRetryInterval)
		c.log.Info().Str("host", agent.Name).Str("why", reason).Uint64("attachment", attachment).Msg("attach refused")
		return
	}
	delete(c.nextAttachAt, agent.Name)
	c.reachedAgent()
	c.mergeDomains(link.DomainsFromWire(reply.Msg.GetDomains(), time.Time{}), agent.Name)
	report := link.ReportFromWire(reply.Msg)
	c.log.Info().Str("host", agent.Name).Uint64("attachment", attachment).Int("running", len(report.Running)).
		Int("ends", len(report.Ends)).Bool("ready", report.State.Ready).Msg("attached")
	c.table.HandleAttachment(now, report, epochs)
	c.flush()
	c.confirmOwnership()
}

// attachRetryDelay returns the pause after a failed attach call. The caller holds the
// lock.
func (c *Coordinator) attachRetryDelay(name string) time.Duration {
	if c.table.HasPlacedTasks(name) {
		return attachRetryInterval
	}
	return idleAttachRetryInterval
}

// sendDispatch repeats a dispatch until the agent answers it or its attachment is no
// longer current.
func (c *Coordinator) sendDispatch(d *jobs.Dispatch) {
	defer c.removeUnanswered(d)
	decided := c.clock.Now()
	for c.baseCtx.Err() == nil {
		c.lock()
		agent, known := c.agents[d.Agent]
		sendable := jobs.SendNever
		if known {
			sendable = c.table.Refresh(c.now, d)
		}
		m := link.DispatchToWire(c.cfg.Self.Name, c.cfg.Self.Incarnation, d)
		m.Stops = append(m.Stops, link.RunsToWire(c.delayedStops(d))...)
		m.Domains = link.DomainsToWire(c.now, c.domains)
		c.mu.Unlock()
		switch sendable {
		case jobs.SendNever:
			return
		case jobs.SendLater:
			sleep(c.baseCtx, dispatchRetryInterval)
			continue
		case jobs.SendNow:
		}
		peer := c.peers.At(agent.Addr)
		call, cancel := withTimeout(c.baseCtx, dispatchTimeout)
		reply, err := peer.Agent.Order(call, connect.NewRequest(m))
		cancel()
		if err == nil {
			c.cfg.Meter.Observe("order", c.clock.Now().Sub(decided))
			c.cfg.Meter.Add("starts_ordered", int64(len(d.Starts)))
			c.cfg.Meter.Add("starts_refused", int64(len(reply.Msg.GetRefused())))
			c.handleDispatchReply(d, reply.Msg)
			return
		}
		c.log.Warn().Err(peer.CallError("order", err)).Str("host", d.Agent).Uint64("attachment", d.Attachment).Int("starts", len(d.Starts)).
			Int("stops", len(d.Stops)).Msg("order not answered")
		c.recordDelayed(d)
		sleep(c.baseCtx, dispatchRetryInterval)
	}
}

func (c *Coordinator) removeUnanswered(d *jobs.Dispatch) {
	c.lock()
	defer c.mu.Unlock()
	delete(c.unanswered[d.Agent], d)
}

// recordDelayed records that a try of a dispatch has failed.
func (c *Coordinator) recordDelayed(d *jobs.Dispatch) {
	c.lock()
	defer c.mu.Unlock()
	if _, underWay := c.unanswered[d.Agent][d]; underWay {
		c.unanswered[d.Agent][d] = true
	}
}

// delayedStops returns the stops of other dispatches to the agent of which a try has failed. This one may
// get there first, and what it proves is newer than the decision to stop. The caller holds the lock.
func (c *Coordinator) delayedStops(d *jobs.Dispatch) []work.Run {
	var stops []work.Run
	for other, failed := range c.unanswered[d.Agent] {
		if other != d && failed && other.Attachment == d.Attachment {
			stops = append(stops, other.Stops...)
		}
	}
	return stops
}

// unansweredStops returns the stops of an attachment's dispatches that the agent has not answered.
// The caller holds the lock.
func (c *Coordinator) unansweredStops(agent string, attachment uint64) []work.Run {
	var stops []work.Run
	for d := range c.unanswered[agent] {
		if d.Attachment == attachment {
			stops = append(stops, d.Stops...)
		}
	}
	return stops
}

func (c *Coordinator) handleDispatchReply(d *jobs.Dispatch, reply *relay.OrderReply) {
	c.lock()
	defer c.mu.Unlock()
	c.reachedAgent()
	c.mergeDomains(link.DomainsFromWire(reply.GetDomains(), time.Time{}), d.Agent)
	if reply.GetStale() {
		c.table.HandleStaleDispatch(d)
		delete(c.nextAttachAt, d.Agent)
		c.attachDetached(c.now)
		return
	}
	c.table.HandleDispatchReply(d, link.EndpointStateFromWire(reply.GetRunner()))
	for reason, runs := range link.RefusedStartsFromWire(reply.GetRefused()) {
		c.table.HandleRefusedStarts(c.now, d, runs, reason)
	}
	c.flush()
}

// Report handles an agent's report: it acknowledges stored ends and returns a proof of
// ownership while the coordinator's own proof is valid.
func (c *Coordinator) Report(_ context.Context, r *connect.Request[relay.ReportRequest]) (*connect.Response[relay.ReportReply], error) {
	report := link.ReportFromWire(r.Msg)
	c.lock()
	defer c.mu.Unlock()
	now := c.now
	c.mergeDomains(link.DomainsFromWire(r.Msg.GetDomains(), time.Time{}), report.Agent)
	domains := link.DomainsToWire(now, c.domains)
	answer := c.table.HandleReport(now, report)
	if answer.Stale {
		return connect.NewResponse(&relay.ReportReply{Stale: true, Released: answer.Released, Domains: domains}), nil
	}
	reply := &relay.ReportReply{Acked: answer.Acked, AckedLife: answer.Generation, Released: answer.Released, Domains: domains}
	reply.Stops = link.RunsToWire(c.unansweredStops(report.Agent, report.Attachment))
	if c.ownershipProven(now) {
		reply.Owned = link.EpochsToWire(c.table.OwnedShards())
	}
	c.flush()
	c.confirmOwnership()
	return connect.NewResponse(reply), nil
}
