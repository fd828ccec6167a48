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
	// maxRunTime bounds one Dispatch call beyond the task's deadline. A task
	// that runs longer is followed by queries.
	maxRunTime = time.Minute
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
	e.observe(stats.QueueTime, f, now.Sub(w.QueuedAt))
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
		e.observe(stats.ResponseTime, f, now.Sub(f.waiting.QueuedAt))
		e.observe(stats.RunTime, f, a.Run)
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
