// Command agentd is the agent beside one endpoint: it announces the endpoint to
// the entries, checks before each start of a task whether it is permitted, and
// calls the endpoint over HTTP.
//
// Usage:
//
//	agentd [flags]     run the agent
//	agentd version     print the version
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"carobpulley/setup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	os.Exit(setup.Run(ctx, command(), os.Args, os.Stderr))
}

func command() *cli.Command {
	cmd := runCommand()
	cmd.Commands = []*cli.Command{setup.VersionCommand()}
	return cmd
}
