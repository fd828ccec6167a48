package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// attachProcess lets a process of a coordinator attach, and returns the agent's answer.
func (f *fixture) attachProcess(name string, incarnation uint64) Report {
	f.t.Helper()
	a := AttachRequest{Coordinator: name, Incarnation: incarnation, Addr: "127.0.0.1:1", Attachment: 1}
	if !f.controller.HandleAttach(f.now, a) {
		f.t.Fatalf("attach of %s refused", name)
	}
	return f.controller.FullReport(f.now, a)
}

// Guards against a restarted coordinator that takes the end of a run of its earlier process for that
// of its own run, whose number begins at 1 again.
func TestEndsAreToldToTheProcessThatStartedTheRun(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", work.Start{Run: newRun(1), Spec: "x", Resources: work.Resources{CPU: 9000}})
	f.confirmStarts()
	f.dispatch("c", work.Start{Run: newRun(2), Spec: "x", Resources: work.Resources{CPU: 2000}, WaitMS: 100})
	f.advance(200 * time.Millisecond)
	f.controller.Tick(f.now)
	if diff := cmp.Diff([]work.End{{Run: newRun(2), Outcome: work.OutcomeNoCapacity, NeverBegun: true}}, f.controller.Report(f.now, "c").Ends); diff != "" {
		t.Fatalf("ends of the process that started the run (-want +got):\n%s", diff)
	}
	full := f.attachProcess("c", 8)
	if diff := cmp.Diff([]work.End(nil), full.Ends); diff != "" {
		t.Errorf("ends in the answer to the next process (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]work.End(nil), f.controller.Report(f.now, "c").Ends); diff != "" {
		t.Errorf("ends reported to the next process (-want +got):\n%s", diff)
	}
}

// Guards against an end that its coordinator never gets, because another coordinator has received the
// end of an earlier run with the same name and number.
func TestEndsOfRunsWithOneNameAreReportedEach(t *testing.T) {
	f := newFixture(t)
	f.attach("d", 1, nil)
	start := work.Start{Run: newRun(1), Spec: "x", Resources: work.Resources{CPU: 2000}, WaitMS: 100}
	f.dispatch("c", work.Start{Run: newRun(2), Spec: "x", Resources: work.Resources{CPU: 9000}})
	f.confirmStarts()
	f.dispatch("c", start)
	f.advance(200 * time.Millisecond)
	f.controller.Tick(f.now)
	sent := f.controller.Report(f.now, "c")
	f.dispatch("d", start)
	f.advance(200 * time.Millisecond)
	f.controller.Tick(f.now)
	f.controller.HandleReportReply(f.now, "c", sent, ReportReply{})
	want := []work.End{{Run: newRun(1), Outcome: work.OutcomeNoCapacity, NeverBegun: true}}
	if diff := cmp.Diff(want, f.controller.Report(f.now, "d").Ends); diff != "" {
		t.Errorf("ends reported to the second coordinator (-want +got):\n%s", diff)
	}
}

// Guards against an answer of a coordinator's earlier process that stops a run of the next one, or hides
// its end, as both number their attachments and runs from 1.
func TestAnswerOfAnEarlierProcessIsIgnored(t *testing.T) {
	f := newFixture(t)
	sent := f.controller.Report(f.now, "c")
	f.attachProcess("c", 8)
	f.report("c", nil)
	_, stale := f.controller.HandleDispatch(f.now, Dispatch{Coordinator: "c", Incarnation: 8, Attachment: 1, Echo: f.echo, Starts: []work.Start{newStart(1, 100)}})
	if stale || f.confirmStarts() != 1 {
		t.Fatal("the start was refused")
	}
	f.controller.HandleReportReply(f.now, "c", sent, ReportReply{Stops: []work.Run{newRun(1)}})
	if diff := cmp.Diff([]Command(nil), f.controller.Commands()); diff != "" {
		t.Errorf("commands after the answer of the earlier process (-want +got):\n%s", diff)
	}
}

// Guards against an end of an earlier generation of an endpoint that is taken for that of a run of the next
// one: its list arrives after the endpoint's new heartbeat, and numbers ends from 1 as well.
func TestEndOfAnEarlierLifeIsIgnored(t *testing.T) {
	f := newFixture(t)
	sent := f.controller.BeginPoll(f.now)
	f.advance(20 * time.Millisecond)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 2, Sequence: 1, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	})
	first := f.controller.BeginPoll(f.now)
	f.controller.HandlePoll(f.now, first, carobpulley.RunLists{Clock: 1000, Generation: 2})
	f.report("c", nil)
	f.dispatch("c", newStart(1, 100))
	if got := f.confirmStarts(); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{
		Clock: 5020, Generation: 1, Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone}},
	})
	if diff := cmp.Diff([]work.End(nil), f.controller.Report(f.now, "c").Ends); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	if !f.controller.HasRun(newRun(1)) {
		t.Error("the run has ended")
	}
}
