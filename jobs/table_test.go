package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	testQueue        = "q"
	testService      = "s"
	testAgentTimeout = 1300 * time.Millisecond
	testTakeoverWait = 4 * time.Second
	testAuthorityTTL = time.Hour
)

// fixture is a table with agents whose endpoints have 64 cores each.
type fixture struct {
	t      *testing.T
	table  *Table
	now    time.Time
	agents []string
	// started holds the dispatched starts by agent, stopped the dispatched stops.
	started map[string][]work.Start
	stopped map[string][]work.Run
	// sentAt holds the clock reading of each agent's latest report.
	sentAt map[string]int64
	// stored holds the newest record of each key.
	stored map[string]carobpulley.KeyedRecord
	// stayDown is set if an endpoint that crashes isn't back at the report of its crash.
	stayDown bool
}

func newFixture(t *testing.T, agents int) *fixture {
	t.Helper()
	f := &fixture{t: t, now: testStart, started: map[string][]work.Start{}, stopped: map[string][]work.Run{}, sentAt: map[string]int64{}, stored: map[string]carobpulley.KeyedRecord{}}
	f.table = New(Config{StatusRetention: time.Minute, AgentTimeout: testAgentTimeout, TakeoverWait: testTakeoverWait, AuthorityTTL: testAuthorityTTL, Shards: 1})
	f.table.SetCoordinatorCount(1)
	for n := range agents {
		name := fmt.Sprint("h", n)
		f.agents = append(f.agents, name)
		f.table.AddAgent(name, "z"+name, nil)
	}
	return f
}

func (f *fixture) attach() *fixture {
	for _, name := range f.agents {
		f.table.HandleAttachment(f.now, f.newReport(name, f.table.FollowingAttachment(name)), f.table.OwnedShards())
	}
	f.prove()
	return f
}

// prove proves the ownership of the shards by a read of the store that is sent just after now.
func (f *fixture) prove() {
	f.table.ConfirmOwnership(f.now.Add(time.Nanosecond))
	f.table.PlaceReady(f.now)
	f.takeDispatches()
}

func (f *fixture) newReport(name string, attachment uint64, ends ...work.End) Report {
	f.sentAt[name]++
	return Report{
		Agent: name, Incarnation: 1, Attachment: attachment, SentAt: f.sentAt[name], Ends: ends,
		State: work.EndpointState{
			Instance: "i/" + name, Service: testService, Domain: "z" + name, Ready: true,
			Capacity: work.Resources{CPU: 64_000, MemMB: 1000},
		},
	}
}

// report handles a report of an agent with the given ends and returns the
// acknowledged ends.
func (f *fixture) report(name string, ends ...work.End) []int64 {
	f.t.Helper()
	answer := f.table.HandleReport(f.now, f.newReport(name, f.table.FollowingAttachment(name)-1, ends...))
	if answer.Stale {
		f.t.Fatalf("report of %s is stale", name)
	}
	f.takeDispatches()
	return answer.Acked
}

// takeDispatches records the pending dispatches.
func (f *fixture) takeDispatches() {
	for _, d := range f.table.Dispatches() {
		f.started[d.Agent] = append(f.started[d.Agent], d.Starts...)
		f.stopped[d.Agent] = append(f.stopped[d.Agent], d.Stops...)
	}
}

func (f *fixture) startCount() int {
	n := 0
	for _, s := range f.started {
		n += len(s)
	}
	return n
}

// advance moves the clock on in steps of 100 ms, with a report of every agent in each.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, name := range f.agents {
			f.report(name)
		}
		f.table.Tick(f.now)
		f.prove()
	}
}

func testJob(n, tasks int, bestEffort bool) *work.Job {
	return &work.Job{
		ID: fmt.Sprintf("%016x", n), Spec: "x", BestEffort: bestEffort,
		Queue: work.Queue{Name: testQueue, Service: testService, MaxAttempts: 2, Stretch: 1.6, TargetMS: 60},
		Steps: []work.Step{{Count: tasks, Resources: work.Resources{CPU: 6000, MemMB: 10}, EstimateMS: 200}},
	}
}

