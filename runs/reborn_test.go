package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that is counted for another crash than the one it was at, or for none: its start
// was confirmed by an endpoint's next generation before that was known to have begun.
func TestRunListedAfterARestartIsNotOfTheEarlierGeneration(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"crashed": func(*fixture) {},
		"left":    func(f *fixture) { f.controller.HandleShutdown(f.now, "i") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", newStart(1, 100), newStart(2, 100))
			f.confirmStarts()
			leave(f)
			f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
				Instance: "i", Generation: 2, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
			})
			f.advance(time.Millisecond)
			sent := f.controller.BeginPoll(f.now)
			f.advance(time.Millisecond)
			lists := carobpulley.RunLists{Clock: 10, Generation: 2, Running: []carobpulley.ListedRun{{Run: newRun(1)}, {Run: newRun(2)}}}
			f.controller.HandlePoll(f.now, sent, lists)
			f.checkCrashes()
			f.crash()
			f.checkCrashes(
				work.Crash{Task: newRun(1).Task, Endpoint: "a/i/2", Certain: true},
				work.Crash{Task: newRun(2).Task, Endpoint: "a/i/2", Certain: true},
			)
		})
	}
}
