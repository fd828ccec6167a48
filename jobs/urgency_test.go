package jobs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// testQueueOf returns a queue of a service with a priority and enough slack not to be late in a test.
func testQueueOf(name, service string, priority int) work.Queue {
	return work.Queue{Name: name, Service: service, Priority: priority, Stretch: 1.6, TargetMS: 600_000}
}

func configOf(queues ...work.Queue) *work.RoutingConfig {
	c := &work.RoutingConfig{Version: 1, Routes: make([]work.Route, 0, len(queues))}
	for _, q := range queues {
		c.Routes = append(c.Routes, work.Route{Queue: q, Host: "h", Prefix: "/" + q.Name})
	}
	c.Index()
	return c
}

func jobOf(n, tasks int, bestEffort bool, q work.Queue, cpu int64) *work.Job {
	j := testJob(n, tasks, bestEffort)
	j.Queue = q
	j.Steps[0].Resources.CPU = cpu
	return j
}

// idOf returns the id of a job of testJob.
func idOf(n int) string { return testJob(n, 1, true).ID }

// wait adds an accepted job to the waiting ones.
func (f *fixture) wait(spec *work.Job, shard int) *job {
	j := newJob(spec, shard, f.now)
	j.phase = phaseActive
	f.table.jobs[j.id] = j
	f.table.enqueueJob(f.now, j)
	return j
}

// Guards against a less urgent queue that gets nothing for as long as urgent work needs the whole capacity.
func TestLessUrgentQueueGetsItsFloor(t *testing.T) {
	urgent, batch := testQueueOf("u", testService, 0), testQueueOf("b", testService, 1)
	f := newOwner(t, 10)
	f.table.SetCoordinatorCount(6)
	f.table.SetConfig(configOf(urgent, batch))
	f.submit(jobOf(1, 1, false, batch, 800))
	f.commit()
	for n := range 20 {
		f.wait(jobOf(10+n, 100, true, urgent, 800), bestEffortShard)
	}
	f.wait(jobOf(2, 1, false, batch, 800), 0)
	f.table.PlaceReady(f.now)
	if f.table.jobs[idOf(2)].tasks[0][0].phase != taskPlaced {
		t.Errorf("the less urgent task waits behind %d urgent groups", len(f.table.ready)-1)
	}
}

// Guards against callers that are refused as late while agents are about to be attached, or for the work of
// another service that has no endpoints.
func TestLateJobsAreNotRefusedForOthers(t *testing.T) {
	urgent, batch, other := testQueueOf("u", testService, 0), testQueueOf("b", testService, 1), testQueueOf("x", "other", 0)
	urgent.TargetMS = 60
	attaching := newFixture(t, 1)
	attaching.table.SetShare(nil)
	attaching.table.SetConfig(configOf(urgent, batch))
	beside := newOwner(t, 1)
	beside.table.SetConfig(configOf(urgent, batch, other))
	for n := range 20 {
		beside.wait(jobOf(100+n, 10, false, other, 6000), 0)
	}
	beside.wait(jobOf(1, 10, true, urgent, 6000), bestEffortShard)
	beside.table.PlaceReady(beside.now)
	for name, f := range map[string]*fixture{"agents are about to be attached": attaching, "work of another service": beside} {
		late := jobOf(2, 1, true, urgent, 9000)
		late.AnswerBy = f.now.Add(1400 * time.Millisecond)
		f.wait(late, bestEffortShard)
		f.now = f.now.Add(250 * time.Millisecond)
		f.table.abandonUnstarted(f.now)
		if diff := cmp.Diff([]BestEffortResult(nil), f.table.Results()); diff != "" {
			t.Errorf("%s: results (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against a queue that becomes the most urgent since its priority has left the configuration, and against
// waiting work that keeps the order of an earlier configuration.
func TestPrioritiesOfTheConfigurationInForce(t *testing.T) {
	urgent, batch, gone := testQueueOf("u", testService, 0), testQueueOf("b", testService, 1), testQueueOf("z", testService, 9)
	f := newOwner(t, 1)
	f.table.SetConfig(configOf(batch, gone))
	f.wait(jobOf(1, 1, false, batch, 100), 0)
	f.wait(jobOf(2, 1, false, gone, 100), 0)
	f.table.SetConfig(configOf(urgent, batch))
	f.wait(jobOf(3, 1, false, urgent, 100), 0)
	ranks := make(map[string]int)
	for _, g := range f.table.ready {
		ranks[g.job.id] = g.class.Rank
	}
	if diff := cmp.Diff(map[string]int{idOf(3): 0, idOf(1): 1, idOf(2): 2}, ranks); diff != "" {
		t.Errorf("ranks (-want +got):\n%s", diff)
	}
	if first := f.table.ready[0].job.id; first != idOf(3) {
		t.Errorf("job %s comes first", first)
	}
}

// Guards against a stored job that has begun and fails each time, which comes before all that can still be in time.
func TestLateStoredJobsComeLast(t *testing.T) {
	for _, queues := range [][]work.Queue{{testQueueOf("u", testService, 0)}, {testQueueOf("u", testService, 0), testQueueOf("b", testService, 1)}} {
		f := newOwner(t, 1)
		f.table.SetConfig(configOf(queues...))
		late := queues[0]
		late.TargetMS = 60
		f.wait(jobOf(1, 1, false, late, 64_000), 0).begun = true
		f.now = f.now.Add(time.Minute)
		f.wait(jobOf(2, 1, false, queues[0], 64_000), 0)
		f.report("h0")
		f.prove()
		f.table.PlaceReady(f.now)
		if f.table.jobs[idOf(2)].tasks[0][0].phase != taskPlaced {
			t.Errorf("with %d priorities the late job was placed first", len(queues))
		}
	}
}

// Guards against one waiting group that no endpoint can run and that keeps the share from growing for others.
func TestShareGrowsBesideAGroupThatNothingCanRun(t *testing.T) {
	urgent, batch := testQueueOf("u", testService, 0), testQueueOf("b", testService, 1)
	f := newShared(t, 40)
	f.table.SetConfig(configOf(urgent, batch))
	labelled := jobOf(1, 1, true, urgent, 6000)
	labelled.Steps[0].Label = "gpu"
	f.wait(labelled, bestEffortShard)
	f.wait(jobOf(2, 30, true, batch, 6000), bestEffortShard)
	if !f.table.Grow(f.now) {
		t.Error("the share does not grow")
	}
}
