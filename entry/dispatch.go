package entry

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/stats"
	"carobpulley/wire"
)

const (
	// maxRunTime bounds one Dispatch call beyond the task's deadline. A task
	// that runs longer is followed by queries.
	maxRunTime = time.Minute
	// queryTimeout bounds one Query call.
	queryTimeout = 5 * time.Second
	// cancelTimeout bounds one CancelTask call.
	cancelTimeout = 2 * time.Second
)

// agentState is what this entry knows of an agent beside its placement.
type agentState struct {
	endpoint carobpulley.Endpoint
	// echo is the newest reading of the agent's clock.
	echo int64
	// configVersion is the newest version that the agent has announced.
	configVersion uint64
}

// flight is a dispatch under way.
type flight struct {
	waiting  carobpulley.Waiting
	dispatch carobpulley.Dispatch
	endpoint carobpulley.Endpoint
	sentAt   time.Time
}

// pump starts tasks while there are places for them. mu is held.
func (e *Entry) pump(now time.Time) {
	if !e.authority.Has(now) {
		return
	}
	picked := make(map[string]carobpulley.Endpoint)
	ready := func(service string) bool {
		if _, ok := picked[service]; ok {
			return true
		}
		ep, ok := e.placer.Pick(now, service)
		if ok {
			picked[service] = ep
		}
		return ok
	}
	for {
		e.tellBacklog()
		w, ok := e.admitter.Next(now, ready)
		if !ok {
			break
		}
		ep := picked[w.Service]
		delete(picked, w.Service)
		e.start(now, w, ep)
	}
	for service, ep := range picked {
		e.release(now, service, ep)
	}
}

// backlogged is a Placer that weighs waiting here against a slow endpoint.
type backlogged interface {
	Backlog(n int)
}

func (e *Entry) tellBacklog() {
	if b, ok := e.placer.(backlogged); ok {
		b.Backlog(e.admitter.Len())
	}
}

// release gives a place back that nothing was sent to.
func (e *Entry) release(now time.Time, service string, ep carobpulley.Endpoint) {
	e.placer.Done(now, carobpulley.Sample{
		Endpoint: ep.ID,
		Service:  service,
		SentAt:   now,
		EndedAt:  now,
		Refused:  true,
	})
}

func (e *Entry) start(now time.Time, w carobpulley.Waiting, ep carobpulley.Endpoint) {
	d, ok := e.dispatchOf(now, w, ep)
	if !ok {
		e.admitter.Done(now, w)
		e.release(now, w.Service, ep)
		return
	}
	f := &flight{waiting: w, dispatch: d, endpoint: ep, sentAt: now}
	e.flights[w.Task] = f
	e.observe(stats.Queue, f, now.Sub(w.QueuedAt))
	e.goDo(func() { e.send(f) })
}

func (e *Entry) dispatchOf(now time.Time, w carobpulley.Waiting, ep carobpulley.Endpoint) (carobpulley.Dispatch, bool) {
	if !w.Task.IsRequest() {
		return e.table.Start(now, w.Task, ep.ID, ep.Incarnation)
	}
	c := e.single[w.Task.Job]
	if c == nil {
		return carobpulley.Dispatch{}, false
	}
	return c.next(ep), true
}

// send carries one dispatch to its agent and takes the answer.
func (e *Entry) send(f *flight) {
	msg, ok := e.entering(f)
	if !ok {
		e.ended(f, &inner.DispatchAnswer{
			Phase:   carobpulley.PhaseNotRun,
			Refusal: &carobpulley.Error{Op: "dispatch", Kind: carobpulley.KindUnavailable, Msg: "no authority", NotRun: true},
		}, nil)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, f.dispatch.Deadline.Add(maxRunTime))
	defer cancel()
	e.counters.dispatches.Add(1)
	r, err := e.client.Agent(f.endpoint.Addr).Dispatch(ctx, connect.NewRequest(inner.DispatchToWire(msg)))
	a, err := answerOf(r, err)
	e.ended(f, a, err)
}

