package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"carobpulley"
	"carobpulley/domain"
	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/share"
	"carobpulley/work"
)

const (
	// AuthorityTTL is how long ownership is proved by a read of the control topic
	// that returns no newer claim.
	AuthorityTTL = 2500 * time.Millisecond
	// proofMargin covers timer delays and the rounding of clocks.
	proofMargin = 150 * time.Millisecond
	// agentTimeout is the time after which the runs of an agent without contact have
	// expired: the validity of its last ownership proof, on a clock that is 2 % slow.
	agentTimeout = runs.ProofTTL + runs.ProofTTL*2/100 + proofMargin
	// takeoverWait is the time after which the last proof that an earlier owner can
	// have sent has expired at every agent.
	takeoverWait = AuthorityTTL + agentTimeout
	// tickInterval is the interval at which the table checks its deadlines.
	tickInterval = 40 * time.Millisecond
	// retentionMargin is added to the time for which the states of ended jobs are retained.
	retentionMargin = 10 * time.Second
)

// Config holds the parameters of a Coordinator.
type Config struct {
	Self            work.Address
	StatusRetention time.Duration
	Shards          int
	// DrainTimeout bounds the time from the shutdown request until callers' jobs are
	// abandoned.
	DrainTimeout time.Duration
	// Sharing lets the coordinator place kinds of tasks apart that slow each other down.
	Sharing bool
	// Meter records counts and times; see docs/metrics.md.
	Meter *meter.Set
}

// Coordinator connects the job table with callers, agents, peers and the store.
type Coordinator struct {
	cfg          Config
	clock        carobpulley.Clock
	log          zerolog.Logger
	store        carobpulley.Store
	configSource carobpulley.ConfigSource
	peers        *link.Peers
	rejects      *logs.Rejects
	baseCtx      context.Context

	mu sync.Mutex
	// now is the time at which the lock was acquired. It is read once, since a reading may be a system
	// call.
	now     time.Time
	table   *jobs.Table
	routing *work.RoutingConfig
	// domains is what is known of the failure domains, from the operators' topic or from other
	// processes.
	domains domain.View
	// configRead is the last successful read of the operators' topic.
	configRead configRead
	// configRecord is the record of the configuration in force, which is passed on to peers that ask
	// for it.
	configRecord carobpulley.KeyedRecord
	peerConfig   peerConfig
	// controlOffset is the offset up to which the control topic has been read.
	controlOffset int64
	// nextConfirmAt is the earliest time of the next read that confirms the ownership for ends
	// that wait for it.
	nextConfirmAt time.Time
	// ownershipProof is the time at which the last successful read of the control
	// topic was sent.
	ownershipProof time.Time
	agents         map[string]work.Address
	coordinators   map[string]work.Address
	// picker computes this coordinator's share of the agents, after a change of the members
	// and not before nextShareAt.
	picker         *share.Picker
	membersChanged bool
	nextShareAt    time.Time
	// claims, health and journals are keyed by shard number. There is a journal for each
	// shard that this process owns.
	claims   map[int]work.Claim
	health   map[int]*ownerHealth
	journals map[int]*journal
	// waiters holds the channels of the callers that wait for a job, by job id.
	waiters map[string][]chan waitResult
	// attempts holds the submissions that other coordinators have forwarded here, and lastAttempt
	// is the number of the last one that this process has forwarded.
	attempts    attempts
	lastAttempt atomic.Uint64
	holdings    holdings
	// unanswered holds, by agent, the dispatches with stops that are under way, and whether a try of them
	// has failed.
	unanswered map[string]map[*jobs.Dispatch]bool
	// nextAttachAt holds, for each agent, the earliest time of the next attach call.
	nextAttachAt map[string]time.Time
	draining     bool
	drainSince   time.Time
	// processor is the processor load, and what follows from it. peerUse is what other coordinators say of theirs.
	processor processorWatch
	peerUse   map[string]peerUse
	// lastTick is the time of the last tick, by which a pause of this process is found.
	lastTick         time.Time
	ownershipChanged chan struct{}
}

// waitResult is the result passed to a waiting caller.
type waitResult struct {
	stored jobs.StoredJob
	// result is set for a best-effort job.
	result jobs.BestEffortResult
	// shardReleased is set if this process released the shard, or ends before the job's
	// state is stored.
	shardReleased bool
}

