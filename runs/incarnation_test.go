package runs

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a task that runs twice since its coordinator has restarted: the end of the earlier
// process's run is taken for that of the new one's, which has the same number.
func TestEndOfAnEarlierProcessIsNotReportedToTheNext(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	attached := f.controller.HandleAttach(f.now, AttachRequest{Coordinator: "c", Incarnation: 8, Addr: "127.0.0.1:1", Attachment: 2})
	if !attached {
		t.Fatal("attach refused")
	}
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeStopped}}})
	if diff := cmp.Diff([]work.End(nil), f.report("c", nil)); diff != "" {
		t.Errorf("ends reported to the new process (-want +got):\n%s", diff)
	}
	f.controller.Tick(f.now)
	if !f.controller.Idle() {
		t.Error("the end is kept")
	}
}
