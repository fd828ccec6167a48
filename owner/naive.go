package owner

import (
	"time"

	"carobpulley"
)

var _ carobpulley.JobTable = (*Naive)(nil)

// Naive implements carobpulley.JobTable without the protections of Table: no backup holder,
// no query before a retry, no stored state beyond the keys. It is the reference of the
// differential tests and is correct only in the absence of failures.
type Naive struct {
	shards []*shard
}

// NewNaive returns a table without open shards.
func NewNaive(shards int) *Naive {
	return &Naive{shards: make([]*shard, shards)}
}

// Step implements carobpulley.JobTable.
func (n *Naive) Step(now time.Time, ev carobpulley.Event) []carobpulley.Action {
	switch ev := ev.(type) {
	case carobpulley.Submitted:
		return n.submit(now, ev)
	case carobpulley.TaskEnded:
		return n.handleTaskEnded(ev)
	case carobpulley.TaskRefused:
		return n.retry(now, ev.ID, ev.Attempt)
	case carobpulley.TaskLost:
		return n.retry(now, ev.ID, ev.Attempt)
	case carobpulley.TaskUnresolved:
		return n.retry(now, ev.ID, ev.Attempt)
	case carobpulley.TaskGone:
		return n.retry(now, ev.ID, ev.Attempt)
	case carobpulley.Cancelled:
		if j := n.job(ev.Job); j != nil {
			j.cancelled = true
			return n.stop(j)
		}
	case carobpulley.ShardOpened:
		return n.open(now, ev)
	case carobpulley.ShardClosed:
		n.shards[ev.Shard] = nil
	case carobpulley.Tick:
		return n.tick(now)
	}
	return nil
}

// Answer implements carobpulley.JobTable.
func (n *Naive) Answer(_ time.Time, id carobpulley.JobID) (carobpulley.Answer, error) {
	if n.shards[carobpulley.ShardOf(id, len(n.shards))] == nil {
		return carobpulley.Answer{}, newError("answer", carobpulley.KindUnavailable, "the shard has no owner here")
	}
	j := n.job(id)
	if j == nil {
		return carobpulley.Answer{}, newError("answer", carobpulley.KindNotFound, "no job has this key")
	}
	return j.answer(), nil
}

// UnknownUntil implements carobpulley.JobTable. Naive does not track lost claims.
func (n *Naive) UnknownUntil(int) time.Time { return time.Time{} }

// Claims implements carobpulley.JobTable.
func (n *Naive) Claims(index int) []carobpulley.Claim {
	var out []carobpulley.Claim
	if sh := n.shards[index]; sh != nil {
		for _, j := range sh.sortedJobs() {
			out = append(out, j.claim())
		}
	}
	return out
}

// Start implements carobpulley.JobTable.
func (n *Naive) Start(now time.Time, id carobpulley.TaskID, endpoint string, incarnation uint64) (carobpulley.Dispatch, bool) {
	j := n.job(id.Job)
	if j == nil || j.tasks[id.Index].phase != carobpulley.PhaseWaiting || !now.Before(j.spec.Deadline) {
		return carobpulley.Dispatch{}, false
	}
	k := &j.tasks[id.Index]
	k.attempt++
	k.phase, k.endpoint, k.incarnation = carobpulley.PhaseDispatched, endpoint, incarnation
	return j.dispatch(id.Index), true
}

// job returns the job of a key, or nil.
func (n *Naive) job(id carobpulley.JobID) *job {
	if sh := n.shards[carobpulley.ShardOf(id, len(n.shards))]; sh != nil {
		return sh.jobs[id]
	}
	return nil
}

// submit queues the tasks of a new key at once.
func (n *Naive) submit(now time.Time, ev carobpulley.Submitted) []carobpulley.Action {
	id := ev.Spec.ID
	sh := n.shards[carobpulley.ShardOf(id, len(n.shards))]
	if sh == nil {
		return reject(id, newError("submit", carobpulley.KindUnavailable, "the shard has no owner here"))
	}
	digest := Digest(ev.Spec)
	if j := sh.jobs[id]; j != nil {
		if j.digest == digest {
			return nil
		}
		return reject(id, newError("submit", carobpulley.KindConflict, "the key is in use with another body"))
	}
	if err := admit(now, ev); err != nil {
		err.NotRun = true
		return reject(id, err)
	}
	j := newJob(sh, ev.Spec, digest)
	sh.jobs[id] = j
	return append([]carobpulley.Action{carobpulley.WriteJournal{Claim: j.claim()}}, n.queueWaiting(now, j)...)
}

