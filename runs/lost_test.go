package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that is at work being told lost, and started again elsewhere: of two polls
// that are under way at a time, the later one is answered before the start of the run is carried out,
// and its answer is handled after that of the other, which lists the run.
func TestListOlderThanTheStartLosesNoRun(t *testing.T) {
	f := newFixture(t)
	first, second := newStart(1, 100), newStart(2, 100)
	f.dispatch("c", first, second)
	f.controller.Commands()
	lease := f.controller.Lease(f.now)
	broken := &carobpulley.Error{Op: "start", Kind: carobpulley.KindBroken}
	f.controller.HandleStartReply(f.now, first.Run, lease, carobpulley.StartAnswer{}, broken)
	earlier := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	later := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	f.controller.HandleStartReply(f.now, second.Run, lease, carobpulley.StartAnswer{}, broken)

	f.controller.HandlePoll(f.now, earlier, carobpulley.RunLists{Clock: 5010, Generation: 1, Running: []carobpulley.ListedRun{{Run: first.Run}, {Run: second.Run}}})
	f.controller.HandlePoll(f.now, later, carobpulley.RunLists{Clock: 5009, Generation: 1})
	if diff := cmp.Diff([]work.End(nil), f.report("c", nil)); diff != "" {
		t.Errorf("ends reported of runs that are at work (-want +got):\n%s", diff)
	}

	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: first.Run}}})
	want := []work.End{{Run: second.Run, Outcome: work.OutcomeLost, ElapsedMS: 3}}
	if diff := cmp.Diff(want, f.report("c", nil)); diff != "" {
		t.Errorf("ends after a list that was asked for later (-want +got):\n%s", diff)
	}
}

// Guards against a run that this process did not start, such as that of a command which was carried out
// late, being taken for over while it is at work, so that others start beside it.
func TestListOlderThanAnUnknownRunDoesNotEndIt(t *testing.T) {
	f := newFixture(t)
	earlier := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	later := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	f.controller.HandlePoll(f.now, earlier, carobpulley.RunLists{Clock: 5010, Generation: 1, Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	f.controller.HandlePoll(f.now, later, carobpulley.RunLists{Clock: 5009, Generation: 1})
	if !f.controller.HasRun(newRun(1)) || f.controller.Usable() {
		t.Error("the run counts as over, and starts are sent beside it")
	}
}
