package meter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against metrics that are missing from the text or in the wrong order.
func TestText(t *testing.T) {
	s := New()
	s.Add("answers{ok}", 2)
	s.Set("plan_version", 7)
	s.Observe("wait{q}", 3*time.Millisecond)
	s.Observe("wait{q}", 10*time.Second)
	var got []string
	for line := range strings.Lines(string(s.Text())) {
		if !strings.Contains(line, "_le_") || strings.Contains(line, "00002") || strings.Contains(line, "00005") || strings.Contains(line, "inf") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	want := []string{
		"answers{ok} 2", "plan_version 7", "wait{q}_count 2",
		"wait{q}_ms_le_00002 0", "wait{q}_ms_le_00005 1", "wait{q}_ms_le_inf 2", "wait{q}_sum_ms 10003",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
}

// Guards against an unbounded number of metric names, which callers could cause.
func TestNamesAreBounded(t *testing.T) {
	s := New()
	for n := range 3 * maxNames {
		s.Add(fmt.Sprint("c", n), 1)
		s.Observe(fmt.Sprint("t", n), time.Millisecond)
	}
	if len(s.values) > maxNames+1 || len(s.histograms) > maxNames+1 {
		t.Errorf("%d counters and %d histograms", len(s.values), len(s.histograms))
	}
	if got := s.values[overflowName]; got != 2*maxNames {
		t.Errorf("%d events counted under the overflow name, want %d", got, 2*maxNames)
	}
}
