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
		got := table.Take(start.Add(step.at), "id", step.by, granted[step.replaced])
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
// ask at a time finds out whether it is back.
func TestHomesPassOverSilentMembers(t *testing.T) {
	members := []Member{{"a", 1}, {"b", 1}, {"c", 1}}
	h, now, calls, id := NewHomes(), start, 0, ""
	for n := 0; h.Of(now, id, members) != "a"; n++ {
		id = fmt.Sprint(n)
	}
	for ; now.Before(start.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if h.Ask(now, id, "c", members) != "a" {
			continue
		}
		calls++
		if next := h.Ask(now, id, "c", members); calls > 1 && next != "b" {
			t.Fatalf("%q is asked beside the ask that is to find out, want b", next)
		}
		h.Failed(now, "a")
	}
	if calls < 15 || calls > 30 {
		t.Errorf("%d calls in 10 min, want one in %s in the end", calls, maxDownTime)
	}
	h.Answered("a")
	if next := h.Ask(now, id, "c", members); next != "a" {
		t.Errorf("%q is asked after an answer, want a", next)
	}
}

// Guards against a coordinator that answers its own ask when the home does not answer it, while others ask
// the home.
func TestAskGoesToAnotherOne(t *testing.T) {
	members := []Member{{"a", 1}, {"b", 1}, {"c", 1}}
	for n := range 100 {
		id, h := fmt.Sprint(n), NewHomes()
		for _, self := range []string{"a", "b", "c"} {
			home := h.Of(start, id, members)
			if got := h.Ask(start, id, self, members); got != home {
				t.Errorf("%s asks %s, want its home %s", self, got, home)
			}
			if home == self {
				continue
			}
			h.Failed(start, home)
			if got := h.Ask(start, id, self, members); got == self || got == home || got == "" {
				t.Errorf("%s asks %q without the home %s", self, got, home)
			}
			h.Answered(home)
		}
	}
}

// Guards against a holder that counts as gone while it asks for other ids, and against a sign of life of
// another process of its host.
func TestHolderIsSeen(t *testing.T) {
	table := New()
	table.Take(start, "id", holder("a", 1), 0)
	table.Take(start.Add(time.Second), "other", holder("a", 1), 0)
	if got := table.Take(start.Add(2*time.Second), "id", holder("b", 1), 0).Seen; !got.Equal(start.Add(time.Second)) {
		t.Errorf("seen at %s, want 1s", got.Sub(start))
	}
	table.Take(start.Add(3*time.Second), "other", holder("a", 2), 0)
	table.Take(start.Add(4*time.Second), "other", holder("a", 1), 0)
	if got := table.Take(start.Add(5*time.Second), "id", holder("b", 1), 0).Seen; !got.Equal(start) {
		t.Errorf("seen at %s after a restart, want 0s", got.Sub(start))
	}
}

// Guards against a digest of the members that differs with their order, or that hides a difference.
func TestDigest(t *testing.T) {
	a, b := Member{"a", 1}, Member{"b", 0.5}
	if Digest([]Member{a, b}) != Digest([]Member{b, a}) {
		t.Error("the digest differs with the order of the members")
	}
	seen := make(map[uint64][]Member)
	for _, members := range [][]Member{nil, {a}, {b}, {a, b}, {a, {"b", 0.25}}} {
		if same, known := seen[Digest(members)]; known {
			t.Errorf("%v and %v have one digest", members, same)
		}
		seen[Digest(members)] = members
	}
}
