package guard

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/work"
)

// lookLoop renews the lease and reads the runner's lists.
func (g *Agent) lookLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := g.look(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// look makes one look and returns the pause until the next one.
func (g *Agent) look(ctx context.Context) time.Duration {
	g.mu.Lock()
	sent := g.gate.BeginPoll(time.Now())
	known := g.gate.ClockKnown()
	g.mu.Unlock()
	wait := lookWait
	if !known {
		wait = 0
	}
	return g.lookFor(ctx, sent, wait)
}

// lookNow settles a start without an answer, beside the look that waits.
func (g *Agent) lookNow(ctx context.Context) {
	g.mu.Lock()
	sent := g.gate.BeginPoll(time.Now())
	g.mu.Unlock()
	g.lookFor(ctx, sent, 0)
}

func (g *Agent) lookFor(ctx context.Context, sent runs.Poll, wait time.Duration) time.Duration {
	call, cancel := context.WithTimeout(ctx, wait+lookSlack)
	lists, refusal, err := g.runner.Renew(call, sent.Lease, sent.Seen, wait)
	cancel()
	now := time.Now()
	g.mu.Lock()
	var changed bool
	failed := err != nil || refusal != ""
	if failed {
		g.cfg.Meter.Add("looks_failed", 1)
	}
	if failed {
		changed = g.gate.HandlePollError(now, sent, refusal, err)
	} else {
		changed = g.gate.HandlePoll(now, sent, lists)
	}
	commands := g.gate.Commands()
	usable := g.gate.Usable()
	turned := usable != g.usable
	g.usable = usable
	g.mu.Unlock()
	g.carryOut(ctx, commands)
	if turned {
		g.kickAll()
	} else if changed {
		g.kickReports()
	}
	switch {
	case failed:
		if changed {
			g.log.Warn().Err(err).Str("refusal", refusal).Msg("runner does not answer")
		}
		return failPause
	case changed || now.Sub(sent.At) >= wait:
		return 0
	}
	return lookPause
}

// tickLoop looks at deadlines.
func (g *Agent) tickLoop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		g.mu.Lock()
		changed := g.gate.Tick(time.Now())
		commands := g.gate.Commands()
		g.mu.Unlock()
		g.carryOut(ctx, commands)
		if changed {
			g.kickReports()
		}
	}
}

func (g *Agent) carryOut(ctx context.Context, commands []runs.Command) {
	for _, c := range commands {
		if c.Start != nil {
			go g.start(ctx, *c.Start)
			continue
		}
		go g.stop(ctx, c.Stop)
	}
}

func (g *Agent) start(ctx context.Context, s work.Start) {
	g.mu.Lock()
	lease := g.gate.Lease(time.Now())
	g.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, orderLimit)
	sent := time.Now()
	answer, err := g.runner.Start(call, lease, s)
	cancel()
	g.cfg.Meter.Observe("start", time.Since(sent))
	g.mu.Lock()
	g.gate.HandleStartReply(time.Now(), s.Run, lease, answer, err)
	commands := g.gate.Commands()
	doubt := g.gate.Uncertain(s.Run)
	g.mu.Unlock()
	if err != nil || answer.Refusal != "" {
		g.cfg.Meter.Add(meter.Name("starts_unconfirmed", answer.Refusal), 1)
		g.log.Warn().Err(err).Str("task", s.Run.Task).Int64("run", s.Run.Number).
			Str("refusal", answer.Refusal).Int64("token", lease.Token).Msg("start not confirmed")
		g.kickReports()
	}
	g.carryOut(ctx, commands)
	if doubt {
		g.lookNow(ctx)
	}
}

// stop repeats the order until the runner lists the run's end.
func (g *Agent) stop(ctx context.Context, key work.Run) {
	for ctx.Err() == nil {
		g.mu.Lock()
		live := g.gate.Live(key)
		lease := carobpulley.Lease{Instance: g.gate.Instance(), Token: g.gate.Token()}
		g.mu.Unlock()
		if !live {
			return
		}
		call, cancel := context.WithTimeout(ctx, orderLimit)
		answer, err := g.runner.Stop(call, lease, key)
		cancel()
		if err != nil || answer.Refusal != "" {
			g.log.Warn().Err(err).Str("task", key.Task).Int64("run", key.Number).Str("refusal", answer.Refusal).Msg("stop not confirmed")
		}
		if answer.Refusal == carobpulley.RefusalStaleToken {
			g.mu.Lock()
			g.gate.RaiseToken(lease.Token)
			g.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(stopPause):
		}
	}
}
