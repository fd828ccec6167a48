package entry_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/api"
)

// outcome is the answer to a request.
type outcome struct {
	payload string
	task    carobpulley.Task
	err     error
}

// told returns the error of an outcome, or an empty one.
func (o outcome) told() carobpulley.Error {
	var e *carobpulley.Error
	if errors.As(o.err, &e) {
		return *e
	}
	return carobpulley.Error{}
}

// callAll sends requests concurrently through all entries.
func (c *cluster) callAll(service, prefix string, n int, timeout time.Duration) <-chan outcome {
	out := make(chan outcome, n)
	for i := range n {
		payload := fmt.Sprintf("%s%d", prefix, i)
		go func() {
			k, err := c.entries[fmt.Sprintf("entry-%d", i%3+1)].Call(c.ctx, request(service, payload, timeout))
			out <- outcome{payload: payload, task: k, err: err}
		}()
	}
	return out
}

// collect waits for n outcomes.
func (c *cluster) collect(in <-chan outcome, n int) map[string]outcome {
	c.t.Helper()
	all := make(map[string]outcome)
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

// checkRequests compares outcomes with the record of starts.
func (c *cluster) checkRequests(all map[string]outcome) {
	c.t.Helper()
	for payload, o := range all {
		n := c.starts.with(payload)
		switch {
		case n > 1:
			c.t.Errorf("%s started %d times", payload, n)
		case o.told().NotRun && n != 0:
			c.t.Errorf("%s is called not run and started: %v", payload, o.err)
		case o.err == nil && (n != 1 || string(o.task.Result) != payload):
			c.t.Errorf("%s is done, started %d times, result %q", payload, n, o.task.Result)
		}
	}
}

// Guards against a second dispatch of a non-idempotent request whose answer is
// lost after its start, and against an answer that says it did not run. While
// the agent can be asked, the answer is found.
func TestNonIdempotentAnswerLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	out := c.callAll("confirm", holding+"lost-", 12, 30*time.Second)
	for i := range 12 {
		c.awaitStart(fmt.Sprintf("%slost-%d", holding, i))
	}
	for _, h := range c.hosts {
		h.relay.cut(false)
	}
	close(c.starts.release)
	all := c.collect(out, 12)
	c.checkRequests(all)
	for payload, o := range all {
		if o.err != nil {
			t.Errorf("%s: %v; its agent can be asked", payload, o.err)
		}
	}
}

// Guards against a request that is sent again, or called not run, because its
// agent cannot be asked until the deadline.
func TestNonIdempotentAgentUnreachable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	out := c.callAll("confirm", holding+"gone-", 12, 5*time.Second)
	for i := range 12 {
		c.awaitStart(fmt.Sprintf("%sgone-%d", holding, i))
	}
	for _, h := range c.hosts {
		h.relay.cut(true)
	}
	all := c.collect(out, 12)
	c.checkRequests(all)
	for payload, o := range all {
		if o.told().Kind != carobpulley.KindUnknown {
			t.Errorf("%s: %v; want unknown", payload, o.err)
		}
	}
	close(c.starts.release)
}

// Guards against a task or request of a killed agent that is taken up by the
// agent's next incarnation, and against one that is asked for until its
// deadline although the new incarnation has said that it cannot know. The
// deadlines lie beyond the test's own limit.
func TestAgentReturnsUnderItsID(t *testing.T) {
	t.Parallel()
	c := newClusterWith(t, options{runTime: 20 * time.Millisecond, endpoints: 1})
	c.settle()
	out := c.callAll("confirm", holding+"restart-", 2, 9*time.Minute)
	c.awaitStart(holding + "restart-0")
	c.awaitStart(holding + "restart-1")
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
	c.awaitStart(holding + "restart-job/0")
	c.awaitStart(holding + "restart-job/1")
	c.hosts[0].kill()
	c.startAgent(c.hosts[0])
	for payload, o := range c.collect(out, 2) {
		if e := o.told(); e.Kind != carobpulley.KindUnknown || e.NotRun || c.starts.with(payload) != 1 {
			t.Errorf("%s: %v, %d starts", payload, o.err, c.starts.with(payload))
		}
	}
	a := <-answer
	if a.Outcome != carobpulley.OutcomeFailed || a.Err == nil || a.Err.Kind != carobpulley.KindUnknown {
		t.Errorf("outcome %s, %v; want failed as unknown", a.Outcome, a.Err)
	}
	close(c.starts.release)
	c.runKeys("after", 3, 5)
	c.starts.checkOnce(t)
}

