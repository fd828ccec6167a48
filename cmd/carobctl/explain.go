package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley/logs"
)

const explainUsage = `Tell a request's story from the logs of many processes: all lines that carry its
id, in order of time. Clocks that differ are compared by the attachments that
coordinators and agents both log; the time shown is that of the first line's
process. Pass the agents' logs too, or their lines are missing.

  carobctl explain 70491baaa1c38ad9 logs/*.log
  carobctl --json explain 70491baaa1c38ad9 - < all.log

docs/OPERATIONS.md says what each line means.`

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell a request's story from log files",
		ArgsUsage:   "ID FILE...",
		Description: explainUsage,
		Action:      explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usagef("an id and at least one file are needed")
	}
	builder := logs.NewTimelineBuilder(args[0])
	for _, name := range args[1:] {
		if err := readLog(builder, name); err != nil {
			return err
		}
	}
	timeline := builder.Timeline()
	if len(timeline.Lines) == 0 {
		return exitf(exitFailed, "no line of %d files names %s", len(args)-1, args[0])
	}
	if cmd.Root().Bool(flagJSON) {
		printJSON(cmd.Root().Writer, timeline)
		return nil
	}
	printTimeline(cmd.Root().Writer, timeline)
	return nil
}

func readLog(builder *logs.TimelineBuilder, name string) error {
	if name == "-" {
		return builder.AddLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return usagef("%v", err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if err := builder.AddLog(f); err != nil {
		return exitf(exitFailed, "%s: %v", name, err)
	}
	return nil
}

// formatValue formats a value. Whole numbers, such as tokens, are printed with all digits.
func formatValue(v any) string {
	if n, ok := v.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}

func printTimeline(w io.Writer, timeline logs.Timeline) {
	start := timeline.Lines[0].AdjustedAt
	for _, l := range timeline.Lines {
		fields := make([]string, 0, len(l.Fields))
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[name]; v != "" && name != "level" && name != "job" {
				fields = append(fields, name+"="+formatValue(v))
			}
		}
		_, _ = fmt.Fprintf(w, "%s %+8d ms  %-24s %-20s %s\n", l.AdjustedAt.UTC().Format("15:04:05.000"),
			l.AdjustedAt.Sub(start).Milliseconds(), l.Process, l.Message, strings.Join(fields, " "))
	}
	for _, name := range slices.Sorted(maps.Keys(timeline.ClockOffsets)) {
		if d := timeline.ClockOffsets[name]; d.Abs() > time.Second/10 {
			_, _ = fmt.Fprintf(w, "the clock of %s is %s ahead\n", name, d)
		}
	}
}
