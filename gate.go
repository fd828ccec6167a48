package carobpulley

import (
	"time"
)

// Gate is the agent's check before each task start. It is a state machine without
// I/O and not safe for concurrent use.
type Gate interface {
	// Enter accepts or refuses a dispatch. The caller reads now after its last
	// blocking operation. Enter records the start and returns nil, or returns an
	// *Error with NotRun set unless the kind is KindStarted.
	Enter(now time.Time, in Entering) error
	// End records the final state of a started task.
	End(now time.Time, t StartedTask)
	// Query returns the state of a task. If the task has not started, this attempt
	// and all earlier ones are refused from then on, and PhaseNotRun is returned.
	Query(now time.Time, id TaskID, shard int, epoch uint64, attempt int) (StartedTask, error)
	// Fence raises the epochs of the shards and returns a page of their started
	// tasks, of at most about maxBytes but at least one task. after is zero or the
	// next of the previous page; next is zero on the last page. complete is false
	// if starts have been dropped from memory.
	Fence(now time.Time, shards []Ownership, after uint64, maxBytes int) (started []StartedTask, next uint64, complete bool)
	// Configure sets whether the agent's domain is in service, as of a configuration
	// version. Older versions are ignored.
	Configure(version uint64, inService bool)
	// Drain makes the gate refuse all later dispatches.
	Drain()
	// Clock converts a time to the clock reading that senders return in dispatches.
	Clock(now time.Time) int64
}

// Entering is the input of Gate.Enter: a dispatch with the sender's view of the
// agent.
type Entering struct {
	Dispatch Dispatch
	// Request is set for a single request, which has no shard and no epoch.
	Request bool
	// Echo is the reading of this agent's clock that the sender returned.
	Echo int64
	// Incarnation is the agent incarnation that the dispatch is for.
	Incarnation uint64
	// ConfigVersion and InService are the sender's view of this agent's domain.
	ConfigVersion uint64
	InService     bool
}
