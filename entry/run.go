package entry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"carobpulley"
)

const (
	// tickInterval is how often deadlines, retries and takeovers are looked at.
	tickInterval = 25 * time.Millisecond
	// drainPoll is how often a stopping entry looks whether it is done.
	drainPoll = 50 * time.Millisecond
)

// Run works until ctx ends. Its loops stop together.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.stopWork()
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
	e.shareQuotas(now)
	e.stepAuthority(now, carobpulley.AuthorityTick{})
	e.step(now, carobpulley.Tick{})
	e.witness.Expire(now)
	e.pump(now)
}

// Ready returns why the entry cannot serve callers, or nil.
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

// Drain takes no new work, hands the shards over, and returns when nothing is
// left to do here or ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.stepAuthority(time.Now(), carobpulley.DrainStarted{})
	e.mu.Unlock()
	e.logger.Info().Msg("draining")
	for !e.drained() {
		if !sleepCtx(ctx, time.Now().Add(drainPoll)) {
			e.logger.Warn().Msg("drain ended by its limit")
			return
		}
	}
	if err := e.journal.Flush(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("journal was not flushed")
	}
	e.logger.Info().Msg("drained")
}

// drained reports whether no shard is left here and no dispatch is under way.
func (e *Entry) drained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.flights) > 0 || len(e.single) > 0 {
		return false
	}
	alone := true
	now := time.Now()
	for _, p := range e.peers {
		if !p.draining && now.Sub(p.answeredAt) < carobpulley.ContactTimeout {
			alone = false
		}
	}
	if alone {
		// Nobody can take the shards over; they wait for the next owner.
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
