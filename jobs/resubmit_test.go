package jobs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against a job that is answered as ended, in a state that is no result, because it was
// given up and is submitted again before its runs are known to have ended; and against a second run
// of its task beside the first.
func TestJobIsSubmittedAgainWhileItIsStopped(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, true))
	first := f.started["h0"][0]
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "left")
	if status := f.submit(testJob(1, 1, true)); status != SubmitPending {
		state, _ := f.table.DecidedState(testJob(1, 1, true).ID)
		t.Fatalf("submit status %d with state %q, want %d", status, state, SubmitPending)
	}
	if got := f.startCount(); got != 1 {
		t.Fatalf("%d starts while the first run is not known to have ended, want 1", got)
	}
	f.report("h0", end(first, 1, work.OutcomeStopped))
	if got := f.startCount(); got != 2 {
		t.Fatalf("%d starts after the end of the first run, want 2", got)
	}
	second := f.started["h0"][1]
	if second.Run.Number <= first.Run.Number {
		t.Errorf("run %d after run %d", second.Run.Number, first.Run.Number)
	}
	f.report("h0", end(second, 2, work.OutcomeDone))
	if diff := cmp.Diff([]BestEffortResult{{Job: testJob(1, 1, true).ID, State: work.StateCompleted}}, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

// Guards against a submission that waits for a job to be stopped and is never started, because one
// of the ways in which the table learns that the last run has ended does not lead there.
func TestResubmissionStartsAfterEachKindOfEnd(t *testing.T) {
	for name, endRun := range map[string]func(f *fixture, d *Dispatch){
		"stopped": func(f *fixture, d *Dispatch) { f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeStopped)) },
		"done":    func(f *fixture, d *Dispatch) { f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeDone)) },
		"failed":  func(f *fixture, d *Dispatch) { f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeFailed)) },
		"crashed": func(f *fixture, d *Dispatch) { f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeCrashed)) },
		"start refused": func(f *fixture, d *Dispatch) {
			f.table.HandleRefusedStarts(f.now, d, []work.Run{f.started[d.Agent][0].Run}, "stopped")
		},
		"not on the agent's list": func(f *fixture, d *Dispatch) {
			f.table.HandleAttachment(f.now, f.newReport(d.Agent, f.table.FollowingAttachment(d.Agent)), nil)
		},
		"agent unheard": func(f *fixture, d *Dispatch) {
			f.silence(d.Agent, testAgentTimeout+100*time.Millisecond)
		},
		"agent removed": func(f *fixture, d *Dispatch) {
			f.table.Detach(d.Agent, d.Attachment)
			f.table.RemoveAgent(f.now, d.Agent)
			f.silence(d.Agent, testAgentTimeout+100*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, d := stoppedFixture(t, 2)
			if status := f.submit(longJob(1)); status != SubmitPending || f.startCount() != 1 {
				t.Fatalf("submit status %d with %d starts, want %d with 1", status, f.startCount(), SubmitPending)
			}
			endRun(f, d)
			f.table.Tick(f.now)
			f.takeDispatches()
			if got := f.startCount(); got != 2 {
				t.Errorf("%d starts, want 2", got)
			}
		})
	}
}

// longJob returns a job of one task that is worth its run after a wait of some seconds.
func longJob(n int) *work.Job {
	j := testJob(n, 1, true)
	j.Queue.TargetMS = 10_000
	return j
}

// silence moves the clock on with reports of all agents but one.
func (f *fixture) silence(silent string, d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, name := range f.agents {
			if name != silent {
				f.report(name)
			}
		}
		f.table.Tick(f.now)
		f.takeDispatches()
	}
}

// Guards against a start for a caller that has left while it waited for the job to be stopped, and
// against its answer that the job has not run, although an earlier submission has started it.
func TestResubmissionIsWithdrawn(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	f.submit(longJob(1))
	if f.table.Abandon(f.now, longJob(1).ID, "left") {
		t.Error("reported as not started although an earlier submission has started")
	}
	f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeStopped))
	if got := f.startCount(); got != 1 || f.table.HasJob(longJob(1).ID) {
		t.Errorf("%d starts after the second caller left, want 1", got)
	}
}

