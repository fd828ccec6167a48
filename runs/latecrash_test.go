package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against crashes by a poison task that do not count because the agent sent the start late, or once more
// after a refusal, as with a quota of the processor: it was alone at the endpoint and its connection ended at once.
func TestStartThatIsSentLateIsACertainCrash(t *testing.T) {
	gone := &carobpulley.Error{Op: "start", Kind: carobpulley.KindBroken}
	send := func(f *fixture, s work.Start) carobpulley.Lease {
		f.controller.Commands()
		lease, refusal := f.controller.StartLease(f.now, s.Run)
		if refusal != "" {
			t.Fatal(refusal)
		}
		return lease
	}
	for name, before := range map[string]func(*fixture, work.Start){
		"at once":                  func(*fixture, work.Start) {},
		"15 ms after its decision": func(f *fixture, _ work.Start) { f.advance(15 * time.Millisecond) },
		"again after a refusal": func(f *fixture, s work.Start) {
			lease := send(f, s)
			f.advance(11 * time.Millisecond)
			f.controller.HandleStartReply(f.now, s.Run, lease, carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleToken}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := newSuspect(1)
			f.dispatch("c", s)
			before(f, s)
			lease := send(f, s)
			f.advance(time.Millisecond)
			f.controller.HandleStartReply(f.now, s.Run, lease, carobpulley.StartAnswer{}, gone)
			f.crash()
			f.restart()
			f.checkCrashes(work.Crash{Task: s.Run.Task, Endpoint: "a/i/1", Certain: true, Alone: true})
		})
	}
}
