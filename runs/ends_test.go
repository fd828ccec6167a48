package runs

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run whose coordinator is never told of its end: another coordinator has received the
// end of a run of the same number.
func TestEndIsReportedToEachCoordinatorOfARunNumber(t *testing.T) {
	f := newFixture(t)
	f.attach("d", 1, nil)
	s := newStart(1, 100)
	f.report("c", nil)
	f.dispatch("c", s)
	f.confirmStarts()
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: s.Run, Outcome: work.OutcomeStopped}}})
	sent := f.controller.Report(f.now, "c")
	f.report("d", nil)
	f.dispatch("d", s)
	for _, cmd := range f.controller.Commands() {
		f.controller.HandleStartReply(f.now, cmd.Start.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{Refusal: carobpulley.RefusalStaleRun}, nil)
	}
	f.controller.HandleReportReply(f.now, "c", sent, ReportReply{})
	want := []work.End{{Run: s.Run, Outcome: work.OutcomeNotStarted}}
	if diff := cmp.Diff(want, f.report("d", nil)); diff != "" {
		t.Errorf("ends reported to the second coordinator (-want +got):\n%s", diff)
	}
}
