// Command soak runs coordinators and agents as separate processes on loopback,
// injects faults from outside them, and checks the system's guarantees by the answers
// to callers and the runs at the endpoints.
//
// Usage:
//
//	soak run [flags]     run seeds one after the other; exit with 1 if one violates a guarantee
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

const runUsage = `Runs each seed on a new system: three coordinators and six agents as processes,
with a store, endpoints, callers and an operator in this process. Two concurrent
sequences of faults are drawn from the seed: kills, stops, pauses, reloads,
connections that are delayed, reset, or lose data in one or both directions, a
store that rejects calls, does not answer, loses answers or removes its history,
endpoints that crash or do not answer commands, domains taken out of service.
A third one cuts, resets, freezes and delays the callers' connections.

Prints one JSON line per seed. The logs of a seed that violates a guarantee are kept.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := setup.Run(ctx, command(), os.Args, os.Stderr)
	stop()
	os.Exit(code)
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "soak",
		Usage:    "check the guarantees of real processes under faults",
		Commands: []*cli.Command{runCommand(), setup.VersionCommand()},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:        "run",
		Usage:       "run seeds",
		Description: runUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "carobd", Usage: "`FILE` of the program under test", Value: "target/carobd"},
			&cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "time during which faults are injected, for each seed", Value: 20 * time.Second},
			&cli.StringFlag{Name: "logs", Usage: "`DIR` for the logs", Value: os.TempDir()},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs of all seeds, not only of those that violate a guarantee"},
		},
		Action: runSeeds,
	}
}

// errViolation is returned if at least one seed violated a guarantee.
var errViolation = errors.New("soak: at least one seed violated a guarantee")

func runSeeds(ctx context.Context, cmd *cli.Command) error {
	out := json.NewEncoder(os.Stdout)
	violated := false
	first := cmd.Uint64("first")
	for seed := first; seed < first+uint64(cmd.Int("seeds")) && ctx.Err() == nil; seed++ {
		r, err := runSeed(ctx, cmd.String("carobd"), seed, cmd.Duration("duration"), cmd.String("logs"), cmd.Bool("keep"))
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if err := out.Encode(r); err != nil {
			return err
		}
		violated = violated || len(r.Violations) > 0
	}
	if violated {
		return errViolation
	}
	return ctx.Err()
}
