package entry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/api"
)

// requestResult is the answer to a single request.
type requestResult struct {
	payload string
	task    carobpulley.Task
	err     error
}

// asError returns the result's error, or a zero Error if there is none.
func (o requestResult) asError() carobpulley.Error {
	var e *carobpulley.Error
	if errors.As(o.err, &e) {
		return *e
	}
	return carobpulley.Error{}
}

// callAll sends requests concurrently through all entries.
func (c *cluster) callAll(service, prefix string, n int, timeout time.Duration) <-chan requestResult {
	out := make(chan requestResult, n)
	for i := range n {
		payload := fmt.Sprintf("%s%d", prefix, i)
		go func() {
			k, err := c.call(fmt.Sprintf("entry-%d", i%3+1), service, payload, timeout)
			c.starts.addAnswer(payload, err)
			out <- requestResult{payload: payload, task: k, err: err}
		}()
	}
	return out
}

// call sends a request. A request that is to be held or to fail is sent again as long as it is
// truthfully refused before a start: on a busy machine an entry loses its majority, or an agent
// rejects a delayed dispatch, and the test is about what happens after the start.
func (c *cluster) call(entry, service, payload string, timeout time.Duration) (carobpulley.Task, error) {
	for {
		k, err := c.entries[entry].Call(c.ctx, request(service, payload, timeout))
		refused := requestResult{err: err}.asError().NotRun && c.starts.payloadStarts(payload) == 0
		again := strings.HasPrefix(payload, holdPayload) || strings.HasPrefix(payload, failPayload)
		if !refused || !again || c.ctx.Err() != nil {
			return k, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// collect waits for n results and returns them by payload.
func (c *cluster) collect(in <-chan requestResult, n int) map[string]requestResult {
	c.t.Helper()
	all := make(map[string]requestResult)
	for range n {
		select {
		case o := <-in:
			all[o.payload] = o
		case <-c.ctx.Done():
			c.t.Fatalf("%d of %d requests got an answer", len(all), n)
		}
	}
	return all
}

// checkRequests compares results with the record of starts.
func (c *cluster) checkRequests(all map[string]requestResult) {
	c.t.Helper()
	for payload, o := range all {
		n := c.starts.payloadStarts(payload)
		switch {
		case n > 1:
			c.t.Errorf("%s started %d times", payload, n)
		case o.asError().NotRun && n != 0:
			c.t.Errorf("%s is reported as not run but started: %v", payload, o.err)
		case o.err == nil && (n != 1 || string(o.task.Result) != payload):
			c.t.Errorf("%s is reported as done: started %d times, result %q", payload, n, o.task.Result)
		}
	}
}

// Guards against a second dispatch of a non-idempotent request whose answer is
// lost after its start, and against an answer that reports it as not run. While the
// agent is reachable, a query returns the outcome.
func TestNonIdempotentAnswerLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		out := c.callAll("confirm", holdPayload+"lost-", 12, 30*time.Second)
		for i := range 12 {
			c.awaitStart(fmt.Sprintf("%slost-%d", holdPayload, i))
		}
		for _, ag := range c.agents {
			ag.relay.closeConnections(false)
		}
		close(c.starts.release)
		all := c.collect(out, 12)
		c.checkRequests(all)
		for payload, o := range all {
			if o.err != nil {
				t.Errorf("%s: %v, although its agent is reachable", payload, o.err)
			}
		}
	})
}

// Guards against a request that is sent again or reported as not run because its
// agent is unreachable until the deadline.
func TestNonIdempotentAgentUnreachable(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		out := c.callAll("confirm", holdPayload+"gone-", 12, 5*time.Second)
		for i := range 12 {
			c.awaitStart(fmt.Sprintf("%sgone-%d", holdPayload, i))
		}
		for _, ag := range c.agents {
			ag.relay.closeConnections(true)
		}
		all := c.collect(out, 12)
		c.checkRequests(all)
		for payload, o := range all {
			if o.asError().Kind != carobpulley.KindUnknown {
				t.Errorf("%s: %v; want unknown", payload, o.err)
			}
		}
		close(c.starts.release)
	})
}

// Guards against a task or request of a killed agent that the agent's next
// incarnation runs again, and against one that is queried until its deadline
// although the new incarnation has answered that it has no record of it. The
// deadlines are later than the test's own time limit.
func TestAgentReturnsUnderItsID(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, options{runTime: 20 * time.Millisecond, endpoints: 1})
		c.awaitOwners()
		out := c.callAll("confirm", holdPayload+"restart-", 2, 9*time.Minute)
		c.awaitStart(holdPayload + "restart-0")
		c.awaitStart(holdPayload + "restart-1")
		s := holdSpec("restart-job", 2)
		s.Deadline = time.Now().Add(9 * time.Minute)
		answer := make(chan carobpulley.Answer, 1)
		go func() {
			a, err := c.entries["entry-1"].Submit(c.ctx, s, true)
			if err != nil {
				t.Error(err)
			}
			answer <- a
		}()
		c.awaitStart(holdPayload + "restart-job/0")
		c.awaitStart(holdPayload + "restart-job/1")
		c.agents[0].kill()
		c.startAgent(c.agents[0])
		for payload, o := range c.collect(out, 2) {
			if e := o.asError(); e.Kind != carobpulley.KindUnknown || e.NotRun || c.starts.payloadStarts(payload) != 1 {
				t.Errorf("%s: %v, %d starts", payload, o.err, c.starts.payloadStarts(payload))
			}
		}
		a := <-answer
		if a.Outcome != carobpulley.OutcomeFailed || a.Err == nil || a.Err.Kind != carobpulley.KindUnknown {
			t.Errorf("outcome %s, %v; want failed as unknown", a.Outcome, a.Err)
		}
		close(c.starts.release)
		c.runJobs("after", 3, 5)
		c.starts.checkNoRepeats(t)
	})
}

