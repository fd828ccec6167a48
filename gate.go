package carobpulley

import (
	"time"
)

// Gate is the agent's check before each start. It is a state machine without
// I/O and not safe for concurrent use.
type Gate interface {
	// Enter decides on a dispatch, with now read after the last blocking
	// operation. It records the start and returns nil, or returns an *Error:
	// NotRun is set unless the kind is KindStarted.
	Enter(now time.Time, in Entering) error
	// End records the final state of a started task.
	End(now time.Time, t StartedTask)
	// Query returns the state of a task. One that has not started is refused
	// for good, in this attempt and all earlier ones, and reported as PhaseNotRun.
	Query(now time.Time, id TaskID, shard int, epoch uint64, attempt int) (StartedTask, error)
	// Fence raises the epochs and returns a page of the started tasks of the
	// shards, of about maxBytes at most and one task at least. after is zero or
	// the next of the page before; next is zero on the last page. complete is false
	// if starts have been dropped from memory.
	Fence(now time.Time, shards []Ownership, after uint64, maxBytes int) (started []StartedTask, next uint64, complete bool)
	// Configure takes the agent's own service state at a configuration version;
	// older versions are ignored.
	Configure(version uint64, inService bool)
	// Drain refuses all later dispatches.
	Drain()
	// Clock converts a time to a reading that dispatches echo.
	Clock(now time.Time) int64
}

// Entering is a dispatch as the gate sees it.
type Entering struct {
	Dispatch Dispatch
	// Request is set for a single request, which has no shard and no epoch.
	Request bool
	// Echo is the reading of this agent's clock that the sender returned.
	Echo int64
	// Incarnation is the one the sender means to reach.
	Incarnation uint64
	// ConfigVersion and InService are the sender's view of this agent's domain.
	ConfigVersion uint64
	InService     bool
}
