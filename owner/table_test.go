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

// names lists the types of actions.
func names(actions []carobpulley.Action) []string {
	out := make([]string, 0, len(actions))
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%T", a)[len("carobpulley."):])
	}
	return out
}

func expect(t *testing.T, got []carobpulley.Action, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, names(got), cmpopts.EquateEmpty()); d != "" {
		t.Fatalf("actions differ (-want +got):\n%s", d)
	}
}

// taskID returns the id of a task of spec(key, n).
func taskID(key string, i int) carobpulley.TaskID {
	return carobpulley.TaskID{Job: carobpulley.JobID{Member: "m", Key: key}, Index: i}
}

// Guards against a start before a second holder has the claim, and against a
// second run of a resubmitted job.
func TestJobRunsOnceAfterClaimIsHeld(t *testing.T) {
	tab := newOpenTable()
	expect(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "a"}), "WriteJournal", "HoldClaim")
	if _, ok := tab.Start(start, taskID("k", 0), "e", 1); ok {
		t.Fatal("started before the claim was held")
	}
	expect(t, tab.Step(start, carobpulley.ClaimHeld{Job: taskID("k", 0).Job}), "QueueTask")
	d, ok := tab.Start(start, taskID("k", 0), "e", 1)
	if !ok {
		t.Fatal("not started")
	}
	if _, ok := tab.Start(start, taskID("k", 0), "e", 1); ok {
		t.Fatal("started twice")
	}
	expect(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b"}))
	end := carobpulley.TaskEnded{ID: d.ID, Attempt: d.Attempt, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("r")}
	expect(t, tab.Step(start, end), "WriteJournal", "Finished")
	expect(t, tab.Step(start, end))
	expect(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 1), Receiver: "b"}))
	a, err := tab.Answer(start, d.ID.Job)
	if err != nil || a.Outcome != carobpulley.OutcomeComplete || string(a.Tasks[0].Result) != "r" {
		t.Fatalf("answer %+v, %v", a, err)
	}
	other := spec("k", 1)
	other.Payloads[0] = []byte("x")
	expect(t, tab.Step(start, carobpulley.Submitted{Spec: other, Receiver: "b"}), "Rejected")
}

// Guards against answers that say "not run" while only the owner knows them.
func TestNotRunWaitsForSecondHolder(t *testing.T) {
	tab := newOpenTable()
	expect(t, tab.Step(start, carobpulley.Submitted{Spec: spec("k", 2), Receiver: "b"}), "WriteJournal", "QueueTask", "QueueTask")
	id := taskID("k", 0).Job
	expect(t, tab.Step(start, carobpulley.Cancelled{Job: id}), "DropTasks", "HoldClaim")
	expect(t, tab.Step(start, carobpulley.ClaimHeld{Job: id}))
	if a, err := tab.Answer(start, id); err != nil || a.Outcome != carobpulley.OutcomeRunning {
		t.Fatalf("answer %+v, %v", a, err)
	}
	expect(t, tab.Step(start, carobpulley.ClaimHeld{Job: id, Answer: true}), "WriteJournal", "Finished")
	if a, err := tab.Answer(start, id); err != nil || a.Outcome != carobpulley.OutcomeNotRun || !a.Err.NotRun {
		t.Fatalf("answer %+v, %v", a, err)
	}
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

// Guards against a key that starts again because the owner that knew of lost
// claims handed its shard over.
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
		t.Errorf("a key that may have been started: %+v", got)
	}
	if until := b.UnknownUntil(0); !until.Equal(start.Add(MaxDeadline + KeyRetention)) {
		t.Errorf("unknown until %v", until)
	}
}