// New returns a Coordinator. All its calls are cancelled when baseCtx ends.
func New(baseCtx context.Context, cfg Config, clock carobpulley.Clock, processor carobpulley.Processor, log zerolog.Logger, store carobpulley.Store, configSource carobpulley.ConfigSource, peers *link.Peers) *Coordinator {
	c := &Coordinator{
		cfg:          cfg,
		clock:        clock,
		processor:    processorWatch{Processor: processor, readAt: clock.Now(), kept: 1},
		log:          log,
		store:        store,
		configSource: configSource,
		peers:        peers,
		rejects:      logs.NewRejects(log, cfg.Meter),
		baseCtx:      baseCtx,
		table: jobs.New(jobs.Config{
			Name:            cfg.Self.Name,
			StatusRetention: cfg.StatusRetention + retentionMargin,
			AgentTimeout:    agentTimeout,
			TakeoverWait:    takeoverWait,
			AuthorityTTL:    AuthorityTTL,
			Shards:          cfg.Shards,
			Sharing:         cfg.Sharing,
		}),
		agents:           make(map[string]work.Address),
		coordinators:     make(map[string]work.Address),
		claims:           make(map[int]work.Claim),
		health:           make(map[int]*ownerHealth),
		journals:         make(map[int]*journal),
		waiters:          make(map[string][]chan waitResult),
		holdings:         newHoldings(clock.Now()),
		unanswered:       make(map[string]map[*jobs.Dispatch]bool),
		peerUse:          make(map[string]peerUse),
		nextAttachAt:     make(map[string]time.Time),
		ownershipChanged: make(chan struct{}),
		picker:           share.New(share.DefaultCoordinators, share.DefaultAgents),
	}
	c.table.SetShare(nil)
	return c
}

// Run serves until ctx ends, the shards are handed over and all callers are
// answered. closeListeners closes the listeners for callers and waits for open requests.
func (c *Coordinator) Run(ctx context.Context, closeListeners func(context.Context)) error {
	running, cancel := context.WithCancel(c.baseCtx)
	defer cancel()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return c.tailControl(running) })
	group.Go(func() error { return c.tailConfig(running) })
	group.Go(func() error { return c.watchOwners(running) })
	group.Go(func() error { return c.tickLoop(running) })
	group.Go(func() error { return c.announce(running) })
	group.Go(func() error {
		defer cancel()
		return c.awaitDrain(ctx, running, closeListeners)
	})
	return group.Wait()
}

func (c *Coordinator) tickLoop(ctx context.Context) error {
	suspensions := logs.NewSuspensions(c.clock, c.log, c.cfg.Meter)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		suspensions.Check()
		c.lock()
		now := c.now
		c.lastTick = now
		c.checkProcessor()
		c.table.Tick(now)
		c.checkConfigAge(now)
		c.followConfig(now)
		c.updateShare(now)
		c.attachDetached(now)
		c.holdStartsIfApart()
		c.reachAgents()
		c.probeReplicas()
		c.probeDirectly()
		c.flush()
		c.confirmOwnership()
		c.recordInterference()
		c.mu.Unlock()
	}
}

// flush sends the table's dispatches, wakes the journals with changes, returns
// results to waiting callers and logs decisions. The caller holds the lock.
func (c *Coordinator) flush() {
	c.growShare(c.now)
	for _, dispatch := range c.table.Dispatches() {
		if len(dispatch.Stops) > 0 {
			if c.unanswered[dispatch.Agent] == nil {
				c.unanswered[dispatch.Agent] = make(map[*jobs.Dispatch]bool)
			}
			c.unanswered[dispatch.Agent][dispatch] = false
		}
		go c.sendDispatch(dispatch)
	}
	for number, j := range c.journals {
		if c.table.HasUnstoredChanges(number) {
			j.wake()
		}
	}
	for _, result := range c.table.Results() {
		c.notifyWaiters(result.Job, waitResult{result: result})
	}
	for _, d := range c.table.Decisions() {
		c.cfg.Meter.Add(meter.Name("decisions", d.Event), 1)
		if d.Basis != "" {
			c.cfg.Meter.Add(meter.Name("placed_again", d.Basis), 1)
		}
		c.log.Info().Str("job", d.Job).Str("task", d.Task).Int64("run", d.Run).
			Str("host", d.Agent).Str("why", d.Reason).Msg(d.Event)
	}
}

// notifyOwnershipChange wakes the calls that wait for a change of ownership. The
// caller holds the lock.
func (c *Coordinator) notifyOwnershipChange() {
	close(c.ownershipChanged)
	c.ownershipChanged = make(chan struct{})
}

// ownershipProven reports whether the ownership proof is still valid. The caller
// holds the lock.
func (c *Coordinator) ownershipProven(now time.Time) bool {
	return now.Sub(c.ownershipProof) < AuthorityTTL
}

// ownsProven reports whether this process owns a shard, has loaded it and has a valid proof of that. The caller
// holds the lock.
func (c *Coordinator) ownsProven(number int) bool {
	return c.journals[number] != nil && c.ownershipProven(c.now)
}

// provenShards returns the shards for which ownsProven holds. The caller holds the lock.
func (c *Coordinator) provenShards() []int {
	numbers := make([]int, 0, len(c.journals))
	for number := range c.journals {
		if c.ownsProven(number) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
