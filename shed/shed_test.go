package shed

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newLoad(capacity, free int64, used map[int]int64) *Load {
	l := &Load{Capacity: capacity, Free: free, Coordinators: 6}
	for priority, cpu := range used {
		l.Use(priority, cpu)
	}
	return l
}

// Guards against less urgent work that fills the endpoints before a burst of urgent jobs, and against urgent
// work that shuts out the less urgent.
func TestRoom(t *testing.T) {
	urgent, normal, batch := Class{0, 0}, Class{1, 5}, Class{2, 9}
	for _, c := range []struct {
		name string
		load *Load
		want [3]int64
	}{
		{"idle", newLoad(10_000, 10_000, nil), [3]int64{10_000, 9_700, 9_400}},
		{"nearly full", newLoad(10_000, 1_000, map[int]int64{0: 5_000, 9: 4_000}), [3]int64{1_000, 700, 400}},
		{"full of urgent work", newLoad(10_000, 0, map[int]int64{0: 10_000}), [3]int64{0, 400, 400}},
		{"full, batch beyond its floor", newLoad(10_000, 0, map[int]int64{0: 9_000, 9: 1_000}), [3]int64{0, 400, -600}},
	} {
		got := [3]int64{c.load.Room(urgent), c.load.Room(normal), c.load.Room(batch)}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: room (-want +got):\n%s", c.name, diff)
		}
	}
}

// Guards against an expected wait that ignores which part of the capacity becomes free for a class.
func TestWait(t *testing.T) {
	l := newLoad(10_000, 0, map[int]int64{0: 6_000, 1: 2_000, 2: 2_000})
	for _, c := range []struct {
		class Class
		want  time.Duration
	}{
		{Class{0, 0}, 20 * time.Millisecond},
		{Class{1, 1}, 1_000 * 200 * time.Millisecond / 3_700},
		{Class{2, 2}, 1_000 * 200 * time.Millisecond / 1_400},
	} {
		if got := l.Wait(c.class, 1_000, 200*time.Millisecond); !near(got, c.want) {
			t.Errorf("wait of %+v: %v, want %v", c.class, got, c.want)
		}
	}
	if got := newLoad(10_000, 5_000, nil).Wait(Class{}, 5_000, time.Second); got != 0 {
		t.Errorf("wait beside free capacity: %v", got)
	}
}

func near(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }

// Guards against urgent jobs that are refused for the long runs of others: the turnover time of a class covers
// its own and less urgent runs only.
func TestTurnover(t *testing.T) {
	var turnover Turnover
	if got := turnover.From(0, time.Second); got != time.Second {
		t.Errorf("before the first end: %v, want the estimate", got)
	}
	for range 100 {
		turnover.Record(0, 1_000, 100*time.Millisecond)
		turnover.Record(3, 1_000, 300*time.Millisecond)
	}
	got := []time.Duration{turnover.From(0, 0).Round(time.Millisecond), turnover.From(1, 0).Round(time.Millisecond), turnover.From(4, time.Minute)}
	if diff := cmp.Diff([]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, time.Minute}, got); diff != "" {
		t.Errorf("turnover (-want +got):\n%s", diff)
	}
}
