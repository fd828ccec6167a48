package jobs

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against starts beyond an endpoint's capacity, and against tasks that wait
// although capacity has become free.
func TestRoom(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 9, true))
	if status := f.submit(testJob(2, 7, true)); status != SubmitPending {
		t.Fatalf("status %v of a job that can wait", status)
	}
	placed := f.started["h0"]
	if got, limit := len(placed), int((1+agentQueueShare)*64_000)/6000; got > limit {
		t.Fatalf("%d starts at once, want at most %d that fit or may wait", got, limit)
	}
	before := len(placed)
	f.report("h0", end(placed[0], 1, work.OutcomeDone))
	if got := len(f.started["h0"]); got != before+1 {
		t.Errorf("%d starts after one end, want %d", got, before+1)
	}
}

// Guards against a job that counts as completed before all its tasks have ended, and
// against a step that starts before the steps that it depends on are done.
func TestStepsInOrder(t *testing.T) {
	f := newOwner(t, 1)
	j := testJob(1, 2, true)
	j.Steps = append(j.Steps, work.Step{Count: 1, Resources: work.Resources{CPU: 1000}, EstimateMS: 50, After: []int{0}})
	f.submit(j)
	first := f.started["h0"]
	f.report("h0", end(first[0], 1, work.OutcomeDone))
	if got := f.startCount(); got != 2 {
		t.Fatalf("%d starts before the first step is done, want 2", got)
	}
	f.report("h0", end(first[1], 2, work.OutcomeDone))
	if got := f.startCount(); got != 3 {
		t.Fatalf("%d starts after the first step, want 3", got)
	}
	if r := f.table.Results(); len(r) != 0 {
		t.Errorf("results %v before the last task ended", r)
	}
	f.report("h0", end(f.started["h0"][2], 3, work.OutcomeDone))
	if diff := cmp.Diff([]BestEffortResult{{Job: j.ID, State: work.StateCompleted}}, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

// Guards against more failed runs than the queue allows, and against counting ends
// other than failures as attempts.
func TestAttempts(t *testing.T) {
	f := newOwner(t, 2)
	f.submit(testJob(1, 1, true))
	outcomes := []work.Outcome{work.OutcomeLeaseExpired, work.OutcomeFailed, work.OutcomeLost, work.OutcomeFailed}
	for i, outcome := range outcomes {
		if got := f.startCount(); got != i+1 {
			t.Fatalf("%d starts before end %d, want %d", got, i, i+1)
		}
		for name, starts := range f.started {
			last := starts[len(starts)-1]
			if last.Run.Number == int64(i+1) {
				f.report(name, end(last, int64(i+1), outcome))
				break
			}
		}
		f.advance(100 * time.Millisecond)
	}
	if diff := cmp.Diff([]BestEffortResult{{Job: testJob(1, 1, true).ID, State: work.StateFailed}}, f.table.Results()); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

// Guards against runs that continue after their caller has disconnected, and against
// reporting a started job as not started.
func TestAbandon(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 2, true))
	if f.table.Abandon(f.now, testJob(1, 2, true).ID, "left") {
		t.Error("reported as not started although it had started")
	}
	f.takeDispatches()
	if got := len(f.stopped["h0"]); got != 2 {
		t.Errorf("%d stops, want 2", got)
	}
	if r := f.table.Results(); len(r) != 0 {
		t.Errorf("results %v, want none", r)
	}
}

// Guards against an endpoint that fails all runs at once and gets ever more tasks
// because it is idle.
func TestUnhealthyEndpointGetsNoMoreWork(t *testing.T) {
	f := newOwner(t, 2)
	number := int64(0)
	served := 0
	for n := range 30 {
		f.submit(testJob(n, 1, true))
		f.now = f.now.Add(20 * time.Millisecond)
		for _, name := range f.agents {
			for _, s := range f.started[name] {
				number++
				outcome := work.OutcomeDone
				if name == "h0" {
					outcome = work.OutcomeFailed
				} else {
					served++
				}
				f.started[name] = nil
				f.report(name, end(s, number, outcome))
			}
		}
	}
	if served < 25 {
		t.Errorf("%d runs on the healthy endpoint, want at least 25 of 30", served)
	}
}

// Guards against accepting jobs that cannot end in time, and against refusals while
// there is free capacity.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	f := newOwner(t, 1)
	accepted := 0
	for n := range 200 {
		if f.submit(testJob(n, 2, true)) == SubmitPending {
			accepted++
		}
		if n < 5 && accepted != n+1 {
			t.Fatal("refused while there is free capacity")
		}
	}
	if accepted > 30 {
		t.Errorf("%d jobs of 12 cores accepted at once with 64 cores, want at most 30", accepted)
	}
	if _, reason := f.table.Submit(f.now, testJob(999, 2, true)); !strings.HasPrefix(reason, "overload: a wait of ") {
		t.Errorf("refusal reason %q, want an overload", reason)
	}
}

// Guards against a job that waits forever because its task is too large for every
// endpoint.
func TestImpossibleJobIsRefused(t *testing.T) {
	f := newOwner(t, 1)
	j := testJob(1, 1, true)
	j.Steps[0].Resources.CPU = 100_000
	if status := f.submit(j); status != SubmitRefused {
		t.Errorf("submit status %d, want %d", status, SubmitRefused)
	}
}

// Guards against an endpoint that gets no probe after failures while a long task of its own goes on well, as
// the task it was working on before or as the probe itself, and against more than one probe at a time.
func TestUnhealthyEndpointIsProbedBesideALongTask(t *testing.T) {
	f := newOwner(t, 1)
	long := testJob(0, 1, false)
	long.Steps[0].EstimateMS = 75_000
	f.submit(long)
	f.commit()
	for n := 1; n <= unhealthyAfterJobs; n++ {
		j := testJob(n, 1, false)
		j.Steps[0].EstimateMS = 10_000
		f.submit(j)
	}
	f.commit()
	for n, s := range f.started["h0"][1:] {
		f.report("h0", end(s, int64(n)+1, work.OutcomeFailed))
	}
	for n := range 3 {
		f.submit(testJob(10+n, 1, false))
	}
	f.commit()
	before := f.startCount()
	f.advance(minUnhealthyPeriod + minUnhealthyPeriod/2)
	if got := f.startCount() - before; got != 1 {
		t.Fatalf("%d probes beside a long task, want 1", got)
	}
	f.advance(minUnhealthyPeriod)
	if got := f.startCount() - before; got != 2 {
		t.Errorf("%d probes, want one for each period in which the last one goes on without a failure", got)
	}
}

// Guards against an endpoint that gets no probe for long since many runs fail there at once, and against a
// job that fails for good as the probe of an endpoint while other jobs wait for it.
func TestProbesOfAnUnhealthyEndpoint(t *testing.T) {
	f := newOwner(t, 1)
	for n := range 9 {
		f.submit(testJob(n, 1, false))
	}
	f.commit()
	ends := make([]work.End, 0, len(f.started["h0"]))
	for n, s := range f.started["h0"] {
		ends = append(ends, end(s, int64(n)+1, work.OutcomeFailed))
	}
	f.report("h0", ends...)
	f.submit(testJob(9, 1, false))
	f.commit()
	before := f.startCount()
	f.advance(minUnhealthyPeriod + 200*time.Millisecond)
	probes := f.started["h0"][before:]
	if len(probes) != 1 || work.JobOfTask(probes[0].Run.Task) != testJob(9, 1, false).ID {
		t.Errorf("probes %v, want one of the job that has not failed yet", probes)
	}
}
