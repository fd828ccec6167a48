// Command soak runs coordinators and agents as separate processes on loopback,
// injects faults from outside them, and checks the promises from what callers and
// runners see.
//
// Usage:
//
//	soak run [flags]     play seeds one after the other; exit with 1 if one breaks a promise
//	soak version         print the version
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"carobpulley/setup"
)

const runUsage = `Plays each seed with a fresh system: three coordinators and six agents as
processes, with a store, runners, callers and an operator in this process. Faults
come in two series side by side, drawn from the seed: kills, stops, pauses,
connections that are delayed, reset, silenced or cut one way, a store that is
away, silent, loses answers or forgets its history, runners that crash or leave
orders unanswered, domains taken out of service.

Prints one JSON line a seed. The logs of a seed that broke a promise are kept.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := setup.Run(ctx, command(), os.Args, os.Stderr)
	stop()
	os.Exit(code)
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "soak",
		Usage:    "check the promises of real processes under faults",
		Commands: []*cli.Command{runCommand(), setup.VersionCommand()},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:        "run",
		Usage:       "play seeds",
		Description: runUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "carobd", Usage: "`FILE` of the program under test", Value: "target/carobd"},
			&cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "time in which faults strike, for each seed", Value: 20 * time.Second},
			&cli.StringFlag{Name: "logs", Usage: "`DIR` for the logs", Value: os.TempDir()},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs of all seeds, not only of those that broke a promise"},
		},
		Action: runSeeds,
	}
}

// errBroken says that a seed broke a promise.
var errBroken = errors.New("soak: a promise was broken")

func runSeeds(ctx context.Context, cmd *cli.Command) error {
	out := json.NewEncoder(os.Stdout)
	broken := false
	first := cmd.Uint64("first")
	for seed := first; seed < first+uint64(cmd.Int("seeds")) && ctx.Err() == nil; seed++ {
		r, err := play(ctx, cmd.String("carobd"), seed, cmd.Duration("duration"), cmd.String("logs"), cmd.Bool("keep"))
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if err := out.Encode(r); err != nil {
			return err
		}
		broken = broken || len(r.Broken) > 0
	}
	if broken {
		return errBroken
	}
	return ctx.Err()
}
