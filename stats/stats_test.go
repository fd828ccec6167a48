package stats

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/go-cmp/cmp"
)

// Guards against times that are recorded under another name or in another unit.
func TestSummary(t *testing.T) {
	s := New()
	for range 99 {
		s.Observe(Run, ByMember, "rentals", 20*time.Millisecond)
	}
	s.Observe(Run, ByMember, "rentals", time.Hour)
	s.Observe(Run, ByMember, "", time.Second)
	var got []summary
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 {
		t.Fatalf("%d histograms", len(got))
	}
	// The resolution is two digits; values beyond ten minutes count as that.
	near := func(a, b float64) bool { return a > b*0.98 && a < b*1.02 }
	if g := got[0]; g.Count != 100 || !near(g.P50MS, 20) || !near(g.MaxMS, 600_000) || g.Value != "rentals" {
		t.Errorf("%+v", g)
	}
}

// Guards against memory that grows with the number of names.
func TestBound(t *testing.T) {
	s := New()
	for i := range 2 * maxHistograms {
		s.Observe(Queue, ByMember, fmt.Sprint(i), time.Millisecond)
	}
	other := s.hists[series{Queue, ByMember, otherValue}]
	if diff := cmp.Diff([]int64{maxHistograms + 1, maxHistograms}, []int64{int64(len(s.hists)), other.TotalCount()}); diff != "" {
		t.Error(diff)
	}
}
