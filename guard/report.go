package guard

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/wire/relay"
)

// reportLoop reports to each coordinator when there is something to report, and at regular
// intervals. Ends that can wait for others are reported with the next report, or at the next check.
func (a *Agent) reportLoop(ctx context.Context) error {
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	for {
		hasEnds := a.controller.HasUrgentEnds
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			hasEnds = a.controller.HasUnreportedEnds
		case <-a.wakeReports:
		}
		a.mu.Lock()
		now := a.now(ctx)
		coordinators := a.controller.Coordinators()
		var due []runs.CoordinatorAddress
		for _, to := range coordinators {
			if a.mayReport(now, to.Name) && a.reportDue(now, to.Name, hasEnds) {
				a.reporting[to.Name]++
				a.lastReport[to.Name] = now
				due = append(due, to)
			}
		}
		a.reportAll = false
		a.mu.Unlock()
		for _, to := range due {
			go a.report(ctx, to)
		}
	}
}

// mayReport reports whether another report may be sent to a coordinator beside those that wait for
// its answer. The caller holds a.mu.
func (a *Agent) mayReport(now time.Time, name string) bool {
	switch n := a.reporting[name]; {
	case n == 0:
		return true
	case n >= maxReports || !a.controller.HasRunsOrEnds(name):
		return false
	}
	return now.Sub(a.lastReport[name]) >= reportRepeatAfter
}

// reportDue reports whether a coordinator is to get a report now, by whether it has ends that are to be told now.
// The caller holds a.mu.
func (a *Agent) reportDue(now time.Time, name string, hasEnds func(coordinator string) bool) bool {
	age := now.Sub(a.lastReport[name])
	switch {
	case a.reportAll || hasEnds(name):
		return true
	case a.controller.HasRunsOrEnds(name):
		return age >= busyReportInterval
	}
	return age >= idleReportInterval
}

// report sends one report, and requests another one if unreported ends are left.
func (a *Agent) report(ctx context.Context, to runs.CoordinatorAddress) {
	err := a.sendReport(ctx, to)
	a.mu.Lock()
	if a.reporting[to.Name]--; a.reporting[to.Name] == 0 {
		delete(a.reporting, to.Name)
	}
	more := err == nil && a.controller.HasUrgentEnds(to.Name)
	a.mu.Unlock()
	if more {
		a.wakeReportLoop()
	}
}

func (a *Agent) sendReport(ctx context.Context, to runs.CoordinatorAddress) error {
	addr, err := netip.ParseAddrPort(to.Addr)
	if err != nil {
		a.log.Error().Err(err).Str("coordinator", to.Name).Msg("coordinator address is invalid")
		return err
	}
	a.mu.Lock()
	sentAt := a.now(ctx)
	sent := a.controller.Report(sentAt, to.Name)
	domains := a.controller.Domains()
	a.mu.Unlock()
	peer := a.peers.At(addr)
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	m := link.ReportToWire(a.cfg.Self.Name, a.cfg.Self.Incarnation, sent)
	m.Domains = link.DomainsToWire(sentAt, domains)
	for i := range sent.Ends {
		a.cfg.Meter.Add(meter.Name("ends_told", string(sent.Ends[i].Outcome)), 1)
	}
	reply, err := peer.Coordinator.Report(call, connect.NewRequest(m))
	if err != nil {
		err = peer.CallError("report", err)
		a.log.Warn().Err(err).Str("coordinator", to.Name).Int("ends", len(sent.Ends)).Msg("report failed")
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer func() { a.execute(context.WithoutCancel(ctx), a.controller.Commands()) }()
	now := a.now(ctx)
	a.handleDomains(now, link.DomainsFromWire(reply.Msg.GetDomains(), sentAt), to.Name)
	if reply.Msg.GetStale() {
		if reply.Msg.GetReleased() {
			a.controller.Release(to.Name)
		}
		return nil
	}
	a.lastContact = now
	a.controller.HandleReportReply(now, to.Name, sent, runs.ReportReply{
		Epochs: link.EpochsFromWire(reply.Msg.GetOwned()),
		Acked:  reply.Msg.GetAcked(),

		AckedGeneration: reply.Msg.GetAckedLife(),
		Stops:           link.RunsFromWire(reply.Msg.GetStops()),
	})
	if reply.Msg.GetReleased() {
		a.controller.Release(to.Name)
	}
	return nil
}

// Attach implements relay.AgentServiceHandler.
func (a *Agent) Attach(ctx context.Context, r *connect.Request[relay.AttachRequest]) (*connect.Response[relay.ReportRequest], error) {
	m := r.Msg
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now(ctx)
	if !a.controller.CanAttach(now) {
		return connect.NewResponse(&relay.ReportRequest{Refusal: "the runner's lists are not read yet"}), nil
	}
	attach := runs.AttachRequest{
		Coordinator: m.GetCoordinator(),
		Incarnation: m.GetIncarnation(),
		Addr:        m.GetAddr(),
		Attachment:  m.GetAttachment(),
		Epochs:      link.EpochsFromWire(m.GetShards()),
	}
	if !a.controller.HandleAttach(now, attach) {
		return connect.NewResponse(&relay.ReportRequest{Refusal: "a newer owner or attachment is known"}), nil
	}
	a.log.Info().Str("coordinator", m.GetCoordinator()).Uint64("attachment", m.GetAttachment()).Msg("attached")
	a.lastContact = now
	full := a.controller.FullReport(now, attach)
	a.lastReport[m.GetCoordinator()] = time.Time{}
	a.wakeReportLoop()
	reply := link.ReportToWire(a.cfg.Self.Name, a.cfg.Self.Incarnation, full)
	reply.Domains = link.DomainsToWire(now, a.controller.Domains())
	return connect.NewResponse(reply), nil
}

// Order implements relay.AgentServiceHandler.
func (a *Agent) Order(ctx context.Context, r *connect.Request[relay.OrderRequest]) (*connect.Response[relay.OrderReply], error) {
	dispatch := link.DispatchFromWire(r.Msg)
	a.mu.Lock()
	now := a.now(ctx)
	a.handleDomains(now, link.DomainsFromWire(r.Msg.GetDomains(), a.controller.EchoTime(now, dispatch.Echo)), dispatch.Coordinator)
	refused, stale := a.controller.HandleDispatch(now, dispatch)
	commands := a.controller.Commands()
	state := a.controller.State(now, dispatch.Coordinator)
	domains := a.controller.Domains()
	a.mu.Unlock()
	a.execute(context.WithoutCancel(ctx), commands)
	if stale || len(refused) > 0 {
		a.log.Warn().Str("coordinator", dispatch.Coordinator).Uint64("attachment", dispatch.Attachment).Bool("stale", stale).
			Int("refused", len(refused)).Int64("domains_offset", domains.Offset).Int64("domains_age_ms", now.Sub(domains.ProvenAt).Milliseconds()).Msg("order refused")
	}
	return connect.NewResponse(&relay.OrderReply{
		Refused: link.RefusedStartsToWire(refused), Stale: stale, Runner: link.EndpointStateToWire(state),
		Domains: link.DomainsToWire(now, domains),
	}), nil
}
