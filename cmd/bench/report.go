package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// Experiments.
const (
	experimentResponse = "response"
	experimentOutage   = "outage"
	experimentBurst    = "burst"
)

// figures compare the response times of a class with the ideal. Mean, P50 and
// P99 are quotients of the same statistic; EachP50 and EachP99 are quantiles of
// each job's own quotient.
type figures struct {
	Mean    float64 `json:"mean"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	EachP50 float64 `json:"each_p50"`
	EachP99 float64 `json:"each_p99"`
	P99Ms   float64 `json:"p99_ms"`
}

// result is one line of output. Messages are per task started; Work is over
// what the remaining capacity allows; Neighbours is the p99 of the other
// members with a burst over without.
type result struct {
	Experiment string             `json:"experiment"`
	Scenario   string             `json:"scenario"`
	Way        string             `json:"way"`
	Classes    map[string]figures `json:"classes,omitempty"`
	Useful     float64            `json:"useful_messages"`
	Wasted     float64            `json:"wasted_messages"`
	Control    float64            `json:"control_messages"`
	Work       float64            `json:"work,omitempty"`
	WorkMin    float64            `json:"work_min,omitempty"`
	Neighbours float64            `json:"neighbours_p99,omitempty"`
}

const allClasses = "all"

// times collects the response times of classes over several seeds.
type times struct {
	ours, ideal             map[string][]float64
	useful, wasted, control int
	tasks                   int
}

func newTimes() *times {
	return &times{ours: map[string][]float64{}, ideal: map[string][]float64{}}
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
		for _, class := range []string{string(a.class), allClasses} {
			t.ours[class] = append(t.ours[class], (s.ended[i] - a.at).Seconds())
			t.ideal[class] = append(t.ideal[class], (best[i] - a.at).Seconds())
		}
	}
}

func (t *times) result() result {
	r := result{Classes: map[string]figures{}}
	for class, ours := range t.ours {
		best := t.ideal[class]
		each := make([]float64, len(ours))
		for i := range ours {
			each[i] = ours[i] / best[i]
		}
		r.Classes[class] = figures{
			Mean: round(mean(ours) / mean(best)),
			P50:  round(quantile(ours, 0.5) / quantile(best, 0.5)),
			P99:  round(quantile(ours, 0.99) / quantile(best, 0.99)), P99Ms: math.Round(1000 * quantile(ours, 0.99)),
			EachP50: round(quantile(each, 0.5)), EachP99: round(quantile(each, 0.99)),
		}
	}
	n := float64(t.tasks)
	r.Useful, r.Wasted, r.Control = round(float64(t.useful)/n), round(float64(t.wasted)/n), round(float64(t.control)/n)
	return r
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

func round(v float64) float64 {
	return math.Round(v*1000) / 1000
}

// writeJSON writes a line for each result.
func writeJSON(w io.Writer, results []result) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// headers are the columns of the tables after scenario and way.
var headers = map[string][]string{
	experimentResponse: {
		"mean", "p50", "p99", "each job p50", "p99", "urgent p50", "p99", "normal p50", "p99", "bulk p50", "p99",
		"useful messages", "wasted", "control",
	},
	experimentOutage: {"work", "least second", "p50", "p99", "wasted"},
	experimentBurst:  {"p99 of the others, with over without"},
}

func (r result) columns() []float64 {
	all, urgent, normal, bulk := r.Classes[allClasses], r.Classes["urgent"], r.Classes["normal"], r.Classes["bulk"]
	switch r.Experiment {
	case experimentResponse:
		return []float64{
			all.Mean, all.P50, all.P99, all.EachP50, all.EachP99, urgent.P50, urgent.P99, normal.P50, normal.P99, bulk.P50, bulk.P99,
			r.Useful, r.Wasted, r.Control,
		}
	case experimentOutage:
		return []float64{r.Work, r.WorkMin, all.P50, all.P99, r.Wasted}
	default:
		return []float64{r.Neighbours}
	}
}

// writeMarkdown writes a table for each experiment.
func writeMarkdown(w io.Writer, results []result) {
	experiment := ""
	for _, r := range results {
		if r.Experiment != experiment {
			experiment = r.Experiment
			_, _ = fmt.Fprintf(w, "\n| %s | way | %s |\n", experiment, strings.Join(headers[experiment], " | "))
			_, _ = fmt.Fprintln(w, "|---|---|"+strings.Repeat("---|", len(headers[experiment])))
		}
		_, _ = fmt.Fprintf(w, "| %s | %s |", r.Scenario, r.Way)
		for _, v := range r.columns() {
			_, _ = fmt.Fprintf(w, " %.3f |", v)
		}
		_, _ = fmt.Fprintln(w)
	}
}
