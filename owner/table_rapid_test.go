package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobpulley"
)

// modelJob is the model's state of a key.
type modelJob struct {
	body       int
	held       bool
	cancelled  bool
	tasks      []modelTask
	outcome    carobpulley.Outcome
	endedAt    time.Time
	answerHeld bool
	deadline   time.Time
}

type modelTask struct {
	phase   carobpulley.Phase
	attempt int
}

// tableMachine compares a Table with a map of keys.
type tableMachine struct {
	now    time.Time
	table  *Table
	jobs   map[string]*modelJob
	queued map[carobpulley.TaskID]bool
}

func (m *tableMachine) spec(key string, body int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID: carobpulley.JobID{Member: "m", Key: key}, Service: "book", Deadline: m.now.Add(5 * time.Minute),
	}
	for i := range body {
		s.Payloads = append(s.Payloads, fmt.Appendf(nil, "%s/%d/%d", key, body, i))
	}
	return s
}

// step passes an event to the table and checks the actions against the model.
func (m *tableMachine) step(t *rapid.T, ev carobpulley.Event) []carobpulley.Action {
	actions := m.table.Step(m.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.QueueTask:
			j := m.jobs[a.Waiting.Task.Job.Key]
			if j == nil || !j.held || j.cancelled {
				t.Fatalf("%v is queued without a backup holder or after a cancellation", a.Waiting.Task)
			}
			m.queued[a.Waiting.Task] = true
		case carobpulley.HoldClaim:
			m.jobs[a.Claim.Spec.ID.Key].answerHeld = a.Claim.Answer != nil
		case carobpulley.Finished:
			j := m.jobs[a.Answer.ID.Key]
			if j.outcome != carobpulley.OutcomeRunning {
				t.Fatalf("%s finished twice", a.Answer.ID.Key)
			}
			if a.Answer.Outcome != carobpulley.OutcomeComplete && !j.answerHeld && m.now.Before(j.deadline) {
				t.Fatalf("%s is reported as %s without a backup holder", a.Answer.ID.Key, a.Answer.Outcome)
			}
			j.outcome, j.endedAt = a.Answer.Outcome, m.now
		}
	}
	return actions
}

func (m *tableMachine) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "key")
}

// Submit accepts a new key once and refuses another body.
func (m *tableMachine) Submit(t *rapid.T) {
	key, body := m.key(t), rapid.IntRange(1, 3).Draw(t, "body")
	receiver := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "receiver")
	j := m.jobs[key]
	if j == nil {
		m.jobs[key] = &modelJob{
			body: body, held: receiver == "b", tasks: make([]modelTask, body), outcome: carobpulley.OutcomeRunning,
			deadline: m.now.Add(5 * time.Minute),
		}
		for i := range body {
			m.jobs[key].tasks[i].phase = carobpulley.PhaseWaiting
		}
	}
	actions := m.step(t, carobpulley.Submitted{Spec: m.spec(key, body), Receiver: receiver})
	rejected := len(actions) > 0 && actionTypes(actions)[0] == "Rejected"
	if want := j != nil && j.body != body; rejected != want {
		t.Fatalf("submission of body %d rejected: %v, want %v", body, rejected, want)
	}
	if j != nil && len(actions) > 0 && !rejected {
		t.Fatalf("a resubmission caused %v", actionTypes(actions))
	}
}

// Hold answers the newest request for a backup holder.
func (m *tableMachine) Hold(t *rapid.T) {
	key := m.key(t)
	j := m.jobs[key]
	if j == nil {
		return
	}
	j.held = true
	m.step(t, carobpulley.ClaimHeld{Job: carobpulley.JobID{Member: "m", Key: key}, Answer: j.answerHeld})
}

// Start dispatches a queued task.
func (m *tableMachine) Start(t *rapid.T) {
	id := m.task(t)
	d, ok := m.table.Start(m.now, id, "e", 1)
	if !ok {
		return
	}
	k := &m.jobs[id.Job.Key].tasks[id.Index]
	if !m.queued[id] || k.phase != carobpulley.PhaseWaiting || d.Attempt <= k.attempt {
		t.Fatalf("%v in phase %s starts with attempt %d after %d", id, k.phase, d.Attempt, k.attempt)
	}
	delete(m.queued, id)
	k.phase, k.attempt = carobpulley.PhaseDispatched, d.Attempt
}

func (m *tableMachine) task(t *rapid.T) carobpulley.TaskID {
	id := carobpulley.TaskID{Job: carobpulley.JobID{Member: "m", Key: m.key(t)}}
	if j := m.jobs[id.Job.Key]; j != nil {
		id.Index = rapid.IntRange(0, len(j.tasks)-1).Draw(t, "index")
	}
	return id
}

