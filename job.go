package carobpulley

import (
	"time"
)

// Limits of a submission. The entry enforces them before any task runs.
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

// JobID identifies a job. The key is chosen by the caller and unique per member.
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
	// PhaseWaiting is a task that has not been dispatched, or was refused by the agent.
	PhaseWaiting Phase = "waiting"
	// PhaseDispatched is a task that was sent to an agent and has not been answered.
	PhaseDispatched Phase = "dispatched"
	// PhaseRunning is a task that has started at an endpoint.
	PhaseRunning Phase = "running"
	// PhaseDone is a task that ended with a result.
	PhaseDone Phase = "done"
	// PhaseFailed is a task that started and failed.
	PhaseFailed Phase = "failed"
	// PhaseNotRun is a task that did not start and can no longer start.
	PhaseNotRun Phase = "not_run"
	// PhaseStopped is a task that started and was stopped by a cancellation.
	PhaseStopped Phase = "stopped"
	// PhaseUnknown is a task that may or may not have started.
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
	// Incarnation is the incarnation of the endpoint's agent at the newest dispatch.
	Incarnation uint64
	// Attempt numbers the newest dispatch; zero before the first one. It grows with
	// each dispatch, across epochs as well.
	Attempt int
	// Status is the HTTP status of the endpoint's answer; 0 if there was none.
	Status int
	Result []byte
	Err    string
}

// Outcome is the state of a job as shown to callers.
type Outcome string

// Outcomes of a job. All but OutcomeRunning are final.
const (
	OutcomeRunning  Outcome = "running"
	OutcomeComplete Outcome = "complete"
	OutcomeFailed   Outcome = "failed"
	OutcomeNotRun   Outcome = "not_run"
)

// Answer is the state of a job with its tasks, ordered by index. Results are
// present only when Outcome is OutcomeComplete, so that the dispatcher never
// returns a partial answer.
type Answer struct {
	ID        JobID
	Service   string
	Outcome   Outcome
	Tasks     []Task
	Cancelled bool
	// Err explains OutcomeFailed and OutcomeNotRun; nil otherwise.
	Err *Error
}

// MaxGone is the largest number of departed agents that a claim lists, the most
// recent ones. A job counts as older than departures that its claim does not list.
const MaxGone = 64

// Claim records that a job key is taken, with everything that a new owner needs to
// continue the job.
type Claim struct {
	Spec  JobSpec
	Shard int
	Epoch uint64
	// Digest identifies the body; zero if it has to be computed from Spec. It
	// remains when the payloads are dropped.
	Digest uint64
	// Pending is set in the copy of the entry that received the submission until the
	// owner has accepted the job.
	Pending bool
	// Gone lists agents that had left permanently when the claim was made, and so
	// started no task of the job.
	Gone []uint64
	// Resumed is set by an owner that took the job over and continued it. It
	// invalidates answers of earlier epochs that are not complete.
	Resumed bool
	// Answer is set once the job has ended. An owner that hands its shard over also
	// sets it for running jobs, with all results so far.
	Answer *Answer
}

// Ended reports whether the claim has a final answer.
func (c Claim) Ended() bool {
	return c.Answer != nil && c.Answer.Outcome != OutcomeRunning
}
