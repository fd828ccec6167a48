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
)

// Guards against a resubmission through another entry that starts tasks again
// or gets a different answer, and against a used key that runs a different body.
func TestSameKeyThroughEveryEntry(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		answers := make(map[string]carobpulley.Answer)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for name, n := range c.entries {
			wg.Go(func() {
				a, err := n.Submit(c.ctx, spec("same", 40), true)
				if err != nil {
					t.Errorf("%s: %v", name, err)
				}
				mu.Lock()
				defer mu.Unlock()
				answers[name] = a
			})
		}
		wg.Wait()
		first := answers["entry-1"]
		if first.Outcome != carobpulley.OutcomeComplete || len(first.Tasks) != 40 {
			t.Fatalf("outcome %s with %d tasks", first.Outcome, len(first.Tasks))
		}
		for i, k := range first.Tasks {
			if diff := cmp.Diff(fmt.Sprintf("same/%d", i), string(k.Result)); diff != "" {
				t.Error(diff)
			}
		}
		for name, a := range answers {
			if diff := cmp.Diff(results(first), results(a)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
		_, err := c.entries["entry-2"].Submit(c.ctx, spec("same", 41), true)
		var e *carobpulley.Error
		if !errors.As(err, &e) || e.Kind != carobpulley.KindConflict || e.NotRun {
			t.Errorf("submission of another body under the key: %v", err)
		}
		if n := c.starts.taskStarts("same", 40); n != 0 {
			t.Errorf("the task of the rejected body started %d times", n)
		}
		c.starts.checkNoRepeats(t)
	})
}

func results(a carobpulley.Answer) []string {
	out := make([]string, len(a.Tasks))
	for i, k := range a.Tasks {
		out[i] = string(k.Result)
	}
	return out
}

// Guards against a task that starts again under a new owner, and against an answer
// that is lost when the owner is killed although another entry holds the claim.
func TestOwnerIsKilled(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 300*time.Millisecond)
		killOwner(t, c)
	})
}

// Guards against jobs that fail as unknown after a takeover because an agent
// announced its departure before they were submitted.
func TestOwnerIsKilledAfterDeparture(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 300*time.Millisecond)
		c.ownerOf("kill-0")
		c.agents[5].leave(c.ctx)
		killOwner(t, c)
	})
}

// killOwner kills the owner of running jobs and checks that the jobs complete.
func killOwner(t *testing.T, c *cluster) {
	t.Helper()
	victim := c.ownerOf("kill-0")
	var keys []string
	for i := 0; len(keys) < 4; i++ {
		key := fmt.Sprintf("kill-%d", i)
		if c.ownerOf(key) == victim {
			keys = append(keys, key)
		}
	}
	answers := make([]carobpulley.Answer, len(keys))
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Go(func() {
			for name, n := range c.entries {
				if name == victim {
					continue
				}
				a, err := n.Submit(c.ctx, spec(key, 30), true)
				if err != nil {
					t.Errorf("%s: %v", key, err)
				}
				answers[i] = a
				return
			}
		})
	}
	for c.starts.taskStarts(keys[0], 0) == 0 && c.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	c.entries[victim].kill()
	wg.Wait()
	for i, a := range answers {
		checkAnswer(t, c, keys[i], a)
		if a.Outcome != carobpulley.OutcomeComplete {
			t.Errorf("%s: outcome %s, %v, although the receiver holds the claim and all agents are up", keys[i], a.Outcome, a.Err)
		}
	}
	c.starts.checkNoRepeats(t)
}

// checkAnswer compares an answer with the endpoints' record.
func checkAnswer(t testing.TB, c *cluster, key string, a carobpulley.Answer) {
	t.Helper()
	for _, k := range a.Tasks {
		n := c.starts.taskStarts(key, k.Index)
		switch {
		case k.Phase == carobpulley.PhaseNotRun && n > 0:
			t.Errorf("%s task %d is reported as not run but started", key, k.Index)
		case k.Phase == carobpulley.PhaseDone && n != 1:
			t.Errorf("%s task %d is reported as done but started %d times", key, k.Index, n)
		}
	}
}

// Guards against a drain that loses the answer of a running job or starts one of
// its tasks again, and against a handover that waits for reads of journals.
func TestOwnerDrains(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 200*time.Millisecond)
		victim := c.ownerOf("drain")
		c.blockingLog.blocked.Store(true)
		var answer carobpulley.Answer
		var err error
		var wg sync.WaitGroup
		wg.Go(func() { answer, err = c.entries[victim].Submit(c.ctx, spec("drain", 120), true) })
		for c.starts.taskStarts("drain", 0) == 0 && c.ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(c.ctx, 30*time.Second)
		defer cancel()
		c.entries[victim].Drain(ctx)
		if ctx.Err() != nil {
			t.Error("the drain did not complete in time")
		}
		wg.Wait()
		c.ownerOf("drain")
		if n := c.blockingLog.cancelled.Load(); n > 0 {
			t.Errorf("the new owner waited for %d reads of journals", n)
		}
		if err != nil || answer.Outcome != carobpulley.OutcomeComplete {
			t.Errorf("outcome %s, %v, %v", answer.Outcome, answer.Err, err)
		}
		checkAnswer(t, c, "drain", answer)
		c.starts.checkNoRepeats(t)
	})
}

// Guards against starts in a failure domain more than 3 s after the change that
// took it out of service was accepted.
func TestDomainOut(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.ownerOf("load-0")
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for name, n := range c.entries {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					key := fmt.Sprintf("load-%s-%d", name, i)
					if a, err := n.Submit(c.ctx, spec(key, 20), true); err != nil || a.Outcome != carobpulley.OutcomeComplete {
						t.Errorf("%s: outcome %s, %v", key, a.Outcome, err)
						return
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		for !c.starts.anyIn("d1") && c.ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		c.publish("out", 1, fmt.Sprintf(document, false))
		accepted := time.Now()
		time.Sleep(4 * time.Second)
		close(stop)
		wg.Wait()
		late := 0
		before := 0
		c.starts.mu.Lock()
		for _, list := range c.starts.byTask {
			for _, s := range list {
				switch {
				case s.domain == "d1" && s.at.After(accepted.Add(3*time.Second)):
					late++
				case s.domain == "d1" && s.at.Before(accepted):
					before++
				}
			}
		}
		c.starts.mu.Unlock()
		if late != 0 || before == 0 {
			t.Errorf("%d starts before the removal, %d later than 3 s after it", before, late)
		}
		c.starts.checkNoRepeats(t)
	})
}

// Guards against a non-idempotent request that is dispatched twice.
func TestNonIdempotentRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 10*time.Millisecond)
		c.ownerOf("any")
		c.awaitReady()
		for i := range 20 {
			n := c.entries[fmt.Sprintf("entry-%d", i%3+1)]
			k, err := n.Call(c.ctx, api.Request{
				Member:        "rentals",
				Service:       "confirm",
				Payload:       []byte("van"),
				NonIdempotent: true,
				Deadline:      time.Now().Add(10 * time.Second),
			})
			if err != nil || string(k.Result) != "van" {
				t.Errorf("result %q, %v", k.Result, err)
			}
		}
		c.starts.checkNoRepeats(t)
	})
}

// Guards against a status that never shows the configuration version of the agents,
// on which apply --wait depends.
func TestAgentsReportTheirVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 10*time.Millisecond)
		n := c.entries["entry-1"]
		for c.ctx.Err() == nil {
			s := n.Status()
			if len(s.Processes) == 9 && len(s.Behind(1)) == 0 {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Errorf("processes that have not reported version 1: %v", n.Status().Behind(1))
	})
}
