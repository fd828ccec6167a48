// Package guard is the shell of the agent: it carries out the decisions of
// package runs beside one runner, and serves coordinators and the runner's
// heartbeats.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/work"
)

const (
	// lookWait is how long a look at the runner waits for an end. An unanswered look
	// hides ends until its limit, so the wait is short.
	lookWait = 50 * time.Millisecond
	// lookSlack is the time that a look may take beside its wait. The runner is on
	// the same host and answers in a few milliseconds.
	lookSlack = 40 * time.Millisecond
	// lookPause separates looks that bring nothing new, while ends wait to be
	// stored.
	lookPause = 8 * time.Millisecond
	// failPause separates looks at a runner that does not answer.
	failPause = 20 * time.Millisecond
	// orderLimit bounds a start or stop at the runner, which answers in a few
	// milliseconds; an unanswered start is then settled by its token.
	orderLimit = 40 * time.Millisecond
	// stopPause separates repeated stops of one run.
	stopPause = 60 * time.Millisecond
	// reportEvery is the longest time between two reports to a coordinator that has
	// runs here. Two of them and a limit fit into the time after which the runs of
	// a silent coordinator are stopped.
	reportEvery = 240 * time.Millisecond
	// idleEvery is the same for another coordinator, which learns of room by it.
	// Orders carry an echo of at most 700 ms.
	idleEvery = 400 * time.Millisecond
	// reportStep is the step in which reports that are due are looked for.
	reportStep = 40 * time.Millisecond
	// reportLimit bounds one report; two of them fit into the time after which
	// the runs of a silent coordinator are stopped.
	reportLimit = 350 * time.Millisecond
	// tickEvery is the step in which deadlines are looked at.
	tickEvery = 40 * time.Millisecond
	// announceLimit bounds the append of the address.
	announceLimit = time.Second
	// announceRetry is the pause after a failed one.
	announceRetry = 500 * time.Millisecond
	// announceAgain is the time without a coordinator after which the address is
	// appended once more.
	announceAgain = 4 * time.Second
)

// Config holds what a Guard is built from.
type Config struct {
	Self     work.Address
	MaxLease time.Duration
	Shards   int
	// DrainLimit bounds the time that runs are waited for after a stop was asked.
	DrainLimit time.Duration
	// Meter takes counts and times; see docs/metrics.md.
	Meter *meter.Set
}

// Agent is the shell of an agent.
type Agent struct {
	cfg    Config
	log    zerolog.Logger
	runner carobpulley.EndpointClient
	store  carobpulley.Store
	peers  *link.Peers
	kick   chan struct{}

	mu        sync.Mutex
	gate      *runs.Gate
	reporting map[string]bool
	// usable is what the last look left of the runner.
	usable bool
	// all is set if every coordinator is to get a report: the runner's state
	// has changed.
	all bool
	// reported holds when the last report to a coordinator was sent.
	reported map[string]time.Time
	draining bool
	contact  time.Time
}

// New returns a Guard. Token is the first fencing token.
func New(cfg Config, log zerolog.Logger, runner carobpulley.EndpointClient, store carobpulley.Store, peers *link.Peers, token int64) *Agent {
	now := time.Now()
	return &Agent{
		cfg:       cfg,
		log:       log,
		runner:    runner,
		store:     store,
		peers:     peers,
		kick:      make(chan struct{}, 1),
		reporting: make(map[string]bool),
		reported:  make(map[string]time.Time),
		contact:   now,
		gate: runs.New(runs.Config{
			Agent:       cfg.Self.Name,
			Incarnation: cfg.Self.Incarnation,
			Token:       token,
			MaxLease:    cfg.MaxLease,
			Shards:      cfg.Shards,
		}, now),
	}
}

// Run works until ctx ends and the runs have drained. The context hard ends it
// at once.
func (g *Agent) Run(ctx, hard context.Context) error {
	hard, cancel := context.WithCancel(hard)
	defer cancel()
	group, hard := errgroup.WithContext(hard)
	group.Go(func() error { return g.lookLoop(hard) })
	group.Go(func() error { return g.reportLoop(hard) })
	group.Go(func() error { return g.tickLoop(hard) })
	group.Go(func() error { return g.announceLoop(hard) })
	group.Go(func() error {
		defer cancel()
		return g.awaitDrain(ctx, hard)
	})
	return group.Wait()
}

// awaitDrain returns once a stop was asked and nothing runs any more.
func (g *Agent) awaitDrain(ctx, hard context.Context) error {
	select {
	case <-ctx.Done():
	case <-hard.Done():
		return nil
	}
	until := time.Now().Add(g.cfg.DrainLimit)
	g.mu.Lock()
	g.draining = true
	g.gate.Drain()
	g.mu.Unlock()
	g.log.Info().Time("until", until).Msg("draining")
	g.kickAll()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for time.Now().Before(until) {
		g.mu.Lock()
		idle := g.gate.Idle()
		g.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-tick.C:
		case <-hard.Done():
			return nil
		}
	}
	return nil
}

// kickAll makes the next reports go to all coordinators.
func (g *Agent) kickAll() {
	g.mu.Lock()
	g.all = true
	g.mu.Unlock()
	g.kickReports()
}

// kickReports makes reports go to coordinators that have not been told of an end.
func (g *Agent) kickReports() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// HandleHeartbeat implements carobpulley.BeatSink.
func (g *Agent) HandleHeartbeat(b carobpulley.Heartbeat) {
	g.mu.Lock()
	changed := g.gate.HandleHeartbeat(time.Now(), b)
	g.mu.Unlock()
	if changed {
		g.log.Info().Str("instance", b.Instance).Int64("life", b.Generation).Bool("draining", b.Draining).Msg("runner")
		g.kickAll()
	}
}

// HandleShutdown implements carobpulley.BeatSink.
func (g *Agent) HandleShutdown(instance string) {
	g.mu.Lock()
	changed := g.gate.HandleShutdown(time.Now(), instance)
	g.mu.Unlock()
	if changed {
		g.log.Info().Str("instance", instance).Msg("runner left")
		g.kickAll()
	}
}

// announceLoop stores the address until a coordinator has found it, and again
// whenever none has been in touch for long.
func (g *Agent) announceLoop(ctx context.Context) error {
	value, err := work.EncodeControl(g.cfg.Self)
	if err != nil {
		return err
	}
	records := []carobpulley.KeyedRecord{{Key: work.AgentKey(g.cfg.Self.Name), Value: value}}
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = announceAgain
		g.mu.Lock()
		alone := time.Since(g.contact) >= announceAgain || g.contact.IsZero() || len(g.gate.Owners()) == 0
		g.mu.Unlock()
		if !alone {
			continue
		}
		call, cancel := context.WithTimeout(ctx, announceLimit)
		err := g.store.Append(call, carobpulley.Partition{Topic: carobpulley.TopicControl}, records)
		cancel()
		if err != nil {
			g.log.Warn().Err(err).Msg("address not stored")
			pause = announceRetry
		}
	}
}
