package carobpulley

import (
	"time"
)

// Limits of a submission. They are enforced at the entry before anything runs.
const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 120
	// MaxKeyBytes is the largest length of a job key.
	MaxKeyBytes = 128
	// MaxPayloadBytes is the largest payload of a task.
	MaxPayloadBytes = 64 << 10
	// MaxResultBytes is the largest result of a task.
	MaxResultBytes = 64 << 10
	// MaxBodyBytes is the largest body of a submission.
	MaxBodyBytes = 2 << 20
)

// JobID identifies a job: the key is the caller's choice, unique per member.
type JobID struct {
	Member string
	Key    string
}

// JobSpec is the body of a submission.
type JobSpec struct {
	ID       JobID
	Service  string
	Payloads [][]byte
	// Deadline is the time after which no task of the job may start.
	Deadline time.Time
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// Phase is the state of a task.
type Phase string

// Phases of a task.
const (
	// PhaseWaiting has not been dispatched, or was refused by the agent.
	PhaseWaiting Phase = "waiting"
	// PhaseDispatched was sent to an agent and has not been answered.
	PhaseDispatched Phase = "dispatched"
	// PhaseRunning has started at an endpoint.
	PhaseRunning Phase = "running"
	// PhaseDone ended with a result.
	PhaseDone Phase = "done"
	// PhaseFailed started and failed.
	PhaseFailed Phase = "failed"
	// PhaseNotRun cannot start any more and did not start.
	PhaseNotRun Phase = "not_run"
	// PhaseStopped started and was stopped by a cancellation.
	PhaseStopped Phase = "stopped"
	// PhaseUnknown may or may not have started.
	PhaseUnknown Phase = "unknown"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	switch p {
	case PhaseDone, PhaseFailed, PhaseNotRun, PhaseStopped, PhaseUnknown:
		return true
	default:
		return false
	}
}

// Task is the state of one task of a job.
type Task struct {
	Index    int
	Phase    Phase
	Endpoint string
	// Incarnation is that of the endpoint's agent at the newest dispatch.
	Incarnation uint64
	// Attempt identifies the newest dispatch. It grows with each dispatch,
	// across epochs too; zero before the first one.
	Attempt int
	// Status is the endpoint's HTTP status; 0 if there was none.
	Status int
	Result []byte
	Err    string
}

// Outcome is the state of a job as a caller sees it.
type Outcome string

// Outcomes of a job. Running is the only one that is not final.
const (
	OutcomeRunning  Outcome = "running"
	OutcomeComplete Outcome = "complete"
	OutcomeFailed   Outcome = "failed"
	OutcomeNotRun   Outcome = "not_run"
)

// Answer is the state of a job with its tasks, ordered by index. Results are
// present only when Outcome is OutcomeComplete, so that no partial answer
// leaves the dispatcher.
type Answer struct {
	ID        JobID
	Service   string
	Outcome   Outcome
	Tasks     []Task
	Cancelled bool
	// Err explains OutcomeFailed and OutcomeNotRun; nil otherwise.
	Err *Error
}

// MaxGone is the number of departures that a claim names, the newest ones. A job
// counts as older than the others.
const MaxGone = 64

// Claim records that a key was taken, with all that a new owner needs to go on.
type Claim struct {
	Spec  JobSpec
	Shard int
	Epoch uint64
	// Digest identifies the body; zero if it is to be computed from Spec. It
	// stays when the payloads are dropped.
	Digest uint64
	// Pending is set in a receiver's copy until the owner has taken the job.
	Pending bool
	// Gone names agents that had left for good when the claim was made, so that
	// they started nothing of the job.
	Gone []uint64
	// Answer is set once the job has ended. An owner that hands its shard over
	// sets it to the running state, with all results.
	Answer *Answer
}
