// Package guard does the agent's input and output: it carries out the commands of package runs at
// one endpoint, and handles the messages of coordinators and the endpoint's heartbeats.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"carobpulley"
	"carobpulley/link"
	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/work"
)

const (
	// pollWait is how long a poll of the endpoint waits for an end. An unanswered poll hides ends
	// until its time-out, so the wait is short.
	pollWait = 50 * time.Millisecond
	// pollSlack is the time that a poll may take beyond its wait. The endpoint is on the same host
	// and answers in a few milliseconds.
	pollSlack = 40 * time.Millisecond
	// pollPause separates polls that return before their wait is over without anything new, as
	// they do while ends are not stored yet.
	pollPause = 8 * time.Millisecond
	// failedPollPause is the pause after a poll that failed or was refused.
	failedPollPause = 20 * time.Millisecond
	// commandTimeout bounds a start or stop at the endpoint, which answers in a few milliseconds; an
	// unanswered start is then resolved by its token.
	commandTimeout = 40 * time.Millisecond
	// stopRetryInterval separates repeated stops of one run.
	stopRetryInterval = 60 * time.Millisecond
	// busyReportInterval is the longest time between two reports to a coordinator that has runs or
	// ends here.
	busyReportInterval = 240 * time.Millisecond
	// idleReportInterval is the longest time between two reports to other coordinators, which get
	// the free capacity and the echo of their next dispatch from them. An echo is valid for 700 ms.
	idleReportInterval = 400 * time.Millisecond
	// reportCheckInterval is the interval between checks for reports that are due.
	reportCheckInterval = 40 * time.Millisecond
	// reportRepeatAfter is the time without an answer after which another report may be sent beside
	// an unanswered one to a coordinator that has runs or ends here. A report that follows a silence
	// of 600 ms, after a busyReportInterval before it and one more report that it swallows, comes
	// within the time after which the runs of an unresponsive coordinator are stopped.
	reportRepeatAfter = 150 * time.Millisecond
	// reportTimeout bounds one report. The connection of a report that is given up is closed, which
	// costs a busy coordinator more than a late answer.
	reportTimeout = 450 * time.Millisecond
	// maxReports bounds the reports to one coordinator that wait for an answer.
	maxReports = int(reportTimeout / reportRepeatAfter)
	// tickInterval is the interval between checks of the deadlines.
	tickInterval = 40 * time.Millisecond
	// announceDelay is how long the first append of the agent's address waits for a heartbeat of
	// the endpoint, so that one record also holds the endpoint's capacity.
	announceDelay = 1700 * time.Millisecond
	// announceTimeout bounds the append of the agent's address to the store.
	announceTimeout = time.Second
	// announceRetryInterval is the pause after a failed append.
	announceRetryInterval = 500 * time.Millisecond
	// reannounceAfter is the time without contact with a coordinator after which the address is
	// appended again.
	reannounceAfter = 4 * time.Second
)

// Config holds the parameters of an Agent.
type Config struct {
	Self     work.Address
	MaxLease time.Duration
	Shards   int
	// DrainTimeout bounds the wait for runs to end after a shutdown was requested.
	DrainTimeout time.Duration
	// DomainOutWithin is the time within which an operator's change of a failure domain takes effect.
	DomainOutWithin time.Duration
	// Meter records counts and times; see docs/metrics.md.
	Meter *meter.Set
}

