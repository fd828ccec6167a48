package carobpulley

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of parts of the key space today.
const Shards = 64

// ShardOf returns the shard of a job key.
func ShardOf(id JobID, shards int) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id.Member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id.Key)
	return int(d.Sum64() % uint64(shards))
}

// Ownership is the owner of a shard at an epoch.
type Ownership struct {
	Shard int
	Owner string
	Epoch uint64
}

// Event is an input of a JobTable. The types below implement it.
type Event interface{ jobEvent() }

// Action is an output of a JobTable. The types below implement it.
type Action interface{ jobAction() }

// JobTable decides on the keys and tasks of the shards that an entry owns. It
// is a state machine without I/O and not safe for concurrent use.
type JobTable interface {
	// Step takes an event and returns what is to be done, in order.
	Step(now time.Time, ev Event) []Action
	// Answer returns a job's state; an error of kind KindNotFound,
	// KindExpired, KindUnknown or KindUnavailable tells why there is none.
	Answer(now time.Time, id JobID) (Answer, error)
	// Claims returns all that a new owner needs to go on with a shard.
	Claims(shard int) []Claim
	// UnknownUntil returns the end of the time in which a key not known in the
	// shard may have been started earlier; zero if there was none. It stays known
	// after the shard was closed.
	UnknownUntil(shard int) time.Time
	// Start marks a waiting task as dispatched to an endpoint's agent and returns
	// its attempt. It returns false if the task may not be dispatched any more.
	Start(now time.Time, id TaskID, endpoint string, incarnation uint64) (Dispatch, bool)
}

// Events of a JobTable.
type (
	// Submitted is a submission that reached the owner.
	Submitted struct {
		Spec JobSpec
		// Receiver is the entry that holds a copy of the claim; empty or the
		// owner's own name if there is none yet.
		Receiver string
		// Epoch is the shard's epoch that the receiver knew when the submission
		// arrived; zero is not checked. Under another epoch it is refused as unavailable,
		// since an earlier owner may have answered the key as not run.
		Epoch uint64
		// Gone names the agents known to have left.
		Gone []uint64
		// Admit decides on a new key; it is not called for a known one.
		Admit func(JobSpec) error
	}
	// ClaimHeld tells that a second holder has the claim of a job.
	ClaimHeld struct {
		Job JobID
		// Answer is set if the copy held includes the answer.
		Answer bool
	}
	// TaskEnded is the answer of an agent that started the task.
	TaskEnded struct {
		ID      TaskID
		Attempt int
		// Phase is PhaseDone, PhaseFailed or PhaseStopped.
		Phase  Phase
		Status int
		Result []byte
		Err    string
	}
	// TaskRefused is the answer of an agent that did not start the task and
	// will not start this attempt any more.
	TaskRefused struct {
		ID      TaskID
		Attempt int
		Kind    Kind
	}
	// TaskLost tells that a dispatch has no known outcome.
	TaskLost struct {
		ID      TaskID
		Attempt int
	}
	// TaskUnresolved tells that the query of a lost task got no answer.
	TaskUnresolved struct {
		ID      TaskID
		Attempt int
	}
	// TaskGone tells that the outcome of a lost task cannot be known any more,
	// since its agent is gone with its memory.
	TaskGone struct {
		ID      TaskID
		Attempt int
	}
	// Cancelled asks to cancel a job.
	Cancelled struct{ Job JobID }
	// ShardOpened hands the shard to this entry with all that was found of it.
	ShardOpened struct {
		Shard   int
		Epoch   uint64
		Claims  []Claim
		Started []StartedTask
		// AllAgents is set if every agent that may have started tasks answered,
		// those in Departed aside.
		AllAgents bool
		// Departed names the agents that left while jobs of the shard may have been
		// open. A job has no starts there if its claims name them as gone.
		Departed []uint64
		// AllClaims is set if every claim of earlier epochs is known.
		AllClaims bool
		// UnknownUntil is that of earlier owners; zero if there was none.
		UnknownUntil time.Time
	}
	// ShardClosed takes the shard from this entry.
	ShardClosed struct{ Shard int }
	// Tick lets time pass: deadlines, retries and retention.
	Tick struct{}
)

// StartedTask is a task that an agent reports as started.
type StartedTask struct {
	ID       TaskID
	Endpoint string
	// Incarnation is that of the agent that reports.
	Incarnation uint64
	// Phase is PhaseRunning or a final phase. A task that is done but whose
	// result was dropped is reported as PhaseUnknown.
	Phase  Phase
	Status int
	Result []byte
	Err    string
}

// Dispatch is one attempt to start a task at an endpoint.
type Dispatch struct {
	ID       TaskID
	Attempt  int
	Shard    int
	Epoch    uint64
	Endpoint string
	// Incarnation is that of the agent. A query that another one answers says
	// nothing about the attempt: TaskGone follows.
	Incarnation uint64
	Service     string
	Payload     []byte
	Deadline    time.Time
}

// Actions of a JobTable.
type (
	// Rejected is the answer to a Submitted or Cancelled that has no job to
	// show. A receiver other than the owner keeps a rejection with NotRun set as
	// it keeps a claim.
	Rejected struct {
		Job JobID
		Err *Error
	}
	// HoldClaim asks for a second holder of the claim; ClaimHeld follows. The
	// holder refuses it if it has yielded the shard to a newer epoch.
	HoldClaim struct{ Claim Claim }
	// WriteJournal asks to append a claim or its answer to the journal.
	WriteJournal struct{ Claim Claim }
	// QueueTask asks to queue a task for placement; Start follows.
	QueueTask struct{ Waiting Waiting }
	// DropTasks asks to remove the queued tasks of a job.
	DropTasks struct{ Job JobID }
	// QueryTask asks the agent for the outcome of an attempt.
	QueryTask struct {
		Dispatch Dispatch
		// At is the time of the query.
		At time.Time
	}
	// CancelTask asks the agent to withdraw or stop a task.
	CancelTask struct{ Dispatch Dispatch }
	// Finished tells that a job has its final answer.
	Finished struct{ Answer Answer }
)

func (Submitted) jobEvent()      {}
func (ClaimHeld) jobEvent()      {}
func (TaskEnded) jobEvent()      {}
func (TaskRefused) jobEvent()    {}
func (TaskLost) jobEvent()       {}
func (TaskUnresolved) jobEvent() {}
func (TaskGone) jobEvent()       {}
func (Cancelled) jobEvent()      {}
func (ShardOpened) jobEvent()    {}
func (ShardClosed) jobEvent()    {}
func (Tick) jobEvent()           {}

func (Rejected) jobAction()     {}
func (HoldClaim) jobAction()    {}
func (WriteJournal) jobAction() {}
func (QueueTask) jobAction()    {}
func (DropTasks) jobAction()    {}
func (QueryTask) jobAction()    {}
func (CancelTask) jobAction()   {}
func (Finished) jobAction()     {}