// Guards against starts for a submission whose caller's time was up before the job was stopped, and
// for one that was made before a pause of the process.
func TestResubmissionStartsForAWaitingCallerOnly(t *testing.T) {
	for name, change := range map[string]func(f *fixture, j *work.Job){
		"time is up": func(f *fixture, j *work.Job) { j.AnswerBy = f.now.Add(50 * time.Millisecond) },
		"process paused": func(f *fixture, _ *work.Job) {
			f.table.HoldBestEffort(f.now.Add(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, d := stoppedFixture(t, 1)
			j := longJob(1)
			change(f, j)
			f.submit(j)
			f.now = f.now.Add(100 * time.Millisecond)
			f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeStopped))
			if got := f.startCount(); got != 1 {
				t.Errorf("%d starts, want 1", got)
			}
		})
	}
}

// Guards against the answer that a job has not run, although an earlier submission has started it,
// when its resubmission is refused or finds no room in time.
func TestResubmissionIsNotSaidNotToHaveRun(t *testing.T) {
	for name, tt := range map[string]struct {
		outOfService []string
		wait         time.Duration
	}{
		"refused":         {outOfService: []string{"zh0"}},
		"no room in time": {wait: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f, d := stoppedFixture(t, 1)
			f.submit(testJob(1, 1, true))
			f.table.SetDomainsOutOfService(tt.outOfService)
			f.table.HoldBestEffort(f.now.Add(time.Minute))
			f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeStopped))
			f.advance(tt.wait)
			results := f.table.Results()
			if len(results) != 1 || results[0].State != work.StateCancelled || results[0].Unstarted {
				t.Errorf("results %+v, want one that is cancelled after a start", results)
			}
		})
	}
}

// Guards against runs of a resubmission that have the numbers of the earlier ones, or go to the
// endpoint that held them, because the stop took longer than such jobs are remembered.
func TestResubmissionAfterALongStop(t *testing.T) {
	f := newFixture(t, 2).attach()
	f.submit(testJob(1, 1, true))
	held := "h0"
	if len(f.started["h1"]) > 0 {
		held = "h1"
	}
	first := f.started[held][0]
	f.advance(time.Second)
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "left")
	for limit := f.now.Add(recentRetention + time.Second); f.now.Before(limit); f.table.Tick(f.now) {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, name := range f.agents {
			if f.table.Incarnation(name) != 0 {
				f.report(name)
				continue
			}
			r := f.newReport(name, f.table.FollowingAttachment(name))
			r.Running = []work.Run{first.Run}
			f.table.HandleAttachment(f.now, r, nil)
		}
	}
	f.started = map[string][]work.Start{}
	f.submit(testJob(1, 1, true))
	f.report(held, end(first, 1, work.OutcomeStopped))
	if len(f.started[held]) != 0 || f.startCount() != 1 {
		t.Fatalf("starts %+v, want one that is not at %s", f.started, held)
	}
	for _, starts := range f.started {
		if starts[0].Run.Number <= first.Run.Number {
			t.Errorf("run %d after run %d", starts[0].Run.Number, first.Run.Number)
		}
	}
}

