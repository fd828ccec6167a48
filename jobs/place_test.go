package jobs

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Guards against starts beyond a runner's room, and against work that waits
// though room became free.
func TestRoom(t *testing.T) {
	b := owned(t, 1)
	b.submit(testJob(1, 9, true))
	b.submit(testJob(2, 9, true))
	placed := b.ordered["h0"]
	if got, most := len(placed), int((1+queuePart)*64_000)/6000; got > most {
		t.Fatalf("%d starts at once, at most %d fit or may wait", got, most)
	}
	before := len(placed)
	b.report("h0", end(placed[0], 1, work.OutcomeDone))
	if got := len(b.ordered["h0"]); got != before+1 {
		t.Errorf("%d starts after one end, want %d", got, before+1)
	}
}

// Guards against a job that counts as completed while a task of it has not ended,
// and against steps that start before the ones they are after.
func TestStepsInOrder(t *testing.T) {
	b := owned(t, 1)
	j := testJob(1, 2, true)
	j.Steps = append(j.Steps, work.Step{Count: 1, Resources: work.Resources{CPU: 1000}, EstimateMS: 50, After: []int{0}})
	b.submit(j)
	first := b.ordered["h0"]
	b.report("h0", end(first[0], 1, work.OutcomeDone))
	if got := b.starts(); got != 2 {
		t.Fatalf("%d starts before the first step is done, want 2", got)
	}
	b.report("h0", end(first[1], 2, work.OutcomeDone))
	if got := b.starts(); got != 3 {
		t.Fatalf("%d starts after the first step, want 3", got)
	}
	if f := b.table.Results(); len(f) != 0 {
		t.Errorf("finished %v with a task open", f)
	}
	b.report("h0", end(b.ordered["h0"][2], 3, work.OutcomeDone))
	if diff := cmp.Diff([]BestEffortResult{{Job: j.ID, State: work.StateCompleted}}, b.table.Results()); diff != "" {
		t.Errorf("finished (-want +got):\n%s", diff)
	}
}

// Guards against more failed runs than the queue allows, and against ends other
// than failures that use up attempts.
func TestAttempts(t *testing.T) {
	b := owned(t, 2)
	b.submit(testJob(1, 1, true))
	hows := []work.Outcome{work.OutcomeLeaseExpired, work.OutcomeFailed, work.OutcomeLost, work.OutcomeFailed}
	for i, how := range hows {
		if got := b.starts(); got != i+1 {
			t.Fatalf("%d starts before end %d, want %d", got, i, i+1)
		}
		for name, starts := range b.ordered {
			last := starts[len(starts)-1]
			if last.Run.Number == int64(i+1) {
				b.report(name, end(last, int64(i+1), how))
				break
			}
		}
		b.pass(100 * time.Millisecond)
	}
	if diff := cmp.Diff([]BestEffortResult{{Job: testJob(1, 1, true).ID, State: work.StateFailed}}, b.table.Results()); diff != "" {
		t.Errorf("finished (-want +got):\n%s", diff)
	}
}

// Guards against work that goes on for a caller that has left, and against "not
// run" for a job that has started.
func TestAbandon(t *testing.T) {
	b := owned(t, 1)
	b.submit(testJob(1, 2, true))
	if b.table.Abandon(b.now, testJob(1, 2, true).ID, "left") {
		t.Error("told not to have run, though it had started")
	}
	b.take()
	if got := len(b.stopped["h0"]); got != 2 {
		t.Errorf("%d stops, want 2", got)
	}
	if f := b.table.Results(); len(f) != 0 {
		t.Errorf("finished %v", f)
	}
}

// Guards against a runner that fails everything and attracts work by being free.
func TestSickRunnerGetsNoMoreWork(t *testing.T) {
	b := owned(t, 2)
	number := int64(0)
	served := 0
	for n := range 30 {
		b.submit(testJob(n, 1, true))
		b.now = b.now.Add(20 * time.Millisecond)
		for _, name := range b.hosts {
			for _, s := range b.ordered[name] {
				number++
				how := work.OutcomeDone
				if name == "h0" {
					how = work.OutcomeFailed
				} else {
					served++
				}
				b.ordered[name] = nil
				b.report(name, end(s, number, how))
			}
		}
	}
	if served < 25 {
		t.Errorf("%d runs on the sound runner, want nearly all of 30", served)
	}
}

// Guards against jobs that are taken though they cannot end in time, and against
// refusals while there is room.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := owned(t, 1)
	taken := 0
	for n := range 200 {
		if b.submit(testJob(n, 2, true)) == VerdictWait {
			taken++
		}
		if n < 5 && taken != n+1 {
			t.Fatal("refused while there is room")
		}
	}
	if taken > 30 {
		t.Errorf("%d jobs of 12 cores taken at once by 64 cores", taken)
	}
	if _, why := b.table.Submit(b.now, testJob(999, 2, true)); !strings.HasPrefix(why, "overload: a wait of ") {
		t.Errorf("refused for %q", why)
	}
}

// Guards against a task that is too large for every runner waiting for ever.
func TestImpossibleJobIsRefused(t *testing.T) {
	b := owned(t, 1)
	j := testJob(1, 1, true)
	j.Steps[0].Resources.CPU = 100_000
	if v := b.submit(j); v != VerdictRefused {
		t.Errorf("verdict %d", v)
	}
}
