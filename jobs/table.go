package jobs

import (
	"time"

	"carobpulley"
	"carobpulley/coloc"
	"carobpulley/shed"
	"carobpulley/work"
)

// Config holds the parameters of a Table.
type Config struct {
	// Name is the name of this coordinator.
	Name string
	// StatusRetention is how long the state of an ended durable job is retained.
	StatusRetention time.Duration
	// AgentTimeout is the time without a report after which all runs of an agent
	// are over.
	AgentTimeout time.Duration
	// TakeoverWait is the time after a claim by which every ownership proof of the
	// earlier owner has expired.
	TakeoverWait time.Duration
	// AuthorityTTL is how long ownership is proved by a read of the store.
	AuthorityTTL time.Duration
	Shards       int
	// Sharing lets the table look for kinds of tasks that slow each other down at one endpoint, and place
	// them apart.
	Sharing bool
}

// shard is the state of an owned shard.
type shard struct {
	epoch uint64
	// awaited holds the agents that have not reported their runs for this epoch,
	// each with the time at which the wait for it ends.
	awaited map[string]time.Time
	dirty   []*job
	// expired holds the keys of the records to drop.
	expired []string
}

// takeoverDone reports whether no agent's report is awaited any more.
func (s *shard) takeoverDone() bool { return len(s.awaited) == 0 }

// recentRetention is how long the outcome of a best-effort job is retained to answer
// repeated submissions.
const recentRetention = 12 * time.Second

// Table is the state of all owned shards.
type Table struct {
	cfg          Config
	routing      *work.RoutingConfig
	proof        proof
	outOfService map[string]bool
	// crashes holds, by job id, the endpoints that have crashed under the tasks of recent jobs.
	crashes map[string]*jobCrashes
	// suspects holds the jobs of the table with such crashes that have not ended, and suspectsAt the
	// agents at which tasks of them are placed.
	suspects   map[*job]bool
	suspectsAt map[*agentState]*job
	shards     map[int]*shard
	jobs       map[string]*job
	// displaced holds, by id, best-effort jobs that a durable job has displaced while they have runs.
	displaced map[string]*job
	agents    map[string]*agentState
	// active holds the agents that are attached or have tasks placed, in the order of their
	// names.
	active []*agentState
	// shared is set once the coordinator works with a share of the agents.
	shared bool
	// shareKnown is set once the share was computed from the members in the store.
	shareKnown bool
	// heldUntil is the time until which tasks of best-effort jobs
	// don't start.
	heldUntil time.Time
	// growAt is the time of the next extension of the share, and growPause the pause before
	// the last one.
	growAt    time.Time
	growPause time.Duration
	// growCPU is the CPU capacity that waiting tasks needed at the last extension.
	growCPU int64
	// ready holds the tasks that wait for capacity, ordered by latestStart.
	ready []*taskGroup
	// coordinators is the number of coordinators, including this one.
	coordinators int
	// ended holds ended durable jobs until StatusRetention has passed.
	ended []*job
	// abandoned holds what is remembered of best-effort jobs that were given up, by job id.
	abandoned map[string]*abandonedJob
	// recent holds ended best-effort jobs in the order of their ends.
	recent []*job
	// results holds the outcomes of best-effort jobs that Results has not returned.
	results      []BestEffortResult
	turnover     shed.Turnover
	interference interference

	decisions []Decision
}

// BestEffortResult is the outcome of a best-effort job.
type BestEffortResult struct {
	Job   string
	State work.State
	// Unstarted is set if no task of the job has started.
	Unstarted bool
	Reason    string
}

// Results returns and clears the outcomes of best-effort jobs that ended since the
// last call.
func (t *Table) Results() []BestEffortResult {
	r := t.results
	t.results = nil
	return r
}

// Decision is a decision of the table, to be logged and counted by the caller.
type Decision struct {
	Job, Task, Agent, Event, Reason string
	Run                             int64
	// Basis is the reason by which an earlier run of a task that is placed again was taken to be over.
	Basis string
}

// New returns an empty table.
func New(cfg Config) *Table {
	t := &Table{
		cfg:          cfg,
		outOfService: make(map[string]bool),
		crashes:      make(map[string]*jobCrashes),
		suspects:     make(map[*job]bool),
		suspectsAt:   make(map[*agentState]*job),
		shards:       make(map[int]*shard),
		jobs:         make(map[string]*job),
		agents:       make(map[string]*agentState),
		abandoned:    make(map[string]*abandonedJob),
		displaced:    make(map[string]*job),
	}
	if cfg.Sharing {
		t.interference.model = coloc.New()
	}
	return t
}

// Decisions returns and clears the decisions since the last call.
func (t *Table) Decisions() []Decision {
	d := t.decisions
	t.decisions = nil
	return d
}

func (t *Table) logDecision(d Decision) { t.decisions = append(t.decisions, d) }

// SetCoordinatorCount sets the number of coordinators that share an endpoint, including this
// one.
func (t *Table) SetCoordinatorCount(n int) { t.coordinators = n }

