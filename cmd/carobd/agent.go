package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/guard"
	"carobpulley/intake"
	"carobpulley/link"
	"carobpulley/logs"
	"carobpulley/platform"
	"carobpulley/wire/relay"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:   "agent",
		Usage:  "start and stop runs at the endpoint on this host",
		Flags:  []cli.Flag{shardsFlag(), advertiseFlag()},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	p, err := newProcess(ctx, cmd)
	if err != nil {
		return err
	}
	defer p.close()
	rejects := logs.NewRejects(p.log, p.meter)
	agent := guard.New(guard.Config{
		Self:         p.self,
		MaxLease:     p.settings.MaxLease,
		Shards:       p.shards,
		DrainTimeout: p.drainTimeout(),
		Meter:        p.meter,

		DomainOutWithin: p.settings.DomainOutWithin,
	}, p.clock, p.log, platform.NewEndpointClient(p.settings.Runner, rejects), platform.NewStoreClient(p.settings.Store, rejects), platform.ConfigSource{}, link.NewPeers(), firstToken())
	inner := http.NewServeMux()
	inner.Handle(relay.NewAgentServiceHandler(agent))
	return p.serve([]listener{
		{addr: p.settings.Inner, handler: onlyMessages(inner), role: intake.RoleInner},
		p.metrics(),
		{addr: p.settings.Beats, handler: platform.NewHeartbeatHandler(p.settings.Service, agent, rejects), role: intake.RoleClients},
	}, func(ctx context.Context, _ closeCallersFunc) error { return agent.Run(p.ctx, ctx) })
}

// firstToken returns a fencing token above those of earlier agents on this host. If the
// clock was set back, it may be lower; the endpoint then refuses it and the agent raises it.
func firstToken() int64 { return time.Now().UnixMilli() }
