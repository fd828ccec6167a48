package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run of a best-effort job that is ended, or kept from starting, by the stop of another
// coordinator's run with the same name and number: a job that its caller submits again elsewhere.
func TestStopOfAnotherCoordinatorsRunIsNotTaken(t *testing.T) {
	key := newRun(1)
	for name, early := range map[string]bool{"the run is on": false, "the run comes later": true} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			c := New(Config{Agent: "a", Incarnation: 2, Token: 100, MaxLease: time.Second, Shards: testShards}, now)
			c.HandleHeartbeat(now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
			c.HandlePoll(now, c.BeginPoll(now), carobpulley.RunLists{Clock: 5000, Generation: 1})
			for _, coordinator := range []string{"c1", "c2"} {
				c.HandleAttach(now, AttachRequest{Coordinator: coordinator, Incarnation: 1, Addr: coordinator, Attachment: 1})
			}
			stop := func() { c.HandleReportReply(now, "c1", c.Report(now, "c1"), ReportReply{Stops: []work.Run{key}}) }
			if early {
				stop()
			}
			start := Dispatch{Coordinator: "c2", Incarnation: 1, Attachment: 1, Echo: c.Report(now, "c2").SentAt, Starts: []work.Start{{Run: key, Resources: work.Resources{CPU: 1}}}}
			if refused, stale := c.HandleDispatch(now, start); len(refused) > 0 || stale {
				t.Fatalf("refused %v, stale %v", refused, stale)
			}
			c.Commands()
			c.HandleStartReply(now, key, c.Lease(now), carobpulley.StartAnswer{}, nil)
			if !early {
				stop()
			}
			if c.runs[key].stopping {
				t.Error("the run of c2 is stopped for c1")
			}
			c.HandleDispatch(now, Dispatch{Coordinator: "c2", Incarnation: 1, Attachment: 1, Echo: c.Report(now, "c2").SentAt, Stops: []work.Run{key}})
			if !c.runs[key].stopping {
				t.Error("the run of c2 is not stopped for c2")
			}
		})
	}
}
