package jobs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Config holds what a Table is built from.
type Config struct {
	// Name is that of this coordinator.
	Name string
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
	// AgentTimeout is the time without a report after which everything that an agent
	// ran is over.
	AgentTimeout time.Duration
	// TakeoverWait is the time after a claim by which every proof that the earlier
	// owner gave has run out.
	TakeoverWait time.Duration
	Shards       int
}

// shard is the state of an owned shard.
type shard struct {
	epoch uint64
	// waiting holds the agents that have not told what they run for this epoch,
	// with the time until which they are waited for.
	waiting map[string]time.Time
	dirty   []*job
	expired []string
}

func (s *shard) clear() bool { return len(s.waiting) == 0 }

// recentFor is how long the outcome of a job that is not kept is remembered for a
// repeated submission.
const recentFor = 12 * time.Second

// Table is the state of all owned shards.
type Table struct {
	cfg  Config
	plan *work.RoutingConfig
	// authority is false while ownership cannot be proved; nothing starts then.
	authority bool
	out       map[string]bool
	shards    map[int]*shard
	jobs      map[string]*job
	hosts     map[string]*host
	ready     []*unit
	// peers is the number of coordinators, this one among them.
	peers int
	ended []*job
	// recent are ended jobs that were not kept, in the order of their ends.
	recent []*job
	// finished are the ends of such jobs that their callers are to be told.
	finished []BestEffortResult
	log      []Decision
}

// BestEffortResult is the end of a job that is not kept.
type BestEffortResult struct {
	Job   string
	State work.State
	// Unstarted is set if no task has started.
	Unstarted bool
	Reason    string
}

// Results returns the ends since the last call.
func (t *Table) Results() []BestEffortResult {
	f := t.finished
	t.finished = nil
	return f
}

// Decision is a line for the log.
type Decision struct {
	Job, Task, Agent, Event, Reason string
	Run                             int64
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:    cfg,
		out:    make(map[string]bool),
		shards: make(map[int]*shard),
		jobs:   make(map[string]*job),
		hosts:  make(map[string]*host),
	}
}

// Decisions returns the decisions since the last call.
func (t *Table) Decisions() []Decision {
	d := t.log
	t.log = nil
	return d
}

func (t *Table) decide(d Decision) { t.log = append(t.log, d) }

// SetPeers tells the number of coordinators that share the runners.
func (t *Table) SetPeers(n int) { t.peers = n }

// SetConfig puts a configuration in force.
func (t *Table) SetConfig(p *work.RoutingConfig) { t.plan = p }

// SetAuthority tells whether ownership is proved freshly enough to start tasks.
func (t *Table) SetAuthority(ok bool) { t.authority = ok }

// SetDomain takes a failure domain out of service or back.
func (t *Table) SetDomain(domain string, out bool) {
	if out {
		t.out[domain] = true
		return
	}
	delete(t.out, domain)
}

// ClearDomains puts all failure domains back into service, before all records of
// the operators are read anew.
func (t *Table) ClearDomains() { clear(t.out) }

// OwnedShards returns the owned shards with their epochs.
func (t *Table) OwnedShards() map[int]uint64 {
	owned := make(map[int]uint64, len(t.shards))
	for number, s := range t.shards {
		owned[number] = s.epoch
	}
	return owned
}

// OwnsShardOf reports whether the shard of a job is owned.
func (t *Table) OwnsShardOf(id string) bool {
	return t.shards[work.ShardOf(id, t.cfg.Shards)] != nil
}

// AcquireShard takes over a shard with what the store holds of it. Tasks of its jobs wait
// until all known agents have told what they run.
func (t *Table) AcquireShard(now time.Time, number int, epoch uint64, records []carobpulley.KeyedRecord) []error {
	s := &shard{epoch: epoch, waiting: make(map[string]time.Time)}
	t.shards[number] = s
	for name, h := range t.hosts {
		s.waiting[name] = now.Add(t.cfg.TakeoverWait)
		h.attached = false
	}
	errs := t.load(now, number, s, records)
	t.release(now, number, s)
	return errs
}

