package jobs

import (
	"math"
	"testing"
	"time"

	"carobpulley/work"
)

// runTimes plays the endpoints of a fixture: each run ends after its own time, or with its stop.
type runTimes struct {
	*fixture
	// took returns how long a run takes at an agent's endpoint.
	took func(agent string, s work.Start) time.Duration
	// begun holds the times at which the runs have begun, and seen how many starts and stops of each agent were handled.
	begun     map[work.Run]time.Time
	running   map[string][]work.Start
	seen      map[string]int
	stopsSeen map[string]int
	sequence  int64
	// stops and wasted hold the number of stopped runs and their time, by job.
	stops  map[string]int
	wasted map[string]time.Duration
	// done holds the times at which jobs were done.
	done map[string]time.Time
	// idleSince holds the time since which a job has no run, zero while it has one, and idle the longest time in
	// which a job that was not done had none.
	idleSince map[string]time.Time
	idle      time.Duration
}

func newRunTimes(f *fixture, took func(agent string, s work.Start) time.Duration) *runTimes {
	return &runTimes{
		fixture: f, took: took, begun: map[work.Run]time.Time{}, running: map[string][]work.Start{}, seen: map[string]int{},
		stopsSeen: map[string]int{}, stops: map[string]int{}, wasted: map[string]time.Duration{}, done: map[string]time.Time{}, idleSince: map[string]time.Time{},
	}
}

// submitDurable submits and stores a job.
func (r *runTimes) submitDurable(j *work.Job) {
	r.t.Helper()
	if status := r.submit(j); status != SubmitPending {
		r.t.Fatalf("job %s: status %d", j.ID, status)
	}
	r.commit()
	r.idleSince[j.ID] = r.now
}

// play moves the clock on until all submitted jobs are done, at most for a time.
func (r *runTimes) play(limit time.Duration) {
	r.t.Helper()
	const step = 20 * time.Millisecond
	for until := r.now.Add(limit); r.now.Before(until) && len(r.done) < len(r.idleSince); {
		r.now = r.now.Add(step)
		for _, name := range r.agents {
			r.report(name, r.endsAt(name)...)
		}
		r.table.Tick(r.now)
		r.prove()
		for r.table.HasUnstoredChanges(0) {
			r.commit()
		}
		for id, at := range r.idleSince {
			if r.done[id].IsZero() && !at.IsZero() {
				r.idle = max(r.idle, r.now.Sub(at))
			}
		}
	}
}

// endsAt returns the ends of an agent's runs since the last call.
func (r *runTimes) endsAt(name string) []work.End {
	for _, s := range r.started[name][r.seen[name]:] {
		r.running[name] = append(r.running[name], s)
		r.begun[s.Run] = r.now
		r.idleSince[work.JobOfTask(s.Run.Task)] = time.Time{}
	}
	r.seen[name] = len(r.started[name])
	stopped := map[work.Run]bool{}
	for _, run := range r.stopped[name][r.stopsSeen[name]:] {
		stopped[run] = true
	}
	r.stopsSeen[name] = len(r.stopped[name])
	ends := make([]work.End, 0, len(r.running[name]))
	remaining := r.running[name][:0]
	for _, s := range r.running[name] {
		took, id := r.now.Sub(r.begun[s.Run]), work.JobOfTask(s.Run.Task)
		outcome := work.OutcomeDone
		switch {
		case stopped[s.Run]:
			outcome = work.OutcomeStopped
			r.stops[id]++
			r.wasted[id] += took
		case took >= r.took(name, s):
			r.done[id] = r.now
		default:
			remaining = append(remaining, s)
			continue
		}
		r.idleSince[id] = r.now
		r.sequence++
		ends = append(ends, work.End{Sequence: r.sequence, Run: s.Run, Outcome: outcome, ElapsedMS: took.Milliseconds()})
	}
	r.running[name] = remaining
	return ends
}

// timesEstimate returns run times of a multiple of the estimate for jobs that a function names, and of the estimate for others.
func timesEstimate(k float64, long func(id string) bool) func(string, work.Start) time.Duration {
	return func(_ string, s work.Start) time.Duration {
		const estimate = 200 * time.Millisecond
		if long(work.JobOfTask(s.Run.Task)) {
			return time.Duration(k * float64(estimate))
		}
		return estimate
	}
}

func checkEnded(t *testing.T, r *runTimes) {
	t.Helper()
	if len(r.done) < len(r.idleSince) {
		t.Fatalf("%d of %d jobs are done, stops %v", len(r.done), len(r.idleSince), r.stops)
	}
	if r.idle >= 3*time.Second {
		t.Errorf("a job had nothing running for %s beside free capacity, want less than 3 s", r.idle)
	}
}

