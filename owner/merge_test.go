package owner

import (
	"testing"

	"carobpulley"
)

// testClaim returns a claim as a takeover finds it.
func testClaim(tasks int, epoch uint64) carobpulley.Claim {
	return carobpulley.Claim{Spec: spec("k", tasks), Epoch: epoch}
}

// takeOver opens a shard with claims at epoch 3 and returns the job's answer and the
// actions.
func takeOver(t *testing.T, claims []carobpulley.Claim, all bool) (carobpulley.Answer, []carobpulley.Action) {
	t.Helper()
	tab := NewTable("a", 1)
	actions := tab.Step(start, carobpulley.ShardOpened{Epoch: 3, Claims: claims, AllAgents: all, AllClaims: all})
	actions = append(actions, tab.Step(start, carobpulley.ClaimHeld{Job: taskID("k", 0).Job, Answer: true})...)
	a, err := tab.Answer(start, taskID("k", 0).Job)
	if err != nil {
		t.Fatal(err)
	}
	return a, actions
}

// Guards against a wrong choice among the claims that a takeover finds: the body of another
// submission, an answer that was never returned, an outdated state, and a start where an
// earlier owner may have started the task.
func TestTakeoverMerge(t *testing.T) {
	pending, other := testClaim(1, 2), testClaim(2, 2)
	pending.Pending, other.Pending = true, true
	resumed := testClaim(1, 2)
	resumed.Resumed = true
	notRun := testClaim(1, 1)
	notRun.Answer = &carobpulley.Answer{
		Outcome: carobpulley.OutcomeNotRun, Err: &carobpulley.Error{Kind: carobpulley.KindCancelled, NotRun: true},
		Tasks: []carobpulley.Task{{Phase: carobpulley.PhaseNotRun}},
	}
	handed := testClaim(1, 2)
	handed.Answer = &carobpulley.Answer{Outcome: carobpulley.OutcomeRunning, Tasks: []carobpulley.Task{{Phase: carobpulley.PhaseWaiting}}}
	old := handed
	old.Epoch = 1
	for _, c := range []struct {
		name   string
		claims []carobpulley.Claim
		all    bool
		want   carobpulley.Outcome
		tasks  int
		queued bool
	}{
		{"claim", []carobpulley.Claim{testClaim(1, 2)}, true, carobpulley.OutcomeRunning, 1, true},
		{"claim in an incomplete shard", []carobpulley.Claim{testClaim(1, 2)}, false, carobpulley.OutcomeFailed, 1, false},
		{"accepted and pending body", []carobpulley.Claim{other, testClaim(1, 2)}, true, carobpulley.OutcomeRunning, 1, true},
		{"two pending bodies", []carobpulley.Claim{other, pending}, true, carobpulley.OutcomeFailed, 2, false},
		{"answer", []carobpulley.Claim{testClaim(1, 2), notRun}, true, carobpulley.OutcomeNotRun, 1, false},
		{"void answer", []carobpulley.Claim{notRun, resumed}, true, carobpulley.OutcomeRunning, 1, true},
		{"state handed over", []carobpulley.Claim{handed}, false, carobpulley.OutcomeRunning, 1, true},
		{"state of an older epoch", []carobpulley.Claim{old}, false, carobpulley.OutcomeFailed, 1, false},
	} {
		a, actions := takeOver(t, c.claims, c.all)
		queued := false
		for _, n := range actionTypes(actions) {
			queued = queued || n == "QueueTask"
		}
		if a.Outcome != c.want || len(a.Tasks) != c.tasks || queued != c.queued {
			t.Errorf("%s: outcome %s with %d tasks, queued %v; want %s, %d, %v",
				c.name, a.Outcome, len(a.Tasks), queued, c.want, c.tasks, c.queued)
		}
	}
}
