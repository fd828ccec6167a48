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

// stopTimeout bounds the last answers and announcements after the drain.
const stopTimeout = 5 * time.Second

// Run serves and announces until ctx ends, then drains: it announces that it is
// draining, refuses new work, waits for running tasks up to the drain limit,
// announces that it leaves, and stops.
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

// setDefaultAddr takes the address that the server listens on if none is set.
func (a *Agent) setDefaultAddr(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cfg.Endpoint.Addr.IsValid() {
		a.cfg.Endpoint.Addr = addr
	}
}

// announceAndDrain announces until ctx ends, then drains and leaves.
func (a *Agent) announceAndDrain(ctx context.Context) {
	last := context.WithoutCancel(ctx)
	announcing, stop := context.WithCancel(last)
	stopped := make(chan struct{})
	go func() {
		a.Announce(announcing)
		close(stopped)
	}()
	<-ctx.Done()
	a.log.Info().Dur("limit_ms", a.cfg.DrainLimit).Msg("draining")
	limit, cancel := context.WithTimeout(last, a.cfg.DrainLimit)
	defer cancel()
	a.Drain(limit)
	stop()
	<-stopped
	leave, cancelLeave := context.WithTimeout(last, announceTimeout)
	defer cancelLeave()
	a.Leave(leave)
}
