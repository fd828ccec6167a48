package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobpulley/platform/stand"
	"carobpulley/work"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 4 * time.Second
	// resendDelay is the pause before a job without an answer is submitted again, according to
	// the platform's bounds.
	resendDelay = 1300 * time.Millisecond
	// meanJobInterval is the mean time between two jobs of one caller.
	meanJobInterval = 250 * time.Millisecond
	// failureShare is the share of runs whose outcome is a failure.
	failureShare = 0.01
	// pairShare is the share of submissions that are sent back to back with another call. leaveShare
	// is the share of those whose caller leaves before the answer, within maxLeaveWait.
	pairShare    = 0.3
	leaveShare   = 0.1
	maxLeaveWait = 600 * time.Millisecond
	// atOnceShare is the share of best-effort submissions on a kept connection that breaks before the
	// answer that are sent again at once, to another coordinator, as HTTP libraries do.
	atOnceShare = 0.5
)

// caller submits jobs one after the other. It uses one connection to one coordinator until a call gets
// no answer or the coordinator closes it; then it opens one to a coordinator selected at random.
type caller struct {
	soak        *soak
	rng         *rand.Rand
	number      int
	coordinator int
	// socket is nil while no connection is open.
	socket *socket
	// habits draws which calls are paired or given up early, and the callers that do so.
	habits *rand.Rand
	// accepted holds the durable jobs of this caller that were accepted.
	accepted []*work.Job
	// siblings are callers of this caller's jobs on other connections.
	siblings sync.WaitGroup
}

func (c *caller) switchCoordinator() {
	c.disconnect()
	c.coordinator = c.rng.IntN(coordinators)
}

// switchToAnother selects one of the other coordinators.
func (c *caller) switchToAnother() {
	c.disconnect()
	c.coordinator = (c.coordinator + 1 + c.rng.IntN(coordinators-1)) % coordinators
}

// connect opens a connection if none is open, and reports whether one is.
func (c *caller) connect(timeout time.Duration) bool {
	if c.socket == nil {
		addr := netip.AddrPortFrom(c.soak.fleet.addr(1, c.coordinator), callersProxyPort)
		if s, err := openSocket(c.soak.fleet.ctx, addr, timeout); err == nil {
			c.socket = s
		}
	}
	return c.socket != nil
}

func (c *caller) disconnect() {
	if c.socket != nil {
		c.socket.close()
		c.socket = nil
	}
}

// run submits jobs until the given time.
func (c *caller) run(until time.Time) {
	c.switchCoordinator()
	for n := 0; time.Now().Before(until) && c.soak.fleet.ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * meanJobInterval))))
		j := c.newJob(n)
		switch habit := c.habits.Float64(); {
		case habit < leaveShare:
			c.leave(j)
		case habit < leaveShare+pairShare && c.habits.IntN(2) == 0:
			n++
			c.submitTwo(j, c.newJob(n))
		case habit < leaveShare+pairShare:
			c.submitWith(j, c.otherCall())
		default:
			c.finish(c.submit(j, time.Now(), nil))
		}
	}
	c.siblings.Wait()
	c.disconnect()
}

func (c *caller) finish(result jobResult) {
	c.soak.addResult(result)
	if result.accepted && !result.job.BestEffort {
		c.accepted = append(c.accepted, result.job)
	}
}

// onSibling lets a sibling with a connection of its own submit a job.
func (c *caller) onSibling(j *work.Job, began time.Time, first func(sibling *caller) attempt) {
	sibling := &caller{soak: c.soak, number: c.number, coordinator: c.coordinator, rng: rand.New(rand.NewPCG(c.habits.Uint64(), 0))}
	c.siblings.Go(func() {
		a := first(sibling)
		c.soak.addResult(sibling.submit(j, began, &a))
		sibling.disconnect()
	})
}

// leave submits a job on a connection beside the caller's own one, in half of the cases with another
// call behind it, leaves before the answer and comes back later.
func (c *caller) leave(j *work.Job) {
	wait := time.Duration(c.habits.Int64N(int64(maxLeaveWait)))
	behind := c.habits.IntN(2) == 0
	c.onSibling(j, time.Now(), func(sibling *caller) attempt {
		if behind {
			return sibling.exchange(wait, submission(j), request{method: http.MethodGet, late: true})[0]
		}
		return sibling.exchange(wait, submission(j))[0]
	})
}

// submitTwo submits two jobs back to back. What has no answer is sent again on two connections.
func (c *caller) submitTwo(j, other *work.Job) {
	began := time.Now()
	second := submission(other)
	second.late = c.habits.IntN(2) == 0
	attempts := c.exchange(callTimeout, submission(j), second)
	c.onSibling(other, began, func(*caller) attempt { return attempts[1] })
	c.finish(c.submit(j, began, &attempts[0]))
}

// submitWith submits a job back to back with another call, which may come first.
func (c *caller) submitWith(j *work.Job, other request) {
	began := time.Now()
	if c.habits.IntN(2) == 0 {
		attempts := c.exchange(callTimeout, submission(j), other)
		c.finish(c.submit(j, began, &attempts[0]))
		return
	}
	attempts := c.exchange(callTimeout, other, submission(j))
	c.finish(c.submit(j, began, &attempts[1]))
}

// otherCall returns a call that is no submission.
func (c *caller) otherCall() request {
	if len(c.accepted) == 0 {
		return request{method: http.MethodGet}
	}
	j := pick(c.habits, c.accepted)
	switch c.habits.IntN(4) {
	case 0:
		return request{method: http.MethodGet}
	case 1:
		c.soak.mu.Lock()
		c.soak.cancelled[j.ID] = true
		c.soak.mu.Unlock()
		return request{method: http.MethodDelete, job: j}
	default:
		return request{method: http.MethodGet, job: j}
	}
}

