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

// Settings configures an entry.
type Settings struct {
	// Name is the entry's name in the catalogue.
	Name string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Domain is the entry's own failure domain.
	Domain string
	// Peers maps the names of the other entries to their internal addresses.
	Peers map[string]netip.AddrPort
	// Shards is the number of partitions of the key space, the same at all entries.
	Shards int
	// LogRetention is the retention time of the log's records.
	LogRetention time.Duration
}

// Dependencies are the state machines and clients that an entry is built from.
type Dependencies struct {
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
	// Retry takes a retry from the budget; it returns false if the budget is used up.
	Retry(now time.Time, member string) bool
	// Backoff returns the pause before a retry, the first being attempt 1.
	Backoff(attempt int) time.Duration
}

// Entry runs one entry process: it connects the state machines with the log,
// the other entries and the agents. It is safe for concurrent use.
type Entry struct {
	cfg    Settings
	log    carobpulley.Log
	client *inner.Client
	// newConnClient opens a new connection for each call. It is used for queries
	// after a lost answer and for repeated cancellations.
	newConnClient *inner.Client
	logger        zerolog.Logger
	stats         *stats.Set
	// journal appends claims and answers in batches.
	journal *stream.Group
	// witnessSenders send claims in batches, one sender for each peer.
	witnessSenders map[string]*witnessSender

	// ctx is cancelled when Run ends, which aborts calls to other processes.
	ctx    context.Context
	cancel context.CancelFunc

	// backgroundMu guards stopped; background counts the goroutines that call
	// other processes.
	backgroundMu sync.Mutex
	stopped      bool
	background   sync.WaitGroup

	idCounter atomic.Uint64
	counters  counters

	// mu guards all fields below.
	mu          sync.Mutex
	authority   carobpulley.Authority
	table       carobpulley.JobTable
	placer      carobpulley.Placer
	admitter    carobpulley.Admitter
	roster      carobpulley.Roster
	retryBudget RetryBudget
	witness     *owner.Witness
	// rollout decides on the configuration. fold applies the log's changes for it,
	// and cat is the version in force.
	rollout *conf.Rollout
	fold    *conf.Fold
	cat     *carobpulley.Catalogue
	// unreadableVersion is the newest version that could not be parsed.
	unreadableVersion uint64
	// ownership holds the ownership claims read so far, in log order.
	ownership ownershipClaims
	agents    map[string]*agentState
	// departures records the agents that announced their departure and when others
	// were lost.
	departures owner.Departures
	startedAt  time.Time
	// quotaShare is the fraction of the shards that this entry owns.
	quotaShare float64
	// inFlight holds the dispatches that are not answered yet.
	inFlight  map[carobpulley.TaskID]*inFlightDispatch
	waiters   map[carobpulley.JobID]*waiter
	requests  map[carobpulley.JobID]*singleRequest
	peers     map[string]*peerState
	takeovers map[int]*takeover
	// versionChanged is closed and replaced when the configuration or a recorded
	// peer version changes.
	versionChanged chan struct{}
	draining       bool
	// logState records whether the log answers.
	logState oper.LogState
	// journalGap is set once a claim could not be added to the journal.
	journalGap bool
}

// peerState is the last reported state of another entry.
type peerState struct {
	incarnation   uint64
	lastContactAt time.Time
	draining      bool
}

// New returns an entry that is not started yet; see Run.
func New(cfg Settings, p Dependencies) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	fold := conf.NewFold()
	e := &Entry{
		cfg:            cfg,
		log:            p.Log,
		client:         p.Client,
		newConnClient:  p.Client.WithNewConns(),
		logger:         p.Logger,
		stats:          p.Stats,
		ctx:            ctx,
		cancel:         cancel,
		authority:      p.Authority,
		table:          p.Table,
		placer:         p.Placer,
		admitter:       p.Admitter,
		roster:         p.Roster,
		retryBudget:    p.Retry,
		witness:        owner.NewWitness(cfg.Shards),
		rollout:        conf.NewRollout(cfg.Name, fold),
		fold:           fold,
		startedAt:      time.Now(),
		cat:            &carobpulley.Catalogue{},
		agents:         make(map[string]*agentState),
		inFlight:       make(map[carobpulley.TaskID]*inFlightDispatch),
		waiters:        make(map[carobpulley.JobID]*waiter),
		requests:       make(map[carobpulley.JobID]*singleRequest),
		peers:          make(map[string]*peerState),
		takeovers:      make(map[int]*takeover),
		witnessSenders: make(map[string]*witnessSender),
		versionChanged: make(chan struct{}),
	}
	e.journal = stream.NewGroup(p.Log, carobpulley.StreamJournalPrefix+cfg.Name, e.newID)
	for name := range cfg.Peers {
		e.peers[name] = &peerState{}
		e.witnessSenders[name] = newWitnessSender(e, name)
	}
	return e
}

