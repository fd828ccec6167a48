// Package stats records latency histograms by member, class and failure domain
// and publishes them as an expvar variable.
package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-json-experiment/json"
)

// Measure is the quantity that a histogram records.
type Measure string

// Measures of a task.
const (
	// ResponseTime is the time from submission to the end of the task.
	ResponseTime Measure = "response"
	// QueueTime is the time from submission to the dispatch.
	QueueTime Measure = "queue"
	// RunTime is the time that the task takes at the endpoint.
	RunTime Measure = "run"
)

// Dimension is the label by which histograms are split. A histogram for each
// combination of values would take over 70 MB at 47 members, 3 classes and 9
// domains, so each histogram has one dimension only.
type Dimension string

// Dimensions of histograms.
const (
	ByMember Dimension = "member"
	ByClass  Dimension = "class"
	ByDomain Dimension = "domain"
)

const (
	// maxHistograms bounds the memory to about 10 MB. Further values of a measure and
	// dimension share one histogram.
	maxHistograms = 400
	// resolution is the smallest difference of times that is recorded.
	resolution = 100 * time.Microsecond
	// maxDuration is the largest time recorded; longer times are recorded as
	// this.
	maxDuration = 10 * time.Minute
	// significantDigits is the number of significant decimal digits kept.
	significantDigits = 2
	// overflowValue is the label value that values beyond maxHistograms share.
	overflowValue = "_other"
)

type histogramKey struct {
	measure   Measure
	dimension Dimension
	value     string
}

// Set is a bounded set of histograms. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	histograms map[histogramKey]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{histograms: make(map[histogramKey]*hdrhistogram.Histogram)}
}

// Observe records a time. An empty value is not recorded.
func (s *Set) Observe(m Measure, by Dimension, value string, d time.Duration) {
	if value == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histogram(histogramKey{m, by, value})
	n := min(max(int64(d/resolution), 1), int64(maxDuration/resolution))
	_ = h.RecordValue(n)
}

func (s *Set) histogram(k histogramKey) *hdrhistogram.Histogram {
	h, ok := s.histograms[k]
	if ok {
		return h
	}
	if len(s.histograms) >= maxHistograms {
		k.value = overflowValue
		if h, ok = s.histograms[k]; ok {
			return h
		}
	}
	h = hdrhistogram.New(1, int64(maxDuration/resolution), significantDigits)
	s.histograms[k] = h
	return h
}

// summary is the published form of a histogram; times are in milliseconds.
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
	out := make([]summary, 0, len(s.histograms))
	for k, h := range s.histograms {
		out = append(out, summarize(k, h))
	}
	b, err := json.Marshal(out)
	if err != nil {
		return "[]"
	}
	return string(b)
}

func summarize(k histogramKey, h *hdrhistogram.Histogram) summary {
	ms := func(n float64) float64 { return n * float64(resolution) / float64(time.Millisecond) }
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