func (c *caller) newJob(n int) *work.Job {
	id := fmt.Sprintf("%08x%08x", c.number+1, n)
	j := &work.Job{ID: id, Spec: jobSpec(id), BestEffort: c.rng.IntN(2) == 0}
	for step := range 1 + c.rng.IntN(2) {
		spec := work.Step{Count: 1 + c.rng.IntN(6), Resources: work.Resources{CPU: 6000, MemMB: 64}, EstimateMS: int64(50 + c.rng.IntN(400))}
		if step > 0 {
			spec.After = []int{step - 1}
		}
		j.Steps = append(j.Steps, spec)
	}
	c.soak.fleet.jobs.add(j)
	return j
}

// jobResult is the result of a job from its caller's view.
type jobResult struct {
	job   *work.Job
	state work.State
	// refused is set if every attempt was refused. No task of the job is then allowed to start.
	refused bool
	// accepted is set if an attempt was answered with status 200.
	accepted bool
	attempts int
	// atOnce is how many of the attempts were made at once after the one before.
	atOnce  int
	latency time.Duration
}

// attempt is the result of one call. An error means that no response arrived whole.
type attempt struct {
	response
	state work.State
	err   error
	// broken is set if a kept connection ended before the first byte of the response.
	broken bool
}

func submission(j *work.Job) request {
	body, err := stand.SubmissionBody(j)
	if err != nil {
		panic(err) // strings and integers only
	}
	return request{method: http.MethodPost, job: j, body: body}
}

// submit submits a job until it is answered or callDeadline has passed. The first attempt may have been
// made already.
func (c *caller) submit(j *work.Job, began time.Time, first *attempt) jobResult {
	result := jobResult{job: j}
	unanswered := false
	for c.soak.fleet.ctx.Err() == nil && time.Now().Before(c.soak.callDeadline) {
		var a attempt
		if first != nil {
			a, first = *first, nil
		} else {
			a = c.exchange(callTimeout, submission(j))[0]
		}
		result.attempts++
		result.latency = time.Since(began)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			result.state = a.state
			result.accepted = true
			return result
		case a.err == nil && a.status != http.StatusGatewayTimeout && a.status != http.StatusBadGateway:
			result.refused = !unanswered
			if !unanswered {
				return result
			}
			// An earlier attempt may have been accepted, so the job is submitted again.
		case a.broken && j.BestEffort && c.rng.Float64() < atOnceShare:
			unanswered = true
			result.atOnce++
			c.switchToAnother()
			continue
		default:
			unanswered = true
			c.switchCoordinator()
			c.connect(callTimeout) // as HTTP libraries do, which keep connections in reserve
		}
		time.Sleep(resendDelay)
	}
	c.soak.fleet.checker.AddViolation(fmt.Sprintf("job %s got no answer in %d tries", j.ID, result.attempts))
	return result
}

// errNoResponse is the error of a call whose connection ended before its response began.
var errNoResponse = errors.New("no response")

// exchange sends calls in one write and reads their responses, each for at most the given time. The
// connection is kept unless a response is missing or the last on it.
func (c *caller) exchange(wait time.Duration, requests ...request) []attempt {
	attempts := make([]attempt, len(requests))
	for i := range attempts {
		attempts[i].err = errNoResponse
	}
	kept := c.socket != nil
	if !c.connect(wait) {
		return attempts
	}
	if err := c.socket.send(wait, requests); err != nil {
		for i := range attempts {
			attempts[i].broken = kept && endedEarly(err)
		}
		c.disconnect()
		return attempts
	}
	for i := range attempts {
		a := &attempts[i]
		a.response, a.err = c.socket.receive(wait, requests[i].method)
		if a.err != nil {
			a.broken = kept && endedEarly(a.err)
			c.recordLoss(requests[i], a.err)
			c.disconnect()
			return attempts
		}
		a.state = c.soak.checkAnswer(requests[i], a.response)
		if a.last {
			c.disconnect()
			return attempts
		}
	}
	if n := c.socket.r.Buffered(); n > 0 {
		c.soak.fleet.checker.AddViolation(fmt.Sprintf("%s: %d bytes follow the response", requests[len(requests)-1], n))
		c.disconnect()
	}
	return attempts
}

// endedEarly reports whether a call failed because its connection ended before the response began.
func endedEarly(err error) bool {
	return !errors.Is(err, errMalformed) && !errors.Is(err, errPartial) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// recordLoss counts a response that was cut, and records a malformed one as a violation.
func (c *caller) recordLoss(req request, err error) {
	switch {
	case errors.Is(err, errMalformed):
		c.soak.fleet.checker.AddViolation(fmt.Sprintf("%s: %v", req, err))
	case errors.Is(err, errPartial):
		c.soak.mu.Lock()
		c.soak.cut++
		c.soak.mu.Unlock()
	}
}

// awaitEnd polls the state of a durable job until the job has ended or the given time is reached.
func (c *caller) awaitEnd(j *work.Job, until time.Time) work.State {
	var state work.State
	for time.Now().Before(until) && c.soak.fleet.ctx.Err() == nil {
		a := c.exchange(callTimeout, request{method: http.MethodGet, job: j})[0]
		switch {
		case a.err != nil:
			c.switchCoordinator()
		case a.status == http.StatusOK:
			state = a.state
		case a.status == http.StatusGone:
			return "gone"
		}
		if state.Ended() {
			return state
		}
		time.Sleep(50 * time.Millisecond)
	}
	return state
}
