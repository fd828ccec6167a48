package entry_test

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"carobpulley"
)

// Guards against a task that starts although its job was cancelled before, one
// that runs on at the endpoint, and an answer that does not say which.
func TestCancelOneJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	const key, tasks = "one", 100
	if _, err := c.entries["entry-1"].Submit(c.ctx, holdSpec(key, tasks), false); err != nil {
		t.Fatal(err)
	}
	c.awaitStart(holding + key + "/0")
	id := carobpulley.JobID{Member: "rentals", Key: key}
	if _, err := c.entries["entry-2"].Cancel(c.ctx, id); err != nil {
		t.Fatal(err)
	}
	a, err := c.entries["entry-3"].Lookup(c.ctx, id, true)
	if err != nil || a.Outcome != carobpulley.OutcomeFailed || !a.Cancelled {
		t.Errorf("outcome %s, cancelled %t, %v", a.Outcome, a.Cancelled, err)
	}
	c.runKeys("after", 3, 60)
	stopped, notRun := c.countCancelled(a)
	if stopped == 0 || notRun == 0 || stopped+notRun != tasks {
		t.Errorf("%d stopped and %d not run of %d", stopped, notRun, tasks)
	}
	c.starts.checkOnce(t)
}

// Guards against a task that runs on because the message that cancels it was lost.
func TestCancelIsSentAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	const key, tasks = "again", 6
	if _, err := c.entries["entry-1"].Submit(c.ctx, holdSpec(key, tasks), false); err != nil {
		t.Fatal(err)
	}
	for i := range tasks {
		c.awaitStart(fmt.Sprintf("%s%s/%d", holding, key, i))
	}
	for _, h := range c.hosts {
		h.lostCancels.Store(1)
	}
	id := carobpulley.JobID{Member: "rentals", Key: key}
	if _, err := c.entries["entry-2"].Cancel(c.ctx, id); err != nil {
		t.Fatal(err)
	}
	a, err := c.entries["entry-3"].Lookup(c.ctx, id, true)
	if err != nil || a.Outcome != carobpulley.OutcomeFailed {
		t.Errorf("outcome %s, %v", a.Outcome, err)
	}
	if stopped, _ := c.countCancelled(a); stopped != tasks {
		t.Errorf("%d stopped of %d", stopped, tasks)
	}
}

// countCancelled checks the phases of a cancelled job of held tasks against the
// endpoints' record, and counts them. A task whose request was closed on its way
// is called stopped although the endpoint may not have seen it.
func (c *cluster) countCancelled(a carobpulley.Answer) (stopped, notRun int) {
	c.t.Helper()
	for _, k := range a.Tasks {
		started := c.starts.of(a.ID.Key, k.Index)
		c.starts.mu.Lock()
		closed := c.starts.closed[fmt.Sprintf("rentals/%s#%d", a.ID.Key, k.Index)]
		c.starts.mu.Unlock()
		switch {
		case k.Phase == carobpulley.PhaseNotRun && started == 0:
			notRun++
		case k.Phase == carobpulley.PhaseStopped && started <= 1 && closed == started:
			stopped++
		default:
			c.t.Errorf("%s task %d is %s, started %d times, its request was closed %d times",
				a.ID.Key, k.Index, k.Phase, started, closed)
		}
	}
	return stopped, notRun
}

// Guards against a wave of cancellations in which a task that was queued
// starts, or one that runs is not stopped.
//
// It does not run beside other tests, since its load could take an entry's
// authority away for want of processor time.
func TestCancelWave(t *testing.T) {
	c := newCluster(t, 20*time.Millisecond)
	c.settle()
	const jobs, tasks = 1000, 100
	c.submitWave("wave", jobs, tasks)
	for c.starts.total() == 0 && c.ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	answers := c.cancelWave("wave", jobs)
	c.runKeys("after", 3, 60)
	stopped, notRun := 0, 0
	for _, a := range answers {
		s, n := c.countCancelled(a)
		stopped, notRun = stopped+s, notRun+n
	}
	if stopped == 0 || stopped+notRun != jobs*tasks {
		t.Errorf("%d stopped and %d not run of %d", stopped, notRun, jobs*tasks)
	}
	c.starts.checkOnce(t)
}

// total returns the number of tasks that started.
func (s *starts) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at)
}

// waveClients is the number of callers of a wave.
const waveClients = 32

// each calls f for the numbers below n from waveClients goroutines.
func each(n int, f func(i int)) {
	var wg sync.WaitGroup
	for k := range waveClients {
		wg.Go(func() {
			for i := k; i < n; i += waveClients {
				f(i)
			}
		})
	}
	wg.Wait()
}

func (c *cluster) submitWave(prefix string, jobs, tasks int) {
	c.t.Helper()
	each(jobs, func(i int) {
		key := fmt.Sprintf("%s-%d", prefix, i)
		if _, err := c.entries[fmt.Sprintf("entry-%d", i%3+1)].Submit(c.ctx, holdSpec(key, tasks), false); err != nil {
			c.t.Errorf("%s: %v", key, err)
		}
	})
}

// cancelWave cancels all jobs and returns their final answers.
func (c *cluster) cancelWave(prefix string, jobs int) []carobpulley.Answer {
	c.t.Helper()
	answers := make([]carobpulley.Answer, jobs)
	each(jobs, func(i int) {
		id := carobpulley.JobID{Member: "rentals", Key: fmt.Sprintf("%s-%d", prefix, i)}
		if _, err := c.entries[fmt.Sprintf("entry-%d", (i+1)%3+1)].Cancel(c.ctx, id); err != nil {
			c.t.Errorf("%s: %v", id.Key, err)
		}
	})
	each(jobs, func(i int) {
		id := carobpulley.JobID{Member: "rentals", Key: fmt.Sprintf("%s-%d", prefix, i)}
		a, err := c.entries[fmt.Sprintf("entry-%d", i%3+1)].Lookup(c.ctx, id, true)
		if err != nil || a.Outcome == carobpulley.OutcomeRunning {
			c.t.Errorf("%s: outcome %s, %v", id.Key, a.Outcome, err)
		}
		answers[i] = a
	})
	return answers
}

// BenchmarkCancelWave measures the processor time of the whole process per
// cancelled task: three entries with their inner messages and journals, the
// reads of the answers, and the few agents that run tasks. A cost per task that
// grows with the number of jobs is a fault.
func BenchmarkCancelWave(b *testing.B) {
	for _, jobs := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			const tasks = 100
			c := newCluster(b, 20*time.Millisecond)
			c.settle()
			var used time.Duration
			for n := range b.N {
				prefix := fmt.Sprintf("wave%d", n)
				c.submitWave(prefix, jobs, tasks)
				runtime.GC()
				before := processorTime(b)
				c.cancelWave(prefix, jobs)
				used += processorTime(b) - before
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N*jobs*tasks), "cpu-µs/task")
		})
	}
}

// processorTime is the user and system time of this process.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
