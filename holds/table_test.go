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
	}{
		{0, a, 0, a, 0},
		{time.Millisecond, b, 0, a, 0},
		{2 * time.Millisecond, a, 0, a, 2 * time.Millisecond},
		{3 * time.Millisecond, restarted, 0, a, 2 * time.Millisecond},
		{4 * time.Millisecond, b, 1, a, 2 * time.Millisecond}, // a has got it again since
		{5 * time.Millisecond, b, 3, b, 5 * time.Millisecond},
		{6 * time.Millisecond, c, 3, b, 5 * time.Millisecond},
		{retention, a, 0, b, 5 * time.Millisecond},
		{retention + 6*time.Millisecond, a, 0, a, retention + 6*time.Millisecond},
	} {
		got := table.Take(start.Add(step.at), "id", step.by, granted[step.replaced])
		granted = append(granted, got.Number)
		if diff := cmp.Diff(step.want, got.Holder, cmp.Comparer(Holder.Same)); diff != "" || !got.At.Equal(start.Add(step.since)) {
			t.Errorf("step %d: held since %s (-want +got):\n%s", n+1, got.At.Sub(start), diff)
		}
	}
}

// Guards against holds that are kept for good.
func TestHoldsExpire(t *testing.T) {
	table := New()
	for n := range 100_000 {
		table.Take(start.Add(time.Duration(n)*time.Millisecond), fmt.Sprint(n%50_000), holder("a", 1), 0)
	}
	if got, want := table.Len(), int(retention/time.Millisecond)+1; got != want {
		t.Errorf("%d ids are held, want %d", got, want)
	}
}

// Guards against homes that differ with the order of the members, that don't follow the members' weights,
// and against ids whose home moves although it stays.
func TestHomes(t *testing.T) {
	const ids = 20_000
	members := []Member{{"a", 0.1}, {"b", 0.2}, {"c", 0.7}}
	h := NewHomes()
	count := make(map[string]int)
	for n := range ids {
		id := fmt.Sprintf("%016x", n)
		home := h.Of(start, id, members)
		count[home]++
		if other := h.Of(start, id, []Member{members[2], members[0], members[1]}); other != home {
			t.Fatalf("%s: home %s or %s", id, home, other)
		}
		if other := h.Of(start, id, members[:2]); home != "c" && other != home {
			t.Fatalf("%s: home %s, %s without c", id, home, other)
		}
	}
	for _, m := range members {
		if got := float64(count[m.Name]) / ids; got < m.Weight-0.02 || got > m.Weight+0.02 {
			t.Errorf("%s is the home of %.3f of the ids, want %.3f", m.Name, got, m.Weight)
		}
	}
	if got := h.Of(start, "x", nil); got != "" {
		t.Errorf("home %q without members", got)
	}
}

// Answers the pattern of a host that is gone for good, whose record stays: calls to it get rarer, and one
// failure counts once however many calls were under way.
func TestHomesPassOverSilentMembers(t *testing.T) {
	members := []Member{{"a", 1}, {"b", 1}}
	h, now, calls := NewHomes(), start, 0
	for ; now.Before(start.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if h.Of(now, "7", members) == "a" || h.Of(now, "8", members) == "a" {
			calls++
			h.Failed(now, "a")
			h.Failed(now.Add(time.Millisecond), "a")
		}
	}
	if calls < 15 || calls > 30 {
		t.Errorf("%d calls in 10 min, want one in %s in the end", calls, maxDownTime)
	}
	h.Answered("a")
	if h.Down(now, "a") {
		t.Error("passed over after an answer")
	}
}
