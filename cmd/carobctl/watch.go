package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/oper"
)

const watchUsage = `carobctl watch [--every TIME] [--count N]

Prints a line with the state of the service at each interval, until it is
interrupted or N lines are printed. With --json a line is a whole status.`

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "print the state of the service at intervals",
		UsageText: watchUsage,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagEvery, Usage: "`TIME` between two lines", Value: time.Second},
			&cli.IntFlag{Name: flagCount, Usage: "end after `N` lines; 0 means never"},
		},
		Action: withClient(0, watch),
	}
}

func watch(ctx context.Context, e *env, c *cli.Command) error {
	if c.Duration(flagEvery) <= 0 {
		return usagef("--every must be larger than 0")
	}
	e.pollInterval = c.Duration(flagEvery)
	var lastErr error
	for n := 1; ; n++ {
		lastErr = e.watchOnce(ctx, c.Duration(flagTimeout))
		if n == c.Int(flagCount) || !e.waitPollInterval(ctx) {
			break
		}
	}
	if ctx.Err() != nil || lastErr == nil {
		return nil
	}
	return asFailure(lastErr)
}

// watchOnce prints one line. It also prints a failure, which does not end the watch.
func (e *env) watchOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := e.client.Status(ctx)
	switch {
	case err != nil:
		e.notef("%v", err)
	case e.json:
		printJSON(e.out, s)
	default:
		e.printf("%s", summaryLine(s))
	}
	return err
}

func summaryLine(s oper.Status) string {
	alive, behind := 0, s.Behind(s.Version)
	for _, p := range s.Processes {
		if p.State == carobpulley.RosterAlive {
			alive++
		}
	}
	line := fmt.Sprintf("entry %s: version %d, %s, %s, %d of %d processes alive",
		s.Entry, s.Version, describeAuthority(s), describeLog(s), alive, len(s.Processes))
	if len(behind) > 0 {
		line += ", behind: " + formatProcesses(behind)
	}
	return line
}