// reject returns the refusal of a submission.
func reject(id carobpulley.JobID, err *carobpulley.Error) []carobpulley.Action {
	return []carobpulley.Action{carobpulley.Rejected{Job: id, Err: err}}
}

// queueWaiting queues the waiting tasks of a job.
func (n *Naive) queueWaiting(now time.Time, j *job) []carobpulley.Action {
	var out []carobpulley.Action
	for i := range j.tasks {
		if j.tasks[i].phase == carobpulley.PhaseWaiting {
			out = append(out, queueTask(now, j, i))
		}
	}
	return out
}

// handleTaskEnded records the result of a task that has none, whatever the attempt.
func (n *Naive) handleTaskEnded(ev carobpulley.TaskEnded) []carobpulley.Action {
	j := n.job(ev.ID.Job)
	if j == nil || j.tasks[ev.ID.Index].phase.Ended() {
		return nil
	}
	k := &j.tasks[ev.ID.Index]
	k.phase, k.status, k.result, k.err = ev.Phase, ev.Status, ev.Result, ev.Err
	j.openTasks--
	return n.concludeIfEnded(j)
}

// retry requeues a task that has no result.
func (n *Naive) retry(now time.Time, id carobpulley.TaskID, attempt int) []carobpulley.Action {
	j := n.job(id.Job)
	if j == nil || j.tasks[id.Index].attempt != attempt || j.tasks[id.Index].phase.Ended() {
		return nil
	}
	j.tasks[id.Index].phase = carobpulley.PhaseWaiting
	return []carobpulley.Action{queueTask(now, j, id.Index)}
}

// stop ends the tasks that have no result and asks their agents to stop them.
func (n *Naive) stop(j *job) []carobpulley.Action {
	out := []carobpulley.Action{carobpulley.DropTasks{Job: j.spec.ID}}
	for i := range j.tasks {
		k := &j.tasks[i]
		if k.phase.Ended() {
			continue
		}
		if k.phase != carobpulley.PhaseWaiting {
			out = append(out, carobpulley.CancelTask{Dispatch: j.dispatch(i)})
		}
		j.end(k, carobpulley.PhaseNotRun)
	}
	return append(out, n.concludeIfEnded(j)...)
}

// concludeIfEnded publishes the answer of a job whose tasks have all ended.
func (n *Naive) concludeIfEnded(j *job) []carobpulley.Action {
	if j.openTasks > 0 || j.concluded() {
		return nil
	}
	j.finalOutcome, j.err = j.decideOutcome()
	j.outcome = j.finalOutcome
	return []carobpulley.Action{carobpulley.WriteJournal{Claim: j.claim()}, carobpulley.Finished{Answer: j.answer()}}
}

// open queues all tasks of the claims that were found.
func (n *Naive) open(now time.Time, ev carobpulley.ShardOpened) []carobpulley.Action {
	sh := &shard{index: ev.Shard, epoch: ev.Epoch, jobs: map[carobpulley.JobID]*job{}}
	n.shards[ev.Shard] = sh
	for _, c := range ev.Claims {
		if sh.jobs[c.Spec.ID] == nil {
			sh.jobs[c.Spec.ID] = newJob(sh, c.Spec, Digest(c.Spec))
		}
	}
	out := make([]carobpulley.Action, 0, len(sh.jobs))
	for _, j := range sh.sortedJobs() {
		out = append(out, n.queueWaiting(now, j)...)
	}
	return out
}

// tick ends jobs past their deadline. It scans all jobs.
func (n *Naive) tick(now time.Time) []carobpulley.Action {
	var out []carobpulley.Action
	for _, sh := range n.shards {
		if sh == nil {
			continue
		}
		for _, j := range sh.sortedJobs() {
			if !j.concluded() && !now.Before(j.spec.Deadline) {
				out = append(out, n.stop(j)...)
			}
		}
	}
	return out
}
