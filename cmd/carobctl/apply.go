package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley/oper"
)

const applyUsage = `carobctl apply --base VERSION [--wait] [--id ID] FILE

Makes a document the next version. VERSION is the one that the document was
made from; if another change came first, nothing is changed and the exit code
is 3. FILE is - for the standard input.

After an unknown outcome (exit code 5), the same command with the --id that was
printed is safe: a change id counts once.`

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make a document the next version",
		UsageText: applyUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the document was made from", Required: true},
			&cli.StringFlag{Name: flagID, Usage: "change `ID`; a new one by default"},
			waitFlag(),
		},
		Action: withClientTimeout(1, apply),
	}
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagWait, Usage: "wait until the version is in force everywhere, and print where it is not"}
}

func apply(ctx context.Context, e *env, c *cli.Command) error {
	doc, err := readFile(c)
	if err != nil {
		return err
	}
	if err := checkDocument(doc); err != nil {
		return err
	}
	id := c.String(flagID)
	if id == "" {
		id = newChangeID()
	}
	return e.publish(ctx, pendingChange{
		ChangeRequest: oper.ChangeRequest{ChangeID: id, BaseVersion: c.Uint64(flagBase), Author: e.author, Document: string(doc)},
		wait:          c.Bool(flagWait),
	})
}
