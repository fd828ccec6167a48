package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/oper"
)

const statusUsage = `carobctl status

Prints the state of the service as one entry sees it: the version in force, the
log, each entry and agent, and the owners of the shards.`

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "print the state of the service",
		UsageText: statusUsage,
		Action:    withClientTimeout(0, status),
	}
}

func status(ctx context.Context, e *env, _ *cli.Command) error {
	s, err := e.client.Status(ctx)
	if err != nil {
		return asFailure(err)
	}
	if e.json {
		printJSON(e.out, s)
		return nil
	}
	e.printf("entry %s: version %d, %s, %s", s.Entry, s.Version, describeAuthority(s), describeLog(s))
	e.printf("")
	e.printf("%-6s %-20s %-16s %-10s %8s %8s %8s  %s", "ROLE", "NAME", "DOMAIN", "STATE", "VERSION", "RUNNING", "LAG", "INCARNATION")
	for _, p := range s.Processes {
		lag := time.Duration(p.LagMillis) * time.Millisecond
		e.printf("%-6s %-20s %-16s %-10s %8d %8d %8s  %d", p.Role, p.Name, p.Domain, p.State, p.Version, p.Running, lag, p.Incarnation)
	}
	e.printf("")
	for _, o := range formatOwners(s) {
		e.printf("%s", o)
	}
	return nil
}

func describeAuthority(s oper.Status) string {
	if s.Authority {
		return "has authority"
	}
	return "has NO authority: it starts no task and accepts no job"
}

func describeLog(s oper.Status) string {
	since := s.Log.Since.UTC().Format(time.RFC3339)
	if s.Log.Up {
		return "log up since " + since
	}
	out := "log DOWN since " + since + ": no configuration change and no takeover until it is back"
	if s.Log.Error != "" {
		out += " (" + s.Log.Error + ")"
	}
	return out
}
