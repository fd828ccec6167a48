package guard

import (
	"context"
	"math/rand/v2"
	"time"

	"carobpulley"
	"carobpulley/domain"
)

const (
	// domainMargin is the part of Config.DomainOutWithin that is left for a start on its way to the
	// endpoint and for the resolution of the checks.
	domainMargin = time.Second
	// domainCheckInterval is the interval between checks whether the operators' records have to be
	// read.
	domainCheckInterval = 200 * time.Millisecond
	// domainReadPause is the least pause between two reads; up to as much again is added at random,
	// so that the agents of a fleet don't read at the same time.
	domainReadPause = time.Second
	// domainReadTimeout bounds one read.
	domainReadTimeout = 600 * time.Millisecond
)

// domainLoop reads the operators' records while no coordinator shows a recent read of them.
func (a *Agent) domainLoop(ctx context.Context) error {
	random := rand.New(rand.NewPCG(a.cfg.Self.Incarnation, 0)) //nolint:gosec // spreads reads, no secret
	tick := time.NewTicker(domainCheckInterval)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := a.clock.Now()
		a.mu.Lock()
		due := a.controller.DomainReadDue(now) && !now.Before(next)
		known := a.controller.Domains()
		a.mu.Unlock()
		if due {
			a.readDomains(ctx, known)
			next = a.clock.Now().Add(domainReadPause + time.Duration(random.Int64N(int64(domainReadPause))))
		}
	}
}

// readDomains reads the operators' records that follow those known here.
func (a *Agent) readDomains(ctx context.Context, v domain.View) {
	sent := a.clock.Now()
	call, cancel := context.WithTimeout(ctx, domainReadTimeout)
	defer cancel()
	err := a.updateDomains(call, sent, &v)
	if err != nil {
		a.cfg.Meter.Add("domain_reads_failed", 1)
		a.log.Warn().Err(err).Int64("offset", v.Offset).Int64("age_ms", sent.Sub(v.ProvenAt).Milliseconds()).Msg("operators' records not read")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.controller.HandleDomainRead(a.clock.Now(), sent, v, err)
	a.logDomains(changed, "store")
}

// updateDomains applies the records that follow those of the view, or the newest ones if the view
// knows nothing or the history is gone.
func (a *Agent) updateDomains(ctx context.Context, sent time.Time, v *domain.View) error {
	partition := a.configSource.Partition()
	if v.Offset > 0 {
		records, next, err := a.store.Tail(ctx, partition, v.Offset, 0)
		if err == nil {
			for i := range records {
				if change, err := a.configSource.Decode(records[i]); err == nil && change.Domain != "" {
					v.Apply(records[i].Offset, change.Domain, change.OutOfService)
				}
			}
			v.Confirm(next, sent)
			return nil
		}
		if carobpulley.KindOf(err) != carobpulley.KindExpired {
			return err
		}
	}
	records, end, err := a.store.Newest(ctx, partition)
	if err != nil {
		return err
	}
	var out []string
	for i := range records {
		if change, err := a.configSource.Decode(records[i]); err == nil && change.OutOfService {
			out = append(out, change.Domain)
		}
	}
	v.Replace(end, out)
	v.Confirm(end, sent)
	return nil
}

// handleDomains handles what a coordinator tells about the failure domains. The caller holds a.mu.
func (a *Agent) handleDomains(now time.Time, v domain.View, from string) {
	a.logDomains(a.controller.HandleDomains(now, v), from)
}

// logDomains logs a change of the failure domains out of service. The caller holds a.mu.
func (a *Agent) logDomains(changed bool, from string) {
	if changed {
		v := a.controller.Domains()
		a.log.Info().Strs("out", v.Out).Int64("offset", v.Offset).Str("from", from).Msg("failure domains")
	}
}
