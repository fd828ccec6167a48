package holds

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func holder(name string, incarnation uint64) Holder {
	return Holder{Coordinator: name, Incarnation: incarnation}
}

// Guards against two processes that hold one id, a holder that loses its id to one that asks later, and
// an id that stays with a holder that is known not to have the job.
func TestTake(t *testing.T) {
	a, b, c, restarted := holder("a", 1), holder("b", 1), holder("c", 1), holder("a", 2)
	table := New()
	granted := make([]uint64, 1, 10)
	for n, step := range []struct {
		at time.Duration
		by Holder
		// replaced is the number of the step whose grant is replaced; 0 if there is none.
		replaced int
		want     Holder
		since    time.Duration
		// seen is the time of the holder's latest ask.
		seen time.Duration
	}{
		{0, a, 0, a, 0, 0},
		{time.Millisecond, b, 0, a, 0, 0},
		{2 * time.Millisecond, a, 0, a, 2 * time.Millisecond, 2 * time.Millisecond},
		{3 * time.Millisecond, restarted, 0, a, 2 * time.Millisecond, 2 * time.Millisecond},
		{4 * time.Millisecond, b, 1, a, 2 * time.Millisecond, 2 * time.Millisecond}, // a has got it again since
		{5 * time.Millisecond, b, 3, b, 5 * time.Millisecond, 5 * time.Millisecond},
		{6 * time.Millisecond, c, 3, b, 5 * time.Millisecond, 5 * time.Millisecond},
		{retention, a, 0, b, 5 * time.Millisecond, 5 * time.Millisecond},
		{retention + 6*time.Millisecond, a, 0, a, retention + 6*time.Millisecond, retention + 6*time.Millisecond},
	} {
		got := table.Take(start.Add(step.at), "id", step.by, uint64(n+1), granted[step.replaced])
		granted = append(granted, got.Number)
		if diff := cmp.Diff(step.want, got.Holder, cmp.Comparer(Holder.Same)); diff != "" || !got.At.Equal(start.Add(step.since)) || !got.Seen.Equal(start.Add(step.seen)) {
			t.Errorf("step %d: held since %s, seen at %s (-want +got):\n%s", n+1, got.At.Sub(start), got.Seen.Sub(start), diff)
		}
	}
}

// Guards against holds that are kept for good.
func TestHoldsExpire(t *testing.T) {
	table := New()
	for n := range 100_000 {
		table.Take(start.Add(time.Duration(n)*time.Millisecond), fmt.Sprint(n%50_000), holder("a", 1), uint64(n+1), 0)
	}
	if got, want := table.Len(), int(retention/time.Millisecond)+1; got != want {
		t.Errorf("%d ids are held, want %d", got, want)
	}
}

// Guards against a holder that counts as gone while it asks for other ids, and against a sign of life of
// another process of its host.
func TestHolderIsSeen(t *testing.T) {
	table := New()
	table.Take(start, "id", holder("a", 1), 1, 0)
	table.Take(start.Add(time.Second), "other", holder("a", 1), 1, 0)
	if got := table.Take(start.Add(2*time.Second), "id", holder("b", 1), 1, 0).Seen; !got.Equal(start.Add(time.Second)) {
		t.Errorf("seen at %s, want 1s", got.Sub(start))
	}
	table.Take(start.Add(3*time.Second), "other", holder("a", 2), 1, 0)
	table.Take(start.Add(4*time.Second), "other", holder("a", 1), 1, 0)
	if got := table.Take(start.Add(5*time.Second), "id", holder("b", 1), 1, 0).Seen; !got.Equal(start) {
		t.Errorf("seen at %s after a restart, want 0s", got.Sub(start))
	}
}
