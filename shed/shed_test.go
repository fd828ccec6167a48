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

// Guards against an expected wait that ignores the free capacity, the reserve, or, where six coordinators share
// the endpoints, that more urgent jobs go on to come.
func TestWait(t *testing.T) {
	var turnover Turnover
	for range 100 {
		turnover.Record(0, 1_000, 100*time.Millisecond)
		turnover.Record(1, 1_000, 300*time.Millisecond)
	}
	full := newLoad(10_000, 0, map[int]int64{0: 7_700, 1: 2_300})
	few := &Load{Capacity: 10_000, Coordinators: 3}
	few.Use(0, 10_000)
	half := newLoad(10_000, 5_000, map[int]int64{0: 5_000})
	wait := func(l *Load, c Class, cpu int64) time.Duration {
		return l.Wait(c, 100, cpu, &turnover, time.Second).Round(time.Millisecond)
	}
	got := []time.Duration{
		wait(full, Class{}, 1_000), wait(full, Class{1, 1}, 1_000), wait(few, Class{1, 1}, 1_000), wait(half, Class{}, 5_000),
		full.Bearable(Class{}, 100*time.Millisecond), full.Bearable(Class{1, 1}, 100*time.Millisecond),
		few.Bearable(Class{1, 1}, 100*time.Millisecond), full.Bearable(Class{}, time.Millisecond),
	}
	// The floor, 400, is not free, so all of 1,000 is missing. 2,000 are open to the class.
	want := []time.Duration{20, 150, 20, 0, 55, 25, 55, 0}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("waits (-want +got):\n%s", diff)
	}
}

// Guards against a wait of hours for an overflow, and against no wait at all for it.
func TestWaitIsBounded(t *testing.T) {
	l := &Load{}
	if got := l.Wait(Class{}, 1_000, 700_000_000, &Turnover{}, 30*time.Second); got != time.Hour {
		t.Errorf("wait without capacity: %v, want an hour", got)
	}
}

// Guards against urgent jobs that are refused for the long runs of others: the turnover time of a class covers
// its own and less urgent runs only, and the estimate once these are long ago.
func TestTurnover(t *testing.T) {
	var turnover Turnover
	before := turnover.From(0, time.Second)
	for range 100 {
		turnover.Record(0, 1_000, 100*time.Millisecond)
		turnover.Record(3, 1_000, 300*time.Millisecond)
	}
	got := make([]time.Duration, 0, 5)
	got = append(got, before, turnover.From(0, 0).Round(time.Millisecond), turnover.From(1, 0).Round(time.Millisecond), turnover.From(4, time.Minute))
	for range 20_000 {
		turnover.Record(0, 1_000, 100*time.Millisecond)
	}
	got = append(got, turnover.From(3, time.Minute))
	want := []time.Duration{time.Second, 200 * time.Millisecond, 300 * time.Millisecond, time.Minute, time.Minute}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("turnover (-want +got):\n%s", diff)
	}
}
