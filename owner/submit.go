package owner

import (
	"errors"
	"time"

	"carobpulley"
)

// submit decides on a submission. The caller reads the state of a key that was
// not rejected with Answer.
func (t *Table) submit(now time.Time, ev carobpulley.Submitted, out *[]carobpulley.Action) {
	sh, err := t.check(now, ev)
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
		t.refuse(now, sh, ev, digest, err, out)
		return
	}
	j := newJob(sh, ev.Spec, digest)
	j.gone = ev.Gone
	j.held = t.other(ev.Receiver)
	t.store(j)
	*out = append(*out, carobpulley.WriteJournal{Claim: j.claim()})
	if !j.held {
		*out = append(*out, carobpulley.HoldClaim{Claim: j.claim()})
		return
	}
	t.queueAll(now, j, out)
}

// check refuses submissions that this table cannot decide on or that break a limit.
func (t *Table) check(now time.Time, ev carobpulley.Submitted) (*shard, *carobpulley.Error) {
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

// admit returns why a new key is refused, or nil.
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

// refuse remembers that a new key was refused, so that a late copy of the same
// submission does not start it. The refusal says "not run" only if a second
// entry knows it: the receiver, or the holder that HoldClaim finds.
func (t *Table) refuse(
	now time.Time, sh *shard, ev carobpulley.Submitted, digest uint64, err *carobpulley.Error, out *[]carobpulley.Action,
) {
	err.NotRun = t.refusals < MaxRefusals
	if !err.NotRun {
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: err})
		return
	}
	spec := ev.Spec
	spec.Payloads = nil
	j := newJob(sh, spec, digest)
	j.refused, j.final, j.err = true, carobpulley.OutcomeNotRun, err
	t.refusals++
	t.store(j)
	if t.other(ev.Receiver) {
		t.finish(now, j, out)
		*out = append(*out, carobpulley.Rejected{Job: spec.ID, Err: err})
		return
	}
	*out = append(*out, carobpulley.HoldClaim{Claim: j.finalClaim()})
}

// resubmit joins a submission to the job that has its key.
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
	if j.refused && j.outcome != carobpulley.OutcomeRunning {
		*out = append(*out, carobpulley.Rejected{Job: ev.Spec.ID, Err: j.err})
	}
}

// held notes a second holder, which lets tasks start or the answer be told.
func (t *Table) held(now time.Time, ev carobpulley.ClaimHeld, out *[]carobpulley.Action) {
	j := t.job(ev.Job)
	if j == nil || j.outcome != carobpulley.OutcomeRunning {
		return
	}
	if j.settled() {
		if ev.Answer {
			t.finish(now, j, out)
		}
		return
	}
	if j.held {
		return
	}
	j.held = true
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
	if j.settled() || j.cancelled {
		return
	}
	j.cancelled = true
	t.endWaiting(j, "cancelled", out)
	for i := range j.tasks {
		if k := &j.tasks[i]; k.phase == carobpulley.PhaseDispatched || k.phase == carobpulley.PhaseRunning {
			*out = append(*out, carobpulley.CancelTask{Dispatch: j.dispatch(i)})
		}
	}
	t.settle(now, j, out)
}

// other reports whether the name is that of another entry.
func (t *Table) other(entry string) bool {
	return entry != "" && entry != t.name
}
