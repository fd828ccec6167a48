package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// handleEnds handles the ends that an agent reports.
func (t *Table) handleEnds(now time.Time, a *agentState, ends []work.End) {
	for i := range ends {
		t.handleEnd(now, a, &ends[i])
	}
}

func (t *Table) handleEnd(now time.Time, a *agentState, e *work.End) {
	tk := t.taskAt(a, e.Run)
	if tk == nil {
		t.handleEndWithoutTask(now, a, e)
		return
	}
	if tk.phase == taskDone || !t.isCurrentRun(a, tk, e) {
		t.handleEarlierEnd(now, a, tk, e)
		return
	}
	tk.recordBack(neverBegun(e))
	t.observeEnd(now, a, tk, e)
	if tk.phase != taskPlaced {
		tk.inheritedRun = max(tk.inheritedRun, e.Run.Number)
	}
	t.unassign(tk)
	tk.run = max(tk.run, e.Run.Number)
	tk.requireProof(a.attachedAt)
	switch e.Outcome {
	case work.OutcomeDone:
		t.handleTaskDone(now, a, tk, e)
	case work.OutcomeFailed:
		t.handleTaskFailed(now, a, tk, e)
	case work.OutcomeCrashed:
		t.handleTaskCrashed(now, a, tk, e)
	default:
		t.logDecision(Decision{Job: tk.job.id, Task: e.Run.Task, Run: e.Run.Number, Agent: a.name, Event: string(e.Outcome), Reason: "told by the agent"})
		t.ackEnd(a, e)
		if e.Outcome == work.OutcomeNotStarted || e.Outcome == work.OutcomeLost {
			tk.avoid = a
			tk.inferred = &inference{basis: string(e.Outcome), run: e.Run, agent: a.name, at: now}
		}
		t.enqueueTask(now, tk)
	}
	t.retireIfStored(now, tk.job)
}

// handleEarlierEnd handles an end that is not that of the task's current run. A failure that an earlier
// owner has not stored counts, also if that owner had started the task again.
func (t *Table) handleEarlierEnd(now time.Time, a *agentState, tk *task, e *work.End) {
	counts := tk.phase != taskDone && tk.job.takeoverPending && e.Outcome == work.OutcomeFailed
	if !counts || tk.failures.includes(e.Run.Number) {
		t.ackIgnored(now, a, tk.job, e)
		return
	}
	tk.job.begun = true
	t.countFailure(now, a, tk, e)
}

// isCurrentRun reports whether an end belongs to the task's current run: the run
// placed at the agent or, while a takeover is pending, a run of an earlier owner whose
// task has not been placed since, unless it is a failure that is counted already.
func (t *Table) isCurrentRun(a *agentState, tk *task, e *work.End) bool {
	if tk.phase == taskPlaced {
		return tk.agent == a && tk.run == e.Run.Number
	}
	repeated := e.Outcome == work.OutcomeFailed && tk.failures.includes(e.Run.Number)
	return tk.job.takeoverPending && tk.run <= e.Run.Number && !repeated
}

// ackEnd acknowledges an end of which nothing has to be stored.
func (t *Table) ackEnd(a *agentState, e *work.End) {
	if e.Sequence > 0 {
		a.acked = append(a.acked, e.Sequence)
	}
}

// ackIgnored acknowledges an end that changes nothing. It may repeat an end that is
// not stored yet, so it is acknowledged only after the job's pending changes are
// stored.
func (t *Table) ackIgnored(now time.Time, a *agentState, j *job, e *work.End) {
	if j.dirty || j.inBatch {
		t.ackAfterStore(a, j, e)
		return
	}
	if !j.durable() {
		t.ackEnd(a, e)
		return
	}
	t.ackAfterConfirmation(now, a, e)
}

// ackAfterStore acknowledges an end once the job's changes are stored, or at once for
// a best-effort job.
func (t *Table) ackAfterStore(a *agentState, j *job, e *work.End) {
	if !j.durable() {
		t.ackEnd(a, e)
		return
	}
	if e.Sequence > 0 {
		j.acks = append(j.acks, ack{agent: a.name, generation: a.generation, number: e.Sequence})
	}
	t.markDirty(j)
}

func (t *Table) handleTaskDone(now time.Time, a *agentState, tk *task, e *work.End) {
	j := tk.job
	a.recordSuccess(now, tk, e, t.learnFrom(now, a, tk, e))
	if e.ElapsedMS > 0 {
		t.turnover.Record(tk.job.spec.Queue.Priority, tk.resources().CPU, time.Duration(e.ElapsedMS)*time.Millisecond)
	}
	tk.phase = taskDone
	j.remaining[tk.step]--
	t.ackAfterStore(a, j, e)
	if j.state.Ended() {
		return
	}
	if j.done() {
		t.finishJob(now, j, work.StateCompleted)
		if j.durable() {
			t.logDecision(Decision{Job: j.id, Agent: a.name, Event: "completed", Reason: "its last task ended"})
		}
		return
	}
	if j.remaining[tk.step] == 0 {
		t.enqueueDependents(j, tk.step)
	}
}

func (t *Table) handleTaskFailed(now time.Time, a *agentState, tk *task, e *work.End) {
	tk.avoid = a
	t.countFailure(now, a, tk, e)
	t.enqueueTask(now, tk)
}

