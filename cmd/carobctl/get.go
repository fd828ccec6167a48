package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
)

const getUsage = `carobctl get [--output FILE]

Prints the current document. The version goes to the error output; give it to
'carobctl apply --base'.`

// newFileMode restricts a document to its owner, since it holds token hashes.
const newFileMode = 0o600

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the current document",
		UsageText: getUsage,
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagOutput, Usage: "write the document to `FILE`"}},
		Action:    withClientTimeout(0, get),
	}
}

func get(ctx context.Context, e *env, c *cli.Command) error {
	cur, err := e.client.Catalogue(ctx)
	if err != nil {
		return asFailure(err)
	}
	if cur.Error != "" {
		e.notef("warning: the entry cannot read this document: %s", cur.Error)
	}
	if name := c.String(flagOutput); name != "" {
		if err := os.WriteFile(name, []byte(cur.Document), newFileMode); err != nil {
			return asFailure(err)
		}
	} else if !e.json {
		_, _ = e.out.Write([]byte(cur.Document))
	}
	if e.json {
		printJSON(e.out, cur)
	}
	e.notef("version %d", cur.Version)
	return nil
}
