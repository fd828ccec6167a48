package jobs

import (
	"testing"
	"time"

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
	b.table.ReleaseShard(0)
	if diff := cmp.Diff([]int64(nil), b.report("h0", end(starts[0], 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// Guards against an end that a stale owner takes for one of a dropped job: a newer
// owner, which the store does not show it yet, may wait for it. A runner must not
// return the end for ever either.
func TestEndOfUnknownJobWaitsForProof(t *testing.T) {
	b := owned(t, 1)
	unknown := work.Start{Run: work.Run{Task: work.TaskName(testJob(9, 1, false).ID, 0, 0), Number: 1}}
	if diff := cmp.Diff([]int64(nil), b.report("h0", end(unknown, 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged at once (-want +got):\n%s", diff)
	}
	b.table.ConfirmOwnership(b.now)
	if diff := cmp.Diff([]int64(nil), b.report("h0")); diff != "" {
		t.Errorf("acknowledged by a read that was sent before (-want +got):\n%s", diff)
	}
	b.table.ConfirmOwnership(b.now.Add(time.Millisecond))
	if diff := cmp.Diff([]int64{1}, b.report("h0")); diff != "" {
		t.Errorf("acknowledged after a read (-want +got):\n%s", diff)
	}
}

// Guards against a stale owner that takes the end of a newer owner's run for a
// repeated one.
func TestEndOfAnotherRunWaitsForProof(t *testing.T) {
	b := owned(t, 1)
	b.submit(testJob(1, 1, false))
	b.commit()
	other := b.ordered["h0"][0]
	other.Run.Number += runsPerEpoch
	if diff := cmp.Diff([]int64(nil), b.report("h0", end(other, 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged at once (-want +got):\n%s", diff)
	}
}

// Guards against an agent that is lost to a coordinator for seconds after the answer
// to one attachment was lost: the agent refuses a number that it has seen.
func TestEachTryToAttachHasItsOwnNumber(t *testing.T) {
	b := owned(t, 1)
	first := b.table.NextAttachment("h0")
	second := b.table.NextAttachment("h0")
	if second <= first {
		t.Errorf("the second try has number %d, the first %d", second, first)
	}
	b.table.HandleAttachment(b.now, b.say("h0", second), b.table.OwnedShards())
	if third := b.table.NextAttachment("h0"); third <= second {
		t.Errorf("the try after an attachment has number %d, the attachment %d", third, second)
	}
}