// Guards against a request that is reported as not run but starts in the domain
// that is taken out of service, or that starts a second time in another domain.
func TestNonIdempotentDomainOut(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 100*time.Millisecond)
		c.awaitOwners()
		out := c.callAll("confirm", "out-", 300, 30*time.Second)
		c.awaitAnyStart("out-")
		c.publish("out", 1, fmt.Sprintf(document, false))
		all := c.collect(out, 300)
		c.runJobs("after", 3, 20)
		c.checkRequests(all)
		done := 0
		for payload, o := range all {
			e := o.asError()
			switch {
			case o.err == nil:
				done++
			case !e.NotRun:
				t.Errorf("%s: %v, although every agent is reachable", payload, o.err)
			}
		}
		if done == 0 {
			t.Error("no request ran")
		}
	})
}

// Guards against a request that the entry reports as not run at its deadline but
// that starts afterwards, and against one that starts after its deadline.
func TestNonIdempotentDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 150*time.Millisecond)
		c.awaitOwners()
		out := c.callAll("confirm", "late-", 600, 500*time.Millisecond)
		all := c.collect(out, 600)
		c.runJobs("after", 3, 60)
		c.checkRequests(all)
		notRun := 0
		for payload, o := range all {
			e := o.asError()
			if e.NotRun {
				notRun++
			}
			if o.err != nil && !e.NotRun && c.starts.payloadStarts(payload) == 0 {
				t.Errorf("%s: %v, although it did not start and every agent is reachable", payload, o.err)
			}
		}
		if notRun == 0 || notRun == 600 {
			t.Errorf("%d of 600 requests did not run; want some that ran and some that did not", notRun)
		}
	})
}

// Guards against a retried request that is queued at its deadline and is reported
// as not run although its first attempt started.
func TestRetryWaitsPastTheDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		c.fillBudget()
		first, second := c.failThenHold(c.ctx)
		o := <-first
		if e := o.asError(); e.NotRun || e.Kind != carobpulley.KindDeadline || c.starts.payloadStarts(o.payload) != 1 {
			t.Errorf("%s: %v, started %d times", o.payload, o.err, c.starts.payloadStarts(o.payload))
		}
		close(c.starts.release)
		<-second
	})
}

// Guards against a call that never returns because its caller left during an
// attempt and the retry is queued past the deadline. A draining entry would wait
// for it until its time limit.
func TestCallerLeavesBeforeARetry(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		c.fillBudget()
		ctx, cancel := context.WithCancel(c.ctx)
		first, second := c.failThenHold(ctx)
		cancel()
		select {
		case o := <-first:
			if o.asError().NotRun && c.starts.payloadStarts(o.payload) != 0 {
				t.Errorf("%s is reported as not run but started", o.payload)
			}
		case <-c.ctx.Done():
			t.Error("the call did not return")
		}
		close(c.starts.release)
		<-second
	})
}

// fillBudget sends enough requests for the retry budget to allow one retry.
func (c *cluster) fillBudget() {
	c.t.Helper()
	for i := range 20 {
		r := request("single", fmt.Sprintf("budget-%d", i), 10*time.Second)
		if _, err := c.entries["entry-1"].Call(c.ctx, r); err != nil {
			c.t.Fatal(err)
		}
	}
}

// failThenHold sends a request that fails, and then one that occupies the only slot
// of their service until it is released.
func (c *cluster) failThenHold(ctx context.Context) (first, second <-chan requestResult) {
	call := func(ctx context.Context, r api.Request) <-chan requestResult {
		out := make(chan requestResult, 1)
		go func() {
			k, err := c.entries["entry-1"].Call(ctx, r)
			out <- requestResult{payload: string(r.Payload), task: k, err: err}
		}()
		return out
	}
	first = call(ctx, request("single", slowFailPayload+"first", 2*time.Second))
	c.awaitStart(slowFailPayload + "first")
	second = call(c.ctx, request("single", holdPayload+"second", time.Minute))
	return first, second
}

// Guards against idempotent requests that exceed the retry budget, or that are not
// retried within it when the endpoint fails them.
func TestIdempotentRetriesWithinBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		const n, failed = 100, 40
		all := c.collect(c.callAll("check", "good-", n, 20*time.Second), n)
		c.checkRequests(all)
		out := c.callAll("check", failPayload+"bad-", failed, 20*time.Second)
		starts := 0
		for payload, o := range c.collect(out, failed) {
			starts += c.starts.payloadStarts(payload)
			if e := o.asError(); e.Kind != carobpulley.KindFailed || e.NotRun {
				t.Errorf("%s: %v", payload, o.err)
			}
		}
		retries := starts - failed
		if retries == 0 || retries > (n+failed)/10 {
			t.Errorf("%d retries of %d requests, at most a tenth are allowed", retries, n+failed)
		}
	})
}