// load builds the jobs of a shard from its records.
func (t *Table) load(now time.Time, number int, s *shard, records []carobpulley.KeyedRecord) []error {
	var errs []error
	progress := make(map[string]work.Progress)
	var accepted []*work.Job
	for i := range records {
		r := &records[i]
		if r.Value == nil || len(r.Key) < 2 {
			continue
		}
		switch r.Key[:1] {
		case work.KeyJob:
			j, err := work.DecodeJob(r.Value)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			accepted = append(accepted, j)
		case work.KeyProgress:
			p, err := work.DecodeProgress(r.Value)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			progress[r.Key[1:]] = p
		}
	}
	for _, spec := range accepted {
		p, ok := progress[spec.ID]
		if ok && p.State.Ended() {
			continue
		}
		j := newJob(spec, number, time.UnixMilli(spec.AcceptedMS))
		j.phase = phaseActive
		j.shown = work.StateQueued
		j.runBase = int64(s.epoch-min(spec.Epoch, s.epoch)) * runsPerEpoch
		j.old = true
		j.restore(p)
		t.jobs[spec.ID] = j
	}
	for id, p := range progress {
		if p.State.Ended() {
			t.restoreEnded(now, number, id, p)
		}
	}
	return errs
}

func (t *Table) restoreEnded(now time.Time, number int, id string, p work.Progress) {
	j := &job{id: id, queue: p.Queue, shard: number, phase: phaseEnded, state: p.State, shown: p.State}
	j.endedAt = time.UnixMilli(p.EndedMS)
	if j.endedAt.After(now) {
		j.endedAt = now
	}
	t.jobs[id] = j
	t.ended = append(t.ended, j)
}

// ReleaseShard gives up a shard that another coordinator owns now. It returns the jobs
// whose callers wait for the store.
func (t *Table) ReleaseShard(number int) []string {
	var open []string
	for id, j := range t.jobs {
		if j.shard != number {
			continue
		}
		if j.phase != phaseEnded || j.dirty || j.inBatch {
			open = append(open, id)
		}
		t.forgetJob(j)
		delete(t.jobs, id)
	}
	kept := t.ended[:0]
	for _, j := range t.ended {
		if j.shard != number {
			kept = append(kept, j)
		}
	}
	t.ended = kept
	delete(t.shards, number)
	return open
}

// forgetJob removes a job from the queue and from the hosts' accounts.
func (t *Table) forgetJob(j *job) {
	for step := range j.tasks {
		for i := range j.tasks[step] {
			t.unplace(&j.tasks[step][i])
		}
	}
	t.dropUnits(j)
}

// release lets tasks of older jobs start once all agents are accounted for.
func (t *Table) release(now time.Time, number int, s *shard) {
	if !s.clear() {
		return
	}
	for _, j := range t.jobs {
		if j.shard == number && j.old {
			j.old = false
			t.enqueueJob(j)
		}
	}
	t.Place(now)
}

// Tick gives up agents that were not heard of, ends waits and drops old states.
func (t *Table) Tick(now time.Time) {
	for _, h := range t.hosts {
		t.checkHost(now, h)
	}
	for number, s := range t.shards {
		open := !s.clear()
		for name, until := range s.waiting {
			if now.After(until) {
				delete(s.waiting, name)
				t.decide(Decision{Agent: name, Event: "not waited for", Reason: "its proofs of the earlier owner have run out"})
			}
		}
		if open {
			t.release(now, number, s)
		}
	}
	t.stopOverdue(now)
	t.giveUp(now)
	t.expire(now)
	t.Place(now)
}

// expire drops states that need not be known any more.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].endedAt) > t.cfg.StatusRetention {
		j := t.ended[n]
		n++
		if s := t.shards[j.shard]; s != nil && !j.dirty && !j.inBatch {
			s.expired = append(s.expired, j.id)
			delete(t.jobs, j.id)
		}
	}
	t.ended = t.ended[n:]
	n = 0
	for n < len(t.recent) && now.Sub(t.recent[n].endedAt) > recentFor {
		delete(t.jobs, t.recent[n].id)
		n++
	}
	t.recent = t.recent[n:]
}
