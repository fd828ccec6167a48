package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley/conf"
)

const endpointUsage = `carobctl endpoint drain|undrain [--wait] NAME

Keeps new work from one endpoint, or allows it again. Running tasks finish. An
endpoint stays on the list until it is undrained, also if its host is replaced.`

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:      "endpoint",
		Usage:     "keep new work from an endpoint, or allow it again",
		UsageText: endpointUsage,
		Commands: []*cli.Command{
			endpointSubcommand("drain", "keep new work from an endpoint", true),
			endpointSubcommand("undrain", "allow new work at an endpoint", false),
		},
		HideHelpCommand: true,
		Action:          groupAction,
	}
}

func endpointSubcommand(name, usage string, draining bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		UsageText: "carobctl endpoint " + name + " [--wait] NAME",
		Flags:     []cli.Flag{waitFlag()},
		Action: withClientTimeout(1, func(ctx context.Context, e *env, c *cli.Command) error {
			return e.editDocument(ctx, c.Bool(flagWait), func(doc []byte) ([]byte, error) {
				return conf.SetDraining(doc, c.Args().First(), draining)
			})
		}),
	}
}