func answerOf(r *connect.Response[wire.DispatchReply], err error) (*inner.DispatchAnswer, error) {
	if err != nil {
		return nil, err
	}
	a, err := inner.DispatchAnswerFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// entering returns the message of a dispatch, or false without authority. It
// is the last check before the message is sent.
func (e *Entry) entering(f *flight) (carobpulley.Entering, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.authority.Has(time.Now()) {
		return carobpulley.Entering{}, false
	}
	if !e.cat.InService(f.endpoint.Domain) {
		return carobpulley.Entering{}, false
	}
	msg := carobpulley.Entering{
		Dispatch:      f.dispatch,
		Request:       f.dispatch.ID.IsRequest(),
		Incarnation:   f.endpoint.Incarnation,
		ConfigVersion: e.cat.Version,
		InService:     true,
	}
	if a := e.agents[f.endpoint.ID]; a != nil {
		msg.Echo = a.echo
	}
	return msg, true
}

// ended takes the answer of a dispatch, or the error that stands for none.
func (e *Entry) ended(f *flight, a *inner.DispatchAnswer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.settleFlight(now, f, a, err)
	e.resolve(now, f, a, err)
	e.pump(now)
}

// settleFlight frees the place and learns from the exchange.
func (e *Entry) settleFlight(now time.Time, f *flight, a *inner.DispatchAnswer, err error) {
	if e.flights[f.dispatch.ID] == f {
		delete(e.flights, f.dispatch.ID)
	}
	s := carobpulley.Sample{
		Endpoint: f.endpoint.ID,
		Service:  f.dispatch.Service,
		SentAt:   f.sentAt,
		EndedAt:  now,
		Lost:     a == nil,
	}
	if a != nil {
		s.Run = a.Run
		s.Load = a.Load
		s.Failed = a.Phase == carobpulley.PhaseFailed
		s.Refused = a.Refusal != nil
		e.heard(f.endpoint.ID, a.Incarnation, a.AgentTime)
	}
	e.placer.Done(now, s)
	e.admitter.Done(now, f.waiting)
	if err != nil && inner.NotSent(err) {
		e.stepRoster(now, carobpulley.ConnectFailed{
			ID:          f.endpoint.ID,
			Incarnation: f.endpoint.Incarnation,
		})
	}
	if a != nil && a.Phase == carobpulley.PhaseDone {
		e.observe(stats.Response, f, now.Sub(f.waiting.QueuedAt))
		e.observe(stats.Run, f, a.Run)
	}
}

// heard notes a reading of an agent's clock.
func (e *Entry) heard(endpoint string, incarnation uint64, agentTime int64) {
	a := e.agents[endpoint]
	if a == nil || a.endpoint.Incarnation != incarnation {
		return
	}
	a.echo = max(a.echo, agentTime)
}

func (e *Entry) observe(m stats.Measure, f *flight, d time.Duration) {
	e.stats.Observe(m, stats.ByMember, f.waiting.Member, d)
	e.stats.Observe(m, stats.ByClass, string(f.waiting.Class), d)
	e.stats.Observe(m, stats.ByDomain, f.endpoint.Domain, d)
}

// resolve tells the outcome of a dispatch to the job table or the request.
func (e *Entry) resolve(now time.Time, f *flight, a *inner.DispatchAnswer, err error) {
	d := f.dispatch
	switch {
	case err != nil && inner.NotSent(err):
		e.outcome(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: carobpulley.KindUnavailable})
	case a == nil:
		e.counters.lost.Add(1)
		e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("dispatch got no answer")
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.answered(now, d, a)
	}
}

// answered tells what an agent said of an attempt.
func (e *Entry) answered(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	switch {
	case a.Refusal != nil && a.Refusal.Kind == carobpulley.KindStarted:
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseNotRun || a.Refusal != nil:
		e.refused(now, d, a)
	case a.Incarnation != d.Incarnation:
		e.outcome(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case a.Phase == carobpulley.PhaseUnknown:
		e.outcome(now, carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
	case !a.Phase.Ended():
		e.outcome(now, carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	default:
		e.outcome(now, carobpulley.TaskEnded{
			ID:      d.ID,
			Attempt: d.Attempt,
			Phase:   a.Phase,
			Status:  a.Status,
			Result:  a.Result,
			Err:     a.Err,
		})
	}
}

func (e *Entry) refused(now time.Time, d carobpulley.Dispatch, a *inner.DispatchAnswer) {
	kind := carobpulley.KindCancelled
	if a.Refusal != nil {
		kind = a.Refusal.Kind
	}
	e.counters.refused.Add(1)
	e.outcome(now, carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: kind})
}

// outcome passes an event on to the request or the job table that it is for.
func (e *Entry) outcome(now time.Time, ev carobpulley.Event) {
	if e.callEvent(now, ev) {
		return
	}
	e.step(now, ev)
}

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

// cancelTask asks the agent to withdraw or stop a task. The outcome comes with
// the answer of the dispatch itself.
func (e *Entry) cancelTask(d carobpulley.Dispatch) {
	a := e.agents[d.Endpoint]
	if a == nil {
		return
	}
	addr := a.endpoint.Addr
	e.goDo(func() {
		ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout)
		defer cancel()
		_, err := e.client.Agent(addr).CancelTask(ctx, connect.NewRequest(inner.CancelTaskToWire(inner.Cancel{
			ID:          d.ID,
			Shard:       d.Shard,
			Epoch:       d.Epoch,
			Endpoint:    d.Endpoint,
			Incarnation: d.Incarnation,
		})))
		if err != nil {
			e.logger.Warn().Err(err).Str("endpoint", d.Endpoint).Msg("cancel got no answer")
		}
	})
}

// sleep waits until a time; it returns false if the entry stops first.
func (e *Entry) sleep(until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}
