package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// figure is one measured value.
type figure struct {
	name  string
	value float64
}

// result holds the figures of one way in one scenario.
type result struct {
	experiment, scenario, way string
	figures                   []figure
}

// times collects the response times of classes over several seeds.
type times struct {
	ours, ideal             map[carobpulley.Class][]float64
	useful, wasted, control int
	tasks                   int
}

const allClasses carobpulley.Class = "all"

func newTimes() *times {
	return &times{ours: map[carobpulley.Class][]float64{}, ideal: map[carobpulley.Class][]float64{}}
}

// add takes the messages of a run and the jobs that arrived in a span.
func (t *times) add(s *world, best []time.Duration, from, to time.Duration) {
	t.useful += s.useful
	t.wasted += s.wasted
	t.control += s.control
	for i, a := range s.arrivals {
		t.tasks += len(a.work)
		if a.at < from || a.at > to {
			continue
		}
		for _, class := range []carobpulley.Class{a.Class, allClasses} {
			t.ours[class] = append(t.ours[class], (s.ended[i] - a.at).Seconds())
			t.ideal[class] = append(t.ideal[class], (best[i] - a.at).Seconds())
		}
	}
}

// figures compares the means and quantiles of response times with those of the
// ideal, and gives the quantiles of each job's own quotient and messages per task.
func (t *times) figures() []figure {
	each := make([]float64, len(t.ours[allClasses]))
	for i, v := range t.ours[allClasses] {
		each[i] = v / t.ideal[allClasses][i]
	}
	all := []figure{{"each job p50", quantile(each, 0.5)}, {"each job p99", quantile(each, 0.99)}}
	for _, class := range append([]carobpulley.Class{allClasses}, carobpulley.Classes()...) {
		all = append(all, figure{string(class) + " mean", mean(t.ours[class]) / mean(t.ideal[class])})
		for _, q := range []float64{0.5, 0.99} {
			name := fmt.Sprintf("%s p%.0f", class, 100*q)
			all = append(all, figure{name, quantile(t.ours[class], q) / quantile(t.ideal[class], q)})
		}
	}
	n := float64(t.tasks)
	return append(all, figure{"useful messages", float64(t.useful) / n}, figure{"wasted", float64(t.wasted) / n},
		figure{"control", float64(t.control) / n})
}

func quantile(v []float64, q float64) float64 {
	return slices.Sorted(slices.Values(v))[int(q*float64(len(v)))]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// writeJSON writes a line for each result.
func writeJSON(w io.Writer, results []*result) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		line := map[string]any{"experiment": r.experiment, "scenario": r.scenario, "way": r.way}
		for _, f := range r.figures {
			line[strings.ReplaceAll(f.name, " ", "_")] = math.Round(1000*f.value) / 1000
		}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// writeMarkdown writes a table for each experiment.
func writeMarkdown(w io.Writer, results []*result) {
	experiment := ""
	for _, r := range results {
		header, line, row := "", "", ""
		for _, f := range r.figures {
			header += " " + f.name + " |"
			line += "---|"
			row += fmt.Sprintf(" %.3f |", f.value)
		}
		if r.experiment != experiment {
			experiment = r.experiment
			_, _ = fmt.Fprintf(w, "\n| %s | way |%s\n|---|---|%s\n", experiment, header, line)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s |%s\n", r.scenario, r.way, row)
	}
}
