package logs

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/meter"
)

// Guards against an odd entry that is read many times a second and floods the log, and against one
// that nothing names.
func TestRejectsAreNamedOnceInAWhile(t *testing.T) {
	var out bytes.Buffer
	set := meter.New()
	r := NewRejects(zerolog.New(&out), set)
	now := time.Unix(100, 0)
	for _, after := range []time.Duration{0, 1, rejectLogInterval - 1, rejectLogInterval} {
		r.Add(now.Add(after), "runs", 2, "row 3", errors.New("no number"))
	}
	r.Add(now, "control", 1, "agent/a", errors.New("no port"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, want := range []string{`"entry":"row 3","entries":2`, `"entry":"row 3","entries":6`, `"entry":"agent/a","entries":1`} {
		if i >= len(lines) || !strings.Contains(lines[i], want) {
			t.Errorf("lines %q, want %s in line %d", lines, want, i)
		}
	}
	if got := string(set.Text()); len(lines) != 3 || !strings.Contains(got, "entries_rejected{runs} 8") {
		t.Errorf("%d lines, figures:\n%s", len(lines), got)
	}
	var none *Rejects
	none.Add(now, "runs", 1, "row", nil)
}
