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

// reportLoop reports to each owner upon news, and regularly.
func (g *Agent) reportLoop(ctx context.Context) error {
	tick := time.NewTicker(reportStep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-g.kick:
		}
		now := time.Now()
		g.mu.Lock()
		owners := g.gate.Owners()
		var idle []runs.Owner
		for _, o := range owners {
			if !g.reporting[o.Name] && g.due(now, o.Name) {
				g.reporting[o.Name] = true
				g.reported[o.Name] = now
				idle = append(idle, o)
			}
		}
		g.all = false
		g.mu.Unlock()
		for _, o := range idle {
			go g.report(ctx, o)
		}
	}
}

// due reports whether a coordinator is to get a report now. The caller holds the
// lock.
func (g *Agent) due(now time.Time, name string) bool {
	age := now.Sub(g.reported[name])
	switch {
	case g.all || g.gate.HasUnreportedEnds(name):
		return true
	case g.gate.Busy(name):
		return age >= reportEvery
	}
	return age >= idleEvery
}

// report makes one report.
func (g *Agent) report(ctx context.Context, o runs.Owner) {
	err := g.reportOnce(ctx, o)
	g.mu.Lock()
	delete(g.reporting, o.Name)
	more := err == nil && g.gate.HasUnreportedEnds(o.Name)
	g.mu.Unlock()
	if more {
		g.kickReports()
	}
}

func (g *Agent) reportOnce(ctx context.Context, o runs.Owner) error {
	addr, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		g.log.Error().Err(err).Str("coordinator", o.Name).Msg("address not usable")
		return err
	}
	g.mu.Lock()
	sent := g.gate.Report(time.Now(), o.Name)
	g.mu.Unlock()
	peer := g.peers.At(addr)
	call, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	m := link.ReportToWire(g.cfg.Self.Name, g.cfg.Self.Incarnation, sent)
	for i := range sent.Ends {
		g.cfg.Meter.Add(meter.Name("ends_told", string(sent.Ends[i].Outcome)), 1)
	}
	reply, err := peer.Coordinator.Report(call, connect.NewRequest(m))
	if err != nil {
		err = peer.CallError("report", err)
		g.log.Warn().Err(err).Str("coordinator", o.Name).Int("ends", len(sent.Ends)).Msg("report failed")
		return err
	}
	if reply.Msg.GetStale() {
		return nil
	}
	g.mu.Lock()
	g.contact = time.Now()
	g.gate.HandleReportReply(time.Now(), o.Name, sent, runs.Reply{
		Epochs: link.EpochsFromWire(reply.Msg.GetOwned()),
		Acked:  reply.Msg.GetAcked(),

		AckedGeneration: reply.Msg.GetAckedLife(),
	})
	g.mu.Unlock()
	return nil
}

// Attach implements relay.AgentServiceHandler.
func (g *Agent) Attach(_ context.Context, r *connect.Request[relay.AttachRequest]) (*connect.Response[relay.ReportRequest], error) {
	m := r.Msg
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.gate.Settled(now) {
		return connect.NewResponse(&relay.ReportRequest{Refusal: "the runner's lists are not read yet"}), nil
	}
	ok := g.gate.HandleAttach(now, runs.Attach{
		Coordinator: m.GetCoordinator(),
		Incarnation: m.GetIncarnation(),
		Addr:        m.GetAddr(),
		Attachment:  m.GetAttachment(),
		Epochs:      link.EpochsFromWire(m.GetShards()),
	})
	if !ok {
		return connect.NewResponse(&relay.ReportRequest{Refusal: "a newer owner or attachment is known"}), nil
	}
	g.log.Info().Str("coordinator", m.GetCoordinator()).Uint64("attachment", m.GetAttachment()).Msg("attached")
	g.contact = now
	full := g.gate.FullReport(now, m.GetCoordinator())
	g.reported[m.GetCoordinator()] = time.Time{}
	g.kickReports()
	return connect.NewResponse(link.ReportToWire(g.cfg.Self.Name, g.cfg.Self.Incarnation, full)), nil
}

// Order implements relay.AgentServiceHandler.
func (g *Agent) Order(ctx context.Context, r *connect.Request[relay.OrderRequest]) (*connect.Response[relay.OrderReply], error) {
	o := link.DispatchFromWire(r.Msg)
	g.mu.Lock()
	refused, stale := g.gate.HandleDispatch(time.Now(), o)
	commands := g.gate.Commands()
	state := g.gate.State(o.Coordinator)
	g.mu.Unlock()
	g.carryOut(context.WithoutCancel(ctx), commands)
	if stale || len(refused) > 0 {
		g.log.Warn().Str("coordinator", o.Coordinator).Uint64("attachment", o.Attachment).Bool("stale", stale).
			Int("refused", len(refused)).Msg("order refused")
	}
	return connect.NewResponse(&relay.OrderReply{Refused: link.RefusedStartsToWire(refused), Stale: stale, Runner: link.EndpointStateToWire(state)}), nil
}
