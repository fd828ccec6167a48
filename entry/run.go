package entry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"carobpulley"
)

const (
	// tickInterval is the time between checks of deadlines, retries and takeovers.
	tickInterval = 25 * time.Millisecond
	// drainPollInterval is the time between checks whether a drain is complete.
	drainPollInterval = 50 * time.Millisecond
)

// Run runs the entry until ctx ends or one of its loops fails. All loops stop
// together.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.stopBackground()
	var g run.Group
	add := func(loop func(context.Context) error) {
		g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
	add(e.tickLoop)
	add(e.configLoop)
	add(e.ownersLoop)
	add(e.snapshotLoop)
	add(e.journal.Run)
	for peer := range e.cfg.Peers {
		add(func(ctx context.Context) error { return e.contactLoop(ctx, peer) })
	}
	err := g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (e *Entry) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.tick()
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.stepRoster(now, carobpulley.RosterTick{})
	e.updateQuotaShare(now)
	e.stepAuthority(now, carobpulley.AuthorityTick{})
	e.stepTable(now, carobpulley.Tick{})
	e.witness.Expire(now)
	e.dispatchQueued(now)
}

// Ready returns nil if the entry can serve callers, or the reason why it cannot.
func (e *Entry) Ready() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.draining {
		return e.unavailable(now, "ready", carobpulley.KindDraining, "the entry is stopping")
	}
	if !e.authority.Has(now) {
		return e.unavailable(now, "ready", carobpulley.KindUnavailable, "the entry is not in contact with a majority")
	}
	return nil
}

// Drain rejects new work and hands the shards over. It returns when no work is
// left at this entry or ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.stepAuthority(time.Now(), carobpulley.DrainStarted{})
	e.mu.Unlock()
	e.logger.Info().Msg("draining")
	for !e.drained() {
		if !sleepCtx(ctx, time.Now().Add(drainPollInterval)) {
			e.logger.Warn().Msg("drain time limit reached")
			return
		}
	}
	if err := e.journal.Flush(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("journal was not flushed")
	}
	e.logger.Info().Msg("drained")
}

// drained reports whether this entry owns no shard and has no dispatch in progress.
func (e *Entry) drained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.inFlight) > 0 || len(e.requests) > 0 {
		return false
	}
	alone := true
	now := time.Now()
	for _, p := range e.peers {
		if !p.draining && now.Sub(p.lastContactAt) < carobpulley.ContactTimeout {
			alone = false
		}
	}
	if alone {
		// No peer can take the shards over; they have no active owner until one can.
		return true
	}
	for s := range e.cfg.Shards {
		own, ok := e.authority.Owner(s)
		if ok && own.Owner == e.cfg.Name {
			return false
		}
	}
	return true
}
