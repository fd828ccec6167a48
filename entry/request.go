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

// singleRequest is the state of a request in progress.
type singleRequest struct {
	id      carobpulley.JobID
	req     api.Request
	attempt int
	// endpoint and incarnation identify the target of the newest attempt.
	endpoint    string
	incarnation uint64
	// retryable is set for idempotent requests.
	retryable bool
	// attemptOpen is set while the outcome of the newest attempt is not final.
	attemptOpen bool
	// started is set once an attempt has started or may have started.
	started bool
	// expired is set once the deadline has passed or the caller has left, so that
	// no further attempt is made.
	expired bool
	ended   bool
	done    chan struct{}
	task    carobpulley.Task
	err     *carobpulley.Error
}

// nextAttempt starts a new attempt at an endpoint and returns its dispatch.
func (c *singleRequest) nextAttempt(ep carobpulley.Endpoint) carobpulley.Dispatch {
	c.attempt++
	c.attemptOpen = true
	c.endpoint, c.incarnation = ep.ID, ep.Incarnation
	return c.dispatch()
}

// dispatch returns the dispatch of the current attempt.
func (c *singleRequest) dispatch() carobpulley.Dispatch {
	return carobpulley.Dispatch{
		ID:       carobpulley.TaskID{Job: c.id, Index: carobpulley.RequestIndex},
		Attempt:  c.attempt,
		Endpoint: c.endpoint,

		Incarnation: c.incarnation,
		Service:     c.req.Service,
		Payload:     c.req.Payload,
		Deadline:    c.req.Deadline,
	}
}

func (c *singleRequest) waiting(now time.Time) carobpulley.Waiting {
	return carobpulley.Waiting{
		Task:     carobpulley.TaskID{Job: c.id, Index: carobpulley.RequestIndex},
		Service:  c.req.Service,
		Member:   c.req.Member,
		Deadline: c.req.Deadline,
		QueuedAt: now,
	}
}

