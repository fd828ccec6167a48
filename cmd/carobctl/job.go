package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/api"
)

const jobUsage = `Submit, read and cancel jobs as a caller.

The address of the callers' API is --api or CAROB_API, the member's token
--member-token or CAROB_TOKEN. The answer is printed as JSON (docs/api.md).

  carobctl job submit --key order-1 --service booking.check --payload '{"van":12}' --wait
  carobctl job submit --key order-2 --service booking.check --tasks 120 --wait
  carobctl job get order-1
  carobctl job cancel order-1

Exit codes: 0 answered, 1 failed, 2 wrong input, 3 the key is in use with another
body, 4 refused and nothing has run, 5 the outcome is not known: ask again with
the same key.`

// flagMemberToken differs from --token, which is the operators' token.
const flagMemberToken = "member-token"

// waitMargin is how long a waiting call may last beyond the job's timeout.
const waitMargin = time.Minute

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:        "job",
		Usage:       "submit, read and cancel jobs as a caller",
		Description: jobUsage,
		Commands:    []*cli.Command{jobSubmitCommand(), jobGetCommand(), jobCancelCommand()},
	}
}

func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "api",
			Usage:   "base URL of the callers' API",
			Value:   "http://127.0.0.1:7101",
			Sources: cli.EnvVars("CAROB_API"),
		},
		&cli.StringFlag{
			Name:     flagMemberToken,
			Usage:    "the member's bearer token",
			Required: true,
			Sources:  cli.EnvVars("CAROB_TOKEN"),
		},
	}, more...)
}

func newCallerClient(cmd *cli.Command) (*api.Client, error) {
	base, err := url.Parse(cmd.String("api"))
	if err != nil || base.Host == "" {
		return nil, usagef("--api must be a base URL such as http://127.0.0.1:7101")
	}
	return api.NewClient(base, cmd.String(flagMemberToken), http.DefaultClient), nil
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job",
		Flags: callerFlags(
			&cli.StringFlag{Name: "key", Usage: "the job's key", Required: true},
			&cli.StringFlag{Name: "service", Usage: "the service that runs the tasks", Required: true},
			&cli.StringSliceFlag{Name: "payload", Usage: "a task's payload, a JSON value; repeat it for more tasks"},
			&cli.IntFlag{Name: "tasks", Usage: "number of tasks with generated payloads"},
			&cli.DurationFlag{Name: "job-timeout", Usage: "`TIME` after which no task starts", Value: 30 * time.Second},
			&cli.BoolFlag{Name: "wait", Usage: "wait for the answer"},
		),
		Action: submitJob,
	}
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	c, err := newCallerClient(cmd)
	if err != nil {
		return err
	}
	now := time.Now()
	j := api.Job{
		Key:      cmd.String("key"),
		Service:  cmd.String("service"),
		Deadline: now.Add(cmd.Duration("job-timeout")),
		Wait:     cmd.Bool("wait"),
	}
	for _, p := range cmd.StringSlice("payload") {
		j.Payloads = append(j.Payloads, jsontext.Value(p))
	}
	n := min(cmd.Int("tasks"), carobpulley.MaxTasks)
	for i := range n {
		j.Payloads = append(j.Payloads, jsontext.Value(fmt.Sprintf(`{"task":%d}`, i)))
	}
	ctx, cancel := context.WithDeadline(ctx, j.Deadline.Add(waitMargin))
	defer cancel()
	b, err := c.Submit(ctx, now, j)
	return printAnswer(cmd, b, err)
}

func jobGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "read a job",
		ArgsUsage: "KEY",
		Flags:     callerFlags(&cli.BoolFlag{Name: "wait", Usage: "wait for the answer"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newCallerClient(cmd)
			if err != nil {
				return err
			}
			b, err := c.Lookup(ctx, cmd.Args().First(), cmd.Bool("wait"))
			return printAnswer(cmd, b, err)
		},
	}
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "KEY",
		Flags:     callerFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newCallerClient(cmd)
			if err != nil {
				return err
			}
			b, err := c.Cancel(ctx, cmd.Args().First())
			return printAnswer(cmd, b, err)
		},
	}
}

// printAnswer prints the response. The kind of a refusal determines the exit code
// and is part of the message.
func printAnswer(cmd *cli.Command, b []byte, err error) error {
	var e *carobpulley.Error
	if errors.As(err, &e) {
		return exitf(jobExitCode(e), "%s: %s%s", e.Kind, e.Msg, notRunSuffix(e))
	}
	if err != nil {
		return exitf(exitUnknown, "no answer: %v; ask again with the same key", err)
	}
	_, err = cmd.Root().Writer.Write(b)
	return err
}

func notRunSuffix(e *carobpulley.Error) string {
	if e.NotRun {
		return " (nothing has run)"
	}
	return ""
}

func jobExitCode(e *carobpulley.Error) int {
	switch {
	case e.Kind == carobpulley.KindConflict:
		return exitConflict
	case e.Kind == carobpulley.KindInvalid:
		return exitUsage
	case e.NotRun:
		return exitNotAccepted
	case e.Kind == carobpulley.KindUnknown || e.Kind == carobpulley.KindUnavailable:
		return exitUnknown
	default:
		return exitFailed
	}
}
