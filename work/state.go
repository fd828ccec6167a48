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

// Known reports whether the state is one of a job's states.
func (s State) Known() bool { return s == StateQueued || s == StateRunning || s.Ended() }

// Outcome is the way in which a run ended.
type Outcome string

// Ways in which a run ends. The first five are reported by the endpoint, the others
// are determined by its agent.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lapsed"
	OutcomeBroken       Outcome = "broken"
	// OutcomeLost is a run whose endpoint crashed or left.
	OutcomeLost Outcome = "lost"
	// OutcomeCrashed is a run that was at its endpoint when it crashed.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeNotStarted is a run that did not start and can no longer start.
	OutcomeNotStarted Outcome = "absent"
	// OutcomeNoCapacity is a run that was refused because the endpoint had too little
	// free capacity; it did not start.
	OutcomeNoCapacity Outcome = "room"
)

// Run identifies one start of a task.
type Run struct {
	Task string
	// Number grows with each start of the task; the first is 1.
	Number int64
}

// End records that a run ended.
type End struct {
	// Sequence is the position in the endpoint's list of ends; 0 for ends that the
	// agent determined without the endpoint.
	Sequence   int64
	Run        Run
	Outcome    Outcome
	ElapsedMS  int64
	Checkpoint string
	// NeverBegun is set by the agent for OutcomeNotStarted and OutcomeNoCapacity if the run has not
	// begun and never will: each of its starts was refused or not sent. Without it the run may have
	// begun, as after a start without an answer.
	NeverBegun bool
	// Beside holds the kinds of tasks that ran beside the run, itself excluded, if BesideKnown is set.
	Beside      []Beside
	BesideKnown bool
}

// Start is a request to start a run.
type Start struct {
	Run        Run
	Spec       string
	Resources  Resources
	Checkpoint string
	// Durable is set for a task of a durable job: its run belongs to the owner of
	// the job's shard. The run of a best-effort job belongs to the coordinator that
	// dispatched it.
	Durable bool
	// SlackMS is the time until the latest start that meets the job's objective.
	SlackMS int64
	// WaitMS is how long the agent may queue the start until there is enough free
	// capacity; 0 means not at all.
	WaitMS int64
	// Suspect is set if an endpoint has crashed under a run of the job. Runs of one suspect job at a
	// time are at an endpoint, and its starts are sent one at a time, so that the next crash tells
	// which job is the cause and which of its tasks were there.
	Suspect bool
	// Priority is that of the job's queue; 0 is the most urgent.
	Priority int
	// Kind names the kind of the task, see Job.TaskKind. It is empty unless the coordinator asks what ran
	// beside the run.
	Kind string
}

// PriorityUse is the capacity that runs of one priority hold.
type PriorityUse struct {
	Priority int
	// CPU is in millicores.
	CPU int64
}

// Crash is the crash of an endpoint that had a run of a task.
type Crash struct {
	Task string `json:"task"`
	// Endpoint names the endpoint's generation that crashed.
	Endpoint string `json:"endpoint"`
	// Certain is set if the run was certainly at the endpoint. A start that was under way among others
	// may have crashed the endpoint, or not have reached it.
	Certain bool `json:"certain,omitempty"`
	// Alone is set if no run of another job was there.
	Alone bool `json:"alone,omitempty"`
}

// EndpointState is the state that an endpoint reports about itself, with the
// capacity that its agent counts as used.
type EndpointState struct {
	// Instance identifies one generation of the endpoint.
	Instance string
	Service  string
	Domain   string
	Labels   []string
	Capacity Resources
	// Used is the capacity taken by runs of other coordinators.
	Used Resources
	// UsedByPriority holds the CPU capacity in Used by the priorities of the runs, the most urgent first. It
	// is empty from an agent that does not tell them.
	UsedByPriority []PriorityUse
	// Kinds holds the kinds of the runs of other coordinators, at most MaxBeside.
	Kinds []KindLoad
	// Ready is false while the agent sends the endpoint no starts: while either drains,
	// or the endpoint is unresponsive, has not been polled yet or lists an unknown run.
	Ready bool
}

// ShardOf returns the shard of a job id.
func ShardOf(id string, shards int) int {
	return int(xxhash.Sum64String(id) % uint64(shards))
}
