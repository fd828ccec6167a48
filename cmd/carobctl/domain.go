package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley/conf"
)

const domainUsage = `carobctl domain out|in [--wait] NAME

Takes a failure domain out of service or brings it back. Within 3 s after
'accepted' no task starts in a domain that is out; running tasks finish. If
other operators change the catalogue at the same time, the edit is repeated on
their version.`

func domainCommand() *cli.Command {
	return &cli.Command{
		Name:      "domain",
		Usage:     "take a failure domain out of service or bring it back",
		UsageText: domainUsage,
		Commands: []*cli.Command{
			domainSubcommand("out", "take a failure domain out of service", false),
			domainSubcommand("in", "bring a failure domain back into service", true),
		},
		HideHelpCommand: true,
		Action:          groupAction,
	}
}

func domainSubcommand(name, usage string, inService bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		UsageText: "carobctl domain " + name + " [--wait] NAME",
		Flags:     []cli.Flag{waitFlag()},
		Action: withClientTimeout(1, func(ctx context.Context, e *env, c *cli.Command) error {
			return e.editDocument(ctx, c.Bool(flagWait), func(doc []byte) ([]byte, error) {
				return conf.SetDomain(doc, c.Args().First(), inService)
			})
		}),
	}
}
