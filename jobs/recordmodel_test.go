package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// verdict is what the records of a job tell.
type verdict int

const (
	gone verdict = iota
	unreadable
	ended
	active
)

// modelJob is a job as its records and its runs' ends tell it.
type modelJob struct {
	spec    *work.Job
	verdict verdict
	state   work.State
	// done holds the tasks whose ends are in a readable record or reported by an agent.
	done map[string]bool
}

// recordModel predicts what a table shows, starts and acknowledges after its shard's records were damaged.
type recordModel struct {
	*fixture
	random  *rand.Rand
	jobs    map[string]*modelJob
	history map[string][]carobpulley.KeyedRecord
	running map[string]map[work.Run]bool
	ends    map[string][]work.End
	last    int64
	epoch   uint64
}

func modelSpec(n, steps, tasks int) *work.Job {
	j := testJob(n, tasks, false)
	j.Queue.TargetMS = 100_000
	for len(j.Steps) < steps {
		j.Steps = append(j.Steps, work.Step{Count: tasks, EstimateMS: 200, After: []int{len(j.Steps) - 1}})
	}
	for i := range j.Steps {
		j.Steps[i].Resources = work.Resources{CPU: 500}
	}
	return j
}

func newRecordModel(t *testing.T, seed uint64) *recordModel {
	m := &recordModel{
		random: rand.New(rand.NewPCG(seed, 7)), jobs: map[string]*modelJob{}, history: map[string][]carobpulley.KeyedRecord{},
		running: map[string]map[work.Run]bool{}, ends: map[string][]work.End{},
	}
	m.fixture = newFixture(t, 2)
	m.takeOverWith(map[string]carobpulley.KeyedRecord{})
	for n := range 8 {
		spec := modelSpec(n, 1+m.random.IntN(2), 1+m.random.IntN(3))
		m.jobs[spec.ID] = &modelJob{spec: spec, verdict: active, done: map[string]bool{}}
		if status, reason := m.table.Submit(m.now, spec); status != SubmitPending {
			t.Fatal(status, reason)
		}
	}
	m.exchange()
	return m
}

