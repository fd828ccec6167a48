package entry

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/inner"
	"carobpulley/oper"
	"carobpulley/owner"
	"carobpulley/stats"
	"carobpulley/stream"
)

// Settings of an entry.
type Settings struct {
	// Name is the entry's name in the catalogue.
	Name string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Domain is the entry's own failure domain.
	Domain string
	// Peers are the inner addresses of the other entries by name.
	Peers map[string]netip.AddrPort
	// Shards is the number of parts of the key space, the same at all entries.
	Shards int
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration
}

// Parts are what an entry is built from.
type Parts struct {
	Log       carobpulley.Log
	Client    *inner.Client
	Authority carobpulley.Authority
	Table     carobpulley.JobTable
	Placer    carobpulley.Placer
	Admitter  carobpulley.Admitter
	Roster    carobpulley.Roster
	Retry     RetryBudget
	Stats     *stats.Set
	Logger    zerolog.Logger
}

// RetryBudget limits the extra load of retries per member. Package place
// implements it.
type RetryBudget interface {
	// Request counts a request towards the budget.
	Request(now time.Time, member string)
	// Retry takes a retry from the budget; it returns false if none is left.
	Retry(now time.Time, member string) bool
	// Backoff returns the pause before a retry, the first being attempt 1.
	Backoff(attempt int) time.Duration
}

// Entry is the shell of one entry process.
type Entry struct {
	cfg    Settings
	log    carobpulley.Log
	client *inner.Client
	// fresh opens a connection per call, for queries after a lost answer.
	fresh  *inner.Client
	logger zerolog.Logger
	stats  *stats.Set
	// journal appends claims and answers in groups.
	journal *stream.Group
	// witnesses send claims to peers in groups, by peer.
	witnesses map[string]*witnessSender

	// ctx ends with Run, and calls to other processes with it.
	ctx    context.Context
	cancel context.CancelFunc

	// workMu guards stopped; work counts the calls to other processes.
	workMu  sync.Mutex
	stopped bool
	work    sync.WaitGroup

	calls    atomic.Uint64
	counters counters

	// mu guards all that follows.
	mu        sync.Mutex
	authority carobpulley.Authority
	table     carobpulley.JobTable
	placer    carobpulley.Placer
	admitter  carobpulley.Admitter
	roster    carobpulley.Roster
	retry     RetryBudget
	witness   *owner.Witness
	// spread decides on the configuration. fold is its fold and cat the version
	// in force.
	spread *conf.Spread
	fold   *conf.Fold
	cat    *carobpulley.Catalogue
	// unreadable is the newest version that could not be parsed.
	unreadable uint64
	// owners are the ownership claims read so far, in log order.
	owners owners
	agents map[string]*agentState
	// departures are the agents that are gone.
	departures owner.Departures
	startedAt  time.Time
	// share is the part of the shards that this entry owns.
	share float64
	// flights are the dispatches that no answer came for yet.
	flights map[carobpulley.TaskID]*flight
	waiters map[carobpulley.JobID]*waiter
	single  map[carobpulley.JobID]*call
	peers   map[string]*peerState
	opening map[int]*takeover
	// versionChanged is closed and replaced when the configuration or what is
	// known of the peers' versions changes.
	versionChanged chan struct{}
	draining       bool
	// platform is what is known of the log's state.
	platform oper.LogState
	// journalGap is set once a claim could not be journaled.
	journalGap bool
}

// peerState is what is known of another entry.
type peerState struct {
	incarnation uint64
	answeredAt  time.Time
	draining    bool
}

