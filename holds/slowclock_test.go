package holds

import (
	"testing"
	"time"
)

// Guards against a home that keeps its grant from before a pause, although another coordinator has granted the id
// since: that one's clock is behind, and so are the numbers of its grants.
func TestNewerGrantOfAHomeWithASlowClockIsLearned(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first, second := Holder{Coordinator: "a", Incarnation: 1}, Holder{Coordinator: "b", Incarnation: 1}
	home := New()
	home.Take(now, "id", first, 0)
	woke := now.Add(2 * time.Second)
	const behind = 5 * time.Second
	granted := woke.Add(-100 * time.Millisecond)
	h := Hold{Holder: second, Number: uint64(granted.Add(-behind).UnixNano()), At: granted, Seen: granted}
	home.Learn(woke, woke, []Report{{"id", h, Granted}})
	if got := home.Take(woke, "id", first, 0); !got.Holder.Same(second) {
		t.Errorf("held by %+v, want the later grant's holder", got.Holder)
	}
}
