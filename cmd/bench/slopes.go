package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const slopesUsage = `Measures what docs/CAPACITY.md is worked out from: bytes of heap, processor time
and bytes on the wire at three or more sizes, by running the code of the
dispatcher. Prints one JSON line per quantity with the values, the line fitted
to them and the error of the fit. Processor time is that of the whole process,
garbage collection included.`

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the inputs of docs/CAPACITY.md",

		Description: slopesUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "run only groups whose name contains this"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return writeSlopes(ctx, os.Stdout, c.String("only"))
		},
	}
}

// Units of quantities.
const (
	unitBytes = "bytes"
	unitNanos = "ns"
	unitRate  = "1/s"
)

// perTask is what sizes count when the tasks of a job are varied.
const perTask = "task of a job"

// slope is a quantity measured at several sizes.
type slope struct {
	Quantity string `json:"quantity"`
	// Unit is the unit of Values, Per what Sizes count.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Code names the mechanism that was run.
	Code string `json:"code"`
	// Fixed tells what was held constant.
	Fixed  string    `json:"fixed,omitempty"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	line
}

// runInfo is the first line of the output.
type runInfo struct {
	Go    string    `json:"go"`
	CPUs  int       `json:"cpus"`
	Start time.Time `json:"start"`
}

// runEnd is the last line of the output.
type runEnd struct {
	Seconds float64 `json:"seconds"`
	// MaxBytes is the largest resident size of the process.
	MaxBytes int64 `json:"max_resident_bytes"`
}

// slopeGroup is a set of quantities that are measured one after another.
type slopeGroup struct {
	name string
	run  func(context.Context) ([]slope, error)
}

func slopeGroups() []slopeGroup {
	return []slopeGroup{
		{"roster", rosterSlopes},
		{"place", placeSlopes},
		{"admit", admitSlopes},
		{"authority", authoritySlopes},
		{"table", tableSlopes},
		{"merge", mergeSlopes},
		{"witness", witnessSlopes},
		{"gate", gateSlopes},
		{"fold", foldSlopes},
		{"journal", journalSlopes},
		{"wire", wireSlopes},
		{"connection", connectionSlopes},
		{"entry", entrySlopes},
	}
}

// writeSlopes runs the groups and writes each one's lines when it is done.
func writeSlopes(ctx context.Context, w io.Writer, only string) error {
	enc := json.NewEncoder(w)
	info := runInfo{Go: runtime.Version(), CPUs: runtime.GOMAXPROCS(0), Start: time.Now().UTC().Truncate(time.Second)}
	if err := enc.Encode(info); err != nil {
		return err
	}
	for _, g := range slopeGroups() {
		if !strings.Contains(g.name, only) {
			continue
		}
		list, err := g.run(ctx)
		if err != nil {
			return err
		}
		for _, s := range list {
			s.line = fit(s.Sizes, s.Values)
			if err := enc.Encode(s); err != nil {
				return err
			}
		}
	}
	return enc.Encode(runEnd{Seconds: time.Since(info.Start).Seconds(), MaxBytes: maxResident()})
}

// series measures a quantity at each size.
func series(s slope, sizes []int, measure func(size int) float64) slope {
	for _, n := range sizes {
		s.add(n, measure(n))
	}
	return s
}

// add adds the value at a size.
func (s *slope) add(size int, value float64) {
	s.Sizes = append(s.Sizes, float64(size))
	s.Values = append(s.Values, value)
}
