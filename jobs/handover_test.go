package jobs

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against an end that is lost between two owners, so that its task runs
// again: an owner that has given up the shard must not let the runner forget an
// end that it does not store any more.
func TestEndAfterHandoverIsNotAcknowledged(t *testing.T) {
	b := owned(t, 1)
	b.submit(testJob(1, 1, false))
	b.commit()
	starts := b.ordered["h0"]
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	b.table.Disown(0)
	if diff := cmp.Diff([]int64(nil), b.report("h0", end(starts[0], 1, work.HowDone))); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// Guards against ends of dropped jobs that a runner returns for ever.
func TestEndOfUnknownJobIsAcknowledgedByItsOwner(t *testing.T) {
	b := owned(t, 1)
	unknown := work.Start{Run: work.Run{Task: work.TaskName(testJob(9, 1, false).ID, 0, 0), Number: 1}}
	if diff := cmp.Diff([]int64{1}, b.report("h0", end(unknown, 1, work.HowDone))); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}