func (f *fixture) submit(j *work.Job) SubmitStatus {
	f.t.Helper()
	status, _ := f.table.Submit(f.now, j)
	f.takeDispatches()
	return status
}

// commit stores the next batch.
func (f *fixture) commit() []StoredJob {
	f.t.Helper()
	batch, err := f.table.NextBatch(0)
	if err != nil {
		f.t.Fatal(err)
	}
	if batch == nil {
		return nil
	}
	f.store(batch)
	stored := f.table.CommitBatch(f.now, batch)
	f.takeDispatches()
	return stored
}

// store stores the records of a batch.
func (f *fixture) store(batch *Batch) {
	for _, r := range batch.Records {
		f.stored[r.Key] = r
	}
}

func end(s work.Start, number int64, outcome work.Outcome) work.End {
	return work.End{Sequence: number, Run: s.Run, Outcome: outcome, ElapsedMS: 200}
}

// newOwner returns a fixture that owns shard 0 and is attached to its agents.
func newOwner(t *testing.T, agents int) *fixture {
	t.Helper()
	f := newFixture(t, agents)
	if errs := f.table.AcquireShard(f.now, 0, 1, nil); len(errs) > 0 {
		t.Fatal(errs)
	}
	return f.attach()
}

// Guards against tasks that start before their job is stored.
func TestKeptJobStartsAfterItIsStored(t *testing.T) {
	f := newOwner(t, 2)
	if status := f.submit(testJob(1, 3, false)); status != SubmitPending {
		t.Fatalf("submit status %d, want %d", status, SubmitPending)
	}
	if got := f.startCount(); got != 0 {
		t.Errorf("%d starts before the job is stored", got)
	}
	if _, known := f.table.State(testQueue, testJob(1, 3, false).ID); known {
		t.Error("the job is shown before it is stored")
	}
	want := []StoredJob{{Job: testJob(1, 3, false).ID, Accepted: true, State: work.StateQueued}}
	if diff := cmp.Diff(want, f.commit()); diff != "" {
		t.Errorf("stored (-want +got):\n%s", diff)
	}
	if got := f.startCount(); got != 3 {
		t.Errorf("%d starts, want 3", got)
	}
}

// Guards against showing a job as completed, or acknowledging an end to its
// endpoint, before the end is stored.
func TestEndsAreStoredBeforeTheyAreTold(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, false))
	f.commit()
	s := f.started["h0"][0]
	if acked := f.report("h0", end(s, 1, work.OutcomeDone)); len(acked) != 0 {
		t.Errorf("ends %v acknowledged before they are stored", acked)
	}
	if acked := f.report("h0", end(s, 1, work.OutcomeDone)); len(acked) != 0 {
		t.Errorf("ends %v acknowledged before they are stored, on the second report", acked)
	}
	if state, _ := f.table.State(testQueue, testJob(1, 1, false).ID); state != work.StateRunning {
		t.Errorf("shown as %s before the end is stored, want %s", state, work.StateRunning)
	}
	f.commit()
	if acked := f.report("h0"); len(acked) == 0 || acked[0] != 1 {
		t.Errorf("ends %v acknowledged after they are stored, want 1", acked)
	}
	if state, _ := f.table.State(testQueue, testJob(1, 1, false).ID); state != work.StateCompleted {
		t.Errorf("shown as %s after the end is stored, want %s", state, work.StateCompleted)
	}
}

// Guards against a submission that is reported as not stored and runs later.
func TestWithdrawnSubmissionNeverRuns(t *testing.T) {
	f := newOwner(t, 1)
	f.submit(testJob(1, 1, false))
	if !f.table.Withdraw(testJob(1, 1, false).ID) {
		t.Fatal("not withdrawn although nothing was sent")
	}
	if stored := f.commit(); len(stored) != 0 || f.startCount() != 0 {
		t.Errorf("stored %v, %d starts", stored, f.startCount())
	}
	f.submit(testJob(2, 1, false))
	batch, err := f.table.NextBatch(0)
	if err != nil {
		t.Fatal(err)
	}
	if f.table.Withdraw(testJob(2, 1, false).ID) {
		t.Error("withdrawn although it may be stored")
	}
	f.table.AbortBatch(batch)
	if !f.table.Withdraw(testJob(2, 1, false).ID) {
		t.Error("not withdrawn although the store refused it")
	}
}

