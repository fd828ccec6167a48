package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/stats"
	"carobpulley/wire"
)

const (
	// maxRunTime bounds how long a Dispatch call lasts beyond the task's deadline.
	// The outcome of a task that runs longer is queried.
	maxRunTime = time.Minute
)

// agentState is the state of an agent apart from its load and placement.
type agentState struct {
	endpoint carobpulley.Endpoint
	// echo is the newest reading of the agent's clock.
	echo int64
	// configVersion is the configuration version in the agent's last announcement.
	configVersion uint64
}

// inFlightDispatch is a dispatch that is not answered yet.
type inFlightDispatch struct {
	waiting  carobpulley.Waiting
	dispatch carobpulley.Dispatch
	endpoint carobpulley.Endpoint
	sentAt   time.Time
}

// dispatchQueued dispatches queued tasks while endpoints have free slots for them.
// mu is held.
func (e *Entry) dispatchQueued(now time.Time) {
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
		e.reportBacklog()
		w, ok := e.admitter.Next(now, ready)
		if !ok {
			break
		}
		ep := picked[w.Service]
		delete(picked, w.Service)
		e.startTask(now, w, ep)
	}
	for service, ep := range picked {
		e.releaseSlot(now, service, ep)
	}
}

// backlogPlacer is a Placer that takes the number of queued tasks into account when
// it decides between a slow endpoint and waiting.
type backlogPlacer interface {
	Backlog(n int)
}

func (e *Entry) reportBacklog() {
	if b, ok := e.placer.(backlogPlacer); ok {
		b.Backlog(e.admitter.Len())
	}
}

// releaseSlot returns a reserved slot to which no task was sent.
func (e *Entry) releaseSlot(now time.Time, service string, ep carobpulley.Endpoint) {
	e.placer.Done(now, carobpulley.Sample{
		Endpoint: ep.ID,
		Service:  service,
		SentAt:   now,
		EndedAt:  now,
		Refused:  true,
	})
}

func (e *Entry) startTask(now time.Time, w carobpulley.Waiting, ep carobpulley.Endpoint) {
	d, ok := e.newDispatch(now, w, ep)
	if !ok {
		e.admitter.Done(now, w)
		e.releaseSlot(now, w.Service, ep)
		return
	}
	f := &inFlightDispatch{waiting: w, dispatch: d, endpoint: ep, sentAt: now}
	e.inFlight[w.Task] = f
	e.observe(stats.QueueTime, f, now.Sub(w.QueuedAt))
	e.runBackground(func() { e.sendDispatch(f) })
}

func (e *Entry) newDispatch(now time.Time, w carobpulley.Waiting, ep carobpulley.Endpoint) (carobpulley.Dispatch, bool) {
	if !w.Task.IsRequest() {
		return e.table.Start(now, w.Task, ep.ID, ep.Incarnation)
	}
	c := e.requests[w.Task.Job]
	if c == nil {
		return carobpulley.Dispatch{}, false
	}
	return c.nextAttempt(ep), true
}

// sendDispatch sends one dispatch to its agent and handles the answer.
func (e *Entry) sendDispatch(f *inFlightDispatch) {
	msg, ok := e.prepareDispatch(f)
	if !ok {
		e.handleDispatchResult(f, &inner.DispatchAnswer{
			Phase:   carobpulley.PhaseNotRun,
			Refusal: &carobpulley.Error{Op: "dispatch", Kind: carobpulley.KindUnavailable, Msg: "no authority", NotRun: true},
		}, nil)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, f.dispatch.Deadline.Add(maxRunTime))
	defer cancel()
	e.counters.dispatches.Add(1)
	r, err := e.client.Agent(f.endpoint.Addr).Dispatch(ctx, connect.NewRequest(inner.DispatchToWire(msg)))
	a, err := dispatchAnswer(r, err)
	e.handleDispatchResult(f, a, err)
}

func dispatchAnswer(r *connect.Response[wire.DispatchReply], err error) (*inner.DispatchAnswer, error) {
	if err != nil {
		return nil, err
	}
	a, err := inner.DispatchAnswerFromWire(r.Msg)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// prepareDispatch returns the message of a dispatch. It returns false if this entry
// has no authority or the endpoint's domain is out of service. It is the last check
// before the message is sent.
func (e *Entry) prepareDispatch(f *inFlightDispatch) (carobpulley.Entering, bool) {
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

// handleDispatchResult handles the answer to a dispatch, or the error if a is nil.
func (e *Entry) handleDispatchResult(f *inFlightDispatch, a *inner.DispatchAnswer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.recordExchange(now, f, a, err)
	e.reportResult(now, f, a, err)
	e.dispatchQueued(now)
}

// recordExchange releases the slot and passes the measurements of the exchange to
// the placer, the roster and the statistics.
func (e *Entry) recordExchange(now time.Time, f *inFlightDispatch, a *inner.DispatchAnswer, err error) {
	if e.inFlight[f.dispatch.ID] == f {
		delete(e.inFlight, f.dispatch.ID)
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
		e.recordAgentClock(f.endpoint.ID, a.Incarnation, a.AgentTime)
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
		e.observe(stats.ResponseTime, f, now.Sub(f.waiting.QueuedAt))
		e.observe(stats.RunTime, f, a.Run)
	}
}

// recordAgentClock stores a reading of an agent's clock, which later dispatches echo.
func (e *Entry) recordAgentClock(endpoint string, incarnation uint64, agentTime int64) {
	a := e.agents[endpoint]
	if a == nil || a.endpoint.Incarnation != incarnation {
		return
	}
	a.echo = max(a.echo, agentTime)
}

func (e *Entry) observe(m stats.Measure, f *inFlightDispatch, d time.Duration) {
	e.stats.Observe(m, stats.ByMember, f.waiting.Member, d)
	e.stats.Observe(m, stats.ByClass, string(f.waiting.Class), d)
	e.stats.Observe(m, stats.ByDomain, f.endpoint.Domain, d)
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