// newID returns an id that is unique across processes and incarnations.
func (e *Entry) newID() string {
	n := e.idCounter.Add(1)
	return e.cfg.Name + "-" + strconv.FormatUint(e.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// runBackground runs f, a call to another process, in a goroutine that Run waits
// for. After Run has ended it does nothing.
func (e *Entry) runBackground(f func()) {
	e.backgroundMu.Lock()
	defer e.backgroundMu.Unlock()
	if e.stopped {
		return
	}
	e.background.Go(f)
}

// stopBackground cancels all calls to other processes and waits for them.
func (e *Entry) stopBackground() {
	e.backgroundMu.Lock()
	e.stopped = true
	e.backgroundMu.Unlock()
	e.cancel()
	e.background.Wait()
}

// stepTable feeds an event to the job table and performs the resulting actions.
// mu is held.
func (e *Entry) stepTable(now time.Time, ev carobpulley.Event) []carobpulley.Action {
	acts := e.table.Step(now, ev)
	for _, a := range acts {
		e.performAction(now, a)
	}
	return acts
}

// handleEvent is stepTable for callers that do not hold mu. It also dispatches
// the queued tasks that can start.
func (e *Entry) handleEvent(ev carobpulley.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.stepTable(now, ev)
	e.dispatchQueued(now)
}

func (e *Entry) performAction(now time.Time, a carobpulley.Action) {
	switch a := a.(type) {
	case carobpulley.HoldClaim:
		e.holdClaim(a.Claim)
	case carobpulley.WriteJournal:
		e.writeJournal(a.Claim)
	case carobpulley.QueueTask:
		e.queueTask(now, a.Waiting)
	case carobpulley.DropTasks:
		e.admitter.Drop(now, a.Job)
	case carobpulley.QueryTask:
		e.queryTask(a.Dispatch, a.At)
	case carobpulley.CancelTask:
		e.cancelTask(a.Dispatch)
	case carobpulley.Finished:
		e.handleFinished(now, a.Answer)
	}
}

// queueTask adds a task to the admitter's queue under the class that the
// catalogue gives its service.
func (e *Entry) queueTask(now time.Time, w carobpulley.Waiting) {
	w.Class = e.cat.Services[w.Service].Class
	e.admitter.Push(now, w)
}

// waiter wakes the goroutines that wait for the end of a job: done is closed then.
// count is the number of these goroutines.
type waiter struct {
	done  chan struct{}
	count int
}

// addWaiter registers a goroutine that waits for the end of a job. mu is held.
func (e *Entry) addWaiter(id carobpulley.JobID) *waiter {
	w := e.waiters[id]
	if w == nil {
		w = &waiter{done: make(chan struct{})}
		e.waiters[id] = w
	}
	w.count++
	return w
}

// removeWaiter unregisters a goroutine from a job's waiter.
func (e *Entry) removeWaiter(id carobpulley.JobID, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeWaiterLocked(id, w)
}

// removeWaiterLocked is removeWaiter with mu held.
func (e *Entry) removeWaiterLocked(id carobpulley.JobID, w *waiter) {
	w.count--
	if w.count == 0 && e.waiters[id] == w {
		delete(e.waiters, id)
	}
}

// wakeWaiters wakes all goroutines that wait for a job. mu is held.
func (e *Entry) wakeWaiters(id carobpulley.JobID) {
	w := e.waiters[id]
	if w == nil {
		return
	}
	delete(e.waiters, id)
	close(w.done)
}

func (e *Entry) handleFinished(_ time.Time, a carobpulley.Answer) {
	e.counters.jobs.Add(1)
	e.wakeWaiters(a.ID)
}