// New returns an entry. Run starts it.
func New(cfg Settings, p Parts) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	fold := conf.NewFold()
	e := &Entry{
		cfg:            cfg,
		log:            p.Log,
		client:         p.Client,
		fresh:          p.Client.WithNewConns(),
		logger:         p.Logger,
		stats:          p.Stats,
		ctx:            ctx,
		cancel:         cancel,
		authority:      p.Authority,
		table:          p.Table,
		placer:         p.Placer,
		admitter:       p.Admitter,
		roster:         p.Roster,
		retry:          p.Retry,
		witness:        owner.NewWitness(cfg.Shards),
		spread:         conf.NewSpread(cfg.Name, fold),
		fold:           fold,
		startedAt:      time.Now(),
		cat:            &carobpulley.Catalogue{},
		agents:         make(map[string]*agentState),
		flights:        make(map[carobpulley.TaskID]*flight),
		waiters:        make(map[carobpulley.JobID]*waiter),
		single:         make(map[carobpulley.JobID]*call),
		peers:          make(map[string]*peerState),
		opening:        make(map[int]*takeover),
		witnesses:      make(map[string]*witnessSender),
		versionChanged: make(chan struct{}),
	}
	e.journal = stream.NewGroup(p.Log, carobpulley.StreamJournalPrefix+cfg.Name, e.newID)
	for name := range cfg.Peers {
		e.peers[name] = &peerState{}
		e.witnesses[name] = newWitnessSender(e, name)
	}
	return e
}

// newID returns an id that no other process and no earlier incarnation uses.
func (e *Entry) newID() string {
	n := e.calls.Add(1)
	return e.cfg.Name + "-" + strconv.FormatUint(e.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// goDo runs a call to another process; Run waits for it. After Run nothing
// more is called.
func (e *Entry) goDo(f func()) {
	e.workMu.Lock()
	defer e.workMu.Unlock()
	if e.stopped {
		return
	}
	e.work.Go(f)
}

// stopWork ends all calls to other processes and waits for them.
func (e *Entry) stopWork() {
	e.workMu.Lock()
	e.stopped = true
	e.workMu.Unlock()
	e.cancel()
	e.work.Wait()
}

// step feeds an event to the job table and carries the actions out. mu is held.
func (e *Entry) step(now time.Time, ev carobpulley.Event) []carobpulley.Action {
	acts := e.table.Step(now, ev)
	for _, a := range acts {
		e.act(now, a)
	}
	return acts
}

// event is step for callers without the lock; it starts what can start then.
func (e *Entry) event(ev carobpulley.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.step(now, ev)
	e.pump(now)
}

func (e *Entry) act(now time.Time, a carobpulley.Action) {
	switch a := a.(type) {
	case carobpulley.HoldClaim:
		e.holdClaim(a.Claim)
	case carobpulley.WriteJournal:
		e.writeJournal(a.Claim)
	case carobpulley.QueueTask:
		e.queue(now, a.Waiting)
	case carobpulley.DropTasks:
		e.admitter.Drop(now, a.Job)
	case carobpulley.QueryTask:
		e.query(a.Dispatch, a.At)
	case carobpulley.CancelTask:
		e.cancelTask(a.Dispatch)
	case carobpulley.Finished:
		e.finished(now, a.Answer)
	}
}

// queue completes a waiting task with what the catalogue says of its service.
func (e *Entry) queue(now time.Time, w carobpulley.Waiting) {
	w.Class = e.cat.Services[w.Service].Class
	e.admitter.Push(now, w)
}

// waiter wakes all that wait for the end of a job.
type waiter struct {
	done chan struct{}
	n    int
}

// wait returns a channel that is closed at the end of the job. mu is held.
func (e *Entry) wait(id carobpulley.JobID) *waiter {
	w := e.waiters[id]
	if w == nil {
		w = &waiter{done: make(chan struct{})}
		e.waiters[id] = w
	}
	w.n++
	return w
}

// leave gives up waiting.
func (e *Entry) leave(id carobpulley.JobID, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unwait(id, w)
}

// unwait is leave with mu held.
func (e *Entry) unwait(id carobpulley.JobID, w *waiter) {
	w.n--
	if w.n == 0 && e.waiters[id] == w {
		delete(e.waiters, id)
	}
}

// wake ends the waiting for a job. mu is held.
func (e *Entry) wake(id carobpulley.JobID) {
	w := e.waiters[id]
	if w == nil {
		return
	}
	delete(e.waiters, id)
	close(w.done)
}

func (e *Entry) finished(_ time.Time, a carobpulley.Answer) {
	e.counters.jobs.Add(1)
	e.wake(a.ID)
}
