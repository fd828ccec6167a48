// Package stats keeps latency histograms by member, class and failure domain
// and publishes them as an expvar variable.
package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json"
)

// Measure is what a histogram holds.
type Measure string

// Measures of a task.
const (
	// Response is the time from submission to the end.
	Response Measure = "response"
	// Queue is the time from submission to the dispatch.
	Queue Measure = "queue"
	// Run is the time at the endpoint.
	Run Measure = "run"
)

// Dimension is what histograms are split by. A histogram for each combination
// of values would take over 70 MB at 47 members, 3 classes and 9 domains, so
// each dimension stands alone.
type Dimension string

// Dimensions of histograms.
const (
	ByMember Dimension = "member"
	ByClass  Dimension = "class"
	ByDomain Dimension = "domain"
)

const (
	// maxHistograms bounds the memory to about 10 MB; further values share one.
	maxHistograms = 400
	// unit is the resolution of the histograms.
	unit = 100 * time.Microsecond
	// longest is the largest time recorded; longer ones count as this.
	longest = 10 * time.Minute
	// digits is the number of significant decimal digits kept.
	digits = 2
	// otherValue is the name that values beyond the bound share.
	otherValue = "_other"
)

type series struct {
	measure   Measure
	dimension Dimension
	value     string
}

// Set is a bounded set of histograms. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	hists map[series]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{hists: make(map[series]*hdrhistogram.Histogram)}
}

// Observe records a time. An empty value is not recorded.
func (s *Set) Observe(m Measure, by Dimension, value string, d time.Duration) {
	if value == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histogram(series{m, by, value})
	n := min(max(int64(d/unit), 1), int64(longest/unit))
	_ = h.RecordValue(n)
}

func (s *Set) histogram(k series) *hdrhistogram.Histogram {
	h, ok := s.hists[k]
	if ok {
		return h
	}
	if len(s.hists) >= maxHistograms {
		k.value = otherValue
		if h, ok = s.hists[k]; ok {
			return h
		}
	}
	h = hdrhistogram.New(1, int64(longest/unit), digits)
	s.hists[k] = h
	return h
}

// summary is one histogram as it is published; times are in milliseconds.
type summary struct {
	Measure   Measure   `json:"measure"`
	Dimension Dimension `json:"dimension"`
	Value     string    `json:"value"`
	Count     int64     `json:"count"`
	MeanMS    float64   `json:"mean_ms"`
	P50MS     float64   `json:"p50_ms"`
	P90MS     float64   `json:"p90_ms"`
	P99MS     float64   `json:"p99_ms"`
	MaxMS     float64   `json:"max_ms"`
}

// String returns all histograms as JSON; it implements expvar.Var.
func (s *Set) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]summary, 0, len(s.hists))
	for k, h := range s.hists {
		out = append(out, summarize(k, h))
	}
	b, err := json.Marshal(out)
	if err != nil {
		return "[]"
	}
	return string(b)
}

func summarize(k series, h *hdrhistogram.Histogram) summary {
	ms := func(n float64) float64 { return n * float64(unit) / float64(time.Millisecond) }
	return summary{
		Measure:   k.measure,
		Dimension: k.dimension,
		Value:     k.value,
		Count:     h.TotalCount(),
		MeanMS:    ms(h.Mean()),
		P50MS:     ms(float64(h.ValueAtQuantile(50))),
		P90MS:     ms(float64(h.ValueAtQuantile(90))),
		P99MS:     ms(float64(h.ValueAtQuantile(99))),
		MaxMS:     ms(float64(h.Max())),
	}
}
