package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobpulley"
)

// alwaysHeld is a job table that counts every claim as held by a backup holder as
// soon as it is submitted.
type alwaysHeld struct {
	carobpulley.JobTable
}

// Step implements carobpulley.JobTable.
func (t alwaysHeld) Step(now time.Time, ev carobpulley.Event) []carobpulley.Action {
	out := t.JobTable.Step(now, ev)
	if s, ok := ev.(carobpulley.Submitted); ok {
		out = append(out, t.JobTable.Step(now, carobpulley.ClaimHeld{Job: s.Spec.ID})...)
	}
	return out
}

// BenchmarkKeyDecision measures the time from a submission to the first start,
// with three entries on loopback and a log that takes 3 ms per append. The
// receiver is the owner of the key or another entry. In the variant without a
// backup holder the owner starts tasks at once, which would lose keys together with
// their owner.
func BenchmarkKeyDecision(b *testing.B) {
	for _, backup := range []bool{true, false} {
		opts := options{endpoints: 6, net: loopback(b)}
		if !backup {
			opts.table = func(t carobpulley.JobTable) carobpulley.JobTable { return alwaysHeld{t} }
		}
		c := newClusterWith(b, opts)
		c.awaitOwners()
		for _, owner := range []bool{true, false} {
			for _, tasks := range []int{1, 20} {
				name := fmt.Sprintf("second_holder=%t/receiver_is_owner=%t/tasks=%d", backup, owner, tasks)
				prefix := fmt.Sprintf("%t-%t-%d", backup, owner, tasks)
				b.Run(name, func(b *testing.B) { c.measureDecision(b, prefix, owner, tasks) })
			}
		}
	}
}

// measureDecision submits one job per iteration and reports quantiles of the time
// to its first start.
func (c *cluster) measureDecision(b *testing.B, prefix string, owner bool, tasks int) {
	took := make([]time.Duration, 0, b.N)
	appends := c.log.Stats().Appends
	began := time.Now()
	for i := range b.N {
		key := fmt.Sprintf("%s-%d-%d", prefix, b.N, i)
		receiver := c.receiver(key, owner)
		sent := time.Now()
		a, err := receiver.Submit(c.ctx, spec(key, tasks), true)
		if err != nil || a.Outcome != carobpulley.OutcomeComplete {
			b.Fatalf("outcome %s, %v", a.Outcome, err)
		}
		took = append(took, c.starts.first(key, tasks).Sub(sent))
	}
	slices.Sort(took)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(ms(took[len(took)/2]), "p50_ms")
	b.ReportMetric(ms(took[len(took)*99/100]), "p99_ms")
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "jobs/s")
	b.ReportMetric(float64(c.log.Stats().Appends-appends)/seconds, "appends/s")
}

// receiver returns the owner of a key's shard, or another entry.
func (c *cluster) receiver(key string, owner bool) *node {
	name := c.ownerOf(key)
	if owner {
		return c.entries[name]
	}
	for other, n := range c.entries {
		if other != name {
			return n
		}
	}
	return nil
}

// first returns the time of the first start of any task of a job.
func (s *startRecorder) first(key string, tasks int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var at time.Time
	for i := range tasks {
		for _, st := range s.byTask[fmt.Sprintf("rentals/%s#%d", key, i)] {
			if at.IsZero() || st.at.Before(at) {
				at = st.at
			}
		}
	}
	return at
}
