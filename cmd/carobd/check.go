package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"carobpulley/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "check the settings file and print the settings read from it",
		Action: runCheck,
	}
}

func runCheck(context.Context, *cli.Command) error {
	b, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	s, err := platform.ParseSettings(b)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(s)
}
