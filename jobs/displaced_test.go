package jobs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// acquireWith lets the fixture take a shard over that holds a durable job with the id of testJob(1, 1).
func (f *fixture) acquireWith(state work.State) *work.Job {
	f.t.Helper()
	owner := newOwner(f.t, 1)
	j := testJob(1, 1, false)
	j.Spec = "y"
	owner.submit(j)
	owner.commit()
	if state == work.StateCompleted {
		owner.endAll(work.OutcomeDone)
		owner.commit()
	}
	records := make([]carobpulley.KeyedRecord, 0, len(owner.stored))
	for _, r := range owner.stored {
		records = append(records, r)
	}
	if errs := f.table.AcquireShard(f.now, 0, 2, records); len(errs) > 0 {
		f.t.Fatal(errs)
	}
	return j
}

// Guards against a durable job that takes the runs of a best-effort job for its own, or starts beside them,
// since its id is in use at the coordinator that takes its shard over.
func TestTakenOverJobDisplacesABestEffortOne(t *testing.T) {
	for _, outcome := range []work.Outcome{work.OutcomeDone, work.OutcomeFailed, work.OutcomeStopped} {
		f := newFixture(t, 1).attach()
		f.submit(testJob(1, 1, true))
		s := f.started["h0"][0]
		j := f.acquireWith(work.StateQueued)
		if results := f.table.Results(); len(results) != 1 || results[0].State != work.StateCancelled || results[0].Unstarted {
			t.Errorf("%s: results %v, want the best-effort job given up", outcome, results)
		}
		r := f.newReport("h0", f.table.FollowingAttachment("h0"))
		r.Running = []work.Run{s.Run}
		f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
		f.prove()
		if len(f.stopped["h0"]) != 1 || f.startCount() != 1 {
			t.Errorf("%s: stops %v, %d starts, want the run stopped and none started", outcome, f.stopped, f.startCount())
		}
		f.report("h0", end(s, 1, outcome))
		f.commit()
		f.prove()
		if state, known := f.table.State(testQueue, j.ID); !known || state.Ended() {
			t.Errorf("%s: the durable job is shown as %s, %t", outcome, state, known)
		}
		starts := f.started["h0"]
		if len(starts) != 2 || starts[1].Spec != j.Spec || f.table.jobs[j.ID].task(0, 0).failures.count > 0 {
			t.Fatalf("%s: starts %v, want one of the durable job", outcome, starts)
		}
		f.report("h0", end(starts[1], 2, work.OutcomeDone))
		f.commit()
		if state, _ := f.table.State(testQueue, j.ID); state != work.StateCompleted {
			t.Errorf("%s: the durable job is shown as %s", outcome, state)
		}
	}
}

// Guards against a durable job that is forgotten with the result of a best-effort job that had its id at the
// coordinator which has taken its shard over.
func TestTakenOverJobOutlastsABestEffortResult(t *testing.T) {
	for _, state := range []work.State{work.StateQueued, work.StateCompleted} {
		for name, ended := range map[string]bool{"ended": true, "running": false} {
			f := newFixture(t, 1).attach()
			f.submit(testJob(1, 1, true))
			if ended {
				f.report("h0", end(f.started["h0"][0], 1, work.OutcomeDone))
			}
			j := f.acquireWith(state)
			f.attach()
			f.advance(recentRetention + time.Second)
			if got, known := f.table.State(testQueue, j.ID); !known || got.Ended() != state.Ended() {
				t.Errorf("%s, best-effort job %s: shown as %s, %t", state, name, got, known)
			}
		}
	}
}
