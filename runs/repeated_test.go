package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a task that runs elsewhere while an endpoint's next generation, which has seen no token, can
// still carry out the first try of a start that was repeated.
func TestRepeatedStartIsOverOnceTheNextGenerationHasAToken(t *testing.T) {
	gone := &carobpulley.Error{Op: "start", Kind: carobpulley.KindGone}
	confirm := func(f *fixture) { f.confirmStarts() }
	fail := func(f *fixture) {
		f.controller.Commands()
		f.controller.HandleStartReply(f.now, newRun(1), f.controller.Lease(f.now), carobpulley.StartAnswer{}, gone)
	}
	leave := func(f *fixture) {
		f.controller.HandleShutdown(f.now, "i")
		f.crash()
	}
	for name, c := range map[string]struct {
		second, end func(*fixture)
		want        work.Outcome
	}{
		"confirmed, crashed": {confirm, (*fixture).crash, work.OutcomeCrashed},
		"confirmed, left":    {confirm, leave, work.OutcomeLost},
		"gone":               {fail, (*fixture).crash, work.OutcomeCrashed},
		"gone after a crash": {func(*fixture) {}, func(f *fixture) { f.crash(); fail(f) }, work.OutcomeCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.dispatch("c", newStart(1, 100))
			f.controller.Commands()
			f.controller.HandleStartReply(f.now, newRun(1), f.controller.Lease(f.now), carobpulley.StartAnswer{}, &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown})
			f.advance(time.Millisecond)
			f.poll(carobpulley.RunLists{})
			c.second(f)
			f.advance(time.Millisecond)
			c.end(f)
			if ends := f.report("c", nil); len(ends) > 0 {
				t.Errorf("told over before the next generation has a token: %v", ends)
			}
			f.restart()
			want := []work.End{{Run: newRun(1), Outcome: c.want}}
			if diff := cmp.Diff(want, f.report("c", nil), cmpopts.IgnoreFields(work.End{}, "ElapsedMS")); diff != "" {
				t.Errorf("reported ends (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a run that begins again, beside the one that has replaced it: its agent forgets whose it was when
// the endpoint lists an end that the agent has told before, and a copy of the dispatch arrives.
func TestRunThatHasEndedStaysEndedOnceItsEndIsListed(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{})
	f.report("c", nil)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeLeaseExpired}}})
	if refused := f.dispatch("c", newStart(1, 100)); len(refused) > 0 {
		t.Errorf("refused %v", refused)
	}
	if got := f.confirmStarts(); got != 0 {
		t.Errorf("%d starts of a run that has ended, want 0", got)
	}
}
