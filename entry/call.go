package entry

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/api"
)

// maxAttempts bounds the dispatches of an idempotent request.
const maxAttempts = 3

const opCall = "call"

// call is a single request under way.
type call struct {
	id      carobpulley.JobID
	r       api.Request
	attempt int
	// endpoint and incarnation are those of the newest attempt.
	endpoint    string
	incarnation uint64
	// retryable is set for idempotent requests.
	retryable bool
	// open is set while the newest attempt has no final outcome.
	open bool
	// started is set once an attempt has started or may have.
	started bool
	// left is set once nobody waits for another attempt.
	left  bool
	ended bool
	done  chan struct{}
	task  carobpulley.Task
	err   *carobpulley.Error
}

// next counts an attempt and returns its dispatch.
func (c *call) next(ep carobpulley.Endpoint) carobpulley.Dispatch {
	c.attempt++
	c.open = true
	c.endpoint, c.incarnation = ep.ID, ep.Incarnation
	return c.dispatch()
}

// dispatch returns the current attempt.
func (c *call) dispatch() carobpulley.Dispatch {
	return carobpulley.Dispatch{
		ID:       carobpulley.TaskID{Job: c.id, Index: carobpulley.RequestIndex},
		Attempt:  c.attempt,
		Endpoint: c.endpoint,

		Incarnation: c.incarnation,
		Service:     c.r.Service,
		Payload:     c.r.Payload,
		Deadline:    c.r.Deadline,
	}
}

func (c *call) waiting(now time.Time) carobpulley.Waiting {
	return carobpulley.Waiting{
		Task:     carobpulley.TaskID{Job: c.id, Index: carobpulley.RequestIndex},
		Service:  c.r.Service,
		Member:   c.r.Member,
		Deadline: c.r.Deadline,
		QueuedAt: now,
	}
}

