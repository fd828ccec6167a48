package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/coord"
	"carobpulley/intake"
	"carobpulley/link"
	"carobpulley/logs"
	"carobpulley/platform"
	"carobpulley/sched"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

func coordinatorCommand() *cli.Command {
	return &cli.Command{
		Name:   "coordinator",
		Usage:  "serve callers and own shards of jobs",
		Flags:  []cli.Flag{shardsFlag(), advertiseFlag()},
		Action: runCoordinator,
	}
}

func runCoordinator(ctx context.Context, cmd *cli.Command) error {
	p, err := newProcess(ctx, cmd)
	if err != nil {
		return err
	}
	defer p.close()
	baseCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rejects := logs.NewRejects(p.log, p.meter)
	coordinator := coord.New(baseCtx, coord.Config{
		Self:            p.self,
		StatusRetention: p.settings.StatusFor,
		Shards:          p.shards,
		DrainTimeout:    p.drainTimeout(),
		Sharing:         p.settings.Sharing,
		Meter:           p.meter,
	}, p.clock, sched.New(), p.log, platform.NewStoreClient(p.settings.Store, rejects), platform.ConfigSource{}, link.NewPeers())
	callers := platform.NewCallerHandler(coordinator, p.log, p.meter)
	p.gate.SetTimeouts(intake.RoleClients, func() intake.Timeouts { return callerTimeouts(coordinator.Config()) })
	inner := http.NewServeMux()
	inner.Handle(relay.NewCoordinatorServiceHandler(coordinator.Handler()))
	return p.serve([]listener{
		{addr: p.settings.Inner, handler: onlyMessages(inner), role: intake.RoleInner},
		p.metrics(),
		{addr: p.settings.Ready, handler: callers.ReadyHandler(), role: intake.RoleReady},
		{addr: p.settings.Callers, handler: callers, callers: true, role: intake.RoleClients},
	}, func(_ context.Context, closeCallers closeCallersFunc) error {
		return coordinator.Run(p.ctx, closeCallers)
	})
}

// idleSlack is added to the configuration's time for idle connections, so that a client that keeps to it
// closes first and does not send a request on a connection that is being closed.
const idleSlack = time.Second

// callerTimeouts returns the timeouts for callers with the configuration's values, where it has some.
func callerTimeouts(config *work.RoutingConfig) intake.Timeouts {
	t := intake.DefaultTimeouts(intake.RoleClients)
	if config == nil {
		return t
	}
	if config.HeaderTimeout > 0 {
		t.Head = config.HeaderTimeout
	}
	if config.IdleTimeout > 0 {
		t.Idle = config.IdleTimeout + idleSlack
	}
	t.MaxHeadBytes = config.MaxHeaderBytes
	return t
}
