// Command carobctl is the operators' command line of carobpulley.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

const rootDescription = `Reads and changes the catalogue of a carobpulley service through one of its
entries, and shows the state of the service.

A change takes three steps:

  carobctl get --output catalogue.yaml      get the current document
  carobctl diff catalogue.yaml              after editing: check and compare it
  carobctl apply --base 41 --wait catalogue.yaml

Exit codes:
  0  done
  1  failed; nothing was changed, or a change is accepted but not yet in force
     everywhere (the message tells which)
  2  wrong usage
  3  conflict: another change came first; nothing was changed
  4  not accepted: the entry was not reached, the log is down, or the entry has
     no majority; nothing was changed
  5  unknown outcome: ask with 'carobctl history --id ID'

Settings come from flags or the environment. Give the token in the environment,
since other users of the host can see flags.`

// defaultTimeout bounds a whole command. It is twice the 14 s until a change is
// in force everywhere, rounded up.
const defaultTimeout = 30 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.Writer = stdout
	root.ErrWriter = stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	returnUsageErrors(root)
	err := root.Run(ctx, args)
	return reportError(root, err)
}

func newRoot() *cli.Command {
	return &cli.Command{
		Name:            "carobctl",
		Usage:           "change and watch a carobpulley service",
		Description:     rootDescription,
		HideHelpCommand: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEntry, Usage: "`URL` of an entry or of the load balancer before them", Value: "http://127.0.0.1:7121", Sources: cli.EnvVars("CAROB_ENTRY")},
			&cli.StringFlag{Name: flagToken, Usage: "operator token", Sources: cli.EnvVars("CAROB_OPERATOR_TOKEN"), HideDefault: true},
			&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` that the history shows for a change", Sources: cli.EnvVars("CAROB_AUTHOR", "USER")},
			&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` of a command", Value: defaultTimeout, Sources: cli.EnvVars("CAROB_TIMEOUT")},
			&cli.DurationFlag{Name: flagPoll, Usage: "`TIME` between two questions while waiting", Value: 500 * time.Millisecond, Sources: cli.EnvVars("CAROB_POLL")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON", Sources: cli.EnvVars("CAROB_JSON")},
		},
		Commands: []*cli.Command{
			getCommand(),
			validateCommand(),
			diffCommand(),
			applyCommand(),
			rollbackCommand(),
			historyCommand(),
			domainCommand(),
			endpointCommand(),
			statusCommand(),
			watchCommand(),
			jobCommand(),
			explainCommand(),
			hashCommand(),
			versionCommand(),
		},
		Action: groupAction,
	}
}

// groupAction is the action of a command that only has subcommands.
func groupAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("there is no command %q", c.Args().First())
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

// returnUsageErrors makes c and its subcommands return usage errors instead of
// printing them, so that all errors are printed by reportError.
func returnUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range c.Commands {
		returnUsageErrors(sub)
	}
}

// reportError prints an error and returns the exit code.
func reportError(root *cli.Command, err error) int {
	if err == nil {
		return exitOK
	}
	e := asExitError(err)
	if root.Bool(flagJSON) {
		if e.printed == nil {
			printJSON(root.Writer, e)
		}
		return e.Code
	}
	_, _ = fmt.Fprintln(root.ErrWriter, "carobctl:", e.Message)
	if e.Code == exitUsage {
		_, _ = fmt.Fprintln(root.ErrWriter, "Run 'carobctl --help' or 'carobctl COMMAND --help'.")
	}
	return e.Code
}
