package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"carobpulley/coord"
	"carobpulley/link"
	"carobpulley/logs"
	"carobpulley/platform"
	"carobpulley/sched"
	"carobpulley/wire/relay"
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
	inner := http.NewServeMux()
	inner.Handle(relay.NewCoordinatorServiceHandler(coordinator.Handler()))
	return p.serve([]listener{
		{addr: p.settings.Inner, handler: inner},
		p.metrics(),
		{addr: p.settings.Ready, handler: callers.ReadyHandler()},
		{addr: p.settings.Callers, handler: callers, callers: true},
	}, func(_ context.Context, closeCallers closeCallersFunc) error {
		return coordinator.Run(p.ctx, closeCallers)
	})
}
