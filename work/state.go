package work

import "github.com/cespare/xxhash/v2"

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Outcome is the way in which a run ended.
type Outcome string

// Ways in which a run ends. The first five are told by a runner, the others are
// established by its agent.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lapsed"
	OutcomeBroken       Outcome = "broken"
	// OutcomeLost is a run whose runner crashed or left.
	OutcomeLost Outcome = "lost"
	// OutcomeNotStarted is a run that never started and cannot start any more.
	OutcomeNotStarted Outcome = "absent"
	// OutcomeNoCapacity is a run refused for want of room; it did not start.
	OutcomeNoCapacity Outcome = "room"
)

// Run identifies one start of a task.
type Run struct {
	Task string
	// Number rises with each start of the task; the first is 1.
	Number int64
}

// End is the end of a run.
type End struct {
	// Number is the position in the runner's list; 0 for ends that the agent
	// established without the runner.
	Number     int64
	Run        Run
	Outcome    Outcome
	ElapsedMS  int64
	Checkpoint string
}

// Start is an order to start a run.
type Start struct {
	Run        Run
	Spec       string
	Resources  Resources
	Checkpoint string
	// Durable is set for a task of a job that is kept in the store: its run belongs
	// to the owner of the job's shard. Another run belongs to the coordinator that
	// ordered it.
	Durable bool
	// SlackMS is the time until the latest start that meets the job's objective.
	SlackMS int64
	// WaitMS is how long the agent may keep the order until there is room; 0 if
	// not at all.
	WaitMS int64
}

// EndpointState is what a runner says of itself, and the room that its agent
// counts as used.
type EndpointState struct {
	// Instance names one life of the runner; empty if none is known.
	Instance string
	Service  string
	Domain   string
	Labels   []string
	Capacity Resources
	// Used is the room taken by runs of other coordinators.
	Used Resources
	// Ready is false while the runner drains, is silent or unknown.
	Ready bool
}

// ShardOf returns the shard of a job id.
func ShardOf(id string, shards int) int {
	return int(xxhash.Sum64String(id) % uint64(shards))
}
