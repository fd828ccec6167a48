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

const slopesUsage = `Measures the inputs of docs/CAPACITY.md: bytes of heap, processor time and bytes
on the wire at three or more sizes, by running the code of the dispatcher. Prints
one JSON line per quantity with the values, the line fitted to them and the error
of the fit. Processor time is that of the whole process, including garbage
collection.`

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the inputs of docs/CAPACITY.md",

		Description: slopesUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "run only groups whose name contains this text"},
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

// perTaskOfJob is the value of Per when the number of tasks of a job is varied.
const perTaskOfJob = "task of a job"

// measurement is a quantity measured at several sizes, with the line fitted to it.
type measurement struct {
	Quantity string `json:"quantity"`
	// Unit is the unit of Values. Per is what Sizes count.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Code names the code that was run.
	Code string `json:"code"`
	// Fixed describes what was held constant.
	Fixed  string    `json:"fixed,omitempty"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	fittedLine
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
	// MaxBytes is the largest resident set size of the process.
	MaxBytes int64 `json:"max_resident_bytes"`
}

// measurementGroup is a set of quantities that are measured in sequence.
type measurementGroup struct {
	name string
	run  func(context.Context) ([]measurement, error)
}

func measurementGroups() []measurementGroup {
	return []measurementGroup{
		{"roster", measureRoster},
		{"place", measurePlacer},
		{"admit", measureAdmitter},
		{"authority", measureAuthority},
		{"table", measureTable},
		{"merge", measureMerge},
		{"witness", measureWitness},
		{"gate", measureGate},
		{"fold", measureFold},
		{"journal", measureJournal},
		{"wire", measureExchanges},
		{"connection", measureConnections},
		{"entry", measureEntries},
	}
}

// writeSlopes runs the groups whose names contain a text. It writes the lines of each
// group when that group is complete.
func writeSlopes(ctx context.Context, w io.Writer, only string) error {
	enc := json.NewEncoder(w)
	info := runInfo{Go: runtime.Version(), CPUs: runtime.GOMAXPROCS(0), Start: time.Now().UTC().Truncate(time.Second)}
	if err := enc.Encode(info); err != nil {
		return err
	}
	for _, g := range measurementGroups() {
		if !strings.Contains(g.name, only) {
			continue
		}
		list, err := g.run(ctx)
		if err != nil {
			return err
		}
		for _, m := range list {
			m.fittedLine = fitLine(m.Sizes, m.Values)
			if err := enc.Encode(m); err != nil {
				return err
			}
		}
	}
	return enc.Encode(runEnd{Seconds: time.Since(info.Start).Seconds(), MaxBytes: maxResidentBytes()})
}

// measureSizes measures a quantity at each size and adds the values to m.
func measureSizes(m measurement, sizes []int, measure func(size int) float64) measurement {
	for _, n := range sizes {
		m.add(n, measure(n))
	}
	return m
}

// add adds the value at a size.
func (m *measurement) add(size int, value float64) {
	m.Sizes = append(m.Sizes, float64(size))
	m.Values = append(m.Values, value)
}
