package entry_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/api"
	"carobpulley/conf"
	"carobpulley/memlog"
	"carobpulley/oper"
)

// runJobs submits each of n jobs through two entries and checks that both get the
// same complete answer.
func (c *cluster) runJobs(prefix string, n, tasks int) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			key := fmt.Sprintf("%s-%d", prefix, i)
			var got [2]carobpulley.Answer
			var both sync.WaitGroup
			for k := range got {
				both.Go(func() {
					name := fmt.Sprintf("entry-%d", (i+k)%3+1)
					a, err := c.entries[name].Submit(c.ctx, spec(key, tasks), true)
					if err != nil || a.Outcome != carobpulley.OutcomeComplete {
						c.t.Errorf("%s through %s: outcome %s, %v, %v", key, name, a.Outcome, a.Err, err)
					}
					got[k] = a
				})
			}
			both.Wait()
			if diff := cmp.Diff(results(got[0]), results(got[1])); diff != "" {
				c.t.Errorf("%s: %s", key, diff)
			}
		})
	}
	wg.Wait()
}

// awaitOwners waits until every shard has an active owner, as seen by entry-1.
func (c *cluster) awaitOwners() {
	c.t.Helper()
	for c.ctx.Err() == nil {
		active := 0
		for _, s := range c.entries["entry-1"].Status().Shards {
			if s.Active {
				active++
			}
		}
		if active == carobpulley.Shards {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("some shards have no owner")
}

// keysOwnedBy returns n keys whose shards an entry owns.
func (c *cluster) keysOwnedBy(owner, prefix string, n int) []string {
	c.t.Helper()
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("%s-%d", prefix, i)
		if c.ownerOf(key) == owner {
			keys = append(keys, key)
		}
	}
	return keys
}

// otherEntry returns an entry other than the victim.
func (c *cluster) otherEntry(victim string) *node {
	for name, n := range c.entries {
		if name != victim {
			return n
		}
	}
	return nil
}

// Guards against three failures while the log is down: running entries stop
// serving, a configuration change is accepted, or keys of an owner that is killed
// meanwhile are reported as not run although that owner may have started them.
func TestLogDownAfterTheStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		c.runJobs("before", 3, 10)
		c.log.SetFaults(memlog.Faults{Outage: true})
		c.runJobs("during", 20, 20)
		for i := range 10 {
			payload := fmt.Sprintf("van-%d", i)
			k, err := c.entries[fmt.Sprintf("entry-%d", i%3+1)].Call(c.ctx, request("confirm", payload, 10*time.Second))
			if err != nil || string(k.Result) != payload || c.starts.payloadStarts(payload) != 1 {
				t.Errorf("request %s: result %q, %v, %d starts", payload, k.Result, err, c.starts.payloadStarts(payload))
			}
		}
		c.cancelAndCheck("cancelled-during")
		c.checkChangeRefused()

		victim := c.ownerOf("dies-0")
		keys := c.keysOwnedBy(victim, "dies", 6)
		held, fresh := keys[:3], keys[3:]
		n := c.otherEntry(victim)
		for _, key := range held {
			if _, err := n.Submit(c.ctx, holdSpec(key, 4), false); err != nil {
				t.Errorf("%s: %v", key, err)
			}
			c.awaitStart(holdPayload + key + "/0")
		}
		c.entries[victim].kill()
		var wg sync.WaitGroup
		for _, key := range keys {
			wg.Go(func() {
				s := spec(key, 4)
				if key == held[0] || key == held[1] || key == held[2] {
					s = holdSpec(key, 4)
				}
				a, err := n.Submit(c.ctx, s, true)
				var e *carobpulley.Error
				if !errors.As(err, &e) || e.Kind != carobpulley.KindUnavailable || e.NotRun {
					t.Errorf("%s of the killed owner: outcome %q, %v", key, a.Outcome, err)
				}
			})
		}
		wg.Wait()
		for _, key := range fresh {
			if got := c.starts.taskStarts(key, 0); got != 0 {
				t.Errorf("%s was answered unavailable and started %d times without an owner", key, got)
			}
		}

		c.log.SetFaults(memlog.Faults{Delay: 3 * time.Millisecond})
		close(c.starts.release)
		for _, key := range held {
			wg.Go(func() { c.mustComplete(n, holdSpec(key, 4)) })
		}
		for _, key := range fresh {
			wg.Go(func() { c.mustComplete(n, spec(key, 4)) })
		}
		wg.Wait()
		c.starts.checkNoRepeats(t)
	})
}

// mustComplete retries a submission until the key's shard has an owner again, and
// checks the answer against the record of starts.
func (c *cluster) mustComplete(n *node, s carobpulley.JobSpec) {
	for c.ctx.Err() == nil {
		a, err := n.Submit(c.ctx, s, true)
		var e *carobpulley.Error
		if errors.As(err, &e) && e.Kind == carobpulley.KindUnavailable && !e.NotRun {
			continue
		}
		checkAnswer(c.t, c, s.ID.Key, a)
		if err != nil || a.Outcome != carobpulley.OutcomeComplete {
			c.t.Errorf("%s: outcome %q, %v, %v", s.ID.Key, a.Outcome, a.Err, err)
		}
		return
	}
	c.t.Errorf("%s got no answer", s.ID.Key)
}

