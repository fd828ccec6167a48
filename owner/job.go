package owner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

// job is the state of a key and its tasks.
type job struct {
	shard  *shard
	spec   carobpulley.JobSpec
	digest uint64
	tasks  []task
	// openTasks is the number of tasks that have not ended.
	openTasks int
	// outcome is OutcomeRunning until the answer may be returned to callers.
	outcome carobpulley.Outcome
	err     *carobpulley.Error
	// claimHeld is set once a backup holder has the claim. For a refused job it is set once
	// a backup holder was requested.
	claimHeld bool
	// finalOutcome is the outcome once all tasks have ended; empty before. Unless complete,
	// it is returned before the deadline only once a backup holder has it.
	finalOutcome carobpulley.Outcome
	cancelled    bool
	// refused is set if admission refused the job.
	refused bool
	// mergedAnswer is an earlier owner's answer while the shard is being opened.
	mergedAnswer *carobpulley.Claim
	// resumedEpoch is the newest epoch whose owner is known to have resumed the job.
	resumedEpoch uint64
	// pending is set while all merged claims are receivers' copies that no owner is known
	// to have accepted.
	pending bool
	// handedOver is set if the previous owner handed over the state of the tasks.
	handedOver bool
	// answerDropped is set once the answer is no longer stored.
	answerDropped bool
	// departed lists agents that had left before the job was accepted.
	departed   []uint64
	answerSize int
	// heapIndex is the job's index in the heap of running jobs; -1 if it is not in it.
	heapIndex  int
	endedAt    time.Time
	prev, next *job
}

// task is the state of a task.
type task struct {
	phase       carobpulley.Phase
	attempt     int
	incarnation uint64
	status      int
	endpoint    string
	result      []byte
	err         string
	// querying is set while the agent is being asked for the outcome of a dispatch.
	querying bool
	// queryFailed is set if the last query got no answer.
	queryFailed bool
}

// disputedDigest is the digest of a key whose body the merge cannot determine. Digest returns
// it for no body, so that a claim that carries it differs from every body too.
const disputedDigest = 1

// disputed reports whether the body of the job is not known.
func (j *job) disputed() bool {
	return j.digest == disputedDigest
}

// Digest returns a hash that identifies the body of a job. The deadline is not part of it,
// since an entry may derive it from the time at which a submission arrived.
func Digest(spec carobpulley.JobSpec) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeInt := func(n int) {
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], uint64(n))
		_, _ = d.Write(buf[:])
	}
	writeInt(len(spec.Service))
	_, _ = d.WriteString(spec.Service)
	for _, p := range spec.Payloads {
		writeInt(len(p))
		_, _ = d.Write(p)
	}
	return max(d.Sum64(), disputedDigest+1)
}

// concluded reports whether the outcome of the job is decided.
func (j *job) concluded() bool {
	return j.finalOutcome != ""
}

// newJob returns a job whose tasks are all waiting.
func newJob(sh *shard, spec carobpulley.JobSpec, digest uint64) *job {
	j := &job{shard: sh, spec: spec, digest: digest, outcome: carobpulley.OutcomeRunning}
	j.tasks = make([]task, len(spec.Payloads))
	j.openTasks = len(j.tasks)
	for i := range j.tasks {
		j.tasks[i].phase = carobpulley.PhaseWaiting
	}
	return j
}

// answer returns the state of the job. Results are included only when the outcome is
// complete.
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
			Index: i, Phase: k.phase, Endpoint: k.endpoint, Incarnation: k.incarnation, Attempt: k.attempt, Status: k.status, Err: k.err,
		}
		if results {
			a.Tasks[i].Result = k.result
		}
	}
	return a
}

// claim returns the record of the job that a new owner needs.
func (j *job) claim() carobpulley.Claim {
	return carobpulley.Claim{Spec: j.spec, Shard: j.shard.index, Epoch: j.shard.epoch, Digest: j.digest, Gone: j.departed}
}

// dispatch returns the newest attempt of a task.
func (j *job) dispatch(i int) carobpulley.Dispatch {
	return carobpulley.Dispatch{
		ID:      carobpulley.TaskID{Job: j.spec.ID, Index: i},
		Attempt: j.tasks[i].attempt, Shard: j.shard.index, Epoch: j.shard.epoch, Endpoint: j.tasks[i].endpoint,
		Incarnation: j.tasks[i].incarnation,
		Service:     j.spec.Service, Payload: j.spec.Payloads[i], Deadline: j.spec.Deadline,
	}
}

// hasTaskIn reports whether a task is in the phase.
func (j *job) hasTaskIn(p carobpulley.Phase) bool {
	for i := range j.tasks {
		if j.tasks[i].phase == p {
			return true
		}
	}
	return false
}

// decideOutcome returns the outcome of a job whose tasks have all ended.
func (j *job) decideOutcome() (carobpulley.Outcome, *carobpulley.Error) {
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
	case j.hasTaskIn(carobpulley.PhaseUnknown):
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
