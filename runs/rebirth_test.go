package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/work"
)

// Guards against ends that are dropped unread, so that their tasks run again, because the endpoint began
// another generation between a restarted agent's first poll and its first heartbeat: ends are numbered from 1
// again, and its clock starts anew.
func TestEndpointRebornBeforeTheFirstHeartbeat(t *testing.T) {
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 2, Token: 200, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandlePoll(f.now, f.controller.BeginPoll(f.now), carobpulley.RunLists{
		Clock: 90_000, Generation: 1, Finished: []work.End{{Sequence: 5, Run: newRun(9), Outcome: work.OutcomeStopped}},
	})
	f.advance(2 * time.Second)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 2, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	})
	poll := func(lists carobpulley.RunLists) Poll {
		sent := f.controller.BeginPoll(f.now)
		f.advance(time.Millisecond)
		lists.Generation = 2
		lists.Clock = 1000 + f.now.Sub(testStart).Milliseconds()
		f.controller.HandlePoll(f.now, sent, lists)
		return sent
	}
	if diff := cmp.Diff(Poll{SentAt: f.now, Lease: carobpulley.Lease{Instance: "i", Token: f.controller.Token()}}, poll(carobpulley.RunLists{}), cmpopts.IgnoreUnexported(Poll{})); diff != "" {
		t.Errorf("first poll of the new generation (-want +got):\n%s", diff)
	}
	f.attach("c", 1, nil)
	f.dispatch("c", newStart(1, 100))
	if got := f.confirmStarts(); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	f.advance(10 * time.Millisecond)
	poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone}}})
	want := []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone, ElapsedMS: 11}}
	if diff := cmp.Diff(want, f.report("c", nil)); diff != "" {
		t.Errorf("reported ends (-want +got):\n%s", diff)
	}
}
