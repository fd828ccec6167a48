package jobs

import (
	"fmt"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// takeOver returns the fixture of a new owner that has the records stored at f.
func (f *fixture) takeOver() *fixture {
	f.t.Helper()
	next := newFixture(f.t, len(f.agents))
	records := make([]carobpulley.KeyedRecord, 0, len(f.stored))
	for _, r := range f.stored {
		records = append(records, r)
	}
	if errs := next.table.AcquireShard(next.now, 0, 2, records); len(errs) > 0 {
		f.t.Fatal(errs)
	}
	return next.attach()
}

func (f *fixture) endAll(outcome work.Outcome) {
	for _, name := range f.agents {
		for n, s := range f.started[name] {
			f.report(name, end(s, int64(n+1), outcome))
		}
	}
}

// knownJobs holds, by the phase of a job, how a fixture comes to have testJob(1, 2) in it.
var knownJobs = map[string]func(t *testing.T, f *fixture) *fixture{
	"durable, being stored": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, false))
		return f
	},
	"durable, running": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, false))
		f.commit()
		return f
	},
	"durable, completed": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, false))
		f.commit()
		f.endAll(work.OutcomeDone)
		f.commit()
		return f
	},
	"durable, running, taken over": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, false))
		f.commit()
		return f.takeOver()
	},
	"durable, completed, taken over": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, false))
		f.commit()
		f.endAll(work.OutcomeDone)
		f.commit()
		return f.takeOver()
	},
	"best-effort, running": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, true))
		return f
	},
	"best-effort, completed": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, true))
		f.endAll(work.OutcomeDone)
		return f
	},
	"best-effort, being stopped": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, true))
		f.table.Abandon(f.now, testJob(1, 2, true).ID, "test")
		f.takeDispatches()
		return f
	},
	"best-effort, being stopped, submitted again": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, true))
		f.table.Abandon(f.now, testJob(1, 2, true).ID, "test")
		f.submit(testJob(1, 2, true))
		return f
	},
	"best-effort, cancelled": func(_ *testing.T, f *fixture) *fixture {
		f.submit(testJob(1, 2, true))
		f.table.Cancel(f.now, testQueue, testJob(1, 2, true).ID)
		f.takeDispatches()
		return f
	},
}

// otherJobs holds, by what differs, submissions with the id of testJob(1, 2).
var otherJobs = map[string]func(j *work.Job){
	"queue":      func(j *work.Job) { j.Queue.Name = "other" },
	"durability": func(j *work.Job) { j.BestEffort = !j.BestEffort },
	"spec":       func(j *work.Job) { j.Spec = "y" },
	"tasks":      func(j *work.Job) { j.Steps[0].Count = 1 },
	"steps":      func(j *work.Job) { j.Steps = append(j.Steps, j.Steps[0]) },
}

// Guards against a submission that joins another job which has its id, and gets that one's answer: a
// result that is not its own, or the word that it is stored.
func TestSubmissionJoinsNoOtherJob(t *testing.T) {
	for phase, prepare := range knownJobs {
		for what, change := range otherJobs {
			t.Run(phase+", differs in "+what, func(t *testing.T) {
				f := prepare(t, newOwner(t, 2))
				durable := f.table.jobs[testJob(1, 2, false).ID].durable()
				before, starts := f.shown(), f.startCount()
				j := testJob(1, 2, !durable)
				change(j)
				if status, reason := f.table.Submit(f.now, j); status == SubmitPending || status == SubmitComplete || reason == "" || reason == reasonCancelled {
					t.Errorf("status %d, reason %q, want a refusal", status, reason)
				}
				f.table.Tick(f.now)
				f.takeDispatches()
				if got := f.shown(); got != before || f.startCount() != starts {
					t.Errorf("the job is shown as %s after %d starts, was %s after %d", got, f.startCount(), before, starts)
				}
			})
		}
	}
}

// shown returns what a GET of testJob(1, 2) tells.
func (f *fixture) shown() string {
	state, known := f.table.State(testQueue, testJob(1, 2, false).ID)
	return fmt.Sprint(state, known)
}

// Guards against a submission that repeats a job and is taken for another one, since the operators have
// changed its queue in between.
func TestRepeatedSubmissionIsTheSameJob(t *testing.T) {
	for phase, prepare := range knownJobs {
		f := prepare(t, newOwner(t, 2))
		j := testJob(1, 2, !f.table.jobs[testJob(1, 2, false).ID].durable())
		j.Queue = work.Queue{Name: testQueue, Service: "moved", Priority: 3, MaxAttempts: 9, Stretch: 2}
		j.AnswerBy = f.now.Add(time.Second)
		status, reason := f.table.Submit(f.now, j)
		if phase == "best-effort, cancelled" {
			if status != SubmitRefused || reason != reasonCancelled {
				t.Errorf("%s: status %d, reason %q", phase, status, reason)
			}
		} else if status != SubmitPending && status != SubmitComplete {
			t.Errorf("%s: status %d, reason %q, want the job's own answer", phase, status, reason)
		}
	}
}
