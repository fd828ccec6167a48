package holds

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const (
	horizon = 1800 * time.Millisecond
	runsEnd = 1300 * time.Millisecond
)

var threeMembers = []Member{{"a", 1}, {"b", 1}, {"c", 1}}

// idWithOrder returns an id whose homes are three members in an order.
func idWithOrder(first, second string) string {
	h := NewHomes()
	for n := 0; ; n++ {
		id := fmt.Sprint(n)
		if First(id, threeMembers) == first && h.Next(start, id, first, threeMembers) == second {
			return id
		}
	}
}

// Guards against a home that grants an id although it may not know who holds it: after its start, a pause, and
// the time in which another one has stood in for it, and as it begins to stand in for others; and against
// recalls that go on for good.
func TestMemoryGap(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	own, next, last := idWithOrder("a", "b"), idWithOrder("b", "a"), idWithOrder("b", "c")
	type step struct {
		at   int
		do   func(now time.Time, m *Memory, h *Homes)
		id   string
		want bool
	}
	none := func(time.Time, *Memory, *Homes) {}
	recall := func(home string) func(time.Time, *Memory, *Homes) {
		return func(now time.Time, m *Memory, _ *Homes) { m.Recalled(now, home) }
	}
	fail := func(name string) func(time.Time, *Memory, *Homes) {
		return func(now time.Time, _ *Memory, h *Homes) { h.Failed(now, name) }
	}
	for name, steps := range map[string][]step{
		"start":                {{0, none, own, true}, {1700, none, own, true}, {1800, none, own, false}},
		"recalled":             {{10, recall("a"), own, false}, {20, none, own, false}},
		"recalled another one": {{10, recall("b"), own, true}},
		"pause": {
			{5000, none, own, false},
			{6000, func(now time.Time, m *Memory, _ *Homes) { m.Lost(now) }, own, true},
			{6010, recall("a"), own, false},
		},
		"passed over": {
			{5000, func(now time.Time, m *Memory, _ *Homes) { m.PassedOver(now, now.Add(-10*time.Second)) }, own, true},
			{5010, recall("a"), own, false},
			{5020, func(now time.Time, m *Memory, _ *Homes) { m.PassedOver(now, at(5000)) }, own, false},
			{5030, func(now time.Time, m *Memory, _ *Homes) { m.PassedOver(now, at(5020)) }, own, true},
		},
		"stands in": {
			{5000, none, next, true}, // the home may be reached
			{5010, fail("b"), next, true},
			{5020, recall("b"), next, false},
			{5030, none, last, true},
			{5040, fail("c"), last, true},
			{5050, recall("b"), last, false},
			{6900, fail("b"), last, false},
		},
		"stands in for one after another": {
			{5000, fail("b"), last, true},
			{9000, fail("c"), last, true}, // it may have granted ids in place of the first one
			{10_800, none, last, false},
		},
		"stands in again": {
			{5000, fail("b"), next, true},
			{6800, none, next, false},
			{7000, func(_ time.Time, _ *Memory, h *Homes) { h.Answered("b") }, next, true},
			{7010, fail("b"), next, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, h := NewMemory(start, "a", horizon), NewHomes()
			for n, s := range steps {
				now := at(s.at)
				s.do(now, m, h)
				since := m.Since(now, s.id, threeMembers, h)
				if got := m.Gap(now, since, First(s.id, threeMembers)); got != s.want {
					t.Errorf("step %d: gap %t, want %t", n+1, got, s.want)
				}
			}
		})
	}
}

// Guards against a holder that has the job, or a newer grant, and is taken for replaced by what peers remember,
// and against a grant made here that a late answer replaces.
func TestLearn(t *testing.T) {
	const id = "id"
	a, b := holder("a", 1), holder("b", 1)
	now := start.Add(time.Minute)
	since := now.Add(-100 * time.Millisecond)
	report := func(by Holder, e Evidence, age time.Duration) Report {
		r := Report{id, Hold{Holder: by, At: now.Add(-age), Seen: now.Add(-age)}, e}
		if e == Granted {
			r.Hold.Number = uint64(r.Hold.At.UnixNano())
		}
		return r
	}
	for name, c := range map[string]struct {
		// granted is the age of an own grant to a; negative if there is none.
		granted  time.Duration
		reports  []Report
		want     Holder
		contrary int
	}{
		"nothing known":           {-1, nil, Holder{}, 0},
		"granted":                 {-1, []Report{report(b, Granted, time.Second)}, b, 0},
		"newer grant":             {-1, []Report{report(a, Granted, time.Second), report(b, Granted, time.Millisecond)}, b, 0},
		"newer grant first":       {-1, []Report{report(b, Granted, time.Millisecond), report(a, Granted, time.Second)}, b, 0},
		"present beside grant":    {-1, []Report{report(a, Granted, time.Second), report(b, Present, 0)}, b, 0},
		"pending beside grant":    {-1, []Report{report(b, Pending, 0), report(a, Granted, time.Second)}, a, 0},
		"pending beside present":  {-1, []Report{report(b, Pending, 0), report(a, Present, 0)}, a, 0},
		"pending":                 {-1, []Report{report(b, Pending, 0)}, b, 0},
		"outdated grant":          {time.Second, []Report{report(b, Granted, 500*time.Millisecond)}, b, 0},
		"outdated, not so old":    {time.Second, []Report{report(b, Granted, 2*time.Second)}, a, 0},
		"outdated beside present": {time.Second, []Report{report(b, Present, 0)}, b, 0},
		"own grant":               {time.Millisecond, []Report{report(b, Present, 0)}, a, 1},
		"own grant and pending":   {time.Second, []Report{report(b, Pending, 0)}, a, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			if c.granted >= 0 {
				table.Take(now.Add(-c.granted), id, a, 0)
			}
			_, contrary := table.Learn(now, since, c.reports)
			if diff := cmp.Diff(c.want, table.holds[id].Holder, cmp.Comparer(Holder.Same)); diff != "" || contrary != c.contrary {
				t.Errorf("%d contrary, want %d; holder (-want +got):\n%s", contrary, c.contrary, diff)
			}
			if c.want.Coordinator == "" {
				return
			}
			h := table.holds[id]
			other := holder("other", 1)
			if got := table.Take(now, id, other, 0); !got.Holder.Same(c.want) {
				t.Errorf("given to %+v beside %+v", got.Holder, c.want)
			}
			if got := table.Take(now, id, other, h.Number); !got.Holder.Same(other) || got.Number <= h.Number {
				t.Errorf("replaced by %+v, want a newer hold of %+v", got, other)
			}
		})
	}
}

