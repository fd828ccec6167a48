package owner

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// openShard opens a shard with the claims and started tasks that were found.
func (t *Table) openShard(now time.Time, ev carobpulley.ShardOpened, out *[]carobpulley.Action) {
	t.closeShard(now, ev.Shard, out)
	sh := &shard{index: ev.Shard, epoch: ev.Epoch, jobs: map[carobpulley.JobID]*job{}}
	t.shards[ev.Shard] = sh
	t.unknownUntil[ev.Shard] = later(t.unknownUntil[ev.Shard], ev.UnknownUntil)
	if (!ev.AllAgents || len(ev.Departed) > 0) && !ev.AllClaims {
		t.unknownUntil[ev.Shard] = now.Add(MaxDeadline + KeyRetention)
	}
	for _, c := range ev.Claims {
		if !c.Ended() {
			t.mergeClaim(sh, c)
		}
	}
	for _, c := range ev.Claims {
		if c.Ended() {
			t.mergeClaim(sh, c)
		}
	}
	for _, s := range ev.Started {
		t.mergeStarted(now, sh, s)
	}
	for _, j := range sh.sortedJobs() {
		t.resume(now, j, ev, out)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// closeShard removes the jobs of a shard that another entry owns from now on. Their claims
// are stored in closedClaims.
func (t *Table) closeShard(now time.Time, index int, out *[]carobpulley.Action) {
	sh := t.shards[index]
	if sh == nil {
		return
	}
	for _, c := range t.Claims(index) {
		t.closedClaims.HandOver(now, c)
	}
	for _, j := range sh.sortedJobs() {
		if j.claimHeld && !j.concluded() && j.hasTaskIn(carobpulley.PhaseWaiting) {
			*out = append(*out, carobpulley.DropTasks{Job: j.spec.ID})
		}
		t.removeJob(j)
	}
	t.shards[index] = nil
}

// Claims implements carobpulley.JobTable. The claims of running jobs include the state of
// their tasks, from which the new owner sees which tasks were never dispatched. For a
// closed shard it returns the claims as of the time it was closed.
func (t *Table) Claims(index int) []carobpulley.Claim {
	sh := t.shards[index]
	if sh == nil {
		return t.closedClaims.list(index)
	}
	out := make([]carobpulley.Claim, 0, len(sh.jobs))
	for _, j := range sh.sortedJobs() {
		if j.concluded() {
			out = append(out, j.finalClaim())
			continue
		}
		c := j.claim()
		a := j.state(true)
		c.Answer = &a
		out = append(out, c)
	}
	return out
}

// sortedJobs returns the jobs in the order of their ids.
func (sh *shard) sortedJobs() []*job {
	jobs := make([]*job, 0, len(sh.jobs))
	for _, j := range sh.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if n := strings.Compare(a.spec.ID.Member, b.spec.ID.Member); n != 0 {
			return n
		}
		return strings.Compare(a.spec.ID.Key, b.spec.ID.Key)
	})
	return jobs
}

// mergeClaim merges one copy of a claim. An answer takes precedence over a claim without
// one, a complete answer over any other. An answer that is not complete is void if the
// owner of a later epoch resumed the job: it was never returned then.
func (t *Table) mergeClaim(sh *shard, c carobpulley.Claim) {
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	j := sh.jobs[c.Spec.ID]
	if j == nil {
		j = newJob(sh, c.Spec, c.Digest)
		j.pending, j.departed = c.Pending, c.Gone
		t.addJob(j)
	}
	// The first backup holder's copy was made before the first start. It is not known which
	// copy that is, so that only agents that all copies list count as departed.
	j.departed = intersect(j.departed, c.Gone)
	j.spec.Deadline = earlier(j.spec.Deadline, c.Spec.Deadline)
	heap.Fix(&t.running, j.heapIndex)
	if c.Ended() {
		void := c.Answer.Outcome != carobpulley.OutcomeComplete && c.Epoch < j.resumedEpoch
		if !void && (j.mergedAnswer == nil || isBetterAnswer(c, *j.mergedAnswer)) {
			j.mergedAnswer = &c
		}
		return
	}
	if c.Resumed || c.Answer != nil {
		j.resumedEpoch = max(j.resumedEpoch, c.Epoch)
	}
	switch {
	case c.Answer != nil && c.Epoch+1 == sh.epoch:
		j.adoptState(c)
	default:
		j.mergeBody(c)
	}
}

// mergeBody compares the bodies of two claims. A claim that an owner accepted takes
// precedence over a receiver's copy. Among copies that no owner is known to have accepted,
// the old owner accepted at most one, and it is not known which.
func (j *job) mergeBody(c carobpulley.Claim) {
	if j.handedOver {
		return
	}
	switch {
	case j.digest == c.Digest:
		j.pending = j.pending && c.Pending
	case j.pending && !c.Pending:
		j.pending, j.digest = false, c.Digest
		j.spec.Payloads = c.Spec.Payloads
		j.tasks = newJob(j.shard, c.Spec, c.Digest).tasks
	case j.pending == c.Pending:
		j.digest = disputedDigest
	}
}

