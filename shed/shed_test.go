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
		got := [3]int64{c.load.Room(urgent, 100), c.load.Room(normal, 100), c.load.Room(batch, 100)}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: room (-want +got):\n%s", c.name, diff)
		}
	}
}

// Guards against less urgent tasks as large as an endpoint that never start, since the reserve of a small fleet
// leaves too little for one of them.
func TestRoomForLargeTasks(t *testing.T) {
	batch := Class{2, 9}
	got := []int64{
		newLoad(1_000, 1_000, nil).Room(batch, 1_000), newLoad(2_000, 1_000, map[int]int64{9: 1_000}).Room(batch, 1_000),
		newLoad(100_000, 1_000, nil).Room(batch, 1_000),
	}
	if diff := cmp.Diff([]int64{1_000, 1_000, 4_000}, got); diff != "" {
		t.Errorf("room (-want +got):\n%s", diff)
	}
}

// Guards against an expected wait that ignores the free capacity or what less urgent work leaves free, and
// against a slack that is too short to wait at all.
func TestWait(t *testing.T) {
	full, half := newLoad(10_000, 0, map[int]int64{0: 10_000}), newLoad(10_000, 5_000, map[int]int64{0: 5_000})
	got := []time.Duration{
		full.Wait(Class{}, 100, 1_000, 200*time.Millisecond), half.Wait(Class{}, 100, 5_000, time.Second),
		half.Wait(Class{1, 1}, 100, 5_000, time.Second), Bearable(Class{}, 100*time.Millisecond), Bearable(Class{1, 1}, 100*time.Millisecond), Bearable(Class{}, time.Millisecond),
	}
	want := []time.Duration{20 * time.Millisecond, 0, 30 * time.Millisecond, 55 * time.Millisecond, 35 * time.Millisecond, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("waits (-want +got):\n%s", diff)
	}
}

// Guards against a turnover time that counts short and long runs alike whatever capacity they use.
func TestTurnover(t *testing.T) {
	var turnover Turnover
	if got := turnover.Time(time.Second); got != time.Second {
		t.Errorf("before the first end: %v, want the estimate", got)
	}
	for range 100 {
		turnover.Record(3_000, 100*time.Millisecond)
		turnover.Record(1_000, 300*time.Millisecond)
	}
	if got := turnover.Time(0).Round(time.Millisecond); got != 150*time.Millisecond {
		t.Errorf("turnover time %v, want 150 ms", got)
	}
}
