package jobs

import (
	"fmt"
	"slices"
	"time"

	"carobpulley/work"
)

// SubmitStatus is the result of a submission.
type SubmitStatus int

// Results of a submission.
const (
	// SubmitPending means that the answer follows: for a durable job once it is
	// stored, for a best-effort job once it has ended.
	SubmitPending SubmitStatus = iota
	// SubmitComplete means that the submission repeats one whose answer is known: the
	// durable job is stored, or the best-effort job has ended.
	SubmitComplete
	// SubmitRefused means that the job is not accepted.
	SubmitRefused
	// SubmitConflict means that the job is not accepted since another job has its id.
	SubmitConflict
	// SubmitUnreadable means that the job is stored, but not whether it has run or will: its records
	// can't be read.
	SubmitUnreadable
)

// Submit handles a submission. The returned reason is set unless the status is SubmitPending or
// SubmitComplete.
func (t *Table) Submit(now time.Time, spec *work.Job) (SubmitStatus, string) {
	j := t.jobs[spec.ID]
	if j != nil {
		difference := j.difference(spec)
		t.logRepeated(j, difference)
		switch {
		case difference == "":
		case j.phase == phaseStoring:
			return SubmitRefused, "another job with the id is being stored"
		default:
			return SubmitConflict, "another job has the id, with another " + difference
		}
	}
	if spec.BestEffort {
		return t.submitBestEffort(now, spec)
	}
	if j != nil {
		if j.phase == phaseStoring {
			return SubmitPending, ""
		}
		if j.phase == phaseUnreadable {
			return SubmitUnreadable, ReasonUnreadable
		}
		return SubmitComplete, ""
	}
	if reason := t.refusalReason(now, spec); reason != "" {
		return SubmitRefused, reason
	}
	number := work.ShardOf(spec.ID, t.cfg.Shards)
	spec.Epoch = t.shards[number].epoch
	spec.AcceptedMS = now.UnixMilli()
	j = newJob(spec, number, now)
	t.recallAbandoned(j)
	t.jobs[spec.ID] = j
	t.markDirty(j)
	return SubmitPending, ""
}

// DecidedState returns the state of a job, which may not be stored yet, and why it has failed. It is
// empty for an unknown job.
func (t *Table) DecidedState(id string) (state work.State, reason string) {
	if j := t.jobs[id]; j != nil {
		return j.state, j.reason
	}
	return "", ""
}

// Abandon cancels a best-effort job that no caller waits for any more. unstarted is
// set if no run of it has begun or will begin, not even of an earlier submission.
func (t *Table) Abandon(now time.Time, id, reason string) (unstarted bool) {
	j := t.jobs[id]
	if j == nil || j.durable() {
		return false
	}
	if j.state.Ended() {
		t.withdrawResubmission(j, reason)
		return false
	}
	unstarted = j.neverBegan()
	decision := Decision{Job: id, Event: "given up", Reason: reason}
	if n := j.placedCount(); n > 0 {
		decision.Reason += fmt.Sprintf(", with runs of %d tasks that are not known to have ended", n)
	}
	t.logDecision(decision)
	t.rememberAbandoned(now, j)
	t.finishJob(now, j, work.StateCancelled)
	return unstarted
}

// abandonUnstarted cancels best-effort jobs of which no run has begun by the time from
// which their answer has no value, or while no endpoint can run them, so that their callers are
// answered at once.
func (t *Table) abandonUnstarted(now time.Time) {
	w := t.waitingWork(now)
	type abandoned struct {
		job    *job
		reason string
	}
	var all []abandoned
	for _, g := range t.ready {
		reason := ""
		if !g.job.durable() && !g.job.mayHaveBegun() {
			reason = t.hopeless(now, g, w)
		}
		if reason != "" {
			all = append(all, abandoned{g.job, reason})
		} else if g.late(now) {
			w.lateAhead[t.service(g.job)] += g.cpu()
		}
	}
	for _, a := range all {
		if a.job.state.Ended() {
			continue // for another of its groups
		}
		t.results = append(t.results, BestEffortResult{Job: a.job.id, State: work.StateCancelled, Unstarted: a.job.neverBegan(), Reason: a.reason})
		t.logDecision(Decision{Job: a.job.id, Event: "given up", Reason: a.reason})
		t.rememberAbandoned(now, a.job)
		t.finishJob(now, a.job, work.StateCancelled)
	}
}

