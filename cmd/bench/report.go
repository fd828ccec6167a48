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

// metric is a named measured value.
type metric struct {
	name  string
	value float64
}

// result holds the metrics of one strategy in one scenario.
type result struct {
	experiment, scenario, strategy string
	metrics                        []metric
}

// responseTimes collects the response times of each class and the messages over
// several seeds.
type responseTimes struct {
	measured, ideal                                 map[carobpulley.Class][]float64
	usefulMessages, wastedMessages, controlMessages int
	tasks                                           int
}

// allClasses stands for the jobs of all classes.
const allClasses carobpulley.Class = "all"

func newResponseTimes() *responseTimes {
	return &responseTimes{measured: map[carobpulley.Class][]float64{}, ideal: map[carobpulley.Class][]float64{}}
}

// add adds the messages of a run and the response times of the jobs that arrived
// between two times.
func (t *responseTimes) add(s *simulation, idealEnds []time.Duration, from, to time.Duration) {
	t.usefulMessages += s.usefulMessages
	t.wastedMessages += s.wastedMessages
	t.controlMessages += s.controlMessages
	for i, a := range s.arrivals {
		t.tasks += len(a.runTimes)
		if a.at < from || a.at > to {
			continue
		}
		for _, class := range []carobpulley.Class{a.Class, allClasses} {
			t.measured[class] = append(t.measured[class], (s.endedAt[i] - a.at).Seconds())
			t.ideal[class] = append(t.ideal[class], (idealEnds[i] - a.at).Seconds())
		}
	}
}

// metrics returns the means and quantiles of response times relative to those of the
// ideal schedule, the quantiles of the ratio of each job, and the messages per task.
func (t *responseTimes) metrics() []metric {
	ratios := make([]float64, len(t.measured[allClasses]))
	for i, v := range t.measured[allClasses] {
		ratios[i] = v / t.ideal[allClasses][i]
	}
	all := []metric{{"each job p50", quantile(ratios, 0.5)}, {"each job p99", quantile(ratios, 0.99)}}
	for _, class := range append([]carobpulley.Class{allClasses}, carobpulley.Classes()...) {
		all = append(all, metric{string(class) + " mean", mean(t.measured[class]) / mean(t.ideal[class])})
		for _, q := range []float64{0.5, 0.99} {
			name := fmt.Sprintf("%s p%.0f", class, 100*q)
			all = append(all, metric{name, quantile(t.measured[class], q) / quantile(t.ideal[class], q)})
		}
	}
	n := float64(t.tasks)
	return append(all, metric{"useful messages", float64(t.usefulMessages) / n}, metric{"wasted", float64(t.wastedMessages) / n},
		metric{"control", float64(t.controlMessages) / n})
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

// writeJSON writes each result as one JSON line.
func writeJSON(w io.Writer, results []*result) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		line := map[string]any{"experiment": r.experiment, "scenario": r.scenario, "way": r.strategy}
		for _, m := range r.metrics {
			line[strings.ReplaceAll(m.name, " ", "_")] = math.Round(1000*m.value) / 1000
		}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// writeMarkdown writes one Markdown table per experiment.
func writeMarkdown(w io.Writer, results []*result) {
	experiment := ""
	for _, r := range results {
		header, line, row := "", "", ""
		for _, m := range r.metrics {
			header += " " + m.name + " |"
			line += "---|"
			row += fmt.Sprintf(" %.3f |", m.value)
		}
		if r.experiment != experiment {
			experiment = r.experiment
			_, _ = fmt.Fprintf(w, "\n| %s | way |%s\n|---|---|%s\n", experiment, header, line)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s |%s\n", r.scenario, r.strategy, row)
	}
}
