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
	// resendAfter is the pause before a job without an answer is sent again, as
	// the platform's bounds give it.
	resendAfter = 1300 * time.Millisecond
	// jobEvery is the mean time between two jobs of one caller.
	jobEvery = 250 * time.Millisecond
	// dueFailure is the share of runs that fail.
	dueFailure = 0.01
)

// caller submits jobs one after the other. It keeps its connection until that
// breaks, and goes to another coordinator then.
type caller struct {
	s      *soak
	rng    *rand.Rand
	number int
	at     int
	http   *http.Client
}

func (c *caller) elsewhere() {
	c.at = c.rng.IntN(coordinators)
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// run submits jobs until the time is over.
func (c *caller) run(until time.Time) {
	c.elsewhere()
	for n := 0; time.Now().Before(until) && c.s.fleet.ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * jobEvery))))
		c.s.take(c.submit(c.job(n)))
	}
}

func (c *caller) job(n int) *work.Job {
	j := &work.Job{ID: fmt.Sprintf("%08x%08x", c.number+1, n), Spec: "soak", BestEffort: c.rng.IntN(2) == 0}
	for step := range 1 + c.rng.IntN(2) {
		s := work.Step{Count: 1 + c.rng.IntN(6), Resources: work.Resources{CPU: 6000, MemMB: 64}, EstimateMS: int64(50 + c.rng.IntN(400))}
		if step > 0 {
			s.After = []int{step - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	c.s.fleet.jobs.put(j)
	return j
}

// outcome is what a caller knows of its job in the end.
type outcome struct {
	job   *work.Job
	state work.State
	// refused is set if every attempt was answered by a refusal.
	refused bool
	// accepted is set if an attempt was answered with success.
	accepted bool
	tries    int
	took     time.Duration
}

// submit sends a job until it has an answer.
func (c *caller) submit(j *work.Job) outcome {
	o := outcome{job: j}
	body, err := stand.SubmissionBody(j)
	if err != nil {
		c.s.fleet.judge.Fail("submission: " + err.Error())
		return o
	}
	began := time.Now()
	unclear := false
	for c.s.fleet.ctx.Err() == nil && time.Now().Before(c.s.end) {
		o.tries++
		status, state, err := c.call(http.MethodPost, j.ID, body)
		o.took = time.Since(began)
		switch {
		case err == nil && status == http.StatusOK:
			o.state = state
			o.accepted = true
			return o
		case err == nil && status != http.StatusGatewayTimeout && status != http.StatusBadGateway:
			o.refused = !unclear
			if !unclear {
				return o
			}
			// An earlier attempt may have been taken: the answer is still owed.
		default:
			unclear = true
			c.elsewhere()
		}
		time.Sleep(resendAfter)
	}
	c.s.fleet.judge.Fail(fmt.Sprintf("job %s got no answer in %d tries", j.ID, o.tries))
	return o
}

// call makes one call. An error means that no answer came.
func (c *caller) call(method, id string, body []byte) (int, work.State, error) {
	ctx, cancel := context.WithTimeout(c.s.fleet.ctx, callTimeout)
	defer cancel()
	addr := netip.AddrPortFrom(c.s.fleet.addr(1, c.at), callersPort)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.Header.Set(stand.TimeoutHeader, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or broken
	var doc struct {
		State work.State `json:"state"`
	}
	if err := json.UnmarshalRead(resp.Body, &doc); err != nil {
		return 0, "", errors.Wrap(err, "answer")
	}
	return resp.StatusCode, doc.State, nil
}

// state asks for a kept job's state until it has ended or the time is over.
func (c *caller) state(id string, until time.Time) work.State {
	var state work.State
	for time.Now().Before(until) && c.s.fleet.ctx.Err() == nil {
		status, got, err := c.call(http.MethodGet, id, nil)
		if err != nil {
			c.elsewhere()
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