// Call implements api.Backend.
func (e *Entry) Call(ctx context.Context, r api.Request) (carobpulley.Task, error) {
	c, err := e.newRequest(r)
	if err != nil {
		return carobpulley.Task{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		e.expire(c)
		// Wait for the outcome of a dispatched request, since the answer must
		// say whether it ran.
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

func (e *Entry) newRequest(r api.Request) (*singleRequest, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkService(now, opCall, r.Member, r.Service); err != nil {
		err.NotRun = true
		return nil, err
	}
	if now.Sub(e.startedAt) < warmUp && !e.placer.CanRun(r.Service) {
		err := e.unavailable(now, opCall, carobpulley.KindUnavailable, "the endpoints have not announced themselves yet")
		err.NotRun = true
		return nil, err
	}
	c := &singleRequest{
		id:        carobpulley.JobID{Member: r.Member, Key: "request-" + e.newID()},
		req:       r,
		retryable: !r.NonIdempotent && e.cat.Services[r.Service].Idempotent,
		done:      make(chan struct{}),
	}
	spec := carobpulley.JobSpec{ID: c.id, Service: r.Service, Payloads: [][]byte{r.Payload}, Deadline: r.Deadline}
	if err := e.admitter.Admit(now, spec); err != nil {
		return nil, err
	}
	e.retryBudget.Request(now, r.Member)
	e.requests[c.id] = c
	e.queueTask(now, c.waiting(now))
	e.dispatchQueued(now)
	return c, nil
}

// expire ends a request at its deadline or when its caller leaves, unless an
// attempt is in progress. The admitter may have dropped the request already.
func (e *Entry) expire(c *singleRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.expired = true
	if c.attemptOpen {
		return
	}
	e.admitter.Drop(time.Now(), c.id)
	e.endRequest(c, carobpulley.Task{}, &carobpulley.Error{
		Op:     opCall,
		Kind:   carobpulley.KindDeadline,
		Msg:    "no endpoint was free before the deadline",
		NotRun: !c.started,
	})
}

// abandon ends a request when the entry stops.
func (e *Entry) abandon(c *singleRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.attemptOpen {
		e.endRequest(c, carobpulley.Task{}, requestUnknownError())
		return
	}
	e.admitter.Drop(time.Now(), c.id)
	e.endRequest(c, carobpulley.Task{}, &carobpulley.Error{
		Op:     opCall,
		Kind:   carobpulley.KindDraining,
		Msg:    "the entry stopped",
		NotRun: !c.started,
	})
}

func (e *Entry) endRequest(c *singleRequest, t carobpulley.Task, err *carobpulley.Error) {
	if c.ended {
		return
	}
	c.ended = true
	c.task, c.err = t, err
	delete(e.requests, c.id)
	close(c.done)
}

// handleRequestEvent handles the outcome of an attempt of a single request. It
// returns false if the event belongs to a job's task.
func (e *Entry) handleRequestEvent(now time.Time, ev carobpulley.Event) bool {
	switch ev := ev.(type) {
	case carobpulley.TaskEnded:
		return e.handleRequestEnded(now, ev)
	case carobpulley.TaskRefused:
		return e.handleRequestRefused(now, ev)
	case carobpulley.TaskLost:
		return e.handleRequestLost(now, ev)
	case carobpulley.TaskUnresolved:
		return e.handleRequestUnresolved(now, ev)
	case carobpulley.TaskGone:
		return e.handleRequestGone(now, ev)
	default:
		return false
	}
}

// requestOf returns the request that an attempt belongs to, or nil if the attempt
// is outdated. ok is false if the id is that of a job's task.
func (e *Entry) requestOf(id carobpulley.TaskID, attempt int) (c *singleRequest, ok bool) {
	if !id.IsRequest() {
		return nil, false
	}
	c = e.requests[id.Job]
	if c == nil || c.attempt != attempt {
		return nil, true
	}
	return c, true
}

func (e *Entry) handleRequestEnded(now time.Time, ev carobpulley.TaskEnded) bool {
	c, ok := e.requestOf(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	c.attemptOpen, c.started = false, true
	if ev.Phase != carobpulley.PhaseDone {
		if e.retryRequest(now, c) {
			return true
		}
		e.endRequest(c, carobpulley.Task{}, &carobpulley.Error{
			Op:   opCall,
			Kind: carobpulley.KindFailed,
			Msg:  "the endpoint failed the request: " + ev.Err,
		})
		return true
	}
	e.endRequest(c, carobpulley.Task{Phase: ev.Phase, Status: ev.Status, Result: ev.Result}, nil)
	return true
}

// handleRequestRefused requeues an idempotent request whose deadline is ahead and
// whose caller still waits, and ends any other. A non-idempotent request is
// dispatched at most once.
func (e *Entry) handleRequestRefused(now time.Time, ev carobpulley.TaskRefused) bool {
	c, ok := e.requestOf(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	c.attemptOpen = false
	if c.retryable && !c.expired && now.Before(c.req.Deadline) {
		e.queueTask(now, c.waiting(now))
		return true
	}
	e.endRequest(c, carobpulley.Task{}, &carobpulley.Error{
		Op:      opCall,
		Kind:    ev.Kind,
		Msg:     "the endpoint's agent refused the request before its start",
		NotRun:  !c.started,
		RetryAt: now,
	})
	return true
}

func (e *Entry) handleRequestLost(now time.Time, ev carobpulley.TaskLost) bool {
	c, ok := e.requestOf(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	e.queryTask(c.dispatch(), now)
	return true
}

func (e *Entry) handleRequestUnresolved(now time.Time, ev carobpulley.TaskUnresolved) bool {
	c, ok := e.requestOf(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	if e.retryRequest(now, c) {
		return true
	}
	if !now.Before(c.req.Deadline) {
		e.endRequest(c, carobpulley.Task{}, requestUnknownError())
		return true
	}
	e.queryTask(c.dispatch(), now.Add(queryTimeout/10))
	return true
}

func (e *Entry) handleRequestGone(now time.Time, ev carobpulley.TaskGone) bool {
	c, ok := e.requestOf(ev.ID, ev.Attempt)
	if c == nil {
		return ok
	}
	if e.retryRequest(now, c) {
		return true
	}
	e.endRequest(c, carobpulley.Task{}, requestUnknownError())
	return true
}

func requestUnknownError() *carobpulley.Error {
	return &carobpulley.Error{
		Op:   opCall,
		Kind: carobpulley.KindUnknown,
		Msg:  "the endpoint's agent did not answer; the request may have run",
	}
}

// retryRequest schedules another attempt of an idempotent request if the limit of
// attempts, the deadline and the member's retry budget allow one.
func (e *Entry) retryRequest(now time.Time, c *singleRequest) bool {
	if !c.retryable || c.expired || c.attempt >= maxAttempts || !now.Before(c.req.Deadline) {
		return false
	}
	at := now.Add(e.retryBudget.Backoff(c.attempt))
	if !at.Before(c.req.Deadline) || !e.retryBudget.Retry(now, c.req.Member) {
		return false
	}
	c.attemptOpen, c.started = false, true
	e.counters.retries.Add(1)
	e.runBackground(func() { e.requeue(c, at) })
	return true
}

func (e *Entry) requeue(c *singleRequest, at time.Time) {
	e.sleep(at)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.ended {
		return
	}
	now := time.Now()
	e.queueTask(now, c.waiting(now))
	e.dispatchQueued(now)
}