// hopeless returns why the tasks of a waiting group can't start in time, beside the work that waits before
// them; empty if they can.
func (t *Table) hopeless(now time.Time, g *taskGroup, w *waitingWork) string {
	if now.After(g.job.abandonAt) {
		return "no room in time"
	}
	if reason := t.tooLate(now, g, w); reason != "" {
		return reason
	}
	service, step := t.service(g.job), &g.job.spec.Steps[g.step]
	for _, a := range t.active {
		if a.attached && a.endpoint.Ready && a.canRun(service, step) && !t.outOfService[a.endpoint.Domain] {
			return ""
		}
	}
	if t.starting(now, service, step) || t.canGrow(now, g.cpu()) && len(t.extraAgents(now, service, step, g.cpu())) > 0 {
		return ""
	}
	return reasonNoEndpoint
}

// Withdraw removes a submission that is not in a batch yet. It reports false if the
// job is stored or may be.
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

// State returns the stored state of a job and whether the job is known. A queued job
// is shown as running once a run may have begun, and as queued again if all its starts turn out to have
// been refused; that of an unreadable one is empty.
func (t *Table) State(queue, id string) (work.State, bool) {
	j := t.jobs[id]
	if j == nil || j.phase == phaseStoring || j.queue != "" && j.queue != queue {
		return "", false
	}
	if j.storedState == work.StateQueued && j.mayHaveBegun() {
		return work.StateRunning, true
	}
	return j.storedState, true
}

// Cancel cancels a job. stored is set if the job's end is stored already or need not be, so that
// the caller can be answered at once. An unreadable job is not cancelled: it may have ended otherwise.
func (t *Table) Cancel(now time.Time, queue, id string) (known, stored bool) {
	j := t.jobs[id]
	if j == nil || j.queue != "" && j.queue != queue {
		return false, false
	}
	if !j.durable() {
		t.cancelBestEffort(now, j)
		return true, true
	}
	if j.storedState.Ended() {
		return true, true
	}
	if j.state.Ended() || j.phase == phaseUnreadable {
		return true, false
	}
	t.finishJob(now, j, work.StateCancelled)
	t.logDecision(Decision{Job: id, Event: "cancelled", Reason: "its caller asked"})
	return true, false
}

// PendingCount returns the number of accepted jobs of a queue in the given shards, and of best-effort jobs here, of
// which no run has begun or may have, also of those whose starts were refused.
func (t *Table) PendingCount(queue string, shards []int) int {
	n := 0
	for _, j := range t.jobs {
		if j.queue != queue || j.phase != phaseActive || j.state.Ended() || j.mayHaveBegun() {
			continue
		}
		if !j.durable() || slices.Contains(shards, j.shard) {
			n++
		}
	}
	return n
}

// finishJob sets a job's final state and stops its runs.
func (t *Table) finishJob(now time.Time, j *job, state work.State) {
	j.state = state
	j.endedAt = now
	t.dropGroups(j)
	for step := range j.tasks {
		for i := range j.tasks[step] {
			t.stopTask(&j.tasks[step][i])
		}
	}
	if j.durable() {
		t.markDirty(j)
		return
	}
	if state != work.StateCancelled {
		t.results = append(t.results, BestEffortResult{Job: j.id, State: state, Reason: j.reason})
	}
	j.storedState = state
	t.retire(now, j)
}

// markDirty adds a durable job to its shard's next batch.
func (t *Table) markDirty(j *job) {
	if j.dirty || !j.durable() || j.phase == phaseUnreadable && j.ends == nil {
		return
	}
	j.dirty = true
	if s := t.shards[j.shard]; s != nil {
		s.dirty = append(s.dirty, j)
	}
}

// HasJob reports whether a job is in the table.
func (t *Table) HasJob(id string) bool { return t.jobs[id] != nil }

// BeingStopped reports whether a best-effort job was given up and its runs are not known to have ended.
func (t *Table) BeingStopped(id string) bool {
	j := t.jobs[id]
	return j != nil && !j.durable() && j.state == work.StateCancelled && !j.cancelRequested && j.phase != phaseEnded
}
