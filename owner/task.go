package owner

import (
	"time"

	"carobpulley"
)

// handleTaskEnded records a result. Duplicate and reordered answers change nothing, since
// only the newest attempt counts and an ended job does not change. A result that follows a
// refusal of the same attempt counts: the task must not start again. So does a result for a
// task that ended as unknown, while the job has other open tasks.
func (t *Table) handleTaskEnded(now time.Time, ev carobpulley.TaskEnded, out *[]carobpulley.Action) {
	j, k := t.task(ev.ID)
	if k == nil || k.attempt != ev.Attempt || j.concluded() {
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
	t.concludeIfEnded(now, j, out)
}

// handleTaskRefused requeues a task that its agent refused to start in this attempt. After a
// cancellation or the deadline it ends the task as not run instead. If the agent has seen a
// newer epoch, the task stays waiting and the shard becomes stale.
func (t *Table) handleTaskRefused(now time.Time, ev carobpulley.TaskRefused, out *[]carobpulley.Action) {
	j, k := t.dispatchedTask(ev.ID, ev.Attempt)
	if k == nil {
		return
	}
	k.querying, k.queryFailed, k.endpoint = false, false, ""
	k.phase = carobpulley.PhaseWaiting
	switch {
	case ev.Kind == carobpulley.KindStaleEpoch:
		j.shard.stale = true
	case j.cancelled, ev.Kind == carobpulley.KindDeadline, !now.Before(j.spec.Deadline):
		k.err = string(ev.Kind)
		j.end(k, carobpulley.PhaseNotRun)
		t.concludeIfEnded(now, j, out)
	default:
		*out = append(*out, queueTask(now, j, ev.ID.Index))
	}
}

// handleTaskLost queries the outcome of a dispatch that got no answer.
func (t *Table) handleTaskLost(now time.Time, ev carobpulley.TaskLost, out *[]carobpulley.Action) {
	j, k := t.dispatchedTask(ev.ID, ev.Attempt)
	if k == nil || k.querying {
		return
	}
	k.querying = true
	*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(ev.ID.Index), At: now})
}

// handleTaskUnresolved repeats the query until the deadline. After it the outcome of the
// task is unknown.
func (t *Table) handleTaskUnresolved(now time.Time, ev carobpulley.TaskUnresolved, out *[]carobpulley.Action) {
	j, k := t.dispatchedTask(ev.ID, ev.Attempt)
	if k == nil {
		return
	}
	k.querying, k.queryFailed = true, true
	if now.Before(j.spec.Deadline) {
		*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(ev.ID.Index), At: now.Add(QueryBackoff)})
		return
	}
	t.endAsUnknown(now, j, k, "the agent did not answer before the deadline", out)
}

// handleTaskGone ends a task whose agent is gone.
func (t *Table) handleTaskGone(now time.Time, ev carobpulley.TaskGone, out *[]carobpulley.Action) {
	if j, k := t.dispatchedTask(ev.ID, ev.Attempt); k != nil {
		t.endAsUnknown(now, j, k, "the agent is gone", out)
	}
}

// endAsUnknown ends a task that may or may not have started.
func (t *Table) endAsUnknown(now time.Time, j *job, k *task, msg string, out *[]carobpulley.Action) {
	k.err = msg
	j.end(k, carobpulley.PhaseUnknown)
	t.concludeIfEnded(now, j, out)
}

// dispatchedTask returns a task that is dispatched or running in the given attempt, or nil.
func (t *Table) dispatchedTask(id carobpulley.TaskID, attempt int) (*job, *task) {
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
	k.querying, k.queryFailed = false, false
	j.openTasks--
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
	if n > 0 && j.claimHeld {
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

// queueTask returns the action that queues a task.
func queueTask(now time.Time, j *job, i int) carobpulley.QueueTask {
	return carobpulley.QueueTask{Waiting: carobpulley.Waiting{
		Task:    carobpulley.TaskID{Job: j.spec.ID, Index: i},
		Service: j.spec.Service, Member: j.spec.ID.Member, Deadline: j.spec.Deadline, QueuedAt: now,
	}}
}

// concludeIfEnded decides the outcome of a job whose tasks have all ended. A complete
// answer is returned at once, since the agents hold the results. Before the deadline any
// other answer waits for a backup holder: a new owner without it could start the tasks that
// the answer calls not run.
func (t *Table) concludeIfEnded(now time.Time, j *job, out *[]carobpulley.Action) {
	if j.openTasks > 0 || j.concluded() {
		return
	}
	j.finalOutcome, j.err = j.decideOutcome()
	if j.finalOutcome == carobpulley.OutcomeComplete || !now.Before(j.spec.Deadline) {
		t.finish(now, j, out)
		return
	}
	*out = append(*out, carobpulley.HoldClaim{Claim: j.finalClaim()})
}

// finalClaim returns the claim with the final answer and without payloads.
func (j *job) finalClaim() carobpulley.Claim {
	outcome := j.outcome
	j.outcome = j.finalOutcome
	a := j.answer()
	j.outcome = outcome
	c := j.claim()
	c.Spec.Payloads, c.Gone = nil, nil
	c.Answer = &a
	return c
}

// finish publishes the answer of a concluded job. If a newer epoch was seen, another owner
// may have resumed the job, so that only a complete answer is published.
func (t *Table) finish(now time.Time, j *job, out *[]carobpulley.Action) {
	if j.shard.stale && j.finalOutcome != carobpulley.OutcomeComplete {
		return
	}
	c := j.finalClaim()
	t.retire(now, j)
	if !j.refused {
		*out = append(*out, carobpulley.WriteJournal{Claim: c})
	}
	*out = append(*out, carobpulley.Finished{Answer: *c.Answer})
}
