// Command entryd runs an entry: it takes jobs and requests from callers over
// HTTP and dispatches their tasks to the agents beside the endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"carobpulley/setup"
)

const description = `entryd takes jobs and requests from callers and dispatches their tasks.

Every flag can be set by an environment variable: --inner-listen is
CAROB_INNER_LISTEN. A flag overrides its variable.

Addresses:
  --listen        callers' API (docs/api.md)
  --inner-listen  other entries and agents
  --admin-listen  operators' API, /debug/vars, /healthz, /readyz

On SIGTERM the entry takes no new work, hands its shards over, finishes what is
running and stops, within --drain-limit.

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid settings.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := setup.Run(ctx, command(), os.Args, os.Stderr)
	stop()
	os.Exit(code)
}

func command() *cli.Command {
	var cfg config
	s := settings(&cfg)
	return &cli.Command{
		Name:        "entryd",
		Usage:       "run an entry of carobpulley",
		Description: description,
		Flags:       s.Flags(),
		Commands:    []*cli.Command{setup.VersionCommand()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := s.Read(cmd); err != nil {
				return err
			}
			return serve(ctx, cfg)
		},
	}
}
