// Command standin serves stand-ins for the systems that carobpulley depends on:
// the log service, endpoints and workers. They are for `make run` and tests only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley/setup"
)

const usage = `Stand-ins for the systems that carobpulley depends on, for trials and tests.

Each subcommand but version is one server. Its log is JSON lines on stderr; the
message "listening" has the field addr. SIGTERM stops it gracefully within 30 s.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", "standin").Logger()
	err := command(log).Run(ctx, os.Args)
	stop()
	if err != nil {
		log.Fatal().Err(err).Msg("stopped by an error")
	}
}

func command(log zerolog.Logger) *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "serve a stand-in for a system that carobpulley depends on",
		Description: usage,
		Commands:    []*cli.Command{logCommand(log), endpointCommand(log), workerCommand(log), setup.VersionCommand()},
	}
}