// Result delivers an answer of the newest or an older attempt, at any time.
func (m *tableMachine) Result(t *rapid.T) {
	id := m.task(t)
	j := m.jobs[id.Job.Key]
	if j == nil || j.tasks[id.Index].attempt == 0 {
		return
	}
	k := &j.tasks[id.Index]
	attempt := k.attempt - rapid.IntRange(0, 1).Draw(t, "older")
	current := attempt == k.attempt && k.phase == carobpulley.PhaseDispatched
	if rapid.Bool().Draw(t, "refused") {
		if current {
			k.phase = carobpulley.PhaseWaiting
			if j.cancelled || !m.now.Before(j.deadline) {
				k.phase = carobpulley.PhaseNotRun
			}
		}
		m.step(t, carobpulley.TaskRefused{ID: id, Attempt: attempt, Kind: carobpulley.KindBusy})
		return
	}
	if current || attempt == k.attempt && k.phase == carobpulley.PhaseWaiting {
		k.phase = carobpulley.PhaseDone
	}
	m.step(t, carobpulley.TaskEnded{ID: id, Attempt: attempt, Phase: carobpulley.PhaseDone, Result: []byte("r")})
}

// Lose reports a dispatch without an answer; it must never queue the task.
func (m *tableMachine) Lose(t *rapid.T) {
	id := m.task(t)
	j := m.jobs[id.Job.Key]
	if j == nil {
		return
	}
	for _, a := range m.step(t, carobpulley.TaskLost{ID: id, Attempt: j.tasks[id.Index].attempt}) {
		if _, ok := a.(carobpulley.QueryTask); !ok {
			t.Fatalf("a lost answer caused %T", a)
		}
	}
}

// Cancel ends the waiting tasks.
func (m *tableMachine) Cancel(t *rapid.T) {
	key := m.key(t)
	j := m.jobs[key]
	if j == nil {
		return
	}
	open := false
	for i := range j.tasks {
		open = open || !j.tasks[i].phase.Ended()
	}
	if j.outcome == carobpulley.OutcomeRunning && open && !j.cancelled {
		j.cancelled = true
		j.endWaiting()
	}
	m.step(t, carobpulley.Cancelled{Job: carobpulley.JobID{Member: "m", Key: key}})
}

func (j *modelJob) endWaiting() {
	for i := range j.tasks {
		if j.tasks[i].phase == carobpulley.PhaseWaiting {
			j.tasks[i].phase = carobpulley.PhaseNotRun
		}
	}
}

// Pass advances the time, also beyond deadlines and retention.
func (m *tableMachine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
	for key, j := range m.jobs {
		if j.outcome != carobpulley.OutcomeRunning && m.now.Sub(j.endedAt) >= KeyRetention {
			delete(m.jobs, key)
		}
		if j.outcome == carobpulley.OutcomeRunning && !m.now.Before(j.deadline) {
			j.endWaiting()
		}
	}
	m.step(t, carobpulley.Tick{})
}

// Check compares every key with the model.
func (m *tableMachine) Check(t *rapid.T) {
	if m.table.Len() != len(m.jobs) {
		t.Fatalf("%d keys stored, want %d", m.table.Len(), len(m.jobs))
	}
	for key, j := range m.jobs {
		a, err := m.table.Answer(m.now, carobpulley.JobID{Member: "m", Key: key})
		if d := cmp.Diff(j.outcome, a.Outcome); d != "" {
			t.Fatalf("outcome of %s differs (-want +got):\n%s", key, d)
		}
		var e *carobpulley.Error
		expired := errors.As(err, &e) && e.Kind == carobpulley.KindExpired
		if want := j.outcome != carobpulley.OutcomeRunning && m.now.Sub(j.endedAt) >= AnswerRetention; expired != want {
			t.Fatalf("answer of %s expired: %v, want %v", key, expired, want)
		}
		for i := range a.Tasks {
			if a.Tasks[i].Phase != j.tasks[i].phase {
				t.Fatalf("task %d of %s is %s, want %s", i, key, a.Tasks[i].Phase, j.tasks[i].phase)
			}
			if (len(a.Tasks[i].Result) > 0) != (j.outcome == carobpulley.OutcomeComplete) {
				t.Fatalf("a result of %s is returned with outcome %s", key, a.Outcome)
			}
		}
	}
}

// Guards against wrong states after any order of duplicate, late and lost events.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableMachine{
			now: start, table: newOpenTable(), jobs: map[string]*modelJob{}, queued: map[carobpulley.TaskID]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "hold": m.Hold, "start": m.Start, "result": m.Result, "lose": m.Lose,
			"cancel": m.Cancel, "pass": m.Pass, "": m.Check,
		})
	})
}
