package stats

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/go-cmp/cmp"
)

// Guards against times that are recorded under another value or in another unit.
func TestSummary(t *testing.T) {
	s := New()
	for range 99 {
		s.Observe(RunTime, ByMember, "rentals", 20*time.Millisecond)
	}
	s.Observe(RunTime, ByMember, "rentals", time.Hour)
	s.Observe(RunTime, ByMember, "", time.Second)
	var got []summary
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 {
		t.Fatalf("got %d histograms, want 1", len(got))
	}
	// The precision is two digits; times above ten minutes are recorded as ten
	// minutes.
	near := func(a, b float64) bool { return a > b*0.98 && a < b*1.02 }
	if g := got[0]; g.Count != 100 || !near(g.P50MS, 20) || !near(g.MaxMS, 600_000) || g.Value != "rentals" {
		t.Errorf("summary = %+v", g)
	}
}

// Guards against memory that grows with the number of values.
func TestBound(t *testing.T) {
	s := New()
	for i := range 2 * maxHistograms {
		s.Observe(QueueTime, ByMember, fmt.Sprint(i), time.Millisecond)
	}
	other := s.histograms[histogramKey{QueueTime, ByMember, overflowValue}]
	if diff := cmp.Diff([]int64{maxHistograms + 1, maxHistograms}, []int64{int64(len(s.histograms)), other.TotalCount()}); diff != "" {
		t.Errorf("number of histograms, count of the shared one (-want +got):\n%s", diff)
	}
}