// Call implements api.Backend.
func (e *Entry) Call(ctx context.Context, r api.Request) (carobpulley.Task, error) {
	c, err := e.newCall(r)
	if err != nil {
		return carobpulley.Task{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		e.expire(c)
		// A dispatched request is followed to its outcome, since the caller
		// must learn whether it ran.
		select {
		case <-c.done:
		case <-e.ctx.Done():
			e.abandon(c)
		}
	case <-e.ctx.Done():
		e.abandon(c)
	}
	if c.err != nil {
		return carobpulley.Task{}, c.err
	}
	return c.task, nil
}

func (e *Entry) newCall(r api.Request) (*call, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.mayServe(now, opCall, r.Member, r.Service); err != nil {
		err.NotRun = true
		return nil, err
	}
	if now.Sub(e.startedAt) < warmUp && !e.placer.CanRun(r.Service) {
		err := e.unavailable(now, opCall, carobpulley.KindUnavailable, "the endpoints have not announced themselves yet")
		err.NotRun = true
		return nil, err
	}
	c := &call{
		id:        carobpulley.JobID{Member: r.Member, Key: "request-" + e.newID()},
		r:         r,
		retryable: !r.NonIdempotent && e.cat.Services[r.Service].Idempotent,
		done:      make(chan struct{}),
	}
	spec := carobpulley.JobSpec{ID: c.id, Service: r.Service, Payloads: [][]byte{r.Payload}, Deadline: r.Deadline}
	if err := e.admitter.Admit(now, spec); err != nil {
		return nil, err
	}
	e.retry.Request(now, r.Member)
	e.single[c.id] = c
	e.queue(now, c.waiting(now))
	e.pump(now)
	return c, nil
}

// expire ends a call at its deadline or when its caller leaves, unless an
// attempt is under way. The admitter may have dropped the call already.
func (e *Entry) expire(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.left = true
	if c.open {
		return
	}
	e.admitter.Drop(time.Now(), c.id)
	e.endCall(c, carobpulley.Task{}, &carobpulley.Error{
		Op:     opCall,
		Kind:   carobpulley.KindDeadline,
		Msg:    "no endpoint was free before the deadline",
		NotRun: !c.started,
	})
}

// abandon ends a call when the entry stops.
func (e *Entry) abandon(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.open {
		e.endCall(c, carobpulley.Task{}, unknownCall())
		return
	}
	e.admitter.Drop(time.Now(), c.id)
	e.endCall(c, carobpulley.Task{}, &carobpulley.Error{
		Op:     opCall,
		Kind:   carobpulley.KindDraining,
		Msg:    "the entry stopped",
		NotRun: !c.started,
	})
}

func (e *Entry) endCall(c *call, t carobpulley.Task, err *carobpulley.Error) {
	if c.ended {
		return
	}
	c.ended = true
	c.task, c.err = t, err
	delete(e.single, c.id)
	close(c.done)
}

// callEvent takes an outcome if it is that of a single request.
func (e *Entry) callEvent(now time.Time, ev carobpulley.Event) bool {
	switch ev := ev.(type) {
	case carobpulley.TaskEnded:
		return e.callEnded(now, ev)
	case carobpulley.TaskRefused:
		return e.callRefused(now, ev)
	case carobpulley.TaskLost:
		return e.callLost(now, ev)
	case carobpulley.TaskUnresolved:
		return e.callUnresolved(now, ev)
	case carobpulley.TaskGone:
		return e.callGone(now, ev)
	default:
		return false
	}
}

// current returns the call that an attempt belongs to; ok is false if the id is
// that of a job's task. An outdated attempt gives a nil call.
func (e *Entry) current(id carobpulley.TaskID, attempt int) (c *call, ok bool) {
	if !id.IsRequest() {
		return nil, false
	}
	c = e.single[id.Job]
	if c == nil || c.attempt != attempt {
		return nil, true
	}
	return c, true
}

func (e *Entry) callEnded(now time.Time, ev carobpulley.TaskEnded) bool {
	c, ok := e.current(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	c.open, c.started = false, true
	if ev.Phase != carobpulley.PhaseDone {
		if e.again(now, c) {
			return true
		}
		e.endCall(c, carobpulley.Task{}, &carobpulley.Error{
			Op:   opCall,
			Kind: carobpulley.KindFailed,
			Msg:  "the endpoint failed the request: " + ev.Err,
		})
		return true
	}
	e.endCall(c, carobpulley.Task{Phase: ev.Phase, Status: ev.Status, Result: ev.Result}, nil)
	return true
}

// callRefused ends a non-idempotent request: it is dispatched once, ever.
func (e *Entry) callRefused(now time.Time, ev carobpulley.TaskRefused) bool {
	c, ok := e.current(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	c.open = false
	if c.retryable && !c.left && now.Before(c.r.Deadline) {
		e.queue(now, c.waiting(now))
		return true
	}
	e.endCall(c, carobpulley.Task{}, &carobpulley.Error{
		Op:      opCall,
		Kind:    ev.Kind,
		Msg:     "the endpoint's agent refused the request before its start",
		NotRun:  !c.started,
		RetryAt: now,
	})
	return true
}

func (e *Entry) callLost(now time.Time, ev carobpulley.TaskLost) bool {
	c, ok := e.current(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	e.query(c.dispatch(), now)
	return true
}

func (e *Entry) callUnresolved(now time.Time, ev carobpulley.TaskUnresolved) bool {
	c, ok := e.current(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	if e.again(now, c) {
		return true
	}
	if !now.Before(c.r.Deadline) {
		e.endCall(c, carobpulley.Task{}, unknownCall())
		return true
	}
	e.query(c.dispatch(), now.Add(queryTimeout/10))
	return true
}

func (e *Entry) callGone(now time.Time, ev carobpulley.TaskGone) bool {
	c, ok := e.current(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	if e.again(now, c) {
		return true
	}
	e.endCall(c, carobpulley.Task{}, unknownCall())
	return true
}

func unknownCall() *carobpulley.Error {
	return &carobpulley.Error{
		Op:   opCall,
		Kind: carobpulley.KindUnknown,
		Msg:  "the endpoint's agent did not answer; the request may have run",
	}
}

// again retries an idempotent request inside the member's budget.
func (e *Entry) again(now time.Time, c *call) bool {
	if !c.retryable || c.left || c.attempt >= maxAttempts || !now.Before(c.r.Deadline) {
		return false
	}
	at := now.Add(e.retry.Backoff(c.attempt))
	if !at.Before(c.r.Deadline) || !e.retry.Retry(now, c.r.Member) {
		return false
	}
	c.open, c.started = false, true
	e.counters.retries.Add(1)
	e.goDo(func() { e.requeue(c, at) })
	return true
}

func (e *Entry) requeue(c *call, at time.Time) {
	e.sleep(at)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.ended {
		return
	}
	now := time.Now()
	e.queue(now, c.waiting(now))
	e.pump(now)
}