// SetConfig sets the configuration in force.
func (t *Table) SetConfig(c *work.RoutingConfig) {
	t.routing = c
	t.rankReady()
}

// SetDomainsOutOfService sets the failure domains that get no tasks.
func (t *Table) SetDomainsOutOfService(domains []string) {
	clear(t.outOfService)
	for _, domain := range domains {
		t.outOfService[domain] = true
	}
}

// OwnedShards returns the epochs of the owned shards by shard number.
func (t *Table) OwnedShards() map[int]uint64 {
	owned := make(map[int]uint64, len(t.shards))
	for number, s := range t.shards {
		owned[number] = s.epoch
	}
	return owned
}

// OwnsShardOf reports whether the shard of a job is owned by this coordinator.
func (t *Table) OwnsShardOf(id string) bool {
	return t.shards[work.ShardOf(id, t.cfg.Shards)] != nil
}

// AcquireShard adds a shard with the records that the store holds of it. Its jobs'
// tasks are not placed until all known agents have reported their runs or
// TakeoverWait has passed. It returns the errors of records that can't be read.
func (t *Table) AcquireShard(now time.Time, number int, epoch uint64, records []carobpulley.KeyedRecord) []error {
	s := &shard{epoch: epoch, awaited: make(map[string]time.Time)}
	t.shards[number] = s
	for name, a := range t.agents {
		s.awaited[name] = now.Add(t.cfg.TakeoverWait)
		a.attached = false
	}
	errs := t.loadJobs(now, number, s, records)
	t.finishTakeover(now, number, s)
	return errs
}

// ReleaseShard removes a shard that another coordinator owns now. It returns the
// jobs that have not ended or have unstored changes: their callers may be waiting
// for the store.
func (t *Table) ReleaseShard(number int) []string {
	var unsettled []string
	for id, j := range t.jobs {
		if j.shard != number {
			continue
		}
		if j.phase != phaseEnded || j.dirty || j.inBatch {
			unsettled = append(unsettled, id)
		}
		t.clearTasks(j)
		delete(t.jobs, id)
	}
	remaining := t.ended[:0]
	for _, j := range t.ended {
		if j.shard != number {
			remaining = append(remaining, j)
		}
	}
	t.ended = remaining
	delete(t.shards, number)
	return unsettled
}

// clearTasks removes a job's tasks from the queue and from their agents.
func (t *Table) clearTasks(j *job) {
	for step := range j.tasks {
		for i := range j.tasks[step] {
			t.unassign(&j.tasks[step][i])
		}
	}
	t.dropGroups(j)
}

// finishTakeover queues the jobs loaded at a takeover if no agent's report is
// awaited any more.
func (t *Table) finishTakeover(now time.Time, number int, s *shard) {
	if !s.takeoverDone() {
		return
	}
	for _, j := range t.jobs {
		if j.shard == number && j.takeoverPending && t.displaced[j.id] == nil {
			j.takeoverPending = false
			for step := range j.tasks {
				for i := range j.tasks[step] {
					j.tasks[step][i].requireProof(now)
				}
			}
			t.enqueueJob(now, j)
		}
	}
	t.PlaceReady(now)
}

// Tick requeues the tasks of unresponsive agents, ends expired takeover waits, stops
// overdue runs, abandons best-effort jobs that did not start in time and drops
// expired states. It is called periodically.
func (t *Table) Tick(now time.Time) {
	t.refreshActive()
	for _, a := range t.active {
		t.requeueIfUnresponsive(now, a)
	}
	for number, s := range t.shards {
		takingOver := !s.takeoverDone()
		for name, until := range s.awaited {
			if now.After(until) {
				delete(s.awaited, name)
				t.logDecision(Decision{Agent: name, Event: "not waited for", Reason: "its proofs of the earlier owner have run out"})
			}
		}
		if takingOver {
			t.finishTakeover(now, number, s)
		}
	}
	t.stopOverdue(now)
	t.checkStops(now)
	t.abandonUnstarted(now)
	t.dropExpired(now)
	t.forgetCrashes(now)
	t.expirePairs(now)
	t.PlaceReady(now)
}

// dropExpired drops the states of ended jobs whose retention has passed.
func (t *Table) dropExpired(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].endedAt) > t.cfg.StatusRetention {
		j := t.ended[n]
		n++
		if s := t.shards[j.shard]; s != nil && !j.dirty && !j.inBatch {
			s.expired = append(s.expired, work.KeyProgress+j.id)
			delete(t.jobs, j.id)
		}
	}
	t.ended = t.ended[n:]
	n = 0
	for n < len(t.recent) && now.Sub(t.recent[n].endedAt) > recentRetention {
		if id := t.recent[n].id; t.jobs[id] == t.recent[n] {
			delete(t.jobs, id)
		}
		n++
	}
	t.recent = t.recent[n:]
	for id, a := range t.abandoned {
		if now.Sub(a.at) > recentRetention && t.jobs[id] == nil {
			delete(t.abandoned, id)
		}
	}
}
