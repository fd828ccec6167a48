package owner

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// openShard takes a shard over with all that was found of its jobs.
func (t *Table) openShard(now time.Time, ev carobpulley.ShardOpened, out *[]carobpulley.Action) {
	t.closeShard(now, ev.Shard, out)
	sh := &shard{index: ev.Shard, epoch: ev.Epoch, jobs: map[carobpulley.JobID]*job{}}
	t.shards[ev.Shard] = sh
	t.unknownUntil[ev.Shard] = later(t.unknownUntil[ev.Shard], ev.UnknownUntil)
	if (!ev.AllAgents || len(ev.Departed) > 0) && !ev.AllClaims {
		t.unknownUntil[ev.Shard] = now.Add(MaxDeadline + KeyRetention)
	}
	for _, c := range ev.Claims {
		t.mergeClaim(sh, c)
	}
	for _, s := range ev.Started {
		t.mergeStarted(now, sh, s)
	}
	for _, j := range sh.sorted() {
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

// closeShard forgets the jobs of a shard that another entry owns from now on,
// except for their claims.
func (t *Table) closeShard(now time.Time, index int, out *[]carobpulley.Action) {
	sh := t.shards[index]
	if sh == nil {
		return
	}
	for _, c := range t.Claims(index) {
		t.closed.HandOver(now, c)
	}
	for _, j := range sh.sorted() {
		if j.held && !j.settled() && j.has(carobpulley.PhaseWaiting) {
			*out = append(*out, carobpulley.DropTasks{Job: j.spec.ID})
		}
		t.forget(j)
	}
	t.shards[index] = nil
}

// Claims implements carobpulley.JobTable. The state of jobs that run is part
// of their claims, so that the new owner knows which tasks were never sent. Of
// a closed shard it returns the claims at the time of its closing.
func (t *Table) Claims(index int) []carobpulley.Claim {
	sh := t.shards[index]
	if sh == nil {
		return t.closed.list(index)
	}
	out := make([]carobpulley.Claim, 0, len(sh.jobs))
	for _, j := range sh.sorted() {
		if j.settled() {
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

// sorted returns the jobs in the order of their ids.
func (sh *shard) sorted() []*job {
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

// mergeClaim adds one copy of a claim. An answer prevails over a claim without
// one, a complete answer over any other.
func (t *Table) mergeClaim(sh *shard, c carobpulley.Claim) {
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	j := sh.jobs[c.Spec.ID]
	if j == nil {
		j = newJob(sh, c.Spec, c.Digest)
		j.pending, j.gone = c.Pending, c.Gone
		t.store(j)
	}
	// The first holder's copy is older than the first start. It is not known
	// which one that is, so that only what all copies name counts.
	j.gone = common(j.gone, c.Gone)
	j.spec.Deadline = earlier(j.spec.Deadline, c.Spec.Deadline)
	heap.Fix(&t.running, j.index)
	switch {
	case c.Answer == nil:
		j.mergeBody(c)
	case c.Answer.Outcome != carobpulley.OutcomeRunning:
		if j.merged == nil || prevails(c, *j.merged) {
			j.merged, j.digest = &c, c.Digest
		}
	case c.Epoch+1 == sh.epoch:
		j.adopt(c)
	default:
		j.mergeBody(c)
	}
}

// mergeBody compares the bodies of two claims. A claim that an owner took
// prevails over a receiver's copy. Among copies that no owner is known to have
// taken, the old owner took at most one, and it is not known which.
func (j *job) mergeBody(c carobpulley.Claim) {
	if j.merged != nil || j.handed {
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
		j.digest = disputed
	}
}

// adopt takes the state that the owner of the epoch before handed over. The
// state of any other epoch is out of date.
func (j *job) adopt(c carobpulley.Claim) {
	j.handed, j.pending = true, false
	j.digest = c.Digest
	j.spec.Payloads = c.Spec.Payloads
	j.cancelled = c.Answer.Cancelled
	j.tasks = restored(c.Answer.Tasks)
}

// restored returns tasks in the state of an answer.
func restored(from []carobpulley.Task) []task {
	tasks := make([]task, len(from))
	for i, k := range from {
		tasks[i] = task{
			phase: k.Phase, attempt: k.Attempt, agent: k.Incarnation, status: k.Status, endpoint: k.Endpoint, result: k.Result, err: k.Err,
		}
	}
	return tasks
}

// prevails reports whether answer a is kept rather than b: a complete one, of
// two complete ones the one that still has its results, else the newer one.
func prevails(a, b carobpulley.Claim) bool {
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

// mergeStarted adds what an agent reports of a task. A start without a known
// claim makes the key's outcome unknown.
func (t *Table) mergeStarted(now time.Time, sh *shard, s carobpulley.StartedTask) {
	j := sh.jobs[s.ID.Job]
	if j == nil {
		j = newJob(sh, carobpulley.JobSpec{ID: s.ID.Job, Deadline: now}, disputed)
		t.store(j)
	}
	if s.ID.Index < 0 || s.ID.Index >= len(j.tasks) {
		return
	}
	k := &j.tasks[s.ID.Index]
	if k.phase == carobpulley.PhaseDone {
		return
	}
	k.phase, k.endpoint, k.agent = s.Phase, s.Endpoint, s.Incarnation
	k.status, k.err = s.Status, s.Err
	if s.Phase == carobpulley.PhaseDone {
		k.result = s.Result
	}
}

// resume continues a merged job. Its claim needs a second holder again before a
// further start, since this entry may have been the only one left. Tasks that
// no agent reports as started are queued if every agent and every claim is
// known: without all agents they may have started, without all claims the job
// may have been answered as not run or have another body. An agent that left
// before the job was taken does not matter.
func (t *Table) resume(now time.Time, j *job, ev carobpulley.ShardOpened, out *[]carobpulley.Action) {
	if j.merged != nil {
		t.restore(now, j, out)
		return
	}
	if j.pending && !ev.AllClaims {
		j.digest = disputed
	}
	j.endUnknown(j.handed || ev.AllAgents && ev.AllClaims && containsAll(j.gone, ev.Departed))
	for i := range j.tasks {
		if k := &j.tasks[i]; k.phase == carobpulley.PhaseRunning || k.phase == carobpulley.PhaseDispatched {
			k.attempt = int(j.shard.epoch) << attemptBits
			k.lost = true
			*out = append(*out, carobpulley.QueryTask{Dispatch: j.dispatch(i), At: now})
		}
	}
	t.settle(now, j, out)
	if !j.settled() {
		c := j.claim()
		*out = append(*out, carobpulley.WriteJournal{Claim: c}, carobpulley.HoldClaim{Claim: c})
	}
}

// endUnknown ends the tasks that may have started elsewhere: all open ones if
// the body is not known, else those not reported unless all is known.
func (j *job) endUnknown(known bool) {
	j.open = 0
	for i := range j.tasks {
		k := &j.tasks[i]
		if j.disputed() && !k.phase.Ended() || !known && k.phase == carobpulley.PhaseWaiting {
			k.phase, k.err = carobpulley.PhaseUnknown, "the task may have started under an earlier owner"
		}
		if !k.phase.Ended() {
			j.open++
		}
	}
}

// restore sets a job to the answer that an earlier owner gave or was to give.
// One that is not complete needs a second holder again before it is told.
func (t *Table) restore(now time.Time, j *job, out *[]carobpulley.Action) {
	a := j.merged.Answer
	j.merged = nil
	j.final, j.open = a.Outcome, 0
	j.cancelled = a.Cancelled
	j.err = a.Err
	j.refused = a.Outcome == carobpulley.OutcomeNotRun && len(a.Tasks) == 0
	if j.refused {
		t.refusals++
	}
	j.tasks = restored(a.Tasks)
	if j.final == carobpulley.OutcomeComplete || !now.Before(j.spec.Deadline) {
		t.retire(now, j)
		j.dropped = j.final == carobpulley.OutcomeComplete && len(j.tasks) == 0
	}
	c := j.finalClaim()
	*out = append(*out, carobpulley.WriteJournal{Claim: c}, carobpulley.HoldClaim{Claim: c})
}
