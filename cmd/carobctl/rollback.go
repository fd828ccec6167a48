package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley/oper"
)

const rollbackUsage = `carobctl rollback --to VERSION --base CURRENT [--wait]

Makes the document of an older version the next version. The version number
still grows. CURRENT is the version that is to be replaced, as 'carobctl
history' shows it. Look at the older document's failure domains first: they may
be in service there that are out of service now.`

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "make an older document the next version",
		UsageText: rollbackUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagTo, Usage: "`VERSION` whose document to use", Required: true},
			&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that is current", Required: true},
			waitFlag(),
		},
		Action: withClientTimeout(0, rollback),
	}
}

func rollback(ctx context.Context, e *env, c *cli.Command) error {
	old, err := e.client.Version(ctx, c.Uint64(flagTo))
	if err != nil {
		return asFailure(err)
	}
	if err := checkDocument([]byte(old.Document)); err != nil {
		return err
	}
	return e.publish(ctx, pendingChange{
		ChangeRequest: oper.ChangeRequest{ChangeID: newChangeID(), BaseVersion: c.Uint64(flagBase), Author: e.author, Document: old.Document},
		wait:          c.Bool(flagWait),
	})
}
