package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a start that is told as never carried out although it may have been, on which callers are
// told that their job has not run, and against the reverse, by which jobs that have not begun are counted
// as begun.
func TestEndTellsWhetherTheRunMayHaveBegun(t *testing.T) {
	refusal := func(reason string) func(f *fixture, key work.Run) {
		return func(f *fixture, key work.Run) {
			f.controller.HandleStartReply(f.now, key, f.controller.Lease(f.now), carobpulley.StartAnswer{Refusal: reason}, nil)
		}
	}
	failure := func(kind carobpulley.Kind) func(f *fixture, key work.Run) {
		return func(f *fixture, key work.Run) {
			f.controller.HandleStartReply(f.now, key, f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: kind})
		}
	}
	for name, c := range map[string]struct {
		replies []func(f *fixture, key work.Run)
		want    bool
	}{
		"unhealthy":      {[]func(f *fixture, key work.Run){refusal(carobpulley.RefusalUnhealthy)}, true},
		"no capacity":    {[]func(f *fixture, key work.Run){refusal(carobpulley.RefusalNoCapacity)}, true},
		"other instance": {[]func(f *fixture, key work.Run){refusal(carobpulley.RefusalWrongInstance)}, true},
		"never sent":     {[]func(f *fixture, key work.Run){failure(carobpulley.KindUnavailable)}, true},
		"old":            {[]func(f *fixture, key work.Run){refusal(carobpulley.RefusalStaleRun)}, false},
		"not understood": {[]func(f *fixture, key work.Run){refusal(carobpulley.RefusalInvalid)}, false},
		"refused late, then unhealthy": {[]func(f *fixture, key work.Run){
			refusal(carobpulley.RefusalLeaseExpired), refusal(carobpulley.RefusalUnhealthy),
		}, true},
		"unanswered, then unhealthy": {[]func(f *fixture, key work.Run){
			failure(carobpulley.KindUnknown), refusal(carobpulley.RefusalUnhealthy),
		}, false},
	} {
		f := newFixture(t)
		f.dispatch("c", newStart(1, 100))
		for _, reply := range c.replies {
			f.controller.Commands()
			reply(f, newRun(1))
			f.advance(time.Millisecond)
			f.poll(carobpulley.RunLists{}) // a start without an answer is sent again
		}
		f.checkNeverBegun(name, c.want)
	}
}

// Guards against the same for starts that wait at the agent.
func TestEndOfAQueuedStart(t *testing.T) {
	for name, after := range map[string]func(f *fixture){
		"time is over": func(f *fixture) { f.advance(20 * time.Millisecond) },
		"stopped":      func(f *fixture) { f.controller.stop(f.now, "c", newRun(2)) },
	} {
		f := newFixture(t)
		f.dispatch("c", newStart(1, 10_000))
		f.confirmStarts()
		waiting := newStart(2, 100)
		waiting.WaitMS = 10
		f.dispatch("c", waiting)
		after(f)
		f.controller.Tick(f.now)
		f.checkNeverBegun(name, true)
	}
}

func (f *fixture) checkNeverBegun(name string, want bool) {
	f.t.Helper()
	ends := f.report("c", nil)
	got := make([]bool, 0, len(ends))
	for _, e := range ends {
		got = append(got, e.NeverBegun)
	}
	if diff := cmp.Diff([]bool{want}, got); diff != "" {
		f.t.Errorf("%s: never begun (-want +got):\n%s", name, diff)
	}
}
