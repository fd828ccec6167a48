package coord

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/work"
)

const (
	// AuthorityTTL is how long a read of the control topic without a newer claim
	// proves ownership.
	AuthorityTTL = 2500 * time.Millisecond
	// proofMargin covers delays of timers and the rounding of clocks.
	proofMargin = 150 * time.Millisecond
	// hostLoss is when an agent's runs have lapsed: the life of its last proof, by
	// its slow clock.
	hostLoss = runs.ProofTTL + runs.ProofTTL*2/100 + proofMargin
	// takeoverWait is when the last proof that an earlier owner gave has run out.
	takeoverWait = AuthorityTTL + hostLoss
	// tickEvery is the step in which the table looks at its deadlines.
	tickEvery = 40 * time.Millisecond
	// statusMargin is added to the time for which ended jobs are kept.
	statusMargin = 10 * time.Second
)

// Config holds what a Coordinator is built from.
type Config struct {
	Self            work.Address
	StatusRetention time.Duration
	Shards          int
	// DrainLimit bounds the time after a stop was asked.
	DrainLimit time.Duration
	// Meter takes counts and times; see docs/metrics.md.
	Meter *meter.Set
}

// Coordinator is the shell of a coordinator.
type Coordinator struct {
	cfg   Config
	log   zerolog.Logger
	store carobpulley.Store
	plans carobpulley.ConfigSource
	peers *link.Peers
	hard  context.Context

	mu    sync.Mutex
	table *jobs.Table
	plan  *work.RoutingConfig
	// control is where the tail of the control topic stands.
	control int64
	// verified is when the last successful read of the control topic was sent.
	verified time.Time
	agents   map[string]work.Address
	peersAt  map[string]work.Address
	claims   map[int]work.Claim
	watch    map[int]*watched
	journals map[int]*journal
	waiters  map[string][]chan waited
	// attaching holds when an agent may be attached to again.
	attaching map[string]time.Time
	draining  bool
	drainAt   time.Time
	changed   chan struct{}
}

// waited is what a waiting caller is told.
type waited struct {
	stored jobs.StoredJob
	// finished is set for a job that is not kept.
	finished jobs.BestEffortResult
	// lost is set if the shard was given up.
	lost bool
}

// New returns a Coordinator. It stops all its calls when hard ends.
func New(hard context.Context, cfg Config, log zerolog.Logger, store carobpulley.Store, plans carobpulley.ConfigSource, peers *link.Peers) *Coordinator {
	return &Coordinator{
		cfg:   cfg,
		log:   log,
		store: store,
		plans: plans,
		peers: peers,
		hard:  hard,
		table: jobs.New(jobs.Config{
			Name:            cfg.Self.Name,
			StatusRetention: cfg.StatusRetention + statusMargin,
			AgentTimeout:    hostLoss,
			TakeoverWait:    takeoverWait,
			Shards:          cfg.Shards,
		}),
		agents:    make(map[string]work.Address),
		peersAt:   make(map[string]work.Address),
		claims:    make(map[int]work.Claim),
		watch:     make(map[int]*watched),
		journals:  make(map[int]*journal),
		waiters:   make(map[string][]chan waited),
		attaching: make(map[string]time.Time),
		changed:   make(chan struct{}),
	}
}

// Run works until ctx ends, the shards are handed over and the callers have their
// answers. Leave closes the listeners for callers and waits for open requests.
func (c *Coordinator) Run(ctx context.Context, leave func(context.Context)) error {
	hard, cancel := context.WithCancel(c.hard)
	defer cancel()
	group, hard := errgroup.WithContext(hard)
	group.Go(func() error { return c.tailControl(hard) })
	group.Go(func() error { return c.tailPlans(hard) })
	group.Go(func() error { return c.ownLoop(hard) })
	group.Go(func() error { return c.tickLoop(hard) })
	group.Go(func() error { return c.announce(hard) })
	group.Go(func() error {
		defer cancel()
		return c.awaitDrain(ctx, hard, leave)
	})
	return group.Wait()
}

func (c *Coordinator) tickLoop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		c.mu.Lock()
		c.table.SetAuthority(now.Sub(c.verified) < AuthorityTTL)
		c.table.Tick(now)
		c.attachDetached(now)
		c.flush()
		c.mu.Unlock()
	}
}

// flush sends what the table has decided. The caller holds the lock.
func (c *Coordinator) flush() {
	for _, o := range c.table.Dispatches() {
		go c.send(o)
	}
	for number, j := range c.journals {
		if c.table.HasUnstoredChanges(number) {
			j.wake()
		}
	}
	for _, f := range c.table.Results() {
		c.tell(f.Job, waited{finished: f})
	}
	for _, d := range c.table.Decisions() {
		c.cfg.Meter.Add(meter.Name("decisions", d.Event), 1)
		c.log.Info().Str("job", d.Job).Str("task", d.Task).Int64("run", d.Run).
			Str("host", d.Agent).Str("why", d.Reason).Msg(d.Event)
	}
}

// notify wakes those who wait for a change of ownership. The caller holds the
// lock.
func (c *Coordinator) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// fresh reports whether ownership is proved. The caller holds the lock.
func (c *Coordinator) fresh(now time.Time) bool {
	return now.Sub(c.verified) < AuthorityTTL
}
