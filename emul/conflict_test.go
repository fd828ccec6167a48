package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a caller that gets the answer of another job with its id, from the job's owner, from
// a coordinator that forwards its call, or at the end of a best-effort job that it has joined.
func TestCallersWithOneIDGetTheirOwnAnswers(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		other := func(n int, bestEffort bool) *work.Job {
			j := testJob(n, bestEffort, 3)
			j.Spec = "y"
			return j
		}
		if a := submit(f, 0, testJob(1, false, 3)); a.Code != carobpulley.AnswerOK {
			t.Fatalf("answer %+v", a)
		}
		for at := range f.Coordinators {
			if a := submit(f, at, testJob(1, false, 3)); a.Code != carobpulley.AnswerOK {
				t.Errorf("coordinator %d: answer %+v to the job's own repetition", at, a)
			}
			if a := submit(f, at, other(1, false)); a.Code != carobpulley.AnswerConflict || a.Reason == "" {
				t.Errorf("coordinator %d: answer %+v to another job with the id", at, a)
			}
		}
		answers := make(chan carobpulley.JobAnswer, 1)
		go func() { answers <- submit(f, 1, testJob(2, true, 3)) }()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		for range 2 {
			if a := submit(f, 1, other(2, true)); a.Code != carobpulley.AnswerConflict || time.Since(began) > 20*time.Millisecond {
				t.Errorf("answer %+v after %s to another job with the id", a, time.Since(began))
			}
		}
		if a := <-answers; a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
			t.Errorf("answer %+v to the first submission", a)
		}
		f.Checker.CheckCompleted(testJob(2, true, 3))
		awaitEnd(t, f, 0, jobID(1), 2*time.Second)
		if got := f.Checker.RunCount(); got != 6 {
			t.Errorf("%d runs of 6 tasks", got)
		}
	})
}
