package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newOpenTable returns a table of entry "a" that owns its one shard.
func newOpenTable() *Table {
	t := NewTable("a", 1)
	t.Step(start, carobpulley.ShardOpened{Epoch: 1, AllAgents: true, AllClaims: true})
	return t
}

// spec returns a job with n tasks.
func spec(key string, n int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID: carobpulley.JobID{Member: "m", Key: key}, Service: "book", Deadline: start.Add(time.Minute),
	}
	for i := range n {
		s.Payloads = append(s.Payloads, fmt.Appendf(nil, "%s/%d", key, i))
	}
	return s
}

// actionTypes returns the type names of actions.
func actionTypes(actions []carobpulley.Action) []string {
	out := make([]string, 0, len(actions))
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%T", a)[len("carobpulley."):])
	}
	return out
}

func expectActions(t *testing.T, got []carobpulley.Action, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, actionTypes(got), cmpopts.EquateEmpty()); d != "" {
		t.Fatalf("actions differ (-want +got):\n%s", d)
	}
}

// taskID returns the ID of task i of spec(key, n).
func taskID(key string, i int) carobpulley.TaskID {
	return carobpulley.TaskID{Job: carobpulley.JobID{Member: "m", Key: key}, Index: i}
}

// Guards against a start before a backup holder has the claim, and against a second run of
// a resubmitted job.
func TestJobRunsOnceAfterClaimIsHeld(t *testing.T) {
	tab := newOpenTable()
	expectActions(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "a"}), "WriteJournal", "HoldClaim")
	if _, ok := tab.Start(start, taskID("k", 0), "e", 1); ok {
		t.Fatal("started before the claim was held")
	}
	expectActions(t, tab.Step(start, carobpulley.ClaimHeld{Job: taskID("k", 0).Job}), "QueueTask")
	d, ok := tab.Start(start, taskID("k", 0), "e", 1)
	if !ok {
		t.Fatal("not started")
	}
	if _, ok := tab.Start(start, taskID("k", 0), "e", 1); ok {
		t.Fatal("started twice")
	}
	expectActions(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b"}))
	end := carobpulley.TaskEnded{ID: d.ID, Attempt: d.Attempt, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("r")}
	expectActions(t, tab.Step(start, end), "WriteJournal", "Finished")
	expectActions(t, tab.Step(start, end))
	expectActions(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b"}))
	a, err := tab.Answer(start, d.ID.Job)
	if err != nil || a.Outcome != carobpulley.OutcomeComplete || string(a.Tasks[0].Result) != "r" {
		t.Fatalf("answer %+v, %v", a, err)
	}
	other := spec("k", 1)
	other.Payloads[0] = []byte("x")
	expectActions(t, tab.Step(start, carobpulley.Submitted{Spec: other, Receiver: "b"}), "Rejected")
}

// Guards against answers that state "not run" while only the owner has them.
func TestNotRunWaitsForBackupHolder(t *testing.T) {
	tab := newOpenTable()
	expectActions(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 2), Receiver: "b"}), "WriteJournal", "QueueTask", "QueueTask")
	id := taskID("k", 0).Job
	expectActions(t, tab.Step(start, carobpulley.Cancelled{Job: id}), "DropTasks", "HoldClaim")
	expectActions(t, tab.Step(start, carobpulley.ClaimHeld{Job: id}))
	if a, err := tab.Answer(start, id); err != nil || a.Outcome != carobpulley.OutcomeRunning {
		t.Fatalf("answer %+v, %v", a, err)
	}
	expectActions(t, tab.Step(start, carobpulley.ClaimHeld{Job: id, Answer: true}), "WriteJournal", "Finished")
	if a, err := tab.Answer(start, id); err != nil || a.Outcome != carobpulley.OutcomeNotRun || !a.Err.NotRun {
		t.Fatalf("answer %+v, %v", a, err)
	}
}

// Guards against a refusal that the owner returns while the receiver to which it was first
// sent may not have it.
func TestRefusalWaitsForBackupHolder(t *testing.T) {
	tab := newOpenTable()
	ev := carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b", Admit: func(carobpulley.JobSpec) error {
		return &carobpulley.Error{Kind: carobpulley.KindOverload}
	}}
	expectActions(t, tab.Step(start, ev), "WriteJournal", "Rejected")
	if a, err := tab.Answer(start, ev.Spec.ID); err != nil || a.Outcome != carobpulley.OutcomeRunning {
		t.Fatalf("answer %+v, %v", a, err)
	}
	ev.Receiver = "c"
	expectActions(t, tab.Step(start, ev), "Rejected")
	ev.Receiver = "a"
	expectActions(t, tab.Step(start, ev), "HoldClaim")
	expectActions(t, tab.Step(start, carobpulley.ClaimHeld{Job: ev.Spec.ID, Answer: true}), "Finished")
	expectActions(t, tab.Step(start, ev), "Rejected")
}

// Guards against answers and keys that stay in memory for ever.
func TestRetention(t *testing.T) {
	tab := newOpenTable()
	tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b"})
	d, _ := tab.Start(start, taskID("k", 0), "e", 1)
	tab.Step(start, carobpulley.TaskEnded{ID: d.ID, Attempt: d.Attempt, Phase: carobpulley.PhaseDone})
	tab.Step(start.Add(AnswerRetention), carobpulley.Tick{})
	a, err := tab.Answer(start, d.ID.Job)
	var e *carobpulley.Error
	if !errors.As(err, &e) || e.Kind != carobpulley.KindExpired || a.Outcome != carobpulley.OutcomeComplete {
		t.Fatalf("answer %+v, %v", a, err)
	}
	tab.Step(start.Add(KeyRetention), carobpulley.Tick{})
	if tab.Len() != 0 {
		t.Fatalf("%d keys left", tab.Len())
	}
}

// Guards against a key that starts again because an owner that had lost claims handed its
// shard over.
func TestUnknownKeysAreHandedOver(t *testing.T) {
	a, b := NewTable("a", 1), NewTable("b", 1)
	a.Step(start, carobpulley.ShardOpened{Epoch: 2})
	a.Step(start, carobpulley.ShardClosed{})
	later := start.Add(10 * time.Minute)
	b.Step(later, carobpulley.ShardOpened{Epoch: 3, AllAgents: true, AllClaims: true, UnknownUntil: a.UnknownUntil(0)})
	s := spec("k", 1)
	s.Deadline = later.Add(time.Minute)
	got := b.Step(later, carobpulley.Submitted{Spec: s, Receiver: "c"})
	if r, ok := got[0].(carobpulley.Rejected); !ok || r.Err.Kind != carobpulley.KindUnknown || r.Err.NotRun {
		t.Errorf("a key that may have been started is not rejected as unknown: %+v", got)
	}
	if until := b.UnknownUntil(0); !until.Equal(start.Add(MaxDeadline + KeyRetention)) {
		t.Errorf("keys are unknown until %v", until)
	}
}
