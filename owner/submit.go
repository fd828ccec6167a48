package owner

import (
	"errors"
	"time"

	"carobpulley"
)

// submit decides on a submission. Unless it is rejected, the caller reads the state of the
// key with Answer.
func (t *Table) submit(now time.Time, ev carobpulley.Submitted, out *[]carobpulley.Action) {
	sh, err := t.checkSubmission(now, ev)
	if err != nil {
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: err})
		return
	}
	digest := Digest(ev.Spec)
	if j := sh.jobs[ev.Spec.ID]; j != nil {
		t.resubmit(j, digest, ev, out)
		return
	}
	if err := admit(now, ev); err != nil {
		t.recordRefusal(sh, ev, digest, err, out)
		return
	}
	j := newJob(sh, ev.Spec, digest)
	j.departed = ev.Gone
	j.claimHeld = t.isOtherEntry(ev.Receiver)
	t.addJob(j)
	*out = append(*out, carobpulley.WriteJournal{Claim: j.claim()})
	if !j.claimHeld {
		*out = append(*out, carobpulley.HoldClaim{Claim: j.claim()})
		return
	}
	t.queueAll(now, j, out)
}

// checkSubmission rejects submissions that this table cannot decide on or that exceed a
// limit.
func (t *Table) checkSubmission(now time.Time, ev carobpulley.Submitted) (*shard, *carobpulley.Error) {
	sh := t.shard(ev.Spec.ID)
	if sh == nil || sh.stale {
		return nil, newError("submit", carobpulley.KindUnavailable, "the shard has no owner here")
	}
	if ev.Epoch != 0 && ev.Epoch != sh.epoch {
		return nil, newError("submit", carobpulley.KindUnavailable, "the shard changed its owner after the submission arrived")
	}
	if len(ev.Spec.Payloads) == 0 || len(ev.Spec.Payloads) > carobpulley.MaxTasks {
		return nil, newError("submit", carobpulley.KindInvalid, "a job has 1 to 120 tasks")
	}
	if sh.jobs[ev.Spec.ID] == nil && now.Before(t.unknownUntil[sh.index]) {
		return nil, newError("submit", carobpulley.KindUnknown, "the shard lost claims of an earlier owner")
	}
	return sh, nil
}

// admit returns the reason for which a new key is refused, or nil.
func admit(now time.Time, ev carobpulley.Submitted) *carobpulley.Error {
	if !now.Before(ev.Spec.Deadline) {
		return newError("submit", carobpulley.KindDeadline, "the deadline has passed")
	}
	if ev.Spec.Deadline.Sub(now) > MaxDeadline {
		return newError("submit", carobpulley.KindInvalid, "the deadline is more than 10 min ahead")
	}
	if ev.Admit == nil {
		return nil
	}
	err := ev.Admit(ev.Spec)
	if err == nil {
		return nil
	}
	var e *carobpulley.Error
	if !errors.As(err, &e) {
		return newError("submit", carobpulley.KindInternal, err.Error())
	}
	c := *e
	return &c
}

// recordRefusal stores the refusal of a new key, so that a late copy of the same submission
// does not start it. The refusal states "not run" only if a backup holder stores it too: the
// receiver that returns it, or the one that HoldClaim finds. At MaxRefusals it is not
// stored and does not state "not run".
func (t *Table) recordRefusal(
	sh *shard, ev carobpulley.Submitted, digest uint64, err *carobpulley.Error, out *[]carobpulley.Action,
) {
	err.NotRun = t.refusals < MaxRefusals
	if !err.NotRun {
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: err})
		return
	}
	spec := ev.Spec
	spec.Payloads = nil
	j := newJob(sh, spec, digest)
	j.refused, j.finalOutcome, j.err = true, carobpulley.OutcomeNotRun, err
	t.refusals++
	t.addJob(j)
	*out = append(*out, carobpulley.WriteJournal{Claim: j.finalClaim()})
	t.reportRefusal(j, ev.Receiver, out)
}

// reportRefusal returns the refusal to a receiver, which stores it before it returns it to
// the caller. A refusal that was sent to a receiver may not have arrived, so that without a
// receiver it is returned only once a backup holder has it.
func (t *Table) reportRefusal(j *job, receiver string, out *[]carobpulley.Action) {
	if t.isOtherEntry(receiver) || j.outcome != carobpulley.OutcomeRunning {
		*out = append(*out, carobpulley.Rejected{Job: j.spec.ID, Err: j.err})
		return
	}
	if !j.claimHeld {
		j.claimHeld = true
		*out = append(*out, carobpulley.HoldClaim{Claim: j.finalClaim()})
	}
}

// resubmit handles a submission whose key already has a job.
func (t *Table) resubmit(j *job, digest uint64, ev carobpulley.Submitted, out *[]carobpulley.Action) {
	if j.disputed() {
		err := newError("submit", carobpulley.KindUnknown, "claims of the key were lost or conflict")
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: err})
		return
	}
	if j.digest != digest {
		err := newError("submit", carobpulley.KindConflict, "the key is in use with another body")
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: err})
		return
	}
	if j.refused {
		t.reportRefusal(j, ev.Receiver, out)
	}
}

// handleClaimHeld records a backup holder, after which tasks may start or the answer may be
// returned.
func (t *Table) handleClaimHeld(now time.Time, ev carobpulley.ClaimHeld, out *[]carobpulley.Action) {
	j := t.job(ev.Job)
	if j == nil || j.outcome != carobpulley.OutcomeRunning {
		return
	}
	if j.concluded() {
		if ev.Answer {
			t.finish(now, j, out)
		}
		return
	}
	if j.claimHeld {
		return
	}
	j.claimHeld = true
	t.queueAll(now, j, out)
}

// cancel marks a job as cancelled and withdraws its tasks.
func (t *Table) cancel(now time.Time, id carobpulley.JobID, out *[]carobpulley.Action) {
	j := t.job(id)
	if j == nil {
		_, err := t.Answer(now, id)
		var e *carobpulley.Error
		errors.As(err, &e)
		*out = append(*out, carobpulley.Rejected{Job: id, Err: e})
		return
	}
	if j.concluded() || j.cancelled {
		return
	}
	j.cancelled = true
	t.endWaiting(j, "cancelled", out)
	for i := range j.tasks {
		if k := &j.tasks[i]; k.phase == carobpulley.PhaseDispatched || k.phase == carobpulley.PhaseRunning {
			*out = append(*out, carobpulley.CancelTask{Dispatch: j.dispatch(i)})
		}
	}
	t.concludeIfEnded(now, j, out)
}

// isOtherEntry reports whether the name is that of another entry.
func (t *Table) isOtherEntry(entry string) bool {
	return entry != "" && entry != t.name
}
