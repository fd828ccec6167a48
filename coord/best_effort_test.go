package coord

import (
	"testing"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/work"
)

// Guards against an answer of success for a best-effort job that has not run to its end, whatever
// the state of the job, and against the answer that a started job has not run.
func TestBestEffortAnswers(t *testing.T) {
	for _, state := range []work.State{"", work.StateQueued, work.StateRunning, work.StateCompleted, work.StateFailed, work.StateCancelled} {
		for _, unstarted := range []bool{false, true} {
			want := carobpulley.AnswerUnknown
			switch {
			case state == work.StateCompleted || state == work.StateFailed:
				want = carobpulley.AnswerOK
			case state == work.StateCancelled && unstarted:
				want = carobpulley.AnswerRefused
			}
			if a := bestEffortAnswer(jobs.BestEffortResult{State: state, Unstarted: unstarted}); a.Code != want {
				t.Errorf("state %q, unstarted %v: answer %+v, want code %d", state, unstarted, a, want)
			}
		}
	}
}
