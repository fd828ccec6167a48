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

// Guards against a task that starts after its job was cancelled, a started task that
// is not stopped at the endpoint, and an answer that does not distinguish the two.
func TestCancelOneJob(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		const key, tasks = "one", 100
		if _, err := c.entries["entry-1"].Submit(c.ctx, holdSpec(key, tasks), false); err != nil {
			t.Fatal(err)
		}
		c.awaitStart(holdPayload + key + "/0")
		id := carobpulley.JobID{Member: "rentals", Key: key}
		if _, err := c.entries["entry-2"].Cancel(c.ctx, id); err != nil {
			t.Fatal(err)
		}
		a, err := c.entries["entry-3"].Lookup(c.ctx, id, true)
		if err != nil || a.Outcome != carobpulley.OutcomeFailed || !a.Cancelled {
			t.Errorf("outcome %s, cancelled %t, %v", a.Outcome, a.Cancelled, err)
		}
		c.runJobs("after", 3, 60)
		stopped, notRun := c.countCancelled(a)
		if stopped == 0 || notRun == 0 || stopped+notRun != tasks {
			t.Errorf("%d stopped and %d not run of %d", stopped, notRun, tasks)
		}
		c.starts.checkNoRepeats(t)
	})
}

// Guards against a task that is not stopped because the message that cancels it was
// lost.
func TestCancelIsSentAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		const key, tasks = "again", 6
		if _, err := c.entries["entry-1"].Submit(c.ctx, holdSpec(key, tasks), false); err != nil {
			t.Fatal(err)
		}
		for i := range tasks {
			c.awaitStart(fmt.Sprintf("%s%s/%d", holdPayload, key, i))
		}
		for _, ag := range c.agents {
			ag.dropCancels.Store(1)
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
	})
}

// countCancelled checks the phases of a cancelled job of held tasks against the
// endpoints' record, and counts them. A task whose request was closed in transit is
// reported as stopped although it may not have reached the endpoint.
func (c *cluster) countCancelled(a carobpulley.Answer) (stopped, notRun int) {
	c.t.Helper()
	for _, k := range a.Tasks {
		started := c.starts.taskStarts(a.ID.Key, k.Index)
		c.starts.mu.Lock()
		closed := c.starts.closed[fmt.Sprintf("rentals/%s#%d", a.ID.Key, k.Index)]
		c.starts.mu.Unlock()
		switch {
		case k.Phase == carobpulley.PhaseNotRun && started == 0:
			notRun++
		case k.Phase == carobpulley.PhaseStopped && started <= 1 && closed == started:
			stopped++
		default:
			c.t.Errorf("%s task %d: phase %s, started %d times, request closed %d times",
				a.ID.Key, k.Index, k.Phase, started, closed)
		}
	}
	return stopped, notRun
}

// Guards against a mass cancellation in which a queued task starts or a running
// task is not stopped.
//
// It does not run in parallel with other tests, since its load could leave their
// entries too little CPU time to keep their authority.
func TestCancelWave(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 20*time.Millisecond)
		c.awaitOwners()
		const jobs, tasks = 1000, 100
		c.submitWave("wave", jobs, tasks)
		for c.starts.total() == 0 && c.ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
		}
		answers := c.cancelWave("wave", jobs)
		c.runJobs("after", 3, 60)
		stopped, notRun := 0, 0
		for _, a := range answers {
			s, n := c.countCancelled(a)
			stopped, notRun = stopped+s, notRun+n
		}
		if stopped == 0 || stopped+notRun != jobs*tasks {
			t.Errorf("%d stopped and %d not run of %d", stopped, notRun, jobs*tasks)
		}
		c.starts.checkNoRepeats(t)
	})
}

// total returns the number of tasks that started.
func (s *startRecorder) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byTask)
}

// waveClients is the number of concurrent callers in a mass cancellation.
const waveClients = 32

// forEach calls f for the numbers 0 to n-1 from waveClients goroutines.
func forEach(n int, f func(i int)) {
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
	forEach(jobs, func(i int) {
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
	forEach(jobs, func(i int) {
		id := carobpulley.JobID{Member: "rentals", Key: fmt.Sprintf("%s-%d", prefix, i)}
		if _, err := c.entries[fmt.Sprintf("entry-%d", (i+1)%3+1)].Cancel(c.ctx, id); err != nil {
			c.t.Errorf("%s: %v", id.Key, err)
		}
	})
	forEach(jobs, func(i int) {
		id := carobpulley.JobID{Member: "rentals", Key: fmt.Sprintf("%s-%d", prefix, i)}
		a, err := c.entries[fmt.Sprintf("entry-%d", i%3+1)].Lookup(c.ctx, id, true)
		if err != nil || a.Outcome == carobpulley.OutcomeRunning {
			c.t.Errorf("%s: outcome %s, %v", id.Key, a.Outcome, err)
		}
		answers[i] = a
	})
	return answers
}

// BenchmarkCancelWave measures the CPU time of the whole process per cancelled
// task: three entries with their internal messages and journals, the reads of the
// answers, and the few agents that run tasks. The cost per task must not grow with
// the number of jobs.
func BenchmarkCancelWave(b *testing.B) {
	for _, jobs := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			const tasks = 100
			c := newClusterWith(b, options{runTime: 20 * time.Millisecond, endpoints: 6, net: loopback(b)})
			c.awaitOwners()
			var used time.Duration
			for n := range b.N {
				prefix := fmt.Sprintf("wave%d", n)
				c.submitWave(prefix, jobs, tasks)
				runtime.GC()
				before := cpuTime(b)
				c.cancelWave(prefix, jobs)
				used += cpuTime(b) - before
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N*jobs*tasks), "cpu-µs/task")
		})
	}
}

// cpuTime returns the user and system time of this process.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
