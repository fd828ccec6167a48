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
	// attachLimit bounds one attachment.
	attachLimit = 400 * time.Millisecond
	// attachPause separates the tries to attach to one agent; it doubles for an
	// agent that does not answer, up to attachPauseMax.
	attachPause    = 100 * time.Millisecond
	attachPauseMax = 800 * time.Millisecond
	// quietHost is the time without a report after which an agent is attached to
	// again. Its reports come every 400 ms at least.
	quietHost = 900 * time.Millisecond
	// orderLimit bounds one order.
	orderLimit = 300 * time.Millisecond
	// orderPause separates the tries of one order.
	orderPause = 30 * time.Millisecond
)

// attachDetached attaches to all agents without an attachment. The caller holds the
// lock.
func (c *Coordinator) attachDetached(now time.Time) {
	c.table.DetachUnresponsive(now, quietHost)
	for _, name := range c.table.DetachedAgents() {
		a, known := c.agents[name]
		if !known || now.Before(c.attaching[name]) {
			continue
		}
		c.attaching[name] = now.Add(attachLimit + attachPauseMax)
		go c.attach(a, c.table.NextAttachment(name), c.table.OwnedShards())
	}
}

// attach announces this owner to an agent and learns what it runs.
func (c *Coordinator) attach(a work.Address, attachment uint64, epochs map[int]uint64) {
	peer := c.peers.At(a.Addr)
	call, cancel := context.WithTimeout(c.hard, attachLimit)
	defer cancel()
	reply, err := peer.Agent.Attach(call, connect.NewRequest(&relay.AttachRequest{
		Coordinator: c.cfg.Self.Name,
		Incarnation: c.cfg.Self.Incarnation,
		Addr:        c.cfg.Self.Addr.String(),
		Attachment:  attachment,
		Shards:      link.EpochsToWire(epochs),
	}))
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		err = peer.Failed("attach", err)
		c.attaching[a.Name] = now.Add(c.attachBackoff(a.Name))
		c.log.Warn().Err(err).Str("host", a.Name).Uint64("attachment", attachment).Msg("attach failed")
		return
	}
	if why := reply.Msg.GetRefusal(); why != "" {
		c.attaching[a.Name] = now.Add(attachPause)
		c.log.Info().Str("host", a.Name).Str("why", why).Uint64("attachment", attachment).Msg("attach refused")
		return
	}
	delete(c.attaching, a.Name)
	r := link.ReportFromWire(reply.Msg)
	c.log.Info().Str("host", a.Name).Uint64("attachment", attachment).Int("running", len(r.Running)).
		Int("ends", len(r.Ends)).Bool("ready", r.State.Ready).Msg("attached")
	c.table.HandleAttachment(now, r, epochs)
	c.flush()
}

// attachBackoff returns the pause after a failed attachment. The caller holds the
// lock.
func (c *Coordinator) attachBackoff(name string) time.Duration {
	if c.table.HasPlacedTasks(name) {
		return attachPause
	}
	return attachPauseMax
}

// send repeats an order until it is answered or void.
func (c *Coordinator) send(o *jobs.Dispatch) {
	for c.hard.Err() == nil {
		c.mu.Lock()
		a, known := c.agents[o.Agent]
		current := known && c.table.RefreshEcho(o)
		c.mu.Unlock()
		if !current {
			return
		}
		peer := c.peers.At(a.Addr)
		call, cancel := context.WithTimeout(c.hard, orderLimit)
		reply, err := peer.Agent.Order(call, connect.NewRequest(link.OrderToWire(c.cfg.Self.Name, c.cfg.Self.Incarnation, o)))
		cancel()
		if err == nil {
			c.cfg.Meter.Add("starts_ordered", int64(len(o.Starts)))
			c.cfg.Meter.Add("starts_refused", int64(len(reply.Msg.GetRefused())))
			c.ordered(o, reply.Msg)
			return
		}
		c.log.Warn().Err(peer.Failed("order", err)).Str("host", o.Agent).Uint64("attachment", o.Attachment).Int("starts", len(o.Starts)).
			Int("stops", len(o.Stops)).Msg("order not answered")
		pause(c.hard, orderPause)
	}
}

func (c *Coordinator) ordered(o *jobs.Dispatch, reply *relay.OrderReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.GetStale() {
		c.table.Detach(o.Agent, o.Attachment)
		delete(c.attaching, o.Agent)
		c.attachDetached(time.Now())
		return
	}
	c.table.HandleDispatchReply(o, link.RunnerFromWire(reply.GetRunner()))
	for reason, runs := range link.RefusedFromWire(reply.GetRefused()) {
		c.table.HandleRefusedStarts(time.Now(), o, runs, reason)
	}
	c.flush()
}

// Report implements relay.CoordinatorServiceHandler.
func (c *Coordinator) Report(_ context.Context, r *connect.Request[relay.ReportRequest]) (*connect.Response[relay.ReportReply], error) {
	report := link.ReportFromWire(r.Msg)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	acked, life, stale := c.table.HandleReport(now, report)
	if stale {
		return connect.NewResponse(&relay.ReportReply{Stale: true}), nil
	}
	reply := &relay.ReportReply{Acked: acked, AckedLife: life}
	if c.fresh(now) {
		reply.Owned = link.EpochsToWire(c.table.OwnedShards())
	}
	c.flush()
	return connect.NewResponse(reply), nil
}
