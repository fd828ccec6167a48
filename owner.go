package carobpulley

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards of the key space.
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

// JobTable holds the jobs and tasks of the shards that an entry owns, and decides
// which tasks start and how callers are answered. It is a state machine without
// I/O and not safe for concurrent use.
type JobTable interface {
	// Step handles an event and returns the actions to execute, in order.
	Step(now time.Time, ev Event) []Action
	// Answer returns a job's state. An error of kind KindNotFound, KindExpired,
	// KindUnknown or KindUnavailable gives the reason why there is none.
	Answer(now time.Time, id JobID) (Answer, error)
	// Claims returns everything that a new owner needs to continue a shard's jobs.
	Claims(shard int) []Claim
	// UnknownUntil returns the time until which a job whose key is missing from the
	// shard may have been started earlier; zero if there is no such time. The value
	// remains available after the shard is closed.
	UnknownUntil(shard int) time.Time
	// Start marks a waiting task as dispatched to an endpoint's agent and returns
	// the dispatch. It returns false if the task may no longer be dispatched.
	Start(now time.Time, id TaskID, endpoint string, incarnation uint64) (Dispatch, bool)
}

// Events of a JobTable.
type (
	// Submitted is a submission that arrived at the owner.
	Submitted struct {
		Spec JobSpec
		// Receiver is the entry that received the submission and holds a backup copy
		// of the claim as its witness; empty or the owner's own name if there is no
		// witness yet.
		Receiver string
		// Epoch is the shard's epoch at the receiver when the submission arrived;
		// zero is not checked. Under another epoch the submission is refused as
		// unavailable, since an earlier owner may have answered the key as not run.
		Epoch uint64
		// Gone lists the agents that are known to have left.
		Gone []uint64
		// Admit accepts or refuses a job with a new key. It is not called for a key
		// that the table already holds.
		Admit func(JobSpec) error
	}
	// ClaimHeld reports that a witness, an entry other than the owner, holds a backup
	// copy of a job's claim.
	ClaimHeld struct {
		Job JobID
		// Answer is set if the copy includes the answer.
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
	// TaskRefused is the answer of an agent that did not start the task and will
	// never start this attempt.
	TaskRefused struct {
		ID      TaskID
		Attempt int
		Kind    Kind
	}
	// TaskLost reports that the outcome of a dispatch is not known.
	TaskLost struct {
		ID      TaskID
		Attempt int
	}
	// TaskUnresolved reports that the query for a lost task got no answer.
	TaskUnresolved struct {
		ID      TaskID
		Attempt int
	}
	// TaskGone reports that the outcome of a lost task can no longer be determined,
	// since its agent has ended and its records are lost.
	TaskGone struct {
		ID      TaskID
		Attempt int
	}
	// Cancelled is a request to cancel a job.
	Cancelled struct{ Job JobID }
	// ShardOpened gives the shard to this entry, with everything that was collected
	// for it.
	ShardOpened struct {
		Shard   int
		Epoch   uint64
		Claims  []Claim
		Started []StartedTask
		// AllAgents is set if every agent that may have started tasks answered,
		// except those in Departed.
		AllAgents bool
		// Departed lists the agents that left while jobs of the shard may have been
		// open. A job has no starts at an agent that its claims list as gone.
		Departed []uint64
		// AllClaims is set if every claim of earlier epochs is known.
		AllClaims bool
		// UnknownUntil is the value of JobTable.UnknownUntil at earlier owners; zero
		// if there was none.
		UnknownUntil time.Time
	}
	// ShardClosed removes the shard from this entry.
	ShardClosed struct{ Shard int }
	// Tick triggers the work that is due: deadlines, retries and retention.
	Tick struct{}
)

// StartedTask is a task that an agent reports as started.
type StartedTask struct {
	ID       TaskID
	Endpoint string
	// Incarnation is the incarnation of the reporting agent.
	Incarnation uint64
	// Phase is PhaseRunning or a final phase. A finished task whose result was
	// dropped is reported as PhaseUnknown.
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
	// Incarnation is the incarnation of the agent. If another incarnation answers a
	// query, the attempt's outcome remains unknown and TaskGone follows.
	Incarnation uint64
	Service     string
	Payload     []byte
	Deadline    time.Time
}

// Actions of a JobTable.
type (
	// Rejected is the answer to a Submitted or Cancelled event without a job. A
	// receiver other than the owner stores a rejection with NotRun set in the same
	// way as a claim.
	Rejected struct {
		Job JobID
		Err *Error
	}
	// HoldClaim stores a backup copy of the claim at another entry, the witness;
	// ClaimHeld follows. The witness refuses it if it has yielded the shard to a newer
	// epoch.
	HoldClaim struct{ Claim Claim }
	// WriteJournal appends a claim or its answer to the journal.
	WriteJournal struct{ Claim Claim }
	// QueueTask queues a task for placement; JobTable.Start follows.
	QueueTask struct{ Waiting Waiting }
	// DropTasks removes the queued tasks of a job.
	DropTasks struct{ Job JobID }
	// QueryTask asks the agent for the outcome of an attempt.
	QueryTask struct {
		Dispatch Dispatch
		// At is the time of the query.
		At time.Time
	}
	// CancelTask asks the agent to withdraw or stop a task.
	CancelTask struct{ Dispatch Dispatch }
	// Finished reports that a job has its final answer.
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
