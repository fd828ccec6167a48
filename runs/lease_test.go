package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that counts as lost while a lease of the agent's earlier process keeps it at
// work, so that its task starts elsewhere.
func TestInheritedRunIsKeptUntilItsLeaseHasExpired(t *testing.T) {
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 2, Token: 200, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 9, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	for range maxFailedPolls {
		sent := f.controller.BeginPoll(f.now)
		f.advance(20 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
	}
	for f.now.Before(testStart.Add(time.Second)) {
		f.controller.Tick(f.now)
		if !f.controller.HasRun(newRun(1)) || f.controller.CanAttach(f.now) {
			t.Fatalf("%s after the agent's start: run known %v, attachments answered %v", f.now.Sub(testStart), f.controller.HasRun(newRun(1)), f.controller.CanAttach(f.now))
		}
		f.advance(40 * time.Millisecond)
	}
}

// slowClock returns the reading of an endpoint's clock that is ClockSlack slow.
func slowClock(now time.Time) int64 {
	return 5000 + int64(float64(now.Sub(testStart).Milliseconds())*(1-ClockSlack))
}

// Guards against a lease that outlives its proof because it was computed from an old reading of a slow
// clock, as when the endpoint's answers are lost.
func TestLeaseFromAnOldReadingOfASlowClock(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second, 60 * time.Second} {
		f := newFixture(t)
		f.poll(carobpulley.RunLists{Clock: slowClock(f.now)})
		f.dispatch("c", newStart(1, 100))
		f.confirmStarts()
		until := f.now.Add(age)
		for f.now.Before(until) {
			f.advance(100 * time.Millisecond)
			f.report("c", nil)
		}
		lease := f.controller.Lease(f.now)
		lasts := time.Duration(float64(lease.DeadlineMS-slowClock(f.now))/(1-ClockSlack)) * time.Millisecond
		bound := min(f.controller.cfg.MaxLease, ProofTTL)
		bound += time.Duration(float64(bound)*ClockSlack) + 2*time.Millisecond
		if lasts > bound || f.now.Add(lasts).After(f.controller.leaseExpiresAt) {
			t.Errorf("reading %s old: the lease lasts %s, %s expected, bound %s", age, lasts, f.controller.leaseExpiresAt.Sub(f.now), bound)
		}
	}
}
