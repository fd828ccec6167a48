// Package meter holds the metrics of a process: counters, gauges and histograms of
// durations. A Set is served as text, one line for each value, sorted by name.
package meter

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// maxNames bounds the number of counters and gauges of a Set, and that of its histograms.
	// Further counters and histograms are aggregated under overflowName; further gauges
	// are dropped.
	maxNames     = 512
	overflowName = "other"
)

// bucketBounds are the upper bounds of a histogram's buckets, but for the last one, which
// is unbounded.
var bucketBounds = []time.Duration{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

type histogram struct {
	buckets []int64
	count   int64
	sum     time.Duration
}

// Set is a set of counters, gauges and histograms. Its zero value is not usable;
// its methods may be called concurrently.
type Set struct {
	mu         sync.Mutex
	values     map[string]int64
	histograms map[string]*histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{values: make(map[string]int64), histograms: make(map[string]*histogram)}
}

// Name returns the name of a metric with a label; an empty label is left out.
func Name(metric, label string) string {
	if label == "" {
		return metric
	}
	return metric + `{` + label + `}`
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.values[name]; !known && len(s.values) >= maxNames {
		name = overflowName
	}
	s.values[name] += n
}

// Set sets a gauge.
func (s *Set) Set(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.values[name]; !known && len(s.values) >= maxNames {
		return
	}
	s.values[name] = n
}

// Observe adds a duration to a histogram.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil {
		if len(s.histograms) >= maxNames {
			name = overflowName
		}
		if h = s.histograms[name]; h == nil {
			h = &histogram{buckets: make([]int64, len(bucketBounds)+1)}
			s.histograms[name] = h
		}
	}
	h.buckets[sort.Search(len(bucketBounds), func(i int) bool { return d <= bucketBounds[i] })]++
	h.count++
	h.sum += d
}

// Text returns all metrics as text. The buckets of a histogram are cumulative, and their
// bounds are in milliseconds.
func (s *Set) Text() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := make([]string, 0, len(s.values)+len(s.histograms)*(len(bucketBounds)+3))
	for name, n := range s.values {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, n))
	}
	for name, h := range s.histograms {
		lines = append(lines, h.text(name)...)
	}
	sort.Strings(lines)
	var b bytes.Buffer
	for _, line := range lines {
		b.WriteString(line)
	}
	return b.Bytes()
}

func (h *histogram) text(name string) []string {
	lines := make([]string, 0, len(h.buckets)+2)
	var cumulative int64
	for i, n := range h.buckets {
		cumulative += n
		bound := "inf"
		if i < len(bucketBounds) {
			bound = fmt.Sprintf("%05d", bucketBounds[i].Milliseconds())
		}
		lines = append(lines, fmt.Sprintf("%s_ms_le_%s %d\n", name, bound, cumulative))
	}
	return append(lines,
		fmt.Sprintf("%s_count %d\n", name, h.count),
		fmt.Sprintf("%s_sum_ms %d\n", name, h.sum.Milliseconds()))
}

// ServeHTTP implements http.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(s.Text()) // an error cannot be reported to a client that has disconnected
}
