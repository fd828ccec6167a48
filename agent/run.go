package agent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"carobpulley/inner"
	"carobpulley/setup"
)

// stopTimeout bounds the wait for calls in progress when the server stops after the
// drain.
const stopTimeout = 5 * time.Second

// Run serves dispatches and announces the endpoint until ctx ends. It then
// announces that the endpoint is draining, refuses new dispatches, waits for the
// running tasks up to DrainTimeout, announces that the endpoint is gone, and
// stops the server.
func (a *Agent) Run(ctx context.Context, listen netip.AddrPort, t inner.TLS) error {
	mux := http.NewServeMux()
	mux.Handle(inner.AgentHandler(a))
	setup.MountStatus(mux, a.Ready)
	srv, err := inner.NewServer(ctx, listen, t, mux)
	if err != nil {
		return err
	}
	srv.SetErrorLog(a.log)
	a.setDefaultAddr(srv.Addr())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(srv.Serve, func(error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if err := srv.Stop(ctx); err != nil {
			a.log.Warn().Err(err).Msg("calls cut off at stop")
		}
	})
	g.Add(func() error { a.announceAndDrain(ctx); return nil }, func(error) { cancel() })
	a.log.Info().Stringer("listen", srv.Addr()).Uint64("incarnation", a.cfg.Endpoint.Incarnation).Msg("agent started")
	err = g.Run()
	a.log.Info().Msg("agent stopped")
	return err
}

// setDefaultAddr sets the advertised address to addr if the configuration has none.
func (a *Agent) setDefaultAddr(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cfg.Endpoint.Addr.IsValid() {
		a.cfg.Endpoint.Addr = addr
	}
}

// announceAndDrain announces the endpoint until ctx ends, then drains the agent and
// announces that the endpoint is gone.
func (a *Agent) announceAndDrain(ctx context.Context) {
	base := context.WithoutCancel(ctx)
	announceCtx, stop := context.WithCancel(base)
	stopped := make(chan struct{})
	go func() {
		a.Announce(announceCtx)
		close(stopped)
	}()
	<-ctx.Done()
	a.log.Info().Dur("limit_ms", a.cfg.DrainTimeout).Msg("draining")
	drainCtx, cancel := context.WithTimeout(base, a.cfg.DrainTimeout)
	defer cancel()
	a.Drain(drainCtx)
	stop()
	<-stopped
	leaveCtx, cancelLeave := context.WithTimeout(base, announceTimeout)
	defer cancelLeave()
	a.Leave(leaveCtx)
}
