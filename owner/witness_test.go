package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
)

// claimWithPayload returns a claim of one task with a payload of the given size.
func claimWithPayload(key string, size int) carobpulley.Claim {
	s := spec(key, 1)
	s.Payloads[0] = make([]byte, size)
	return carobpulley.Claim{Spec: s, Epoch: 1}
}

// withAnswer returns the claim with an answer of one task and a result.
func withAnswer(c carobpulley.Claim, o carobpulley.Outcome, result string) carobpulley.Claim {
	c.Digest = Digest(c.Spec)
	c.Answer = &carobpulley.Answer{ID: c.Spec.ID, Outcome: o, Tasks: []carobpulley.Task{
		{Phase: carobpulley.PhaseDone, Status: 200, Result: []byte(result)},
	}}
	if o == carobpulley.OutcomeComplete {
		c.Spec.Payloads = nil
	}
	return c
}

// outcomes returns the outcome and the number of remaining results of each copy.
func outcomes(w *Witness) []string {
	copies := w.list(0)
	out := make([]string, 0, len(copies))
	for _, c := range copies {
		text := "claim"
		if c.Answer != nil {
			text = fmt.Sprintf("%s %d", c.Answer.Outcome, len(c.Answer.Tasks))
		}
		out = append(out, c.Spec.ID.Key+" "+text)
	}
	return out
}

// Guards against copies that use memory without bound, and against a claim that counts as
// held but was not stored.
func TestWitnessBoundsClaims(t *testing.T) {
	w := NewWitness(1)
	held := 0
	for i := range 100 {
		if w.Hold(start, claimWithPayload(fmt.Sprint(i), 1<<20)) {
			held++
		}
	}
	if len(w.list(0)) != held || held < 60 || held >= 64 {
		t.Errorf("%d of 100 claims of 1 MiB held, %d stored", held, len(w.list(0)))
	}
	w.Expire(start.Add(time.Minute))
	if !w.Hold(start.Add(time.Minute), claimWithPayload("late", 1<<20)) {
		t.Error("a claim is not held after the payloads have expired")
	}
	w.Expire(start.Add(time.Hour))
	if w.Bytes() != 0 || w.results.Len() != 0 || len(w.expiry) != 0 {
		t.Errorf("%d bytes, %d results and %d copies after all have expired", w.Bytes(), w.results.Len(), len(w.expiry))
	}
}

// Guards against results stored for the retention time of the key, and against a complete
// answer that is returned without its results as if it had them.
func TestWitnessDropsResults(t *testing.T) {
	w := NewWitness(1)
	c := withAnswer(claimWithPayload("k", 10), carobpulley.OutcomeComplete, "result")
	w.Hold(start, c)
	later := start.Add(AnswerRetention)
	w.Expire(later.Add(-1))
	if d := cmp.Diff([]string{"k complete 1"}, outcomes(w)); d != "" {
		t.Errorf("before (-want +got):\n%s", d)
	}
	w.Expire(later)
	w.Hold(later, c)
	if d := cmp.Diff([]string{"k complete 0"}, outcomes(w)); d != "" {
		t.Errorf("after (-want +got):\n%s", d)
	}
	tab := NewTable("a", 1)
	tab.Step(later, carobpulley.ShardOpened{Epoch: 2, Claims: w.list(0)})
	a, err := tab.Answer(later, c.Spec.ID)
	var fault *carobpulley.Error
	if !errors.As(err, &fault) || fault.Kind != carobpulley.KindExpired || a.Outcome != carobpulley.OutcomeComplete {
		t.Errorf("a later owner answers %v, %v", a, err)
	}
	tab = NewTable("a", 1)
	tab.Step(later, carobpulley.ShardOpened{Epoch: 3, Claims: append(w.list(0), c)})
	if a, err := tab.Answer(later, c.Spec.ID); err != nil || string(a.Tasks[0].Result) != "result" {
		t.Errorf("with another copy that has the results: %v, %v", a, err)
	}
}

// Guards against results that leave no space for claims, a refusal that is not held although its
// owner relies on it, and a handed-over table that lacks claims.
func TestWitnessFreesSpace(t *testing.T) {
	w := NewWitness(1)
	w.limit = 3000
	first := withAnswer(claimWithPayload("a", 10), carobpulley.OutcomeComplete, string(make([]byte, 900)))
	w.Hold(start, first)
	w.Hold(start, withAnswer(claimWithPayload("b", 10), carobpulley.OutcomeComplete, "result"))
	if !w.Hold(start, claimWithPayload("c", 1500)) || w.Hold(start, claimWithPayload("d", 1500)) {
		t.Error("want c held and d not held")
	}
	if w.Hold(start, withAnswer(claimWithPayload("c", 1500), carobpulley.OutcomeFailed, string(make([]byte, 1500)))) {
		t.Error("an answer that does not fit counts as held")
	}
	refused := claimWithPayload("c", 1500)
	refused.Digest = Digest(refused.Spec)
	refused.Spec.Payloads = nil
	refused.Answer = &carobpulley.Answer{Outcome: carobpulley.OutcomeNotRun, Err: newError("submit", carobpulley.KindOverload, "full")}
	w.bytes += w.limit
	if !w.Hold(start, refused) {
		t.Error("the refusal of a held claim is not held")
	}
	w.HandOver(start, claimWithPayload("e", 1500))
	if d := cmp.Diff([]string{"a complete 0", "b complete 0", "c not_run 0", "e claim"}, outcomes(w)); d != "" {
		t.Errorf("copies (-want +got):\n%s", d)
	}
	if len(first.Answer.Tasks) != 1 {
		t.Error("an answer in use elsewhere was changed")
	}
}

// Guards against a job that completes without a result, after the handed-over state has
// lost it.
func TestWitnessDropsResultsOfStates(t *testing.T) {
	w := NewWitness(1)
	c := withAnswer(claimWithPayload("k", 10), carobpulley.OutcomeRunning, "result")
	w.HandOver(start, c)
	w.Expire(c.Spec.Deadline)
	if k := w.list(0)[0].Answer.Tasks[0]; k.Phase != carobpulley.PhaseDone || string(k.Result) != "result" {
		t.Errorf("at the deadline: %+v", k)
	}
	later := c.Spec.Deadline.Add(AnswerRetention)
	w.Expire(later)
	tab := NewTable("a", 1)
	tab.Step(later, carobpulley.ShardOpened{Epoch: 2, Claims: w.list(0), AllAgents: true, AllClaims: true})
	tab.Step(later, carobpulley.Tick{})
	if a, err := tab.Answer(later, c.Spec.ID); err != nil || a.Outcome != carobpulley.OutcomeFailed || a.Err.Kind != carobpulley.KindUnknown {
		t.Errorf("the job ends as %+v, %v", a, err)
	}
}
