package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// resubmission is a submission of a best-effort job that was given up, made while runs of the
// earlier submission are not known to have ended.
type resubmission struct {
	spec *work.Job
	at   time.Time
}

// submitBestEffort handles the submission of a best-effort job. Its tasks are queued
// at once, and its caller waits for its end. While the job is being stopped they are queued once its
// last run is known to have ended: before that they could run twice at a time.
func (t *Table) submitBestEffort(now time.Time, spec *work.Job) (SubmitStatus, string) {
	j := t.jobs[spec.ID]
	switch {
	case j == nil:
	case j.cancelRequested:
		return SubmitRefused, reasonCancelled
	case j.state == work.StateCancelled && !j.durable():
		if j.resubmission != nil {
			spec.AnswerBy = laterEnd(spec.AnswerBy, j.resubmission.spec.AnswerBy)
		}
		j.resubmission = &resubmission{spec: spec, at: now}
		return SubmitPending, ""
	case j.state.Ended():
		return SubmitComplete, ""
	default:
		// The caller is back and waits anew.
		j.acceptedAt = now
		j.answerBy = laterEnd(j.answerBy, spec.AnswerBy)
		return SubmitPending, ""
	}
	if reason := t.refusalReason(now, spec); reason != "" {
		return SubmitRefused, reason
	}
	t.acceptBestEffort(now, now, spec)
	t.PlaceReady(now)
	return SubmitPending, ""
}

// laterEnd returns the later of the times until which two callers of a job wait; zero if one is unknown.
func laterEnd(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	if a.After(b) {
		return a
	}
	return b
}

// acceptBestEffort adds a best-effort job that was submitted at a time and queues its tasks.
func (t *Table) acceptBestEffort(now, submittedAt time.Time, spec *work.Job) {
	j := newJob(spec, bestEffortShard, submittedAt)
	t.recallAbandoned(j)
	j.phase = phaseActive
	j.storedState = work.StateQueued
	t.jobs[spec.ID] = j
	t.enqueueJob(now, j)
}

// acceptResubmission starts the latest submission that waits for a job to be stopped. A refusal is no
// proof that the job has not run.
func (t *Table) acceptResubmission(now time.Time, r *resubmission) {
	if r == nil {
		return
	}
	if reason := t.refusalReason(now, r.spec); reason != "" {
		t.results = append(t.results, BestEffortResult{Job: r.spec.ID, State: work.StateCancelled, Reason: reason})
		t.logDecision(Decision{Job: r.spec.ID, Event: "given up", Reason: reason})
		return
	}
	t.acceptBestEffort(now, r.at, r.spec)
}

// reasonCancelled is why a best-effort job has no result after its cancellation.
const reasonCancelled = "cancelled at its caller's request"

// cancelBestEffort cancels a best-effort job and answers the callers that wait for it. The job is
// not started again by another submission.
func (t *Table) cancelBestEffort(now time.Time, j *job) {
	if j.state == work.StateCompleted || j.state == work.StateFailed {
		return
	}
	if !j.state.Ended() || j.resubmission != nil {
		t.results = append(t.results, BestEffortResult{Job: j.id, State: work.StateCancelled, Unstarted: j.neverBegan(), Reason: reasonCancelled})
		t.logDecision(Decision{Job: j.id, Event: "cancelled", Reason: "its caller asked"})
	}
	j.cancelRequested = true
	j.resubmission = nil
	j.endedAt = now
	if !j.state.Ended() {
		t.finishJob(now, j, work.StateCancelled)
	}
}

// withdrawResubmission drops the submission that waits for a job to be stopped.
func (t *Table) withdrawResubmission(j *job, reason string) {
	if j.resubmission == nil {
		return
	}
	j.resubmission = nil
	t.logDecision(Decision{Job: j.id, Event: "given up", Reason: reason})
}

// logRepeated logs a submission under the id of a job.
func (t *Table) logRepeated(j *job, difference string) {
	reason := fmt.Sprintf("it is %s, with runs of %d tasks that are not known to have ended", j.state, j.placedCount())
	if difference != "" {
		reason += ", and differs in " + difference
	}
	t.logDecision(Decision{Job: j.id, Event: "submitted again", Reason: reason})
}
