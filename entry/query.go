package entry

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
)

const (
	// queryTimeout bounds one Query call.
	queryTimeout = 5 * time.Second
	// cancelTimeout bounds one CancelTask call.
	cancelTimeout = 500 * time.Millisecond
	// maxCancelTries is the number of CancelTask calls. Together they cover the time
	// for which a dispatch can wait at an agent, carobpulley.EchoValidity.
	maxCancelTries = 4
)

// queryTask queries the agent for the outcome of an attempt at a given time, on a
// new connection.
func (e *Entry) queryTask(d carobpulley.Dispatch, at time.Time) {
	a := e.agents[d.Endpoint]
	if a == nil {
		e.runBackground(func() { e.reportUnresolved(d, at) })
		return
	}
	addr := a.endpoint.Addr
	e.runBackground(func() { e.queryAgent(d, addr, at) })
}

// reportUnresolved reports an attempt as unresolved because its agent is not in the
// roster. It does so queryTimeout/10 after the time of the query.
func (e *Entry) reportUnresolved(d carobpulley.Dispatch, at time.Time) {
	if !e.sleep(at.Add(queryTimeout / 10)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reportEvent(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
	e.dispatchQueued(now)
}

func (e *Entry) queryAgent(d carobpulley.Dispatch, addr netip.AddrPort, at time.Time) {
	if !e.sleep(at) {
		return
	}
	var a *inner.DispatchAnswer
	for {
		a = e.queryOnce(d, addr)
		running := a != nil && !a.Phase.Ended() && a.Refusal == nil
		if !running {
			break
		}
		if !e.sleep(time.Now().Add(queryTimeout / 100)) {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if a == nil {
		e.reportEvent(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
	} else {
		e.handleQueryAnswer(now, d, a)
	}
	e.dispatchQueued(now)
}

// handleQueryAnswer reports the answer to a query. An agent of another incarnation
// than the one that the attempt was sent to has no record of it.
func (e *Entry) handleQueryAnswer(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	wrong := a.Refusal != nil && a.Refusal.Kind == carobpulley.KindWrongAgent
	if wrong || a.Incarnation != d.Incarnation {
		e.reportEvent(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
		return
	}
	if a.Refusal != nil && a.Phase != carobpulley.PhaseNotRun {
		e.reportEvent(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
		return
	}
	e.recordAgentClock(d.Endpoint, a.Incarnation, a.AgentTime)
	e.reportAnswer(now, d, a)
}

func (e *Entry) queryOnce(d carobpulley.Dispatch, addr netip.AddrPort) *inner.DispatchAnswer {
	ctx, cancel := context.WithTimeout(e.ctx, queryTimeout)
	defer cancel()
	e.counters.queries.Add(1)
	r, err := e.newConnClient.Agent(addr).Query(ctx, connect.NewRequest(inner.QueryToWire(inner.Query{
		ID:          d.ID,
		Attempt:     d.Attempt,
		Shard:       d.Shard,
		Epoch:       d.Epoch,
		Wait:        true,
		Endpoint:    d.Endpoint,
		Incarnation: d.Incarnation,
	})))
	a, err := dispatchAnswer(r, err)
	if err == nil {
		return a
	}
	if refusal := inner.AsError(err); refusal.Kind == carobpulley.KindWrongAgent {
		return &inner.DispatchAnswer{Phase: carobpulley.PhaseUnknown, Refusal: refusal}
	}
	e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("query failed")
	return nil
}

// cancelTask requests that the agent withdraws or stops a task. It repeats the call
// if it fails, since a dispatch that waits at the agent could still start. The
// outcome is in the answer to the dispatch itself.
func (e *Entry) cancelTask(d carobpulley.Dispatch) {
	a := e.agents[d.Endpoint]
	if a == nil {
		return
	}
	addr := a.endpoint.Addr
	e.runBackground(func() {
		client := e.client
		for range maxCancelTries {
			if e.cancelOnce(client, d, addr) {
				return
			}
			client = e.newConnClient
		}
	})
}

// cancelOnce sends one call. It returns false if the call should be repeated.
func (e *Entry) cancelOnce(client *inner.Client, d carobpulley.Dispatch, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout)
	defer cancel()
	_, err := client.Agent(addr).CancelTask(ctx, connect.NewRequest(inner.CancelTaskToWire(inner.Cancel{
		ID:          d.ID,
		Shard:       d.Shard,
		Epoch:       d.Epoch,
		Endpoint:    d.Endpoint,
		Incarnation: d.Incarnation,
	})))
	if err == nil || e.ctx.Err() != nil {
		return true
	}
	e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("cancel request failed")
	switch inner.AsError(err).Kind {
	case carobpulley.KindWrongAgent, carobpulley.KindStaleEpoch, carobpulley.KindInvalid:
		return true
	default:
		return false
	}
}
