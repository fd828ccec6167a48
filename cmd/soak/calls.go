package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"

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
)

// caller submits jobs one after the other. It uses one coordinator until a call gets no answer;
// then it selects a coordinator at random and opens a new connection.
type caller struct {
	soak        *soak
	rng         *rand.Rand
	number      int
	coordinator int
	http        *http.Client
}

func (c *caller) switchCoordinator() {
	c.coordinator = c.rng.IntN(coordinators)
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// run submits jobs until the given time.
func (c *caller) run(until time.Time) {
	c.switchCoordinator()
	for n := 0; time.Now().Before(until) && c.soak.fleet.ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * meanJobInterval))))
		c.soak.addResult(c.submit(c.newJob(n)))
	}
}

func (c *caller) newJob(n int) *work.Job {
	j := &work.Job{ID: fmt.Sprintf("%08x%08x", c.number+1, n), Spec: "soak", BestEffort: c.rng.IntN(2) == 0}
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
	latency  time.Duration
}

// submit submits a job until it is answered or callDeadline has passed.
func (c *caller) submit(j *work.Job) jobResult {
	result := jobResult{job: j}
	body, err := stand.SubmissionBody(j)
	if err != nil {
		c.soak.fleet.checker.AddViolation("submission: " + err.Error())
		return result
	}
	began := time.Now()
	unanswered := false
	for c.soak.fleet.ctx.Err() == nil && time.Now().Before(c.soak.callDeadline) {
		result.attempts++
		status, state, err := c.call(http.MethodPost, j.ID, body)
		result.latency = time.Since(began)
		switch {
		case err == nil && status == http.StatusOK:
			result.state = state
			result.accepted = true
			return result
		case err == nil && status != http.StatusGatewayTimeout && status != http.StatusBadGateway:
			result.refused = !unanswered
			if !unanswered {
				return result
			}
			// An earlier attempt may have been accepted, so the job is submitted again.
		default:
			unanswered = true
			c.switchCoordinator()
		}
		time.Sleep(resendDelay)
	}
	c.soak.fleet.checker.AddViolation(fmt.Sprintf("job %s got no answer in %d tries", j.ID, result.attempts))
	return result
}

// call makes one call. An error means that no response was received, or one that cannot be
// decoded.
func (c *caller) call(method, id string, body []byte) (int, work.State, error) {
	ctx, cancel := context.WithTimeout(c.soak.fleet.ctx, callTimeout)
	defer cancel()
	addr := netip.AddrPortFrom(c.soak.fleet.addr(1, c.coordinator), callersPort)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.Header.Set(stand.TimeoutHeader, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or reading has failed
	var doc struct {
		State work.State `json:"state"`
	}
	if err := json.UnmarshalRead(resp.Body, &doc); err != nil {
		return 0, "", errors.Wrap(err, "answer")
	}
	return resp.StatusCode, doc.State, nil
}

// awaitEnd polls the state of a durable job until the job has ended or the given time is reached.
func (c *caller) awaitEnd(id string, until time.Time) work.State {
	var state work.State
	for time.Now().Before(until) && c.soak.fleet.ctx.Err() == nil {
		status, got, err := c.call(http.MethodGet, id, nil)
		if err != nil {
			c.switchCoordinator()
		}
		if err == nil && status == http.StatusOK {
			state = got
		}
		if err == nil && status == http.StatusGone {
			return "gone"
		}
		if state.Ended() {
			return state
		}
		time.Sleep(50 * time.Millisecond)
	}
	return state
}
