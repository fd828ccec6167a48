package jobs

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against an end that is lost between two owners, so that its task runs
// again: an owner that has released the shard must not acknowledge an end that it
// no longer stores.
func TestEndAfterHandoverIsNotAcknowledged(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, false))
	f.commit()
	starts := f.started["h0"]
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	f.table.ReleaseShard(0)
	if diff := cmp.Diff([]int64(nil), f.report("h0", end(starts[0], 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// Guards against a stale owner that acknowledges an end because it does not have the
// job: a newer owner that it has not read from the store yet may need the end. The
// end must not stay unacknowledged forever either.
func TestEndOfUnknownJobWaitsForProof(t *testing.T) {
	f := newOwner(t, 1)
	unknown := work.Start{Run: work.Run{Task: work.TaskName(testJob(9, 1, false).ID, 0, 0), Number: 1}}
	if diff := cmp.Diff([]int64(nil), f.report("h0", end(unknown, 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged at once (-want +got):\n%s", diff)
	}
	f.table.ConfirmOwnership(f.now)
	if diff := cmp.Diff([]int64(nil), f.report("h0")); diff != "" {
		t.Errorf("acknowledged after a read that was sent earlier (-want +got):\n%s", diff)
	}
	f.table.ConfirmOwnership(f.now.Add(time.Millisecond))
	if diff := cmp.Diff([]int64{1}, f.report("h0")); diff != "" {
		t.Errorf("acknowledged after a read (-want +got):\n%s", diff)
	}
}

// Guards against an end that is acknowledged before it is stored, because it was received before
// the shard was acquired: with the coordinator it would be lost, and its task run again.
func TestEndReceivedBeforeTheShardIsStoredFirst(t *testing.T) {
	accepted := newOwner(t, 1)
	accepted.submit(testJob(1, 1, false))
	batch, err := accepted.table.NextBatch(0)
	if err != nil {
		t.Fatal(err)
	}
	run := work.Start{Run: work.Run{Task: work.TaskName(testJob(1, 1, false).ID, 0, 0), Number: 1}}

	f := newFixture(t, 1).attach()
	f.report("h0", end(run, 1, work.OutcomeDone))
	f.table.AcquireShard(f.now, 0, 2, batch.Records)
	f.table.HandleAttachment(f.now, f.newReport("h0", f.table.FollowingAttachment("h0"), end(run, 1, work.OutcomeDone)), f.table.OwnedShards())
	f.table.ConfirmOwnership(f.now.Add(time.Millisecond))
	if diff := cmp.Diff([]int64(nil), f.report("h0")); diff != "" {
		t.Errorf("acknowledged before it is stored (-want +got):\n%s", diff)
	}
	f.commit()
	if diff := cmp.Diff([]int64{1}, f.report("h0")); diff != "" {
		t.Errorf("acknowledged after it is stored (-want +got):\n%s", diff)
	}
}

// Guards against a stale owner that treats the end of a newer owner's run as a
// repetition and acknowledges it at once.
func TestEndOfAnotherRunWaitsForProof(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, false))
	f.commit()
	other := f.started["h0"][0]
	other.Run.Number += runsPerEpoch
	if diff := cmp.Diff([]int64(nil), f.report("h0", end(other, 1, work.OutcomeDone))); diff != "" {
		t.Errorf("acknowledged at once (-want +got):\n%s", diff)
	}
}

// Guards against an agent that stays detached for seconds after the answer to an
// attachment was lost: the agent refuses an attachment number that it has seen.
func TestEachTryToAttachHasItsOwnNumber(t *testing.T) {
	f := newOwner(t, 1)
	first := f.table.NextAttachment("h0")
	second := f.table.NextAttachment("h0")
	if second <= first {
		t.Errorf("second attempt has number %d, first attempt %d", second, first)
	}
	f.table.HandleAttachment(f.now, f.newReport("h0", second), f.table.OwnedShards())
	if third := f.table.NextAttachment("h0"); third <= second {
		t.Errorf("attempt after an attachment has number %d, the attachment %d", third, second)
	}
}

// Guards against an endpoint that stays idle because its agent learns of an acknowledgement with
// its next report only.
func TestConfirmedEndIsAcknowledgedAtOnce(t *testing.T) {
	f := newOwner(t, 1)
	f.report("h0", work.End{Sequence: 5, Run: work.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Outcome: work.OutcomeDone})
	if !f.table.HasUnconfirmedEnds() {
		t.Fatal("the end of an unknown job needs no confirmation")
	}
	f.table.ConfirmOwnership(f.now.Add(time.Millisecond))
	dispatches := f.table.Dispatches()
	if len(dispatches) != 1 || !slices.Equal(dispatches[0].Acked, []int64{5}) {
		t.Errorf("dispatches %+v, want one that acknowledges 5", dispatches)
	}
	if f.table.HasUnconfirmedEnds() {
		t.Error("the end still waits for a confirmation")
	}
}

// Guards against a coordinator that wakes after a pause and starts tasks of callers that have
// submitted their jobs elsewhere meanwhile: two runs of one task at a time (soak seed 306).
func TestNothingStartsForCallersThatMayHaveLeft(t *testing.T) {
	f := newFixture(t, 1).attach()
	f.table.Detach("h0", f.table.FollowingAttachment("h0")-1)
	f.submit(testJob(1, 2, true))
	limited := testJob(2, 2, true)
	limited.AnswerBy = f.now.Add(2 * time.Second)
	f.submit(limited)
	f.now = f.now.Add(3 * time.Second)
	f.table.HoldBestEffort(f.now.Add(time.Second))
	f.attach()
	if got := f.startCount(); got != 0 {
		t.Fatalf("%d starts right after the pause", got)
	}
	// It may have waited in a connection during the pause.
	if f.submit(testJob(3, 2, true)); f.startCount() != 0 {
		t.Errorf("%d starts of a job that was submitted right after the pause", f.startCount())
	}
	f.now = f.now.Add(time.Second)
	f.report("h0")
	if got := f.startCount(); got != 4 {
		t.Errorf("%d starts, want 4: those of the two jobs whose callers still wait", got)
	}
	again := testJob(2, 2, true)
	again.AnswerBy = f.now.Add(2 * time.Second)
	f.submit(again)
	f.report("h0")
	if got := f.startCount(); got != 6 {
		t.Errorf("%d starts, want 6 after the last caller has come back", got)
	}
}

// Answers an endpoint at which tasks stand still: a job that was given up there and is submitted
// again must not go there first again, and its runs must not have numbers that endpoints refuse as
// old (soak seeds 46 and 317: no answer in five tries).
func TestResubmittedJobAvoidsTheEndpointThatHeldIt(t *testing.T) {
	f := newFixture(t, 2).attach()
	f.submit(testJob(1, 1, true))
	held := ""
	for name, starts := range f.started {
		if len(starts) == 1 {
			held = name
		}
	}
	f.advance(time.Second)
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "context deadline exceeded")
	f.takeDispatches()
	first := f.started[held][0].Run.Number
	f.report(held, work.End{Sequence: 1, Run: f.started[held][0].Run, Outcome: work.OutcomeStopped})
	f.started = map[string][]work.Start{}
	f.submit(testJob(1, 1, true))
	for name, starts := range f.started {
		if name == held && len(starts) > 0 {
			t.Errorf("started at %s again", name)
		}
		for _, s := range starts {
			if s.Run.Number <= first {
				t.Errorf("run %d follows run %d", s.Run.Number, first)
			}
		}
	}
	if f.startCount() != 1 {
		t.Errorf("%d starts, want 1", f.startCount())
	}
}

// Guards against a dispatch that got no answer and is sent again after its job was given up: the
// agent may have forgotten the stop, and a caller that was told so has submitted the job elsewhere.
func TestRepeatedDispatchLeavesOutStarts(t *testing.T) {
	f := newFixture(t, 1).attach()
	kept, left := testJob(1, 1, true), testJob(2, 1, true)
	f.table.Submit(f.now, kept)
	f.table.Submit(f.now, left)
	dispatches := f.table.Dispatches()
	if len(dispatches) != 1 || len(dispatches[0].Starts) != 2 {
		t.Fatalf("dispatches %+v, want one with two starts", dispatches)
	}
	d := dispatches[0]
	f.table.Abandon(f.now, left.ID, "the caller has left")
	if got := f.table.Refresh(f.now, d); got != SendNow || len(d.Starts) != 1 || work.JobOfTask(d.Starts[0].Run.Task) != kept.ID {
		t.Errorf("sendable %d with the starts %+v, want that of the other job only", got, d.Starts)
	}
	f.table.HoldBestEffort(f.now.Add(time.Second))
	if got := f.table.Refresh(f.now, d); got != SendLater {
		t.Errorf("sendable %d right after a pause of the process, want %d", got, SendLater)
	}
	if got := f.table.Refresh(f.now.Add(time.Second), d); got != SendNow || len(d.Starts) != 1 {
		t.Errorf("sendable %d with the starts %+v after the hold, want the start", got, d.Starts)
	}
	f.table.Detach("h0", d.Attachment)
	if got := f.table.Refresh(f.now.Add(time.Second), d); got != SendNever {
		t.Errorf("sendable %d without the attachment, want %d", got, SendNever)
	}
}

// Guards against a job whose tasks no longer start although a caller waits for it, because another
// caller of it, whose time is up sooner, came later.
func TestLaterCallerDoesNotCutAnEarlierOneShort(t *testing.T) {
	for name, stopped := range map[string]bool{"at work": false, "being stopped": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1).attach()
			submit := func(wait time.Duration) {
				j := longJob(1)
				j.AnswerBy = f.now.Add(wait)
				f.submit(j)
			}
			submit(3 * time.Second)
			first := f.started["h0"][0]
			if stopped {
				f.table.Abandon(f.now, longJob(1).ID, "left")
				submit(3 * time.Second)
			}
			submit(50 * time.Millisecond)
			f.advance(100 * time.Millisecond)
			f.report("h0", end(first, 1, work.OutcomeStopped))
			if got := f.startCount(); got != 2 {
				t.Errorf("%d starts, want 2: the first one was stopped while a caller waits", got)
			}
		})
	}
}
