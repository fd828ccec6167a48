package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that counts as over, and is started elsewhere, since the agent beside it has
// restarted: a heartbeat of an instance that has ended arrives late, and that another instance answers,
// or sends a heartbeat, is taken for its having begun just now.
func TestAgentThatRestartedWaitsForTheListsOfTheTrueInstance(t *testing.T) {
	heartbeat := func(instance string, generation int64) carobpulley.Heartbeat {
		return carobpulley.Heartbeat{Instance: instance, Generation: generation, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}}
	}
	for name, meet := range map[string]func(c *Controller, now time.Time){
		"another instance answers": func(c *Controller, now time.Time) {
			c.HandlePollError(now, c.BeginPoll(now), carobpulley.RefusalWrongInstance, nil)
		},
		"another instance sends a heartbeat": func(c *Controller, now time.Time) {
			c.HandleHeartbeat(now, heartbeat("j", 2))
			for range maxFailedPolls {
				c.HandlePollError(now, c.BeginPoll(now), "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
			}
		},
		"the instance has shut down": func(c *Controller, now time.Time) { c.HandleShutdown(now, "i") },
	} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			c := New(Config{Agent: "a", Incarnation: 2, Token: 100, MaxLease: time.Second, Shards: testShards}, now)
			c.HandleHeartbeat(now, heartbeat("i", 1))
			meet(c, now)
			if c.CanAttach(now) {
				t.Error("a coordinator may attach, to which all runs that aren't listed are over")
			}
			if now = now.Add(1100 * time.Millisecond); !c.CanAttach(now) {
				t.Error("no coordinator may attach although the leases of the earlier process have expired")
			}
		})
	}
}

// Guards against a run that counts as lost, and is started elsewhere, while it is at work: the agent beside
// it has restarted, and its endpoint leaves some polls unanswered before the lease that the earlier process
// gave has expired.
func TestRunOfAnEarlierProcessIsNotLostBeforeItsLeaseExpires(t *testing.T) {
	now := testStart
	c := New(Config{Agent: "a", Incarnation: 2, Token: 100, MaxLease: time.Second, Shards: testShards}, now)
	c.HandlePoll(now, c.BeginPoll(now), carobpulley.RunLists{Clock: 5000, Generation: 1, Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	for now = now.Add(50 * time.Millisecond); now.Sub(testStart) < time.Second; now = now.Add(50 * time.Millisecond) {
		c.HandlePollError(now, c.BeginPoll(now), "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
		c.Tick(now)
		if !c.HasRun(newRun(1)) {
			t.Fatalf("the run is lost %v after the start of the process", now.Sub(testStart))
		}
	}
	c.Tick(now.Add(100 * time.Millisecond))
	if c.HasRun(newRun(1)) {
		t.Error("the run is kept although its lease has expired")
	}
}

// Guards against the same where a heartbeat of an earlier instance arrives after the lists were read: that
// it is not that instance which answers tells nothing of the run.
func TestRunOfAnEarlierProcessOutlivesALateHeartbeat(t *testing.T) {
	now := testStart
	c := New(Config{Agent: "a", Incarnation: 2, Token: 100, MaxLease: time.Second, Shards: testShards}, now)
	c.HandlePoll(now, c.BeginPoll(now), carobpulley.RunLists{Clock: 5000, Generation: 2, Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	now = now.Add(time.Millisecond)
	c.HandleHeartbeat(now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 40, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
	now = now.Add(time.Millisecond)
	c.HandlePollError(now, c.BeginPoll(now), carobpulley.RefusalWrongInstance, nil)
	if !c.HasRun(newRun(1)) || c.CanAttach(now) {
		t.Errorf("the run is known: %v, a coordinator may attach: %v", c.HasRun(newRun(1)), c.CanAttach(now))
	}
}