// cancelAndCheck cancels a job of which some tasks have started and checks the
// answer.
func (c *cluster) cancelAndCheck(key string) {
	c.t.Helper()
	n := c.entries["entry-1"]
	if _, err := n.Submit(c.ctx, holdSpec(key, 100), false); err != nil {
		c.t.Fatal(err)
	}
	c.awaitStart(holdPayload + key + "/0")
	if _, err := n.Cancel(c.ctx, carobpulley.JobID{Member: "rentals", Key: key}); err != nil {
		c.t.Error(err)
	}
	a, err := n.Lookup(c.ctx, carobpulley.JobID{Member: "rentals", Key: key}, true)
	if err != nil || a.Outcome != carobpulley.OutcomeFailed {
		c.t.Errorf("%s: outcome %q, %v", key, a.Outcome, err)
	}
	checkAnswer(c.t, c, key, a)
}

// checkChangeRefused checks that no entry accepts a change while the log is down.
func (c *cluster) checkChangeRefused() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	for name, n := range c.entries {
		a := n.Publish(ctx, conf.Change{
			ID:       "outage-" + name,
			Base:     1,
			Author:   "test",
			Time:     time.Now(),
			Document: fmt.Appendf(nil, document, false),
		})
		if a.Outcome == oper.OutcomeAccepted {
			c.t.Errorf("%s accepted a change without the log", name)
		}
		if v := n.Catalogue().Version; v != 1 {
			c.t.Errorf("%s is at version %d", name, v)
		}
	}
}

// awaitStart waits until a payload has started. A request that is answered without a start fails
// the test with its answer.
func (c *cluster) awaitStart(payload string) {
	c.t.Helper()
	for c.starts.payloadStarts(payload) == 0 {
		if err, answered := c.starts.answer(payload); answered && c.starts.payloadStarts(payload) == 0 {
			c.t.Fatalf("%s did not start, it was answered: %v", payload, err)
		}
		if c.ctx.Err() != nil {
			c.t.Fatalf("%s did not start", payload)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitAnyStart waits until a payload with the prefix has started. Single requests may be refused
// before their start while the endpoints are busy.
func (c *cluster) awaitAnyStart(prefix string) {
	c.t.Helper()
	for !c.starts.anyStart(prefix) {
		if c.ctx.Err() != nil {
			c.t.Fatalf("no request %s started", prefix)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// holdSpec returns a job whose tasks the endpoints hold until they are released.
func holdSpec(key string, tasks int) carobpulley.JobSpec {
	s := spec(key, tasks)
	for i := range s.Payloads {
		s.Payloads[i] = fmt.Appendf(nil, "%s%s/%d", holdPayload, key, i)
	}
	s.Deadline = time.Now().Add(time.Minute)
	return s
}

func request(service, payload string, timeout time.Duration) api.Request {
	return api.Request{
		Member:        "rentals",
		Service:       service,
		Payload:       []byte(payload),
		NonIdempotent: service == "confirm",
		Deadline:      time.Now().Add(timeout),
	}
}

// Guards against a takeover, a configuration change or a job that is lost or
// applied twice when the log's appends take 500 ms or its answers are lost.
func TestLogSlowOrUnanswered(t *testing.T) {
	for name, faults := range map[string]memlog.Faults{
		"slow":         {Delay: 500 * time.Millisecond},
		"answers lost": {Delay: 3 * time.Millisecond, LostAnswers: -1},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 20*time.Millisecond)
				c.awaitOwners()
				c.log.SetFaults(faults)
				c.runJobs("before", 20, 20)
				c.publish("out", 1, fmt.Sprintf(document, false))
				c.publish("in", 2, fmt.Sprintf(document, true))
				victim := c.ownerOf("dies-0")
				keys := c.keysOwnedBy(victim, "dies", 6)
				n := c.otherEntry(victim)
				var wg sync.WaitGroup
				for _, key := range keys {
					wg.Go(func() { c.mustComplete(n, spec(key, 40)) })
				}
				c.awaitStart(keys[0] + "/0")
				c.entries[victim].kill()
				wg.Wait()
				delete(c.entries, victim)
				for name, n := range c.entries {
					if v := n.Catalogue().Version; v != 3 {
						t.Errorf("%s is at version %d after two changes", name, v)
					}
				}
				c.starts.checkNoRepeats(t)
			})
		})
	}
}

// Guards against a job that is not started before its deadline because the message
// to its witness was lost while the log, the other possible backup holder of the
// claim, was down.
func TestWitnessLostWhileTheLogIsDown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		c.log.SetFaults(memlog.Faults{Outage: true})
		for _, s := range c.servers {
			s.dropWitness.Store(2)
		}
		name := c.ownerOf("lost")
		a, err := c.entries[name].Submit(c.ctx, spec("lost", 10), true)
		if err != nil || a.Outcome != carobpulley.OutcomeComplete {
			t.Errorf("outcome %s, %v, %v", a.Outcome, a.Err, err)
		}
		c.starts.checkNoRepeats(t)
	})
}
