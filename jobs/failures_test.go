package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"carobpulley/work"
)

// successor returns a fixture with the records that an owner has stored, taken over under an epoch. It is
// not attached to its agents.
func successor(t *testing.T, earlier *fixture, epoch uint64) *fixture {
	t.Helper()
	f := newFixture(t, len(earlier.agents))
	maps.Copy(f.stored, earlier.stored)
	if errs := f.table.AcquireShard(f.now, 0, epoch, slices.Collect(maps.Values(f.stored))); len(errs) > 0 {
		t.Fatal(errs)
	}
	return f
}

// attachTo handles an agent's answer to an attachment.
func (f *fixture) attachTo(name string, running []work.Run, ends ...work.End) {
	f.t.Helper()
	r := f.newReport(name, f.table.FollowingAttachment(name), ends...)
	r.Running = running
	f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
	f.takeDispatches()
}

// newFailure returns an owner of the durable job 1, of one task with two attempts, and the end of its
// first run, which has failed.
func newFailure(t *testing.T, agents int) (f *fixture, failed work.End) {
	t.Helper()
	f = newOwner(t, agents)
	f.submit(testJob(1, 1, false))
	f.commit()
	for _, starts := range f.started {
		failed = end(starts[0], 1, work.OutcomeFailed)
	}
	return f, failed
}

// withoutRuns returns progress records as the earlier build wrote them, without the numbers of runs.
func withoutRuns(t *testing.T, f *fixture) {
	t.Helper()
	for key, r := range f.stored {
		if key[:1] != work.KeyProgress {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(r.Value, &fields); err != nil {
			t.Fatal(err)
		}
		delete(fields, "failed_runs")
		var err error
		if r.Value, err = json.Marshal(fields); err != nil {
			t.Fatal(err)
		}
		f.stored[key] = r
	}
}

// Guards against a failed run that is counted once for each time that its end is reported around a
// takeover, so that a job is shown as failed after one failed run of two permitted (review/2).
func TestRepeatedFailureCountsOnce(t *testing.T) {
	cases := map[string]func(t *testing.T) *fixture{
		"in the attachment and two reports": func(t *testing.T) *fixture {
			f, failed := newFailure(t, 2)
			f = successor(t, f, 2)
			f.attachTo("h0", nil, failed)
			f.report("h0", failed)
			f.report("h0", failed)
			f.attachTo("h1", nil)
			return f
		},
		"stored by the earlier owner": func(t *testing.T) *fixture {
			f, failed := newFailure(t, 1)
			f.report("h0", failed)
			f.commit()
			f = successor(t, f, 2)
			f.attachTo("h0", nil, failed)
			return f
		},
		"stored by the earlier owner, whose append got no answer": func(t *testing.T) *fixture {
			f, failed := newFailure(t, 1)
			f.report("h0", failed)
			batch, err := f.table.NextBatch(0)
			if err != nil {
				t.Fatal(err)
			}
			f.store(batch)
			f = successor(t, f, 2)
			f.attachTo("h0", nil, failed)
			return f
		},
		"stored by an earlier owner of the earlier build": func(t *testing.T) *fixture {
			f, failed := newFailure(t, 1)
			f.report("h0", failed)
			f.commit()
			withoutRuns(t, f)
			f = successor(t, f, 2)
			f.attachTo("h0", nil, failed)
			return f
		},
		"across two takeovers": func(t *testing.T) *fixture {
			f, failed := newFailure(t, 2)
			f = successor(t, f, 2)
			f.attachTo("h0", nil, failed)
			f.report("h0", failed)
			f.commit()
			f = successor(t, f, 3)
			f.attachTo("h0", nil, failed)
			f.report("h0", failed)
			f.attachTo("h1", nil)
			return f
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			f := play(t)
			id := testJob(1, 1, false).ID
			if state, _ := f.table.DecidedState(id); state == work.StateFailed {
				t.Fatal("the job has failed after one failed run, its tasks may fail once")
			}
			f.prove()
			starts := slices.Concat(f.started["h0"], f.started["h1"])
			if len(starts) != 1 {
				t.Fatalf("%d starts after the takeover, want 1", len(starts))
			}
			at := "h0"
			if len(f.started[at]) == 0 {
				at = "h1"
			}
			f.report(at, end(starts[0], 2, work.OutcomeFailed))
			if state, _ := f.table.DecidedState(id); state != work.StateFailed {
				t.Errorf("the job is %s after its second failed run, want %s", state, work.StateFailed)
			}
		})
	}
}

// Guards against a failed run that is not counted at a takeover, since the earlier owner had started the
// task again before it stored the failure: the task would be started a third time.
func TestFailureBeforeARunningAttemptCounts(t *testing.T) {
	for _, failedFirst := range []bool{true, false} {
		f, failed := newFailure(t, 2)
		f = successor(t, f, 2)
		second := work.Run{Task: failed.Run.Task, Number: failed.Run.Number + 1}
		if failedFirst {
			f.attachTo("h0", nil, failed)
		}
		f.attachTo("h1", []work.Run{second})
		if !failedFirst {
			f.attachTo("h0", nil, failed)
		}
		f.prove()
		id := testJob(1, 1, false).ID
		if state, _ := f.table.DecidedState(id); state.Ended() || f.startCount() > 0 {
			t.Fatalf("failure reported first %v: the job is %s with %d starts while its second attempt is on", failedFirst, state, f.startCount())
		}
		f.commit()
		f.report("h1", work.End{Sequence: 1, Run: second, Outcome: work.OutcomeFailed})
		if state, _ := f.table.DecidedState(id); state != work.StateFailed {
			t.Errorf("failure reported first %v: the job is %s after two failed runs, want %s", failedFirst, state, work.StateFailed)
		}
		if got := f.startCount(); got != 0 {
			t.Errorf("failure reported first %v: %d starts after two failed runs", failedFirst, got)
		}
	}
}

// Guards against a new failure that an owner takes for one that a record of the earlier build counts.
func TestNewFailureCountsBesideThoseOfTheEarlierBuild(t *testing.T) {
	f, failed := newFailure(t, 1)
	f.report("h0", failed)
	f.commit()
	withoutRuns(t, f)
	f = successor(t, f, 2)
	second := failed
	second.Sequence++
	second.Run.Number++
	f.attachTo("h0", nil, second)
	f.prove()
	if state, _ := f.table.DecidedState(testJob(1, 1, false).ID); state != work.StateFailed || f.startCount() > 0 {
		t.Errorf("the job is %s with %d starts after two failed runs, want %s", state, f.startCount(), work.StateFailed)
	}
}
