package setup

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"carobpulley"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed reports a failure at run time.
	ExitFailed = 1
	// ExitUsage reports a malformed command line or an invalid setting.
	ExitUsage = 2
)

// Run runs a command and returns the program's exit code. It prints an error to stderr.
func Run(ctx context.Context, cmd *cli.Command, args []string, stderr io.Writer) int {
	configureErrors(cmd, stderr)
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", cmd.Name, err)
	if e, ok := errors.Into[*Error](err); ok {
		return cmp.Or(e.Exit, ExitUsage)
	}
	return ExitFailed
}

// configureErrors makes the command and all subcommands return an *Error for a malformed
// command line, and keeps the library from exiting the process.
func configureErrors(cmd *cli.Command, stderr io.Writer) {
	cmd.ErrWriter = stderr
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &Error{Op: "command line", Kind: carobpulley.KindInvalid, Err: err}
	}
	for _, sub := range cmd.Commands {
		configureErrors(sub, stderr)
	}
}

// Version returns the version recorded in the build: the module version, the revision if
// it is recorded, and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			version += " " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			version += " modified"
		}
	}
	return version + " " + info.GoVersion
}

// VersionCommand returns the command that prints the version.
func VersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the build",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, Version())
			return err
		},
	}
}
