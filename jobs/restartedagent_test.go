package jobs

import (
	"testing"

	"carobpulley/work"
)

// Guards against a best-effort job that is shown as completed by an end that a restarted agent has found
// at its endpoint: it may be that of another coordinator's run with the same number.
func TestEndFoundByARestartedAgentCompletesNoBestEffortJob(t *testing.T) {
	for _, outcome := range []work.Outcome{work.OutcomeDone, work.OutcomeFailed} {
		f := newOwner(t, 1)
		f.submit(testJob(1, 1, true))
		s := f.started["h0"][0]
		r := f.newReport("h0", f.table.FollowingAttachment("h0"), end(s, 1, outcome))
		r.Incarnation = 2
		f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
		f.takeDispatches()
		if results := f.table.Results(); len(results) > 0 {
			t.Errorf("%s: results %v by an end of an unknown run", outcome, results)
		}
		if got := f.startCount(); got != 2 {
			t.Fatalf("%s: %d starts, want a second one", outcome, got)
		}
		if tk := f.table.jobs[testJob(1, 1, true).ID].task(0, 0); tk.failures.count > 0 {
			t.Errorf("%s: the end counts as a failure", outcome)
		}
		r = f.newReport("h0", r.Attachment, end(f.started["h0"][1], 2, work.OutcomeDone))
		r.Incarnation = 2
		answer := f.table.HandleReport(f.now, r)
		if results := f.table.Results(); len(results) != 1 || results[0].State != work.StateCompleted {
			t.Errorf("%s: results %v after the second run's end", outcome, results)
		}
		if len(answer.Acked) == 0 {
			t.Errorf("%s: no end acknowledged", outcome)
		}
	}
}

// Guards against a durable job whose end goes uncounted because its agent has restarted.
func TestEndFoundByARestartedAgentCountsForADurableJob(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, false))
	f.commit()
	r := f.newReport("h0", f.table.FollowingAttachment("h0"), end(f.started["h0"][0], 1, work.OutcomeDone))
	r.Incarnation = 2
	f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
	f.commit()
	if state, _ := f.table.State(testQueue, testJob(1, 1, false).ID); state != work.StateCompleted {
		t.Errorf("shown as %s", state)
	}
}