// Guards against callers that wait for a cancelled best-effort job until their time is up, and
// against a submission that starts it anew, before or after its runs have ended.
func TestCancelledBestEffortJob(t *testing.T) {
	f := newFixture(t, 1).attach()
	id := testJob(1, 1, true).ID
	f.submit(testJob(1, 1, true))
	if known, stored := f.table.Cancel(f.now, testQueue, id); !known || !stored {
		t.Errorf("known %v, stored %v, want an answer at once", known, stored)
	}
	want := []BestEffortResult{{Job: id, State: work.StateCancelled, Reason: reasonCancelled}}
	if diff := cmp.Diff(want, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	for _, stopped := range []bool{false, true} {
		if stopped {
			f.report("h0", end(f.started["h0"][0], 1, work.OutcomeStopped))
		}
		if status, reason := f.table.Submit(f.now, testJob(1, 1, true)); status != SubmitRefused || reason != reasonCancelled {
			t.Errorf("runs ended %v: submit status %d, reason %q, want %d", stopped, status, reason, SubmitRefused)
		}
	}
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
	f.advance(recentRetention + time.Second)
	if f.table.HasJob(id) {
		t.Error("still in the table after its retention")
	}
}

// Guards against a start of a submission that waits for a job to be stopped when that is cancelled,
// and against its caller waiting on.
func TestCancelledResubmission(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	f.submit(longJob(1))
	f.table.Cancel(f.now, testQueue, longJob(1).ID)
	want := []BestEffortResult{{Job: longJob(1).ID, State: work.StateCancelled, Reason: reasonCancelled}}
	if diff := cmp.Diff(want, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	f.report(d.Agent, end(f.started[d.Agent][0], 1, work.OutcomeStopped))
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

// Guards against runs with the numbers of earlier ones, and against the answer that a job has not
// run, after a submission in between that started nothing.
func TestRunNumbersOutlastASubmissionWithoutStarts(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	first := f.started[d.Agent][0]
	f.report(d.Agent, end(first, 1, work.OutcomeStopped))
	id := testJob(1, 1, true).ID
	f.table.HoldBestEffort(f.now.Add(50 * time.Millisecond))
	f.submit(testJob(1, 1, true))
	if f.table.Abandon(f.now, id, "left") {
		t.Error("reported as not started although an earlier submission has started")
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.submit(testJob(1, 1, true))
	if got := f.startCount(); got != 2 {
		t.Fatalf("%d starts, want 2", got)
	}
	if last := f.started[d.Agent][1]; last.Run.Number <= first.Run.Number {
		t.Errorf("run %d after run %d", last.Run.Number, first.Run.Number)
	}
}

// Guards against runs with the numbers of earlier ones after a submission in between that found no
// room in time: an agent takes such a start for the repetition of one whose run has ended, and the
// task is neither run nor reported (found by TestCallerComesBackWhileItsJobIsStopped).
func TestRunNumbersOutlastASubmissionWithoutRoom(t *testing.T) {
	f, d := stoppedFixture(t, 1)
	first := f.started[d.Agent][0]
	f.report(d.Agent, end(first, 1, work.OutcomeStopped))
	f.table.HoldBestEffort(f.now.Add(2 * time.Second))
	f.submit(testJob(1, 1, true))
	f.advance(2 * time.Second)
	if results := f.table.Results(); len(results) != 1 || results[0].Unstarted {
		t.Fatalf("results %+v, want one, after a start", results)
	}
	f.submit(testJob(1, 1, true))
	if got := f.startCount(); got != 2 {
		t.Fatalf("%d starts, want 2", got)
	}
	if last := f.started[d.Agent][1]; last.Run.Number <= first.Run.Number {
		t.Errorf("run %d after run %d", last.Run.Number, first.Run.Number)
	}
}

// Guards against a durable job that never ends, since its run has the number of one that its coordinator has
// given up there for a best-effort job with its id: the agent takes the start for a copy of that one's.
func TestDurableJobContinuesTheRunNumbersOfAnAbandonedOne(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, true))
	f.table.Abandon(f.now, testJob(1, 1, true).ID, "test")
	f.takeDispatches()
	f.report("h0", end(f.started["h0"][0], 1, work.OutcomeStopped))
	f.submit(testJob(1, 1, false))
	f.commit()
	starts := f.started["h0"]
	if len(starts) != 2 || !starts[1].Durable || starts[1].Run.Number != 2 {
		t.Errorf("starts %v, want run 2 of the durable job", starts)
	}
}

// Guards against jobs that count as new although they have waited for long before they got into the table: they go
// ahead of jobs that can still be in time. Their callers still wait, so they run.
func TestObjectiveCountsFromTheSubmission(t *testing.T) {
	objective := testJob(1, 1, true).Objective()
	for name, age := range map[string]time.Duration{"new": 0, "late": objective, "very late": abandonFactor * objective} {
		t.Run(name, func(t *testing.T) {
			f := newOwner(t, 1)
			j := testJob(1, 1, true)
			j.SubmittedAt = f.now.Add(-age)
			if got, reason := f.table.Submit(f.now, j); got != SubmitPending {
				t.Fatalf("submission of age %s: status %d (%s), want %d", age, got, reason, SubmitPending)
			}
			if due := f.table.jobs[j.ID].due; !due.Equal(j.SubmittedAt.Add(objective)) {
				t.Errorf("due %s after the submission, want %s", due.Sub(j.SubmittedAt), objective)
			}
			f.table.Tick(f.now)
			f.takeDispatches()
			if got := f.startCount(); got != 1 {
				t.Errorf("%d starts, want 1", got)
			}
		})
	}
}
