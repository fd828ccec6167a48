package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"carobpulley/conf"
)

const versionUsage = `carobctl version

Prints the version of this program and of the document format.`

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:      "version",
		Usage:     "print the version of this program",
		UsageText: versionUsage,
		Action:    withoutClient(0, version),
	}
}

// programVersion is the output of version.
type programVersion struct {
	Program  string `json:"program"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
	Format   int    `json:"document_format"`
}

func version(_ context.Context, e *env, _ *cli.Command) error {
	v := programVersion{Program: "carobctl", Revision: "unknown", Go: runtime.Version(), Format: conf.Format}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	if e.json {
		printJSON(e.out, v)
		return nil
	}
	e.printf("%s revision %s, document format %d, %s", v.Program, v.Revision, v.Format, v.Go)
	return nil
}
