package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a run that is on although this process took it to be over, or never started it, without a
// trace in the log: its task may be running elsewhere.
func TestUnknownRunsAreFound(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   time.Duration
		ended bool
		want  string
	}{
		{name: "inherited", want: FoundInherited},
		{name: "late", age: 2 * time.Second, want: FoundLate},
		{name: "ended", age: 2 * time.Second, ended: true, want: FoundEnded},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.advance(c.age)
			f.report("c", nil)
			s := newStart(1, 100)
			want := FoundRun{Run: s.Run, Reason: c.want, GenerationAt: f.controller.generationAt}
			if c.ended {
				f.dispatch("c", s)
				f.confirmStarts()
				f.advance(time.Millisecond)
				f.poll(carobpulley.RunLists{})
				if lost := f.controller.Lost(); len(lost) != 1 {
					t.Fatalf("lost %v, want one run", lost)
				}
				want.Coordinator, want.EndedAt = "c", f.now
				f.advance(time.Millisecond)
			}
			f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: s.Run}}})
			if diff := cmp.Diff([]FoundRun{want}, f.controller.Found()); diff != "" {
				t.Errorf("found runs (-want +got):\n%s", diff)
			}
			f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: s.Run}}})
			if found := f.controller.Found(); len(found) > 0 {
				t.Errorf("found again: %v", found)
			}
		})
	}
}

// Guards against a run that is logged as found because a list was overtaken by the one with its end.
func TestListOlderThanTheEndFindsNoRun(t *testing.T) {
	f := newFixture(t)
	s := newStart(1, 100)
	f.dispatch("c", s)
	f.confirmStarts()
	sent := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: s.Run, Outcome: work.OutcomeDone}}})
	f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 5000, Generation: 1, Running: []carobpulley.ListedRun{{Run: s.Run}}})
	if found := f.controller.Found(); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}
