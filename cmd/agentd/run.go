package main

import (
	"context"
	"expvar"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley/agent"
	"carobpulley/inner"
	"carobpulley/setup"
)

const runDescription = `Runs beside one endpoint, a plain HTTP server, and sends it the tasks that
entries dispatch: POST {endpoint-url}/run/{service} with the payload as body and
the headers X-Carob-Job, X-Carob-Task and X-Carob-Attempt. A 2xx status means
that the task is done; the body is its result, at most 64 KiB.

Status pages on the listen address: /healthz, /readyz, /debug/vars.

SIGTERM drains: no new work, running tasks end within the drain limit.

Each flag can be set in the environment, as CAROB_ and its name in capitals.

Example:
   agentd --endpoint-id=van-1 --endpoint-url=http://127.0.0.1:8080 \
      --domain=d1 --services=confirm,check --entries=127.0.0.1:7201`

type settings struct {
	agent  agent.Config
	listen netip.AddrPort
	tls    inner.TLS
	level  zerolog.Level
}

func runCommand() *cli.Command {
	var (
		cfg settings
		s   setup.Settings
	)
	registerFlags(&s, &cfg)
	return &cli.Command{
		Name:        "agentd",
		Usage:       "agent beside one endpoint",
		UsageText:   "agentd [flags]\nagentd version",
		Description: runDescription,
		Flags:       s.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := s.Read(cmd); err != nil {
				return err
			}
			return runAgent(ctx, cfg)
		},
	}
}

func registerFlags(s *setup.Settings, cfg *settings) {
	a := &cfg.agent
	e := &a.Endpoint
	s.Name(&e.ID, "endpoint-id", "", "name of the endpoint, unique among all")
	s.BaseURL(&a.BaseURL, "endpoint-url", "http://127.0.0.1:8080", "base URL of the endpoint")
	s.Name(&e.Domain, "domain", "", "failure domain of this host")
	s.String(&e.Rack, "rack", "", "rack of this host", 0, inner.MaxNameBytes)
	s.Names(&e.Services, "services", "", "services that the endpoint runs, separated by commas", 1)
	s.Int(&e.Slots, "slots", 8, "tasks that run at the same time", 1, inner.MaxSlots)
	s.Int(&a.QueueLimit, "look-ahead", 4, "dispatches that may wait for a slot", 0, inner.MaxSlots)
	s.Addrs(&a.Entries, "entries", "", "addresses of all entries, separated by commas", 1)
	s.Listen(&cfg.listen, "listen", "127.0.0.1:7301", "address to serve on")
	s.Addr(&e.Addr, "advertise", "", "address that entries call, if not the listen address", false)
	s.Duration(&a.RunLimit, "run-limit", 10*time.Minute, "longest time of one task", time.Second, 20*time.Minute)
	s.Duration(&a.DrainTimeout, "drain-limit", 30*time.Second, "how long running tasks may go on after SIGTERM", 0, 10*time.Minute)
	s.TLS(&cfg.tls)
	s.RequireTLSOffLoopback(&cfg.tls, "listen", &cfg.listen)
	s.Check(func() *setup.Problem { return checkAdvertise(cfg) })
	s.LogLevel(&cfg.level)
}

// checkAdvertise reports a problem if the agent would announce an address that entries
// cannot reach: no address is set and the listen address is unspecified.
func checkAdvertise(cfg *settings) *setup.Problem {
	if cfg.agent.Endpoint.Addr.IsValid() || !cfg.listen.Addr().IsUnspecified() {
		return nil
	}
	return &setup.Problem{
		Flag:    "advertise",
		Allowed: "a reachable address, since --listen is " + cfg.listen.String(),
	}
}

func runAgent(ctx context.Context, cfg settings) error {
	log := setup.NewLogger(os.Stderr, cfg.level, "agentd")
	client, err := inner.NewClient(cfg.tls)
	if err != nil {
		return err
	}
	defer client.Close()
	transport := agent.NewTransport(cfg.agent.Endpoint.Slots)
	defer transport.CloseIdleConnections()
	a := agent.New(cfg.agent, agent.NewEntryClients(client), transport, log)
	// A name can be published only once, and tests start the program more than once in
	// a process.
	if expvar.Get("agent") == nil {
		expvar.Publish("agent", a.Vars())
	}
	return a.Run(ctx, cfg.listen, cfg.tls)
}
