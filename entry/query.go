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
	// cancelTries covers the time in which a dispatch can wait at an agent,
	// carobpulley.EchoValidity.
	cancelTries = 4
)

// query asks the agent for the outcome of an attempt, on a new connection.
func (e *Entry) query(d carobpulley.Dispatch, at time.Time) {
	a := e.agents[d.Endpoint]
	if a == nil {
		e.goDo(func() { e.unresolved(d, at) })
		return
	}
	addr := a.endpoint.Addr
	e.goDo(func() { e.queryAgent(d, addr, at) })
}

// unresolved reports a query that cannot be sent, at the time it was due.
func (e *Entry) unresolved(d carobpulley.Dispatch, at time.Time) {
	if !e.sleep(at.Add(queryTimeout / 10)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.outcome(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
	e.pump(now)
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
		e.outcome(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
	} else {
		e.queried(now, d, a)
	}
	e.pump(now)
}

// queried tells what an agent said to a query. One of another incarnation than
// the attempt was sent to has no memory of it.
func (e *Entry) queried(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	wrong := a.Refusal != nil && a.Refusal.Kind == carobpulley.KindWrongAgent
	if wrong || a.Incarnation != d.Incarnation {
		e.outcome(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
		return
	}
	if a.Refusal != nil && a.Phase != carobpulley.PhaseNotRun {
		e.outcome(now, carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
		return
	}
	e.heard(d.Endpoint, a.Incarnation, a.AgentTime)
	e.answered(now, d, a)
}

func (e *Entry) queryOnce(d carobpulley.Dispatch, addr netip.AddrPort) *inner.DispatchAnswer {
	ctx, cancel := context.WithTimeout(e.ctx, queryTimeout)
	defer cancel()
	e.counters.queries.Add(1)
	r, err := e.fresh.Agent(addr).Query(ctx, connect.NewRequest(inner.QueryToWire(inner.Query{
		ID:          d.ID,
		Attempt:     d.Attempt,
		Shard:       d.Shard,
		Epoch:       d.Epoch,
		Wait:        true,
		Endpoint:    d.Endpoint,
		Incarnation: d.Incarnation,
	})))
	a, err := answerOf(r, err)
	if err == nil {
		return a
	}
	if refusal := inner.AsError(err); refusal.Kind == carobpulley.KindWrongAgent {
		return &inner.DispatchAnswer{Phase: carobpulley.PhaseUnknown, Refusal: refusal}
	}
	e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("query got no answer")
	return nil
}

// cancelTask asks the agent to withdraw or stop a task, again if the call gets
// no answer: a dispatch that waits at the agent could start meanwhile. The
// outcome comes with the answer of the dispatch itself.
func (e *Entry) cancelTask(d carobpulley.Dispatch) {
	a := e.agents[d.Endpoint]
	if a == nil {
		return
	}
	addr := a.endpoint.Addr
	e.goDo(func() {
		client := e.client
		for range cancelTries {
			if e.cancelOnce(client, d, addr) {
				return
			}
			client = e.fresh
		}
	})
}

// cancelOnce sends one call and reports whether no further one is of use.
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
	e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("cancel got no answer")
	switch inner.AsError(err).Kind {
	case carobpulley.KindWrongAgent, carobpulley.KindStaleEpoch, carobpulley.KindInvalid:
		return true
	default:
		return false
	}
}
