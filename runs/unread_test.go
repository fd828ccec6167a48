package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/work"
)

// shown is what an endpoint lists of a run.
var shown = carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}}

// Guards against a run that counts as lost, and runs twice, since its row in the endpoint's list can't
// be read.
func TestUnreadRowIsNoLostRun(t *testing.T) {
	odd := carobpulley.RunLists{UnreadRunning: []string{"row"}}
	both := carobpulley.RunLists{Running: shown.Running, UnreadRunning: []string{"row"}}
	for name, tt := range map[string]struct {
		before carobpulley.RunLists
		lists  []carobpulley.RunLists
		lost   bool
	}{
		"its row can't be read":                {carobpulley.RunLists{}, []carobpulley.RunLists{shown, odd, odd}, false},
		"and can again":                        {carobpulley.RunLists{}, []carobpulley.RunLists{shown, odd, shown}, false},
		"and is gone then":                     {carobpulley.RunLists{}, []carobpulley.RunLists{shown, odd, {}}, true},
		"the row was there before its start":   {odd, []carobpulley.RunLists{odd}, true},
		"the row was there beside it":          {carobpulley.RunLists{}, []carobpulley.RunLists{both, odd}, true},
		"another row came when it was missing": {odd, []carobpulley.RunLists{{UnreadRunning: []string{"row", "other"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.poll(tt.before)
			f.dispatch("c", newStart(1, 100))
			f.confirmStarts()
			for _, lists := range tt.lists {
				f.advance(10 * time.Millisecond)
				f.poll(lists)
			}
			if got := !f.controller.HasRun(newRun(1)); got != tt.lost {
				t.Errorf("lost: %v, want %v", got, tt.lost)
			}
		})
	}
}

// Guards against an end that can't be read and is dropped by the endpoint before it is corrected, or
// that keeps its run for good.
func TestUnreadEndIsTakenUpOnceCorrected(t *testing.T) {
	later := work.End{Sequence: 2, Run: newRun(2), Outcome: work.OutcomeDone}
	unread := carobpulley.RunLists{Finished: []work.End{later}, UnreadEnds: []int64{0}}
	corrected := carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone}, later}}
	for name, tt := range map[string]struct {
		after time.Duration
		lists carobpulley.RunLists
		want  work.Outcome
		acked int64
	}{
		"corrected":       {unreadEndHold / 2, corrected, work.OutcomeDone, 2},
		"never corrected": {unreadEndHold, unread, work.OutcomeLost, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", newStart(1, 100), newStart(2, 100))
			f.confirmStarts()
			f.advance(10 * time.Millisecond)
			f.poll(unread)
			if got := f.controller.BeginPoll(f.now).AckedUpTo; got != 0 {
				t.Errorf("ends up to %d dropped, with one that can't be read", got)
			}
			want := []work.End{later}
			if diff := cmp.Diff(want, f.report("c", nil), cmpopts.IgnoreFields(work.End{}, "ElapsedMS")); diff != "" {
				t.Errorf("ends at first (-want +got):\n%s", diff)
			}
			f.advance(tt.after)
			f.poll(tt.lists)
			ends := f.report("c", nil)
			if len(ends) != 1 || ends[0].Run != newRun(1) || ends[0].Outcome != tt.want {
				t.Errorf("ends %v, want one %s", ends, tt.want)
			}
			if got := f.controller.BeginPoll(f.now).AckedUpTo; got != tt.acked {
				t.Errorf("ends up to %d dropped, want %d", got, tt.acked)
			}
		})
	}
}

// Guards against an agent that starts beside a run of an earlier process whose row can't be read: its
// task would run twice.
func TestUnreadRowOfAnEarlierProcess(t *testing.T) {
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 1, Token: 100, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandleHeartbeat(f.now, f.heartbeat(1))
	for range 3 {
		f.poll(carobpulley.RunLists{UnreadRunning: []string{"row"}})
		if f.controller.CanAttach(f.now) {
			t.Error("coordinators can attach while a run may be unknown")
		}
		if got := f.controller.BeginPoll(f.now).Lease.DeadlineMS; got != 0 {
			t.Error("the lease of the unknown run is renewed")
		}
	}
	f.advance(2 * time.Second)
	f.poll(carobpulley.RunLists{UnreadRunning: []string{"row"}})
	if !f.controller.CanAttach(f.now) || !f.controller.Usable() {
		t.Fatal("the endpoint is not in use after the lease has expired")
	}
	f.attach("c", 1, nil)
	f.dispatch("c", newStart(1, 100))
	if lease, refusal := f.controller.StartLease(f.now, newRun(1)); refusal != "" || lease.DeadlineMS == 0 {
		t.Errorf("a start is refused (%q) or has no lease after the earlier one has expired", refusal)
	}
}
