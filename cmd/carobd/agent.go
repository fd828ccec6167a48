package main

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/guard"
	"carobpulley/link"
	"carobpulley/platform"
	"carobpulley/wire/relay"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:   "agent",
		Usage:  "order the runner on this host",
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
	g := guard.New(guard.Config{
		Self:         p.self,
		MaxLease:     p.settings.MaxLease,
		Shards:       p.shards,
		DrainTimeout: p.drainLimit(),
		Meter:        p.meter,
	}, p.log, platform.NewEndpointClient(p.settings.Runner), platform.NewStore(p.settings.Store), link.NewPeers(), firstToken())
	inner := http.NewServeMux()
	inner.Handle(relay.NewAgentServiceHandler(g))
	return p.serve([]listener{
		{addr: p.settings.Inner, handler: inner},
		p.metrics(),
		{addr: p.settings.Beats, handler: platform.NewHeartbeatHandler(p.settings.Service, g)},
	}, func(ctx context.Context, _ leave) error { return g.Run(p.ctx, ctx) })
}

// firstToken exceeds the tokens of earlier processes of this host, unless the
// clock was set back; the runner then refuses it and the agent raises it.
func firstToken() int64 { return time.Now().UnixMilli() }
