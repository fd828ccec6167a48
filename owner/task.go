package owner

import (
	"time"

	"carobpulley"
)

// taskEnded takes a result. A doubled or reordered answer changes nothing,
// since only the newest attempt counts and an ended job stays as it is. A result
// after a refusal of the same attempt counts: the task must not start again.
func (t *Table) taskEnded(now time.Time, ev carobpulley.TaskEnded, out *[]carobpulley.Action) {
	j, k := t.task(ev.ID)
	if k == nil || k.attempt != ev.Attempt || j.settled() {
		return
	}
	late := k.phase == carobpulley.PhaseUnknown
	if k.phase.Ended() && !late {
		return
	}
	k.status, k.err = ev.Status, ev.Err
	if ev.Phase == carobpulley.PhaseDone {
		k.result = ev.Result
	}
	if late {
		k.phase = ev.Phase
		return
	}
	j.end(k, ev.Phase)
	t.settle(now, j, out)
}

// taskRefused puts a task back that its agent has refused for good in this attempt.
func (t *Table) taskRefused(now time.Time, ev carobpulley.TaskRefused, out *[]carobpulley.Action) {
	j, k := t.sent(ev.ID, ev.Attempt)
	if k == nil {
		return
	}
	k.lost, k.unresolved, k.endpoint = false, false, ""
	k.phase = carobpulley.PhaseWaiting
	switch {
	case ev.Kind == carobpulley.KindStaleEpoch:
		j.shard.stale = true
	case j.cancelled, ev.Kind == carobpulley.KindDeadline, !now.Before(j.spec.Deadline):
		k.err = string(ev.Kind)
		j.end(k, carobpulley.PhaseNotRun)
		t.settle(now, j, out)
	default:
		*out = append(*out, queueTask(now, j, ev.ID.Index))
	}
}

// taskLost asks for the outcome of a dispatch that got no answer.
func (t *Table) taskLost(now time.Time, ev carobpulley.TaskLost, out *[]carobpulley.Action) {
	j, k := t.sent(ev.ID, ev.Attempt)
	if k == nil || k.lost {
		return
	}
	k.lost = true
	*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(ev.ID.Index), At: now})
}

// taskUnresolved repeats the query until the deadline; after it the outcome of
// the task is unknown.
func (t *Table) taskUnresolved(now time.Time, ev carobpulley.TaskUnresolved, out *[]carobpulley.Action) {
	j, k := t.sent(ev.ID, ev.Attempt)
	if k == nil {
		return
	}
	k.lost, k.unresolved = true, true
	if now.Before(j.spec.Deadline) {
		*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(ev.ID.Index), At: now.Add(QueryBackoff)})
		return
	}
	t.unknown(now, j, k, "the agent did not answer before the deadline", out)
}

// taskGone ends a task whose agent is gone.
func (t *Table) taskGone(now time.Time, ev carobpulley.TaskGone, out *[]carobpulley.Action) {
	if j, k := t.sent(ev.ID, ev.Attempt); k != nil {
		t.unknown(now, j, k, "the agent is gone", out)
	}
}

// unknown ends a task that may or may not have started.
func (t *Table) unknown(now time.Time, j *job, k *task, msg string, out *[]carobpulley.Action) {
	k.err = msg
	j.end(k, carobpulley.PhaseUnknown)
	t.settle(now, j, out)
}

// sent returns a task whose newest attempt has no final answer, or nil.
func (t *Table) sent(id carobpulley.TaskID, attempt int) (*job, *task) {
	j, k := t.task(id)
	if k == nil || k.attempt != attempt {
		return nil, nil
	}
	if k.phase != carobpulley.PhaseDispatched && k.phase != carobpulley.PhaseRunning {
		return nil, nil
	}
	return j, k
}

// end moves a task to a final phase.
func (j *job) end(k *task, p carobpulley.Phase) {
	k.phase = p
	k.lost, k.unresolved = false, false
	j.open--
}

// endWaiting ends all tasks that were not dispatched.
func (t *Table) endWaiting(j *job, msg string, out *[]carobpulley.Action) {
	n := 0
	for i := range j.tasks {
		if k := &j.tasks[i]; k.phase == carobpulley.PhaseWaiting {
			k.err = msg
			j.end(k, carobpulley.PhaseNotRun)
			n++
		}
	}
	if n > 0 && j.held {
		*out = append(*out, carobpulley.DropTasks{Job: j.spec.ID})
	}
}

// queueAll queues all waiting tasks of a job.
func (t *Table) queueAll(now time.Time, j *job, out *[]carobpulley.Action) {
	for i := range j.tasks {
		if j.tasks[i].phase == carobpulley.PhaseWaiting {
			*out = append(*out, queueTask(now, j, i))
		}
	}
}

// queueTask returns the request to place a task.
func queueTask(now time.Time, j *job, i int) carobpulley.QueueTask {
	return carobpulley.QueueTask{Waiting: carobpulley.Waiting{
		Task:    carobpulley.TaskID{Job: j.spec.ID, Index: i},
		Service: j.spec.Service, Member: j.spec.ID.Member, Deadline: j.spec.Deadline, QueuedAt: now,
	}}
}

// settle concludes a job whose tasks have all ended. A complete answer is told
// at once, since the agents hold the results. Before the deadline any other
// waits for a second holder: a new owner that does not know it could start the
// tasks that it calls not run.
func (t *Table) settle(now time.Time, j *job, out *[]carobpulley.Action) {
	if j.open > 0 || j.settled() {
		return
	}
	j.final, j.err = j.conclude()
	if j.final == carobpulley.OutcomeComplete || !now.Before(j.spec.Deadline) {
		t.finish(now, j, out)
		return
	}
	*out = append(*out, carobpulley.HoldClaim{Claim: j.finalClaim()})
}

// finalClaim returns the claim with the final answer and without payloads.
func (j *job) finalClaim() carobpulley.Claim {
	running := j.outcome
	j.outcome = j.final
	a := j.answer()
	j.outcome = running
	c := j.claim()
	c.Spec.Payloads, c.Gone = nil, nil
	c.Answer = &a
	return c
}

// finish makes the answer of a settled job visible. Under a newer epoch another
// owner may go on with the job, so that only a complete answer holds.
func (t *Table) finish(now time.Time, j *job, out *[]carobpulley.Action) {
	if j.shard.stale && j.final != carobpulley.OutcomeComplete {
		return
	}
	c := j.finalClaim()
	t.retire(now, j)
	*out = append(*out, carobpulley.WriteJournal{Claim: c}, carobpulley.Finished{Answer: *c.Answer})
}
