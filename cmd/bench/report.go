package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"carobpulley"
)

// figures compare the response times of a class with the ideal. Mean, P50 and
// P99 are quotients of the same statistic; Each are quantiles over jobs of each
// job's own quotient.
type figures struct {
	Mean    float64 `json:"mean"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	EachP50 float64 `json:"each_p50"`
	EachP99 float64 `json:"each_p99"`
	P99Ms   float64 `json:"p99_ms"`
}

// result is one line of output.
type result struct {
	Experiment string             `json:"experiment"`
	Scenario   string             `json:"scenario"`
	Way        string             `json:"way"`
	Classes    map[string]figures `json:"classes,omitempty"`
	// Messages per task started.
	PerTask float64 `json:"messages_per_task,omitempty"`
	Wasted  float64 `json:"wasted_per_task"`
	Control float64 `json:"control_per_task"`
	// Work over what the remaining capacity allows, during an outage.
	Work    float64 `json:"work,omitempty"`
	WorkMin float64 `json:"work_min,omitempty"`
	// Neighbour is the p99 of other members with a burst over without.
	Neighbour float64 `json:"neighbour_p99,omitempty"`
}

// times collects response times by class over several seeds.
type times struct {
	ours, ideal map[string][]float64
	messages    messages
	tasks       int
}

const allClasses = "all"

func newTimes() *times {
	return &times{ours: map[string][]float64{}, ideal: map[string][]float64{}}
}

// add takes the jobs that arrived in a span.
func (t *times) add(arrivals []arrival, ended, best []time.Duration, from, to time.Duration) {
	for i, a := range arrivals {
		t.tasks += len(a.work)
		if a.at < from || a.at > to {
			continue
		}
		for _, class := range []string{string(a.class), allClasses} {
			t.ours[class] = append(t.ours[class], (ended[i] - a.at).Seconds())
			t.ideal[class] = append(t.ideal[class], (best[i] - a.at).Seconds())
		}
	}
}

func (t *times) count(m messages) {
	t.messages.Useful += m.Useful
	t.messages.Wasted += m.Wasted
	t.messages.Control += m.Control
}

func (t *times) figures() map[string]figures {
	all := map[string]figures{}
	for class, ours := range t.ours {
		best := t.ideal[class]
		each := make([]float64, len(ours))
		for i := range ours {
			each[i] = ours[i] / best[i]
		}
		all[class] = figures{
			Mean: round(mean(ours) / mean(best)),
			P50:  round(quantile(ours, 0.5) / quantile(best, 0.5)),
			P99:  round(quantile(ours, 0.99) / quantile(best, 0.99)), P99Ms: math.Round(1000 * quantile(ours, 0.99)),
			EachP50: round(quantile(each, 0.5)), EachP99: round(quantile(each, 0.99)),
		}
	}
	return all
}

func (t *times) fill(r *result) {
	r.Classes = t.figures()
	n := float64(t.tasks)
	r.PerTask = round(float64(t.messages.Useful+t.messages.Wasted) / n)
	r.Wasted = round(float64(t.messages.Wasted) / n)
	r.Control = round(float64(t.messages.Control) / n)
}

func quantile(v []float64, q float64) float64 {
	s := slices.Sorted(slices.Values(v))
	if len(s) == 0 {
		return math.NaN()
	}
	return s[min(len(s)-1, int(q*float64(len(s))))]
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

// writeMarkdown writes a table for each experiment.
func writeMarkdown(w io.Writer, results []result) {
	experiment := ""
	for _, r := range results {
		if r.Experiment != experiment {
			experiment = r.Experiment
			header(w, experiment)
		}
		switch experiment {
		case experimentResponse:
			a, u, n, b := r.Classes[allClasses], r.class(carobpulley.ClassUrgent), r.class(carobpulley.ClassNormal), r.class(carobpulley.ClassBulk)
			_, _ = fmt.Fprintf(w, "| %s | %s | %.2f | %.2f | %.2f | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %.2f | %.3f | %.2f |\n",
				r.Scenario, r.Way, a.Mean, a.P50, a.P99, a.EachP50, a.EachP99, u.P50, u.P99, n.P50, n.P99, b.P50, b.P99, r.PerTask, r.Wasted, r.Control)
		case experimentOutage:
			_, _ = fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %.2f | %.2f | %.3f |\n", r.Scenario, r.Way, r.Work, r.WorkMin, r.Classes[allClasses].P50, r.Classes[allClasses].P99, r.Wasted)
		case experimentBurst:
			_, _ = fmt.Fprintf(w, "| %s | %s | %.3f |\n", r.Scenario, r.Way, r.Neighbour)
		}
	}
}

func (r result) class(c carobpulley.Class) figures {
	return r.Classes[string(c)]
}

func header(w io.Writer, experiment string) {
	_, _ = fmt.Fprintln(w)
	switch experiment {
	case experimentResponse:
		_, _ = fmt.Fprintln(w, "| scenario | way | mean | p50 | p99 | each job p50 / p99 | urgent p50 / p99 | normal | bulk | messages per task | wasted | control |")
		_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	case experimentOutage:
		_, _ = fmt.Fprintln(w, "| domain out and back | way | work | least second | p50 | p99 | wasted |")
		_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	case experimentBurst:
		_, _ = fmt.Fprintln(w, "| burst of one member | way | p99 of the others, with over without |")
		_, _ = fmt.Fprintln(w, "|---|---|---|")
	}
}
