package jobs

import (
	"time"

	"carobpulley/work"
)

// Verdict is what becomes of a submission.
type Verdict int

// Verdicts on a submission.
const (
	// VerdictWait says that the answer follows once the job is stored.
	VerdictWait Verdict = iota
	// VerdictStored says that the job was stored before.
	VerdictStored
	// VerdictRefused says that the job is not taken.
	VerdictRefused
)

// Submit takes a submission. The reason is set for a refusal.
func (t *Table) Submit(now time.Time, spec *work.Job) (Verdict, string) {
	if spec.BestEffort {
		return t.submitVolatile(now, spec)
	}
	if j := t.jobs[spec.ID]; j != nil {
		if j.phase == phaseStoring {
			return VerdictWait, ""
		}
		return VerdictStored, ""
	}
	if reason := t.admit(now, spec); reason != "" {
		return VerdictRefused, reason
	}
	number := work.ShardOf(spec.ID, t.cfg.Shards)
	spec.Epoch = t.shards[number].epoch
	spec.AcceptedMS = now.UnixMilli()
	j := newJob(spec, number, now)
	t.jobs[spec.ID] = j
	t.touch(j)
	return VerdictWait, ""
}

// submitVolatile takes a job that is not kept: it starts at once, and its caller
// waits for its end.
func (t *Table) submitVolatile(now time.Time, spec *work.Job) (Verdict, string) {
	if j := t.jobs[spec.ID]; j != nil {
		if j.state.Ended() {
			return VerdictStored, ""
		}
		return VerdictWait, ""
	}
	if reason := t.admit(now, spec); reason != "" {
		return VerdictRefused, reason
	}
	j := newJob(spec, volatileShard, now)
	j.phase = phaseActive
	t.jobs[spec.ID] = j
	t.enqueueJob(j)
	t.Place(now)
	return VerdictWait, ""
}

// DecidedState returns the state of a job as decided.
func (t *Table) DecidedState(id string) work.State {
	if j := t.jobs[id]; j != nil {
		return j.state
	}
	return ""
}

// Abandon ends a job that is not kept and that nobody waits for any more.
// Unstarted is set if none of its tasks has started or can start.
func (t *Table) Abandon(now time.Time, id, why string) (unstarted bool) {
	j := t.jobs[id]
	if j == nil || j.kept() || j.state.Ended() {
		return false
	}
	unstarted = !j.started
	t.decide(Decision{Job: id, Event: "given up", Reason: why})
	t.finishJob(now, j, work.StateCancelled)
	return unstarted
}

// giveUp ends jobs that have not started when their end is worth nothing any
// more, so that their callers know at once.
func (t *Table) giveUp(now time.Time) {
	for n := 0; n < len(t.ready); n++ {
		j := t.ready[n].job
		if j.kept() || j.started || !now.After(j.late) {
			continue
		}
		t.finished = append(t.finished, BestEffortResult{Job: j.id, State: work.StateCancelled, Unstarted: true, Reason: "no room in time"})
		t.decide(Decision{Job: j.id, Event: "given up", Reason: "no room in time"})
		t.finishJob(now, j, work.StateCancelled)
		n = -1
	}
}

// Withdraw forgets a submission that was not sent to the store. It reports false
// if the job may be stored.
func (t *Table) Withdraw(id string) bool {
	j := t.jobs[id]
	if j == nil {
		return true
	}
	if j.phase != phaseStoring || j.inBatch {
		return false
	}
	delete(t.jobs, id)
	j.phase = phaseEnded
	return true
}

// State returns the stored state of a job.
func (t *Table) State(queue, id string) (work.State, bool) {
	j := t.jobs[id]
	if j == nil || j.phase == phaseStoring || j.queue != "" && j.queue != queue {
		return "", false
	}
	if j.shown == work.StateQueued && j.started {
		return work.StateRunning, true
	}
	return j.shown, true
}

// Cancel cancels a job. Stored is set if nothing has to be stored before the
// answer.
func (t *Table) Cancel(now time.Time, queue, id string) (known, stored bool) {
	j := t.jobs[id]
	if j == nil || j.queue != "" && j.queue != queue {
		return false, false
	}
	if j.shown.Ended() {
		return true, true
	}
	if j.state.Ended() {
		return true, false
	}
	t.finishJob(now, j, work.StateCancelled)
	t.decide(Decision{Job: id, Event: "cancelled", Reason: "its caller asked"})
	return true, false
}

// Pending counts the jobs of a queue for which no task has started.
func (t *Table) Pending(queue string) int {
	n := 0
	for _, j := range t.jobs {
		if j.queue == queue && j.phase == phaseActive && !j.started && !j.state.Ended() {
			n++
		}
	}
	return n
}

// finishJob decides a job's final state and stops what still runs of it.
func (t *Table) finishJob(now time.Time, j *job, state work.State) {
	j.state = state
	j.endedAt = now
	t.dropUnits(j)
	for step := range j.tasks {
		for i := range j.tasks[step] {
			t.stopTask(&j.tasks[step][i])
		}
	}
	if j.kept() {
		t.touch(j)
		return
	}
	if state != work.StateCancelled {
		t.finished = append(t.finished, BestEffortResult{Job: j.id, State: state})
	}
	j.shown = state
	t.retire(j)
}

// touch marks a job for the next batch.
func (t *Table) touch(j *job) {
	if j.dirty || !j.kept() {
		return
	}
	j.dirty = true
	if s := t.shards[j.shard]; s != nil {
		s.dirty = append(s.dirty, j)
	}
}

// HasJob reports whether a job is in the table.
func (t *Table) HasJob(id string) bool { return t.jobs[id] != nil }
