package memlog_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/memlog"
)

func offsets(p carobpulley.Page) []uint64 {
	out := make([]uint64, 0, len(p.Records))
	for _, r := range p.Records {
		out = append(out, r.Offset)
	}
	return out
}

func kind(err error) carobpulley.Kind {
	var e *carobpulley.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func mustRead(t *testing.T, l *memlog.Log, from uint64, limit int, wait time.Duration) carobpulley.Page {
	t.Helper()
	p, err := l.Read(t.Context(), "s", from, limit, time.Now().Add(wait))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against pages that skip, repeat or keep records beyond retention.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := memlog.New(memlog.Retention{Age: time.Minute, Count: 3}, time.Now)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			if _, err := l.Append(t.Context(), "s", id, []byte(id)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(15 * time.Second)
		}
		p := mustRead(t, l, 1, 2, 0)
		if diff := cmp.Diff([]uint64{3, 4}, offsets(p)); diff != "" || p.Oldest != 3 || p.Next != 6 {
			t.Fatalf("by count: oldest %d next %d %s", p.Oldest, p.Next, diff)
		}
		time.Sleep(31 * time.Second)
		p = mustRead(t, l, 0, 9, 0)
		if diff := cmp.Diff([]uint64{5}, offsets(p)); diff != "" || p.Oldest != 5 {
			t.Fatalf("by age: oldest %d %s", p.Oldest, diff)
		}
		time.Sleep(time.Minute)
		if p = mustRead(t, l, 0, 9, 0); len(p.Records) != 0 || p.Oldest != 6 || p.Next != 6 {
			t.Fatalf("emptied stream: %+v", p)
		}
	})
}

// Guards against a waiting read that misses an append, an outage, its end or
// its context.
func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := memlog.New(memlog.Retention{}, time.Now)
		start := time.Now()
		time.AfterFunc(time.Second, func() { _, _ = l.Append(context.Background(), "s", "a", nil) })
		if p := mustRead(t, l, 1, 9, time.Hour); len(p.Records) != 1 || time.Since(start) != time.Second {
			t.Errorf("woken by append: %+v after %v", p, time.Since(start))
		}
		if p := mustRead(t, l, 2, 9, time.Second); len(p.Records) != 0 || time.Since(start) != 2*time.Second {
			t.Errorf("ended by its own time: %+v after %v", p, time.Since(start))
		}
		time.AfterFunc(time.Second, func() { l.SetFaults(memlog.Faults{Outage: true}) })
		_, err := l.Read(t.Context(), "s", 2, 9, time.Now().Add(time.Hour))
		if kind(err) != carobpulley.KindUnavailable || time.Since(start) != 3*time.Second {
			t.Errorf("ended by outage: %v after %v", err, time.Since(start))
		}
		l.SetFaults(memlog.Faults{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Read(ctx, "s", 2, 9, time.Now().Add(time.Hour))
		if kind(err) != carobpulley.KindUnavailable || time.Since(start) != 4*time.Second {
			t.Errorf("ended by context: %v after %v", err, time.Since(start))
		}
	})
}

// Guards against faults that change the log in another way than they say.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := memlog.New(memlog.Retention{}, time.Now)
		step := func(id string, f memlog.Faults, timeout time.Duration, want carobpulley.Kind, next uint64) {
			t.Helper()
			l.SetFaults(f)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := l.Append(ctx, "s", id, nil)
			if kind(err) != want {
				t.Errorf("%s: got %v, want kind %q", id, err, want)
			}
			l.SetFaults(memlog.Faults{})
			if p := mustRead(t, l, 1, 9, 0); p.Next != next {
				t.Errorf("%s: next offset %d, want %d", id, p.Next, next)
			}
		}
		step("outage", memlog.Faults{Outage: true}, time.Second, carobpulley.KindUnavailable, 1)
		step("lost append", memlog.Faults{LostAppends: 1}, time.Second, carobpulley.KindUnknown, 1)
		step("lost answer", memlog.Faults{LostAnswers: 1}, time.Second, carobpulley.KindUnknown, 2)
		step("delay", memlog.Faults{Delay: time.Second}, 2*time.Second, "", 3)
		step("left early", memlog.Faults{Delay: 2 * time.Second}, time.Second, carobpulley.KindUnknown, 3)
		time.Sleep(time.Second)
		synctest.Wait()
		if p := mustRead(t, l, 1, 9, 0); p.Next != 4 {
			t.Errorf("late append: next offset %d, want 4", p.Next)
		}
	})
}
