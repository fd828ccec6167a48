package runs

import (
	"testing"

	"carobpulley"
	"carobpulley/work"
)

func newTaskStart(name string) work.Start {
	return work.Start{Run: work.Run{Task: name, Number: 1}, Spec: "x", Resources: work.Resources{CPU: 100}}
}

// Guards against an end that waits for others although its coordinator could act on it: the last one here of
// a step, a failure, one of another job, step, coordinator or of a durable job.
func TestOnlyEndsThatChangeNothingWait(t *testing.T) {
	const first = "00000000000000aa.0.0.0"
	durable := newTaskStart(first)
	durable.Durable = true
	for _, tt := range []struct {
		name    string
		start   work.Start
		other   string
		outcome work.Outcome
		waits   bool
	}{
		{"another run of the step", newTaskStart(first), "00000000000000aa.0.0.1", work.OutcomeDone, true},
		{"a failure", newTaskStart(first), "00000000000000aa.0.0.1", work.OutcomeFailed, false},
		{"another step", newTaskStart(first), "00000000000000aa.0.1.1", work.OutcomeDone, false},
		{"another job", newTaskStart(first), "00000000000000ab.0.0.1", work.OutcomeDone, false},
		{"a durable job", durable, "00000000000000aa.0.0.1", work.OutcomeDone, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.attach("c", 2, map[int]uint64{0: 1, 1: 1, 2: 1, 3: 1})
			other := newTaskStart(tt.other)
			refused, stale := f.controller.HandleDispatch(f.now, Dispatch{
				Coordinator: "c", Incarnation: 7, Attachment: 2, Echo: f.echo, Starts: []work.Start{tt.start, other},
			})
			if len(refused) > 0 || stale {
				t.Fatalf("dispatch: refused %v, stale %v", refused, stale)
			}
			f.confirmStarts()
			f.poll(carobpulley.RunLists{
				Finished: []work.End{{Sequence: 1, Run: tt.start.Run, Outcome: tt.outcome}},
				Running:  []carobpulley.ListedRun{{Run: other.Run}},
			})
			if !f.controller.HasUnreportedEnds("c") {
				t.Fatal("the end is not there")
			}
			if got := !f.controller.HasUrgentEnds("c"); got != tt.waits {
				t.Errorf("the end waits: %v, want %v", got, tt.waits)
			}
			f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 2, Run: other.Run, Outcome: work.OutcomeDone}}})
			if !f.controller.HasUrgentEnds("c") {
				t.Error("the ends wait although nothing else of the step runs")
			}
		})
	}
}
