package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"carobpulley"
)

// HandleHeartbeat implements carobpulley.HeartbeatSink.
func (a *Agent) HandleHeartbeat(hb carobpulley.Heartbeat) {
	now := a.clock.Now()
	a.mu.Lock()
	changed := a.controller.HandleHeartbeat(now, hb)
	probe := changed || a.controller.NeedsProbe()
	a.logRejects(now)
	a.mu.Unlock()
	if changed {
		a.heartbeatChanged(hb)
	}
	if probe {
		wake(a.probes)
	}
}

// HandleShutdown implements carobpulley.HeartbeatSink.
func (a *Agent) HandleShutdown(instance string) {
	a.mu.Lock()
	changed := a.controller.HandleShutdown(a.clock.Now(), instance)
	a.mu.Unlock()
	if changed {
		a.log.Info().Str("instance", instance).Msg("runner left")
		a.reportToAll()
		wake(a.probes)
	}
}

// heartbeatChanged tells the coordinators, and the store, of a heartbeat that has changed what is known
// of the endpoint.
func (a *Agent) heartbeatChanged(hb carobpulley.Heartbeat) {
	wake(a.heartbeats)
	a.log.Info().Str("instance", hb.Instance).Int64("life", hb.Generation).Bool("draining", hb.Draining).Msg("runner")
	a.reportToAll()
}

// probeLoop polls the endpoint beside pollLoop when a heartbeat claims what no answer of the endpoint
// has shown.
func (a *Agent) probeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.probes:
		}
		a.mu.Lock()
		sent := a.controller.BeginProbe(a.now(ctx))
		a.mu.Unlock()
		a.sendPoll(ctx, sent, 0)
		select {
		case <-ctx.Done():
		case <-time.After(pollPause):
		}
	}
}

// logRejects logs the heartbeats that turned out not to be the endpoint's. The caller holds a.mu.
func (a *Agent) logRejects(now time.Time) {
	for _, r := range a.controller.RejectedHeartbeats() {
		a.rejects.Add(now, "claim", 1, fmt.Sprintf("%s/%d/%d", r.Instance, r.Generation, r.Sequence), errors.New(r.Reason))
	}
}

// wake sends to a channel that holds one value, unless it holds one.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