// takeOverWith continues with a new table that has acquired the records.
func (m *recordModel) takeOverWith(stored map[string]carobpulley.KeyedRecord) {
	m.epoch++
	now := m.now
	m.fixture = newFixture(m.t, len(m.agents))
	m.now, m.stored = now, stored
	records := make([]carobpulley.KeyedRecord, 0, len(stored))
	for _, r := range stored {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b carobpulley.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	m.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	errs := m.table.AcquireShard(m.now, 0, m.epoch, records)
	m.checkNamed(errs)
	for _, name := range m.agents {
		r := m.newReport(name, m.table.FollowingAttachment(name), m.ends[name]...)
		for run := range m.running[name] {
			r.Running = append(r.Running, run)
		}
		m.table.HandleAttachment(m.now, r, m.table.OwnedShards())
	}
	m.exchange()
}

// checkNamed checks that the errors and decisions of a takeover name each unreadable job, and that the
// decisions name no other.
func (m *recordModel) checkNamed(errs []error) {
	told := ""
	for _, err := range errs {
		told += err.Error() + "\n"
	}
	named := map[string]bool{}
	for _, d := range m.table.Decisions() {
		if d.Event == "unreadable" {
			named[d.Job] = true
		}
	}
	for id, j := range m.jobs {
		bad := j.verdict == unreadable
		if named[id] != bad || bad && !strings.Contains(told, id) {
			m.t.Fatalf("%s: decisions name %v, errors:\n%s", id, named, told)
		}
	}
}

// exchange reports the agents' ends, stores what has changed and takes the dispatches.
func (m *recordModel) exchange() {
	m.now = m.now.Add(10 * time.Millisecond)
	for _, name := range m.agents {
		answer := m.table.HandleReport(m.now, m.newReport(name, m.table.FollowingAttachment(name)-1, m.ends[name]...))
		m.acknowledged(name, answer.Acked)
	}
	for {
		batch, err := m.table.NextBatch(0)
		if err != nil {
			m.t.Fatal(err)
		}
		if batch == nil {
			break
		}
		m.store(batch)
		for _, r := range batch.Records {
			if r.Value != nil {
				m.history[r.Key] = append(m.history[r.Key], r)
			}
		}
		m.table.CommitBatch(m.now, batch)
	}
	m.table.Tick(m.now)
	m.table.ConfirmOwnership(m.now.Add(time.Nanosecond))
	m.table.PlaceReady(m.now)
	for _, d := range m.table.Dispatches() {
		m.acknowledged(d.Agent, d.Acked)
		for _, run := range d.Stops {
			m.stop(d.Agent, run)
		}
		for i := range d.Starts {
			m.start(d.Agent, d.Starts[i].Run)
		}
	}
}

func (m *recordModel) start(agent string, run work.Run) {
	j := m.jobs[work.JobOfTask(run.Task)]
	if j == nil || j.verdict != active || j.done[run.Task] {
		m.t.Fatalf("start of %+v of %+v", run, j)
	}
	for _, runs := range m.running {
		for other := range runs {
			if other.Task == run.Task {
				m.t.Fatalf("start of %+v beside %+v", run, other)
			}
		}
	}
	if m.running[agent] == nil {
		m.running[agent] = map[work.Run]bool{}
	}
	m.running[agent][run] = true
}

func (m *recordModel) stop(agent string, run work.Run) {
	if m.jobs[work.JobOfTask(run.Task)].verdict == unreadable {
		m.t.Fatalf("stop of %+v of an unreadable job", run)
	}
	if m.running[agent][run] {
		m.end(agent, run, work.OutcomeStopped)
	}
}

func (m *recordModel) end(agent string, run work.Run, outcome work.Outcome) {
	delete(m.running[agent], run)
	m.last++
	m.ends[agent] = append(m.ends[agent], work.End{Sequence: m.last, Run: run, Outcome: outcome, ElapsedMS: 100})
	if outcome == work.OutcomeDone {
		m.jobs[work.JobOfTask(run.Task)].done[run.Task] = true
	}
}

func (m *recordModel) acknowledged(agent string, numbers []int64) {
	m.ends[agent] = slices.DeleteFunc(m.ends[agent], func(e work.End) bool {
		return slices.Contains(numbers, e.Sequence)
	})
}

// endSome ends each run with a probability of one in n.
func (m *recordModel) endSome(n int, outcomes ...work.Outcome) {
	for _, name := range m.agents {
		runs := make([]work.Run, 0, len(m.running[name]))
		for run := range m.running[name] {
			runs = append(runs, run)
		}
		slices.SortFunc(runs, func(a, b work.Run) int { return strings.Compare(a.Task, b.Task) })
		for _, run := range runs {
			if m.random.IntN(n) == 0 {
				m.end(name, run, outcomes[m.random.IntN(len(outcomes))])
			}
		}
	}
}

// check compares what callers are told with the model.
func (m *recordModel) check(when string) {
	m.t.Helper()
	for id, j := range m.jobs {
		state, known := m.table.State(testQueue, id)
		ok := false
		switch j.verdict {
		case gone:
			ok = !known
		case unreadable:
			decided, _ := m.table.DecidedState(id)
			ok = known && state == "" && decided == ""
		case ended:
			ok = known && state == j.state
		case active:
			ok = known && (state == work.StateQueued || state == work.StateRunning || state.Ended())
			if state == work.StateCompleted && len(j.done) < j.spec.Tasks() {
				m.t.Fatalf("%s: %s is completed with the tasks %v", when, id, j.done)
			}
		}
		if !ok {
			m.t.Fatalf("%s: %s is shown as %q, known %v, want %+v", when, id, state, known, j)
		}
	}
}

// call makes one random call to a job.
func (m *recordModel) call(id string) {
	j := m.jobs[id]
	spec := *j.spec
	switch kind := m.random.IntN(7); kind {
	case 6:
		r := m.newReport("h0", m.table.FollowingAttachment("h0")-1)
		r.Crashes = []work.Crash{{Task: work.TaskName(id, 0, 0), Endpoint: fmt.Sprint("e", m.now)}}
		m.table.HandleReport(m.now, r)
		return
	case 0:
		known, stored := m.table.Cancel(m.now, testQueue, id)
		if known != (j.verdict != gone) || stored && j.verdict == unreadable {
			m.t.Fatalf("cancel of %+v: known %v, stored %v", j, known, stored)
		}
		return
	case 1:
		spec.Spec = "other"
	case 2:
		spec.BestEffort = true
	case 3:
		spec.Queue.Name = "other"
	}
	if j.verdict == gone {
		return
	}
	status, reason := m.table.Submit(m.now, &spec)
	answered := status == SubmitPending || status == SubmitComplete || status == SubmitRefused
	if answered && (j.verdict == unreadable || spec.BestEffort) || status == SubmitRefused {
		m.t.Fatalf("submission to %+v: status %d, reason %q", j, status, reason)
	}
}