// Guards against a request that is called not run and starts in the domain that
// is taken out, or starts a second time elsewhere.
func TestNonIdempotentDomainOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 100*time.Millisecond)
	c.settle()
	out := c.callAll("confirm", "out-", 300, 30*time.Second)
	c.awaitStart("out-0")
	c.publish("out", 1, fmt.Sprintf(document, false))
	all := c.collect(out, 300)
	c.runKeys("after", 3, 20)
	c.checkRequests(all)
	done := 0
	for payload, o := range all {
		e := o.told()
		switch {
		case o.err == nil:
			done++
		case !e.NotRun:
			t.Errorf("%s: %v; every agent can be asked", payload, o.err)
		}
	}
	if done == 0 {
		t.Error("no request ran")
	}
}

// Guards against a request that is called not run at the entry's deadline and
// starts after it, and against one that starts after its deadline.
func TestNonIdempotentDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 150*time.Millisecond)
	c.settle()
	out := c.callAll("confirm", "late-", 600, 500*time.Millisecond)
	all := c.collect(out, 600)
	c.runKeys("after", 3, 60)
	c.checkRequests(all)
	notRun := 0
	for payload, o := range all {
		e := o.told()
		if e.NotRun {
			notRun++
		}
		if o.err != nil && !e.NotRun && c.starts.with(payload) == 0 {
			t.Errorf("%s: %v; it did not start and every agent can be asked", payload, o.err)
		}
	}
	if notRun == 0 || notRun == 600 {
		t.Errorf("%d of 600 requests did not run; the test wants both", notRun)
	}
}

// Guards against a retried request that waits for a place at its deadline and
// is called not run although its first attempt started.
func TestRetryWaitsPastTheDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	c.fillBudget()
	first, second := c.failThenHold(c.ctx)
	o := <-first
	if e := o.told(); e.NotRun || e.Kind != carobpulley.KindDeadline || c.starts.with(o.payload) != 1 {
		t.Errorf("%s: %v, started %d times", o.payload, o.err, c.starts.with(o.payload))
	}
	close(c.starts.release)
	<-second
}

// Guards against a call that never returns because its caller left during an
// attempt, and the retry waits for a place past the deadline. A stopping entry
// would wait for it until its limit.
func TestCallerLeavesBeforeARetry(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	c.fillBudget()
	ctx, cancel := context.WithCancel(c.ctx)
	first, second := c.failThenHold(ctx)
	cancel()
	select {
	case o := <-first:
		if o.told().NotRun && c.starts.with(o.payload) != 0 {
			t.Errorf("%s is called not run and started", o.payload)
		}
	case <-c.ctx.Done():
		t.Error("the call did not return")
	}
	close(c.starts.release)
	<-second
}

// fillBudget sends enough requests to allow one retry.
func (c *cluster) fillBudget() {
	c.t.Helper()
	for i := range 20 {
		r := request("single", fmt.Sprintf("budget-%d", i), 10*time.Second)
		if _, err := c.entries["entry-1"].Call(c.ctx, r); err != nil {
			c.t.Fatal(err)
		}
	}
}

// failThenHold sends a request that fails, and behind it one that takes the
// only place of their service until it is released.
func (c *cluster) failThenHold(ctx context.Context) (first, second <-chan outcome) {
	call := func(ctx context.Context, r api.Request) <-chan outcome {
		out := make(chan outcome, 1)
		go func() {
			k, err := c.entries["entry-1"].Call(ctx, r)
			out <- outcome{payload: string(r.Payload), task: k, err: err}
		}()
		return out
	}
	first = call(ctx, request("single", slowly+"first", 2*time.Second))
	c.awaitStart(slowly + "first")
	second = call(c.ctx, request("single", holding+"second", time.Minute))
	return first, second
}

// Guards against idempotent requests that exceed the retry budget, or that are
// not tried again within it when their agent is gone.
func TestIdempotentRetriesWithinBudget(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	const n, failed = 100, 40
	all := c.collect(c.callAll("check", "good-", n, 20*time.Second), n)
	c.checkRequests(all)
	out := c.callAll("check", failing+"bad-", failed, 20*time.Second)
	starts := 0
	for payload, o := range c.collect(out, failed) {
		starts += c.starts.with(payload)
		if e := o.told(); e.Kind != carobpulley.KindFailed || e.NotRun {
			t.Errorf("%s: %v", payload, o.err)
		}
	}
	retries := starts - failed
	if retries == 0 || retries > (n+failed)/10 {
		t.Errorf("%d retries of %d requests, at most a tenth are allowed", retries, n+failed)
	}
}