// Agent connects a runs.Controller to its endpoint, its coordinators and the store.
type Agent struct {
	cfg      Config
	clock    carobpulley.Clock
	log      zerolog.Logger
	endpoint carobpulley.EndpointClient
	store    carobpulley.Store
	// configSource decodes the operators' records.
	configSource carobpulley.ConfigSource
	peers        *link.Peers
	wakeReports  chan struct{}

	mu         sync.Mutex
	controller *runs.Controller
	// reporting counts the reports to each coordinator that wait for an answer.
	reporting map[string]int
	// usable is whether the endpoint was usable after the last poll.
	usable bool
	// reportAll is set if every coordinator is to get a report because the endpoint's state has
	// changed.
	reportAll bool
	// lastReport maps coordinators to the time of the last report to them.
	lastReport  map[string]time.Time
	draining    bool
	lastContact time.Time
	// announced is the endpoint's capacity in the last appended address.
	announced *work.EndpointCapacity
	// heartbeats gets a value when a heartbeat changes what is known of the endpoint, and probes one
	// when an answer of the endpoint is needed at once.
	heartbeats chan struct{}
	probes     chan struct{}
	rejects    *logs.Rejects
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// New returns an Agent. token is the first fencing token.
func New(cfg Config, clock carobpulley.Clock, log zerolog.Logger, endpoint carobpulley.EndpointClient, store carobpulley.Store, configSource carobpulley.ConfigSource, peers *link.Peers, token int64) *Agent {
	now := clock.Now()
	return &Agent{
		cfg:          cfg,
		clock:        clock,
		log:          log,
		endpoint:     endpoint,
		store:        store,
		configSource: configSource,
		peers:        peers,
		wakeReports:  make(chan struct{}, 1),
		reporting:    make(map[string]int),
		lastReport:   make(map[string]time.Time),
		lastContact:  now,
		heartbeats:   make(chan struct{}, 1),
		probes:       make(chan struct{}, 1),
		rejects:      logs.NewRejects(log, cfg.Meter),
		stopped:      make(chan struct{}),
		controller: runs.New(runs.Config{
			Agent:       cfg.Self.Name,
			Incarnation: cfg.Self.Incarnation,
			Token:       token,
			MaxLease:    cfg.MaxLease,
			Shards:      cfg.Shards,
			DomainTTL:   max(cfg.DomainOutWithin-domainMargin, cfg.DomainOutWithin/2),
			Suspended:   clock.Suspended(),
		}, now),
	}
}

// Run runs the agent until ctx is done and the runs have drained. It returns at once when abort is
// done.
func (a *Agent) Run(ctx, abort context.Context) error {
	defer close(a.stopped)
	abort, cancel := context.WithCancel(abort)
	defer cancel()
	group, abort := errgroup.WithContext(abort)
	group.Go(func() error { return a.pollLoop(abort) })
	group.Go(func() error { return a.probeLoop(abort) })
	group.Go(func() error { return a.reportLoop(abort) })
	group.Go(func() error { return a.tickLoop(abort) })
	group.Go(func() error { return a.announceLoop(abort) })
	group.Go(func() error { return a.domainLoop(abort) })
	group.Go(func() error {
		defer cancel()
		return a.awaitDrain(ctx, abort)
	})
	return group.Wait()
}

// awaitDrain returns after a shutdown was requested and the agent is idle or DrainTimeout is over.
func (a *Agent) awaitDrain(ctx, abort context.Context) error {
	select {
	case <-ctx.Done():
	case <-abort.Done():
		return nil
	}
	until := time.Now().Add(a.cfg.DrainTimeout)
	a.mu.Lock()
	a.draining = true
	a.controller.Drain()
	a.mu.Unlock()
	a.log.Info().Time("until", until).Msg("draining")
	a.reportToAll()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for time.Now().Before(until) {
		a.mu.Lock()
		idle := a.controller.Idle()
		a.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-tick.C:
		case <-abort.Done():
			return nil
		}
	}
	return nil
}

// now returns the time once the controller knows of the suspensions before it. Whatever acts first after one
// sends the stops that it asks for. The caller holds a.mu.
func (a *Agent) now(ctx context.Context) time.Time {
	suspended := a.clock.Suspended()
	now := a.clock.Now()
	if a.controller.HandleSuspensions(now, suspended) {
		a.execute(context.WithoutCancel(ctx), a.controller.Commands())
	}
	return now
}

// Coordinators returns the names of the attached coordinators.
func (a *Agent) Coordinators() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	coordinators := a.controller.Coordinators()
	names := make([]string, 0, len(coordinators))
	for _, to := range coordinators {
		names = append(names, to.Name)
	}
	return names
}

// reportToAll requests reports to all coordinators.
func (a *Agent) reportToAll() {
	a.mu.Lock()
	a.reportAll = true
	a.mu.Unlock()
	a.wakeReportLoop()
}

// wakeReportLoop requests reports to the coordinators that are due for one.
func (a *Agent) wakeReportLoop() {
	select {
	case a.wakeReports <- struct{}{}:
	default:
	}
}
