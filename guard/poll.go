package guard

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/runs"
	"carobpulley/work"
)

// pollLoop renews the lease and reads the endpoint's run lists.
func (a *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := a.poll(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// poll makes one poll and returns the pause until the next one.
func (a *Agent) poll(ctx context.Context) time.Duration {
	a.mu.Lock()
	sent := a.controller.BeginPoll(a.now(ctx))
	due := a.controller.ReadingDue()
	a.mu.Unlock()
	wait := pollWait
	if due {
		wait = 0
	}
	return a.sendPoll(ctx, sent, wait)
}

// pollNow makes a poll without waiting for an end, beside the one of pollLoop, to resolve an
// unanswered start.
func (a *Agent) pollNow(ctx context.Context) {
	a.mu.Lock()
	sent := a.controller.BeginPoll(a.now(ctx))
	a.mu.Unlock()
	a.sendPoll(ctx, sent, 0)
}

func (a *Agent) sendPoll(ctx context.Context, sent runs.Poll, wait time.Duration) time.Duration {
	call, cancel := context.WithTimeout(ctx, wait+pollSlack)
	lists, refusal, err := a.endpoint.Renew(call, sent.Lease, sent.AckedUpTo, wait)
	cancel()
	a.mu.Lock()
	now := a.now(ctx)
	var changed bool
	failed := err != nil || refusal != ""
	if failed {
		a.cfg.Meter.Add("looks_failed", 1)
	}
	if failed {
		changed = a.controller.HandlePollError(now, sent, refusal, err)
	} else {
		changed = a.controller.HandlePoll(now, sent, lists)
	}
	a.logLosses()
	a.logRejects(now)
	hb, adopted := a.controller.AdoptedHeartbeat()
	commands := a.controller.Commands()
	usable := a.controller.Usable()
	usableChanged := usable != a.usable
	a.usable = usable
	a.mu.Unlock()
	if adopted {
		a.heartbeatChanged(hb)
	}
	a.execute(ctx, commands)
	if usableChanged {
		a.reportToAll()
	} else if changed {
		a.wakeReportLoop()
	}
	switch {
	case failed:
		if changed {
			a.log.Warn().Err(err).Str("refusal", refusal).Msg("runner does not answer")
		}
		return failedPollPause
	case changed || now.Sub(sent.SentAt) >= wait:
		return 0
	}
	return pollPause
}

// tickLoop checks the deadlines at regular intervals.
func (a *Agent) tickLoop(ctx context.Context) error {
	suspensions := logs.NewSuspensions(a.clock, a.log, a.cfg.Meter)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		suspensions.Check()
		a.mu.Lock()
		changed := a.controller.Tick(a.now(ctx))
		a.logLosses()
		commands := a.controller.Commands()
		a.mu.Unlock()
		a.execute(ctx, commands)
		if changed {
			a.wakeReportLoop()
		}
	}
}

func (a *Agent) execute(ctx context.Context, commands []runs.Command) {
	for _, c := range commands {
		if c.Start != nil {
			go a.start(ctx, *c.Start)
			continue
		}
		go a.stop(ctx, c.Stop)
	}
}

func (a *Agent) start(ctx context.Context, s work.Start) {
	a.mu.Lock()
	lease, refusal := a.controller.StartLease(a.now(ctx), s.Run)
	a.mu.Unlock()
	if refusal != "" {
		a.cfg.Meter.Add(meter.Name("starts_not_sent", refusal), 1)
		a.log.Warn().Str("task", s.Run.Task).Int64("run", s.Run.Number).Str("refusal", refusal).Msg("start not sent")
		a.wakeReportLoop()
		return
	}
	call, cancel := context.WithTimeout(ctx, commandTimeout)
	sent := time.Now()
	answer, err := a.endpoint.Start(call, lease, s)
	cancel()
	a.cfg.Meter.Observe("start", time.Since(sent))
	a.mu.Lock()
	a.controller.HandleStartReply(a.now(ctx), s.Run, lease, answer, err)
	commands := a.controller.Commands()
	uncertain := a.controller.StartUncertain(s.Run)
	a.mu.Unlock()
	if err != nil || answer.Refusal != "" {
		a.cfg.Meter.Add(meter.Name("starts_unconfirmed", answer.Refusal), 1)
		a.log.Warn().Err(err).Str("task", s.Run.Task).Int64("run", s.Run.Number).
			Str("refusal", answer.Refusal).Int64("token", lease.Token).Msg("start not confirmed")
		a.wakeReportLoop()
	}
	a.execute(ctx, commands)
	if uncertain {
		a.pollNow(ctx)
	}
}

// stop repeats the stop until the run has ended or the agent has stopped.
func (a *Agent) stop(ctx context.Context, key work.Run) {
	for ctx.Err() == nil {
		a.mu.Lock()
		live := a.controller.HasRun(key)
		lease := carobpulley.Lease{Instance: a.controller.Instance(), Token: a.controller.Token()}
		a.mu.Unlock()
		if !live {
			return
		}
		call, cancel := context.WithTimeout(ctx, commandTimeout)
		answer, err := a.endpoint.Stop(call, lease, key)
		cancel()
		if err != nil || answer.Refusal != "" {
			a.log.Warn().Err(err).Str("task", key.Task).Int64("run", key.Number).Str("refusal", answer.Refusal).Msg("stop not confirmed")
		}
		if err != nil {
			a.mu.Lock()
			a.controller.HandleStopError(a.clock.Now(), err)
			a.mu.Unlock()
		}
		if answer.Refusal == carobpulley.RefusalStaleToken {
			a.mu.Lock()
			a.controller.RaiseToken(lease.Token)
			a.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-a.stopped:
			return
		case <-time.After(stopRetryInterval):
		}
	}
}
