package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/oper"
)

const historyUsage = `carobctl history [--id ID]

Prints the recent changes, newest first, refused ones included. With --id it
asks for the outcome of one change and exits as 'carobctl apply' does.`

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "print recent changes, or the outcome of one",
		UsageText: historyUsage,
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagID, Usage: "change `ID` to ask for"}},
		Action:    withEntry(0, history),
	}
}

func history(ctx context.Context, e *env, c *cli.Command) error {
	if id := c.String(flagID); id != "" {
		return outcomeOf(ctx, e, id)
	}
	list, err := e.client.History(ctx)
	if err != nil {
		return failed(err)
	}
	if e.json {
		printJSON(e.out, list)
		return nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		r := list[i]
		e.print("%-6d %-9s base %-6d %s  %s  %s", r.Version, r.Outcome, r.Base, r.Time.Format(time.RFC3339), r.Author, r.ID)
	}
	return nil
}

// outcomeOf asks once, without waiting for an open outcome.
func outcomeOf(ctx context.Context, e *env, id string) error {
	a, err := e.client.Change(ctx, id)
	if err != nil {
		return failed(err)
	}
	base := uint64(0)
	if a.Outcome == oper.OutcomeConflict {
		base = e.baseOf(ctx, id)
	}
	return e.finish(ctx, a, false, base)
}

// baseOf returns the base version of a change for a message; 0 if unknown.
func (e *env) baseOf(ctx context.Context, id string) uint64 {
	list, err := e.client.History(ctx)
	if err != nil {
		return 0
	}
	for _, r := range list {
		if r.ID == id {
			return r.Base
		}
	}
	return 0
}