// Guards against grants that a home tells though nobody has got them, or their holders have been silent for long.
func TestGrants(t *testing.T) {
	table := New()
	table.Take(start, "old", holder("a", 1), 0)
	table.Take(start, "renewed", holder("b", 1), 0)
	table.Take(start.Add(2*time.Second), "other", holder("b", 1), 0)
	table.Learn(start.Add(2*time.Second), start, []Report{{"pending", Hold{Holder: holder("c", 1), Seen: start.Add(3 * time.Second)}, Pending}})
	got := table.Grants(start.Add(time.Second), func(id string) bool { return id != "other" })
	want := []Report{{"renewed", Hold{Holder: holder("b", 1), Number: uint64(start.UnixNano()) + 1, At: start, Seen: start.Add(2 * time.Second)}, Granted}}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Hold{}), cmpopts.EquateComparable(Holder{})); diff != "" {
		t.Errorf("grants (-want +got):\n%s", diff)
	}
}

// Guards against a start while runs of an ended holder may be on that its home, which has ended too, knew of,
// and against ids that wait for it later, or although their holder is known.
func TestDoubt(t *testing.T) {
	m, table, ended := NewMemory(start, "a", horizon), New(), holder("b", 1)
	m.Ended("a", ended, start)
	m.Ended("a", holder("c", 1), start.Add(-time.Second))
	if _, is := m.Doubt(start, "b", runsEnd); is {
		t.Error("doubt about the ids of another home")
	}
	if _, is := m.Doubt(start.Add(runsEnd), "a", runsEnd); is {
		t.Error("doubt after the end of all runs")
	}
	h, is := m.Doubt(start.Add(time.Millisecond), "a", runsEnd)
	if gone := h.Seen.Add(horizon); !is || !h.Holder.Same(ended) || !gone.Equal(start.Add(runsEnd)) {
		t.Errorf("doubt %t with %+v, gone at %s", is, h, gone.Sub(start))
	}
	now := start.Add(time.Millisecond)
	table.Take(now, "held", holder("d", 1), 0)
	table.Learn(now, now, []Report{{"pending", Hold{Holder: holder("e", 1)}, Pending}})
	if table.Assume(now, "held", h) || !table.Assume(now, "pending", h) || !table.Assume(now, "new", h) || table.Assume(now, "new", h) {
		t.Error("assumed beside a grant, or not beside none")
	}
	waits := table.Take(now, "new", holder("e", 1), 0)
	if got := table.Take(now, "new", holder("e", 1), waits.Number); !waits.Holder.Same(ended) || got.Holder.Same(ended) {
		t.Errorf("held by %+v, then by %+v", waits.Holder, got.Holder)
	}
}

// Guards against a hold that is forgotten by the process which has passed the ask on, and against a newer one
// that it replaces.
func TestNote(t *testing.T) {
	table, a, b := New(), holder("a", 1), holder("b", 1)
	table.Note(start, "id", Hold{Holder: a, Number: 5})
	table.Note(start, "id", Hold{Holder: b, Number: 4})
	if got := table.Take(start, "id", b, 0); !got.Holder.Same(a) {
		t.Errorf("held by %+v, want the newer hold", got.Holder)
	}
}

// Guards against coordinators that ask different processes while one stands in for a home, and against a home
// that is not told of it.
func TestStoodIn(t *testing.T) {
	h, id := NewHomes(), idWithOrder("a", "b")
	h.StoodIn(start, "a")
	if got := h.Ask(start, id, "c", threeMembers); got != "b" {
		t.Errorf("%s is asked, want the next home", got)
	}
	if at, is := h.Replaced("a"); !is || !at.Equal(start) {
		t.Error("not known as replaced")
	}
	later := start.Add(downTime)
	if got := h.Ask(later, id, "c", threeMembers); got != "a" {
		t.Errorf("%s is asked later, want the home", got)
	}
	h.Answered("a")
	if _, is := h.Replaced("a"); is {
		t.Error("still known as replaced after an answer")
	}
}

// Guards against a coordinator that is passed over for a call which it did not answer, though it has called since.
func TestHeardSince(t *testing.T) {
	h := NewHomes()
	h.Failed(start, "a")
	h.Heard(start.Add(time.Second), "a")
	if _, out := h.Out("a"); out || !h.HeardSince("a", start) || h.HeardSince("a", start.Add(time.Second)) || h.HeardSince("b", start) {
		t.Error("not known as heard after the first call and before the second one")
	}
}
