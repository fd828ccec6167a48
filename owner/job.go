package owner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

// job is a key and its tasks.
type job struct {
	shard  *shard
	spec   carobpulley.JobSpec
	digest uint64
	tasks  []task
	// open is the number of tasks that have not ended.
	open int
	// outcome is OutcomeRunning until the answer may be told.
	outcome carobpulley.Outcome
	err     *carobpulley.Error
	// held is set once a second holder has the claim.
	held bool
	// final is the outcome once all tasks have ended; empty before. An answer
	// that is not complete is told only after a second holder has it.
	final     carobpulley.Outcome
	cancelled bool
	// refused is set if admission refused the job.
	refused bool
	// merged is an earlier owner's answer while the shard is being opened.
	merged *carobpulley.Claim
	// pending is set while all merged claims are receivers' copies that no
	// owner is known to have taken.
	pending bool
	// handed is set if the previous owner handed over the state of the tasks.
	handed bool
	// dropped is set once the answer is no longer stored.
	dropped bool
	// gone names agents that had left before the job was taken.
	gone  []uint64
	bytes int
	// index is the place in the heap of running jobs.
	index      int
	endedAt    time.Time
	prev, next *job
}

// task is the state of a task.
type task struct {
	phase    carobpulley.Phase
	attempt  int
	agent    uint64
	status   int
	endpoint string
	result   []byte
	err      string
	// lost is set while the outcome of a dispatch is being queried.
	lost bool
	// unresolved is set if the last query got no answer.
	unresolved bool
}

// disputed is the digest of a key of which the merge cannot tell the body. It
// equals that of no body, in claims too.
const disputed = 1

// disputed reports whether the body of the job is not known.
func (j *job) disputed() bool {
	return j.digest == disputed
}

// Digest identifies the body of a job. The deadline is not part of it, since
// an entry may derive it from the time at which a submission arrived.
func Digest(spec carobpulley.JobSpec) uint64 {
	var d xxhash.Digest
	d.Reset()
	part := func(n int) {
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], uint64(n))
		_, _ = d.Write(buf[:])
	}
	part(len(spec.Service))
	_, _ = d.WriteString(spec.Service)
	for _, p := range spec.Payloads {
		part(len(p))
		_, _ = d.Write(p)
	}
	return max(d.Sum64(), disputed+1)
}

// settled reports whether all tasks have ended.
func (j *job) settled() bool {
	return j.final != ""
}

// newJob returns a job whose tasks all wait.
func newJob(sh *shard, spec carobpulley.JobSpec, digest uint64) *job {
	j := &job{shard: sh, spec: spec, digest: digest, outcome: carobpulley.OutcomeRunning}
	j.tasks = make([]task, len(spec.Payloads))
	j.open = len(j.tasks)
	for i := range j.tasks {
		j.tasks[i].phase = carobpulley.PhaseWaiting
	}
	return j
}

// answer returns the state of the job. Results are present only when the
// answer is complete.
func (j *job) answer() carobpulley.Answer {
	return j.state(j.outcome == carobpulley.OutcomeComplete)
}

// state returns the state of the job, with or without the results.
func (j *job) state(results bool) carobpulley.Answer {
	a := carobpulley.Answer{
		ID: j.spec.ID, Service: j.spec.Service, Outcome: j.outcome, Cancelled: j.cancelled,
		Tasks: make([]carobpulley.Task, len(j.tasks)),
	}
	if j.outcome != carobpulley.OutcomeRunning {
		a.Err = j.err
	}
	for i := range j.tasks {
		k := &j.tasks[i]
		a.Tasks[i] = carobpulley.Task{
			Index: i, Phase: k.phase, Endpoint: k.endpoint, Incarnation: k.agent, Attempt: k.attempt, Status: k.status, Err: k.err,
		}
		if results {
			a.Tasks[i].Result = k.result
		}
	}
	return a
}

// claim returns the record of the job that a new owner needs.
func (j *job) claim() carobpulley.Claim {
	return carobpulley.Claim{Spec: j.spec, Shard: j.shard.index, Epoch: j.shard.epoch, Digest: j.digest, Gone: j.gone}
}

// dispatch returns the newest attempt of a task.
func (j *job) dispatch(i int) carobpulley.Dispatch {
	return carobpulley.Dispatch{
		ID:      carobpulley.TaskID{Job: j.spec.ID, Index: i},
		Attempt: j.tasks[i].attempt, Shard: j.shard.index, Epoch: j.shard.epoch, Endpoint: j.tasks[i].endpoint,
		Incarnation: j.tasks[i].agent,
		Service:     j.spec.Service, Payload: j.spec.Payloads[i], Deadline: j.spec.Deadline,
	}
}

// has reports whether a task is in the phase.
func (j *job) has(p carobpulley.Phase) bool {
	for i := range j.tasks {
		if j.tasks[i].phase == p {
			return true
		}
	}
	return false
}

// conclude returns the outcome of a job whose tasks have all ended.
func (j *job) conclude() (carobpulley.Outcome, *carobpulley.Error) {
	if j.disputed() {
		return carobpulley.OutcomeFailed, newError("job", carobpulley.KindUnknown, "claims of the key were lost or conflict")
	}
	done, notRun := 0, 0
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case carobpulley.PhaseDone:
			done++
		case carobpulley.PhaseNotRun:
			notRun++
		}
	}
	if done == len(j.tasks) && !j.cancelled {
		return carobpulley.OutcomeComplete, nil
	}
	err := newError("job", carobpulley.KindFailed, "a task failed")
	switch {
	case j.has(carobpulley.PhaseUnknown):
		err.Kind, err.Msg = carobpulley.KindUnknown, "it is not known whether some tasks started"
	case j.cancelled:
		err.Kind, err.Msg = carobpulley.KindCancelled, "the caller cancelled the job"
	case notRun > 0:
		err.Kind, err.Msg = carobpulley.KindDeadline, "the deadline passed before all tasks started"
	}
	if notRun == len(j.tasks) {
		err.NotRun = true
		return carobpulley.OutcomeNotRun, err
	}
	return carobpulley.OutcomeFailed, err
}