// countFailure counts a failed run, and fails the job if its task may fail no more.
func (t *Table) countFailure(now time.Time, a *agentState, tk *task, e *work.End) {
	j := tk.job
	t.recordFailure(now, a, tk, false)
	tk.failures.add(e.Run.Number)
	t.ackAfterStore(a, j, e)
	t.logDecision(Decision{Job: j.id, Task: e.Run.Task, Run: e.Run.Number, Agent: a.name, Event: "failed", Reason: "told by the runner"})
	t.failIfUsedUp(now, tk)
}

// failIfUsedUp fails a job if its task may fail no more.
func (t *Table) failIfUsedUp(now time.Time, tk *task) {
	j := tk.job
	if j.state.Ended() {
		return
	}
	if limit := t.maxAttempts(j); limit > 0 && tk.failures.count >= limit {
		t.finishJob(now, j, work.StateFailed)
		t.logDecision(Decision{Job: j.id, Task: tk.name(), Event: "failed", Reason: "its attempts are used up"})
	}
}

// maxAttempts returns the maximum number of failed runs of a task: from the
// configuration in force or, if that lacks the queue, from the one under which the job
// was accepted. Without a positive value there is no limit.
func (t *Table) maxAttempts(j *job) int {
	if t.routing != nil {
		if q, ok := t.routing.Queue(j.queue); ok {
			return q.MaxAttempts
		}
	}
	return j.spec.Queue.MaxAttempts
}

// requeueTask requeues a task whose run is over without a reported end.
func (t *Table) requeueTask(now time.Time, tk *task) {
	t.unassign(tk)
	t.enqueueTask(now, tk)
	t.retireIfStored(now, tk.job)
}

// endBestEffortRuns requeues the tasks of best-effort jobs at an agent that has restarted. It knows none of
// these runs: an end that it finds at its endpoint may be that of another coordinator's run of the same
// number, and is told to the owner of the shard as a durable job may need it.
func (t *Table) endBestEffortRuns(now time.Time, a *agentState) {
	for tk := range a.placed {
		if tk.job.durable() {
			continue
		}
		t.inferEnd(now, tk, basisRestarted, Decision{Event: "not run", Reason: "its agent has restarted"})
	}
}

// retireIfStored retires an ended job that has no unstored changes and no placed run.
func (t *Table) retireIfStored(now time.Time, j *job) {
	if j.storedState.Ended() && !j.dirty && !j.inBatch {
		t.retire(now, j)
	}
}

// unassign removes a placed task from its agent and frees its resources there.
func (t *Table) unassign(tk *task) {
	if tk.phase != taskPlaced {
		return
	}
	a := tk.agent
	tk.setSent(false)
	delete(a.placed, tk)
	a.free = a.free.Add(tk.resources())
	if a.probe == tk {
		a.probe = nil
	}
	t.addKind(tk, a, -tk.cpu())
	tk.phase = taskWaiting
	tk.agent = nil
	tk.stopping = false
}

// stopTask adds the stop of a task's run to the agent's next dispatch.
func (t *Table) stopTask(tk *task) {
	if tk.phase != taskPlaced || tk.stopping {
		return
	}
	tk.stopping = true
	tk.stopCheckAt = time.Time{}
	d := t.pendingDispatch(tk.agent)
	d.Stops = append(d.Stops, tk.key())
}

// recordSuccess clears the endpoint's failures after a successful run and updates its
// run time ratio, without the factor by which the tasks beside it have slowed the run down.
func (a *agentState) recordSuccess(now time.Time, tk *task, e *work.End, slowdown float64) {
	a.lastDoneAt = now
	clear(a.failedJobs)
	a.recordHealthy()
	estimate := float64(tk.estimate().Milliseconds())
	if estimate <= 0 || e.ElapsedMS <= 0 {
		return
	}
	ratio := min(max(float64(e.ElapsedMS)/estimate/slowdown, minRunTimeRatio), maxRunTimeRatio)
	a.runTimeSamples++
	weight := max(minRunTimeWeight, 1/float64(a.runTimeSamples))
	a.runTimeRatio += (ratio - a.runTimeRatio) * weight
}

// recordHealthy ends the time in which the endpoint counts as unhealthy.
func (a *agentState) recordHealthy() {
	a.unhealthyPeriod = 0
	a.unhealthyUntil = time.Time{}
	a.probing = false
}

// recordFailure counts a failed or overdue run of a task and marks the endpoint unhealthy after
// failures of unhealthyAfterJobs jobs, or after the failure of a probe. Runs that were placed before
// the endpoint counted as unhealthy tell nothing new: with ten of them, which fail together, it would
// get no probe for maxUnhealthyPeriod.
func (t *Table) recordFailure(now time.Time, a *agentState, tk *task, overdue bool) {
	a.failedJobs[tk.job.id] = a.failedJobs[tk.job.id] || !overdue
	if len(a.failedJobs) < unhealthyAfterJobs && !a.probing || a.probing && tk.placedAt.Before(a.unhealthyUntil) {
		return
	}
	a.unhealthyPeriod = min(max(2*a.unhealthyPeriod, minUnhealthyPeriod), maxUnhealthyPeriod)
	a.unhealthyUntil = now.Add(a.unhealthyPeriod)
	a.probing = true
	t.logDecision(Decision{
		Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: a.name, Event: "unhealthy",
		Reason: fmt.Sprintf("runs of %d jobs have failed or were overdue there without a success; no tasks for %d ms", len(a.failedJobs), a.unhealthyPeriod.Milliseconds()),
	})
}
