package owner

import (
	"fmt"
	"time"

	"carobpulley"
)

// Times and sizes of the job table (docs/design.md, section 3).
const (
	// MaxDeadline is how far ahead a job's deadline may be.
	MaxDeadline = 10 * time.Minute
	// KeyRetention is how long a key is stored after its job ended.
	KeyRetention = 15 * time.Minute
	// AnswerRetention is how long an answer is stored after its job ended.
	AnswerRetention = 2 * time.Minute
	// MaxAnswerBytes limits the size of all stored answers; the oldest are dropped first.
	MaxAnswerBytes = 128 << 20
	// MaxRefusals is the number of refused keys that are stored. Refusals beyond it do not
	// state that the job is not run.
	MaxRefusals = 1 << 16
	// QueryBackoff is the time between two queries for the same task.
	QueryBackoff = 500 * time.Millisecond
)

// attemptBits is the number of low bits of an attempt that count the dispatches of a task
// within an epoch; the epoch is above them, so that attempts of different epochs never
// share a number.
const attemptBits = 16

var _ carobpulley.JobTable = (*Table)(nil)

// Table implements carobpulley.JobTable. The cost of an event is bounded by the tasks of
// its own job and the logarithm of the number of running jobs.
type Table struct {
	name   string
	shards []*shard
	// running orders the jobs that have not ended and whose deadline is ahead.
	running deadlineHeap
	// openJobs is the number of jobs that have not ended.
	openJobs int
	// ended lists the jobs that have ended, oldest first.
	ended       retainedJobs
	answerBytes int
	refusals    int
	// closedClaims holds the claims of shards that this entry handed over, since the new
	// owner may ask for them later.
	closedClaims *Witness
	// unknownUntil is, by shard, the time until which a key without a job may have been
	// started under an earlier epoch.
	unknownUntil []time.Time
}

// shard is an owned shard of the key space.
type shard struct {
	index int
	epoch uint64
	jobs  map[carobpulley.JobID]*job
	// stale is set once an agent reported a newer epoch.
	stale bool
}

// NewTable returns a table without open shards for the entry of the given name.
func NewTable(name string, shards int) *Table {
	return &Table{
		name:         name,
		shards:       make([]*shard, shards),
		closedClaims: NewWitness(shards),
		unknownUntil: make([]time.Time, shards),
	}
}

// Step implements carobpulley.JobTable.
func (t *Table) Step(now time.Time, ev carobpulley.Event) []carobpulley.Action {
	var out []carobpulley.Action
	switch ev := ev.(type) {
	case carobpulley.Submitted:
		t.submit(now, ev, &out)
	case carobpulley.ClaimHeld:
		t.handleClaimHeld(now, ev, &out)
	case carobpulley.TaskEnded:
		t.handleTaskEnded(now, ev, &out)
	case carobpulley.TaskRefused:
		t.handleTaskRefused(now, ev, &out)
	case carobpulley.TaskLost:
		t.handleTaskLost(now, ev, &out)
	case carobpulley.TaskUnresolved:
		t.handleTaskUnresolved(now, ev, &out)
	case carobpulley.TaskGone:
		t.handleTaskGone(now, ev, &out)
	case carobpulley.Cancelled:
		t.cancel(now, ev.Job, &out)
	case carobpulley.ShardOpened:
		t.openShard(now, ev, &out)
	case carobpulley.ShardClosed:
		t.closeShard(now, ev.Shard, &out)
	case carobpulley.Tick:
		t.expire(now, &out)
	}
	return out
}

// Answer implements carobpulley.JobTable. A job is still running while its final answer
// waits for a backup holder.
func (t *Table) Answer(now time.Time, id carobpulley.JobID) (carobpulley.Answer, error) {
	sh := t.shard(id)
	if sh == nil || sh.stale {
		return carobpulley.Answer{}, newError("answer", carobpulley.KindUnavailable, "the shard has no owner here")
	}
	j := sh.jobs[id]
	if j == nil && now.Before(t.unknownUntil[sh.index]) {
		return carobpulley.Answer{}, newError("answer", carobpulley.KindUnknown, "the shard lost claims of an earlier owner")
	}
	if j == nil {
		return carobpulley.Answer{}, newError("answer", carobpulley.KindNotFound, "no job has this key")
	}
	if j.answerDropped {
		err := newError("answer", carobpulley.KindExpired, fmt.Sprintf("the answer of the job, %s, is no longer stored", j.outcome))
		return carobpulley.Answer{ID: id, Service: j.spec.Service, Outcome: j.outcome, Cancelled: j.cancelled, Err: err}, err
	}
	return j.answer(), nil
}

// Start implements carobpulley.JobTable.
func (t *Table) Start(now time.Time, id carobpulley.TaskID, endpoint string, incarnation uint64) (carobpulley.Dispatch, bool) {
	j, k := t.task(id)
	if k == nil || k.phase != carobpulley.PhaseWaiting || !j.claimHeld || j.cancelled {
		return carobpulley.Dispatch{}, false
	}
	if j.shard.stale || !now.Before(j.spec.Deadline) {
		return carobpulley.Dispatch{}, false
	}
	k.attempt = max(k.attempt, int(j.shard.epoch)<<attemptBits) + 1
	k.phase = carobpulley.PhaseDispatched
	k.endpoint, k.incarnation = endpoint, incarnation
	return j.dispatch(id.Index), true
}

// UnknownUntil implements carobpulley.JobTable.
func (t *Table) UnknownUntil(shard int) time.Time {
	return t.unknownUntil[shard]
}

// Len returns the number of stored keys, running and ended.
func (t *Table) Len() int {
	return t.openJobs + t.ended.length
}

// shard returns the open shard of a key, or nil.
func (t *Table) shard(id carobpulley.JobID) *shard {
	return t.shards[carobpulley.ShardOf(id, len(t.shards))]
}

// job returns the job of a key, or nil.
func (t *Table) job(id carobpulley.JobID) *job {
	sh := t.shard(id)
	if sh == nil {
		return nil
	}
	return sh.jobs[id]
}

// task returns a task of a job that has not ended, or nil.
func (t *Table) task(id carobpulley.TaskID) (*job, *task) {
	j := t.job(id.Job)
	if j == nil || j.outcome != carobpulley.OutcomeRunning || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}

// newError returns an error that does not state whether tasks started.
func newError(op string, kind carobpulley.Kind, msg string) *carobpulley.Error {
	return &carobpulley.Error{Op: op, Kind: kind, Msg: msg}
}
