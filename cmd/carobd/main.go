// Command carobd runs carobpulley on the users' platform, either as the coordinator
// that serves callers or as the agent beside an endpoint.
//
// Usage:
//
//	carobd coordinator [flags]    serve callers and own shards of jobs
//	carobd agent [flags]          start and stop runs at the endpoint on this host
//	carobd check                  check the settings file and print the settings read from it
//	carobd check-config FILE      check a configuration document and compare it with the one in force
//	carobd version                print the version
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"carobpulley/setup"
)

func main() {
	os.Exit(setup.Run(context.Background(), command(), os.Args, os.Stderr))
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "carobd",
		Usage: "dispatch short tasks to the platform's endpoints",
		Commands: []*cli.Command{
			coordinatorCommand(),
			agentCommand(),
			checkCommand(),
			checkConfigCommand(),
			setup.VersionCommand(),
		},
	}
}