// Guards against a second run of a task while the first may still run at an
// unresponsive agent.
func TestLostHostIsWaitedOut(t *testing.T) {
	f := newOwner(t, 2)
	f.submit(testJob(1, 1, true))
	var name string
	for agent := range f.started {
		name = agent
	}
	lastReport := f.now
	for f.now.Sub(lastReport) < testAgentTimeout {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, agent := range f.agents {
			if agent != name {
				f.report(agent)
			}
		}
		f.table.Tick(f.now)
		f.takeDispatches()
		if f.startCount() > 1 && f.now.Sub(lastReport) <= testAgentTimeout {
			t.Fatalf("started again after %s", f.now.Sub(lastReport))
		}
	}
	f.now = f.now.Add(50 * time.Millisecond)
	f.table.Tick(f.now)
	f.takeDispatches()
	if got := f.startCount(); got != 2 {
		t.Errorf("%d starts after the agent timeout, want 2", got)
	}
}

// Guards against tasks of an earlier owner's jobs that start before every agent has
// reported its runs.
func TestTakeoverWaitsForAgents(t *testing.T) {
	first := newOwner(t, 2)
	first.submit(testJob(1, 2, false))
	batch, err := first.table.NextBatch(0)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 2)
	if errs := f.table.AcquireShard(f.now, 0, 2, batch.Records); len(errs) > 0 {
		t.Fatal(errs)
	}
	running := work.Run{Task: work.TaskName(testJob(1, 2, false).ID, 0, 0), Number: 1}
	r := f.newReport("h0", f.table.FollowingAttachment("h0"))
	r.Running = []work.Run{running}
	f.table.HandleAttachment(f.now, r, f.table.OwnedShards())
	f.takeDispatches()
	if got := f.startCount(); got != 0 {
		t.Fatalf("%d starts before the report of the second agent", got)
	}
	f.table.HandleAttachment(f.now, f.newReport("h1", f.table.FollowingAttachment("h1")), f.table.OwnedShards())
	f.prove()
	if got := f.startCount(); got != 1 {
		t.Fatalf("%d starts, want 1, of the task that no agent runs", got)
	}
	for _, s := range append(f.started["h0"], f.started["h1"]...) {
		if s.Run.Task == running.Task || s.Run.Number <= runsPerEpoch {
			t.Errorf("started %+v, want another task and a number of this epoch", s.Run)
		}
	}
}

// Guards against a takeover that waits forever for an agent that is gone.
func TestTakeoverEndsWithoutAgent(t *testing.T) {
	first := newOwner(t, 1)
	first.submit(testJob(1, 1, false))
	batch, err := first.table.NextBatch(0)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 2)
	f.table.AcquireShard(f.now, 0, 2, batch.Records)
	f.agents = f.agents[:1]
	f.attach()
	f.advance(testTakeoverWait)
	if got := f.startCount(); got != 0 {
		t.Fatalf("%d starts during the takeover wait", got)
	}
	f.advance(200 * time.Millisecond)
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts after the takeover wait, want 1", got)
	}
}

// Guards against the loss of progress that an earlier owner has stored.
func TestProgressIsRestored(t *testing.T) {
	first := newOwner(t, 1)
	first.submit(testJob(1, 2, false))
	var records []carobpulley.KeyedRecord
	collect := func() {
		batch, err := first.table.NextBatch(0)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, batch.Records...)
		first.table.CommitBatch(first.now, batch)
		first.takeDispatches()
	}
	collect()
	first.report("h0", end(first.started["h0"][0], 1, work.OutcomeDone))
	collect()
	newest := make(map[string]carobpulley.KeyedRecord)
	for _, r := range records {
		newest[r.Key] = r
	}
	stored := make([]carobpulley.KeyedRecord, 0, len(newest))
	for _, r := range newest {
		stored = append(stored, r)
	}
	f := newFixture(t, 1)
	f.table.AcquireShard(f.now, 0, 2, stored)
	f.attach()
	if got := f.startCount(); got != 1 {
		t.Errorf("%d starts, want 1, of the task that has not ended", got)
	}
}