// adoptState sets the state that the owner of the previous epoch handed over. A state of
// any other epoch is out of date.
func (j *job) adoptState(c carobpulley.Claim) {
	j.handedOver, j.pending = true, false
	j.digest = c.Digest
	j.spec.Payloads = c.Spec.Payloads
	j.cancelled = c.Answer.Cancelled
	j.tasks = restoreTasks(c.Answer.Tasks)
}

// restoreTasks returns tasks in the state that an answer gives.
func restoreTasks(from []carobpulley.Task) []task {
	tasks := make([]task, len(from))
	for i, k := range from {
		tasks[i] = task{
			phase: k.Phase, attempt: k.Attempt, incarnation: k.Incarnation, status: k.Status, endpoint: k.Endpoint, result: k.Result, err: k.Err,
		}
	}
	return tasks
}

// isBetterAnswer reports whether answer a takes precedence over answer b. A complete answer
// does over any other, and of two complete ones the one that still has its results.
// Otherwise the answer of the newer epoch takes precedence.
func isBetterAnswer(a, b carobpulley.Claim) bool {
	complete := a.Answer.Outcome == carobpulley.OutcomeComplete
	if complete != (b.Answer.Outcome == carobpulley.OutcomeComplete) {
		return complete
	}
	results := len(a.Answer.Tasks) > 0
	if complete && results != (len(b.Answer.Tasks) > 0) {
		return results
	}
	return a.Epoch > b.Epoch
}

// mergeStarted merges an agent's report of a task. A started task without a claim makes the
// key's outcome unknown.
func (t *Table) mergeStarted(now time.Time, sh *shard, s carobpulley.StartedTask) {
	j := sh.jobs[s.ID.Job]
	if j == nil {
		j = newJob(sh, carobpulley.JobSpec{ID: s.ID.Job, Deadline: now}, disputedDigest)
		t.addJob(j)
	}
	if s.ID.Index < 0 || s.ID.Index >= len(j.tasks) {
		return
	}
	k := &j.tasks[s.ID.Index]
	if k.phase == carobpulley.PhaseDone {
		return
	}
	k.phase, k.endpoint, k.incarnation = s.Phase, s.Endpoint, s.Incarnation
	k.status, k.err = s.Status, s.Err
	if s.Phase == carobpulley.PhaseDone {
		k.result = s.Result
	}
}

// resume continues a merged job. Its claim needs a backup holder again before a further
// start, since this entry may hold the only copy. Tasks that no agent reports as started
// are queued only if all agents and all claims are known: without all agents they may have
// started, without all claims the job may have been answered as not run or may have another
// body. An agent that left before the job was accepted does not count as missing.
func (t *Table) resume(now time.Time, j *job, ev carobpulley.ShardOpened, out *[]carobpulley.Action) {
	if j.mergedAnswer != nil {
		t.restoreAnswer(now, j, out)
		return
	}
	if j.pending && !ev.AllClaims {
		j.digest = disputedDigest
	}
	j.endUnknown(j.handedOver || ev.AllAgents && ev.AllClaims && containsAll(j.departed, ev.Departed))
	for i := range j.tasks {
		if k := &j.tasks[i]; k.phase == carobpulley.PhaseRunning || k.phase == carobpulley.PhaseDispatched {
			k.attempt = int(j.shard.epoch) << attemptBits
			k.querying = true
			*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(i), At: now})
		}
	}
	t.concludeIfEnded(now, j, out)
	if !j.concluded() {
		c := j.claim()
		c.Resumed = true
		*out = append(*out, carobpulley.WriteJournal{Claim: c}, carobpulley.HoldClaim{Claim: c})
	}
}

// endUnknown ends the tasks that may have started elsewhere: all open ones if the body is
// not known, and the waiting ones unless all starts are known.
func (j *job) endUnknown(allKnown bool) {
	j.openTasks = 0
	for i := range j.tasks {
		k := &j.tasks[i]
		if j.disputed() && !k.phase.Ended() || !allKnown && k.phase == carobpulley.PhaseWaiting {
			k.phase, k.err = carobpulley.PhaseUnknown, "the task may have started under an earlier owner"
		}
		if !k.phase.Ended() {
			j.openTasks++
		}
	}
}

// restoreAnswer sets a job to the answer that an earlier owner returned or was about to
// return. Unless complete, it needs a backup holder again before it is returned.
func (t *Table) restoreAnswer(now time.Time, j *job, out *[]carobpulley.Action) {
	a := j.mergedAnswer.Answer
	j.digest, j.mergedAnswer = j.mergedAnswer.Digest, nil
	j.finalOutcome, j.openTasks = a.Outcome, 0
	j.cancelled = a.Cancelled
	j.err = a.Err
	j.refused = a.Outcome == carobpulley.OutcomeNotRun && len(a.Tasks) == 0
	if j.refused {
		t.refusals++
	}
	j.tasks = restoreTasks(a.Tasks)
	if j.finalOutcome == carobpulley.OutcomeComplete || !now.Before(j.spec.Deadline) {
		t.retire(now, j)
		j.answerDropped = j.finalOutcome == carobpulley.OutcomeComplete && len(j.tasks) == 0
	}
	c := j.finalClaim()
	*out = append(*out, carobpulley.WriteJournal{Claim: c}, carobpulley.HoldClaim{Claim: c})
}
