package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/oper"
)

// Names of flags.
const (
	flagEntry   = "entry"
	flagToken   = "token"
	flagAuthor  = "author"
	flagTimeout = "timeout"
	flagPoll    = "poll"
	flagJSON    = "json"
	flagBase    = "base"
	flagWait    = "wait"
	flagID      = "id"
	flagTo      = "to"
	flagOutput  = "output"
	flagEvery   = "every"
	flagCount   = "count"
)

// env holds the client, the outputs and the settings that the actions share.
type env struct {
	client       *oper.Client
	out          io.Writer
	errOut       io.Writer
	json         bool
	author       string
	pollInterval time.Duration
}

// action is the function of a subcommand. It runs after the number of arguments
// has been checked.
type action func(ctx context.Context, e *env, c *cli.Command) error

// withClientTimeout runs an action with a client and the deadline of --timeout.
func withClientTimeout(args int, do action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return withClient(args, do)(ctx, c)
	}
}

// withClient runs an action with a client and without a deadline.
func withClient(args int, do action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkArgs(c, args); err != nil {
			return err
		}
		if c.String(flagToken) == "" {
			return usagef("the operator token is missing; set CAROB_OPERATOR_TOKEN")
		}
		if c.Duration(flagPoll) <= 0 {
			return usagef("--poll must be larger than 0")
		}
		client, err := oper.NewClient(c.String(flagEntry), c.String(flagToken), &http.Client{})
		if err != nil {
			return usagef("%v", err)
		}
		e := newEnv(c)
		e.client = client
		return do(ctx, e, c)
	}
}

// withoutClient runs an action that makes no calls to an entry.
func withoutClient(args int, do action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := checkArgs(c, args); err != nil {
			return err
		}
		return do(ctx, newEnv(c), c)
	}
}

func newEnv(c *cli.Command) *env {
	return &env{
		out:          c.Root().Writer,
		errOut:       c.Root().ErrWriter,
		json:         c.Bool(flagJSON),
		author:       c.String(flagAuthor),
		pollInterval: c.Duration(flagPoll),
	}
}

func checkArgs(c *cli.Command, want int) error {
	if c.Args().Len() != want {
		return usagef("%s takes %d arguments, %d were given", c.FullName(), want, c.Args().Len())
	}
	return nil
}

func readFile(c *cli.Command) ([]byte, error) {
	var doc []byte
	var err error
	if name := c.Args().First(); name == "-" {
		doc, err = io.ReadAll(os.Stdin)
	} else {
		doc, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, asFailure(err)
	}
	return doc, nil
}

// notef prints a progress message or a remark to the error output, so that the
// standard output holds results only. With --json it prints nothing.
func (e *env) notef(format string, args ...any) {
	if !e.json {
		_, _ = fmt.Fprintf(e.errOut, format+"\n", args...)
	}
}

func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format+"\n", args...)
}

func printJSON(w io.Writer, v any) {
	_ = json.NewEncoder(w).Encode(v)
}

// waitPollInterval waits for the poll interval. It returns false if ctx ended first.
func (e *env) waitPollInterval(ctx context.Context) bool {
	t := time.NewTimer(e.pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