// Guards against tasks that take far longer than estimated and never end, since each run of them is stopped after
// the same time, and against endpoints that count as unhealthy and stand idle because of them (review/12).
func TestOverlongTasksEnd(t *testing.T) {
	for _, k := range []float64{6.5, 20, 100, 1000} {
		f := newOwner(t, 6)
		long := map[string]bool{}
		r := newRunTimes(f, timesEstimate(k, func(id string) bool { return long[id] }))
		for n := range 60 {
			j := testJob(n, 1, false)
			long[j.ID] = n%6 == 0
			r.submitDurable(j)
		}
		own := time.Duration(k * 200 * float64(time.Millisecond))
		r.play(6 * own)
		checkEnded(t, r)
		for id := range long {
			if got, limit := r.stops[id], 2+int(math.Ceil(math.Log2(k/overdueFactor))); long[id] && got > limit {
				t.Errorf("k %.1f: job %s was stopped %d times, want at most %d", k, id, got, limit)
			}
			if got := r.wasted[id]; got > 2*own {
				t.Errorf("k %.1f: stopped runs of job %s took %s, want at most twice its own %s", k, id, got, own)
			}
		}
		for _, name := range f.agents {
			if f.table.agents[name].probing {
				t.Errorf("k %.1f: %s counts as unhealthy after runs that were in time", k, name)
			}
		}
	}
}

// Guards against a service that stops working because the estimates of all of its tasks are far too low.
func TestAllTasksOverlong(t *testing.T) {
	for _, agents := range []int{1, 2, 5} {
		r := newRunTimes(newOwner(t, agents), timesEstimate(20, func(string) bool { return true }))
		for n := range 8 * agents {
			r.submitDurable(testJob(n, 1, false))
		}
		r.play(30 * time.Second)
		checkEnded(t, r)
	}
}

// Guards against an endpoint at which tasks stand still and that goes on getting work, since its runs are taken for
// overlong tasks.
func TestEndpointAtWhichTasksStandStillIsLeft(t *testing.T) {
	r := newRunTimes(newOwner(t, 4), func(agent string, s work.Start) time.Duration {
		if agent == "h0" {
			return time.Hour
		}
		return 200 * time.Millisecond
	})
	for n := range 200 {
		r.submitDurable(testJob(n, 1, false))
		r.play(20 * time.Millisecond)
	}
	r.play(10 * time.Second)
	checkEnded(t, r)
	firstStop := overdueFactor*200*time.Millisecond + overdueMargin
	for id, wasted := range r.wasted {
		if wasted > firstStop+100*time.Millisecond {
			t.Errorf("job %s stood still for %s, want at most %s", id, wasted, firstStop)
		}
	}
	if !r.table.agents["h0"].probing {
		t.Error("h0 counts as healthy")
	}
}

// Guards against an owner that gives the runs of an overlong task the time of a first run again.
func TestOverdueRunsAreKnownToTheNextOwner(t *testing.T) {
	r := newRunTimes(newOwner(t, 3), timesEstimate(1000, func(string) bool { return true }))
	j := testJob(1, 1, false)
	r.submitDurable(j)
	r.play(12 * time.Second) // 1.7 s, 1.7 s and 3.4 s pass until its third stop
	before := r.stops[j.ID]
	next := newRunTimes(successor(t, r.fixture, 2), r.took)
	for _, name := range next.agents {
		next.attachTo(name, nil)
	}
	next.prove()
	next.idleSince[j.ID] = next.now
	next.play(1600 * time.Second)
	checkEnded(t, next)
	if got := before + next.stops[j.ID]; got > 10 {
		t.Errorf("%d stops under two owners, want at most 10", got)
	}
}

// Guards against endpoints that count as unhealthy while they run other tasks in time, since overlong tasks of
// several jobs become overdue there together (review/12).
func TestEndpointThatWorksStaysHealthy(t *testing.T) {
	long := map[string]bool{}
	r := newRunTimes(newOwner(t, 3), timesEstimate(20, func(id string) bool { return long[id] }))
	for n := range 200 {
		j := testJob(n, 1, false)
		long[j.ID] = n < 12
		r.submitDurable(j)
		if long[j.ID] {
			continue
		}
		r.play(20 * time.Millisecond)
		for _, name := range r.agents {
			if r.table.agents[name].probing {
				t.Fatalf("%s counts as unhealthy %s after the first job", name, r.now.Sub(testStart))
			}
		}
	}
	r.play(10 * time.Second)
	checkEnded(t, r)
}

// Guards against a failed run that no longer counts against its endpoint, since another task of its job that was
// overdue there is overlong.
func TestFailureOutlastsWithdrawnBlame(t *testing.T) {
	f := newOwner(t, 2)
	f.submit(testJob(1, 2, false))
	f.commit()
	a, tasks := f.table.agents["h0"], f.table.jobs[testJob(1, 2, false).ID].tasks[0]
	f.table.recordFailure(f.now, a, &tasks[0], false)
	f.table.recordFailure(f.now, a, &tasks[1], true)
	tasks[1].blamed = a
	f.table.withdrawBlame(&tasks[1])
	if len(a.failedJobs) != 1 {
		t.Errorf("jobs with failures %v, want the one whose other task has failed", a.failedJobs)
	}
}
