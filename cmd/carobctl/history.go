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
		Action:    withClientTimeout(0, history),
	}
}

func history(ctx context.Context, e *env, c *cli.Command) error {
	if id := c.String(flagID); id != "" {
		return printChangeOutcome(ctx, e, id)
	}
	list, err := e.client.History(ctx)
	if err != nil {
		return asFailure(err)
	}
	if e.json {
		printJSON(e.out, list)
		return nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		r := list[i]
		e.printf("%-6d %-9s base %-6d %s  %s  %s", r.Version, r.Outcome, r.Base, r.Time.Format(time.RFC3339), r.Author, r.ID)
	}
	return nil
}

// printChangeOutcome prints the outcome of a change. It queries once and does not
// wait for an undecided outcome.
func printChangeOutcome(ctx context.Context, e *env, id string) error {
	state, err := e.client.Change(ctx, id)
	if err != nil {
		return asFailure(err)
	}
	base := uint64(0)
	if state.Outcome == oper.OutcomeConflict {
		base = e.baseVersionOf(ctx, id)
	}
	return e.printOutcome(ctx, state, false, base)
}

// baseVersionOf returns the base version of a change, or 0 if it is unknown. It is
// shown in a message only.
func (e *env) baseVersionOf(ctx context.Context, id string) uint64 {
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
