package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/conf"
)

const diffUsage = `carobctl diff FILE

Compares a document with the current one, field by field, and prints the version
to give to 'carobctl apply --base'. FILE is - for the standard input.`

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a document with the current one",
		UsageText: diffUsage,
		Action:    withClientTimeout(1, diff),
	}
}

// comparison is the output of diff.
type comparison struct {
	Version     uint64            `json:"version"`
	Differences []conf.Difference `json:"differences"`
}

func diff(ctx context.Context, e *env, c *cli.Command) error {
	doc, err := readFile(c)
	if err != nil {
		return err
	}
	after, err := conf.Parse(doc)
	if err != nil {
		return asFailure(err)
	}
	cur, err := e.client.Catalogue(ctx)
	if err != nil {
		return asFailure(err)
	}
	before := &carobpulley.Catalogue{}
	if cur.Version > 0 {
		if before, err = conf.Parse([]byte(cur.Document)); err != nil {
			return asFailure(err)
		}
	}
	out := comparison{Version: cur.Version, Differences: conf.Diff(before, after)}
	if e.json {
		printJSON(e.out, out)
		return nil
	}
	for _, d := range out.Differences {
		e.printf("%s", d)
	}
	e.notef("%d differences to version %d", len(out.Differences), cur.Version)
	return nil
}
