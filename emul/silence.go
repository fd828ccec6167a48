package emul

import (
	"context"
	"net/netip"
	"time"

	"carobpulley"
	"carobpulley/memnet"
	"carobpulley/work"
)

// SilenceBetween makes the open connections between two hosts silent for good: what the first one sends
// (there) and what the second one sends (back). New connections work.
func (f *Fleet) SilenceBetween(a, b netip.Addr, there, back bool) {
	if there {
		f.Net.Silence(a, b)
	}
	if back {
		f.Net.Silence(b, a)
	}
}

// SilenceCoordinator makes the open connections between a coordinator and all agents silent for good.
func (f *Fleet) SilenceCoordinator(n int, there, back bool) {
	for agent := range f.spec.Endpoints {
		f.SilenceBetween(CoordinatorAddr(n), AgentAddr(agent), there, back)
	}
}

// SilenceCoordinators makes the open connections between all coordinators silent for good.
func (f *Fleet) SilenceCoordinators() {
	for a := range f.spec.Coordinators {
		for b := range f.spec.Coordinators {
			f.Net.Silence(CoordinatorAddr(a), CoordinatorAddr(b))
		}
	}
}

// SilenceAll makes all open connections silent for good.
func (f *Fleet) SilenceAll() {
	f.SilenceCoordinators()
	for n := range f.spec.Coordinators {
		f.SilenceCoordinator(n, true, true)
	}
}

// SetQuotas lets all hosts run in a share of each tenth of a second only; 1 ends this.
func (f *Fleet) SetQuotas(share float64) {
	for n := range f.spec.Coordinators {
		f.Net.SetQuota(CoordinatorAddr(n), share)
	}
	for n := range f.spec.Endpoints {
		f.Net.SetQuota(AgentAddr(n), share)
	}
}

// hostEndpoint is an agent's client of its endpoint. A call whose time is over as the host runs again has no
// answer.
type hostEndpoint struct {
	*Endpoint
	net  *memnet.Net
	addr netip.Addr
}

func (e hostEndpoint) Start(ctx context.Context, lease carobpulley.Lease, start work.Start) (carobpulley.StartAnswer, error) {
	e.net.AwaitTurn(e.addr)
	a, err := e.Endpoint.Start(ctx, lease, start)
	return a, e.answered(ctx, err)
}

func (e hostEndpoint) Stop(ctx context.Context, lease carobpulley.Lease, run work.Run) (carobpulley.StartAnswer, error) {
	e.net.AwaitTurn(e.addr)
	a, err := e.Endpoint.Stop(ctx, lease, run)
	return a, e.answered(ctx, err)
}

func (e hostEndpoint) Renew(ctx context.Context, lease carobpulley.Lease, acknowledged int64, maxWait time.Duration) (carobpulley.RunLists, string, error) {
	e.net.AwaitTurn(e.addr)
	lists, refusal, err := e.Endpoint.Renew(ctx, lease, acknowledged, maxWait)
	return lists, refusal, e.answered(ctx, err)
}

// answered returns the error of a call once the host runs.
func (e hostEndpoint) answered(ctx context.Context, err error) error {
	e.net.AwaitTurn(e.addr)
	if err == nil && ctx.Err() != nil {
		return commandError(carobpulley.KindUnknown)
	}
	return err
}
