package coord

import (
	"testing"
	"time"
)

// Guards against a submission that is refused and whose message arrives again: it would run although
// its caller was told that it never does.
func TestCopyOfASubmissionIsNotCarriedOut(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var h attempts
	first := attempt{"c", 1, 1}
	for _, tt := range []struct {
		a    attempt
		at   time.Duration
		want bool
	}{
		{first, 0, true},
		{first, 4 * time.Second, false},
		{attempt{"c", 1, 2}, 4 * time.Second, true},
		{attempt{"c", 2, 1}, 4 * time.Second, true},
		{attempt{"d", 1, 1}, 4 * time.Second, true},
		{first, attemptRetention, false},
		{first, attemptRetention + time.Second, true},
	} {
		if got := h.begin(now.Add(tt.at), tt.a); got != tt.want {
			t.Errorf("%+v after %s: carried out %v, want %v", tt.a, tt.at, got, tt.want)
		}
	}
	if got := len(h.handledAt); got != len(h.order) || got != 4 {
		t.Errorf("%d attempts remembered in %d places, want 4", got, len(h.order))
	}
}
