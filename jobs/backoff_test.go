package jobs

import (
	"testing"
	"time"

	"carobpulley/work"
)

// handBack lets an endpoint hand back each start within a millisecond, for a time, and returns the number of
// starts. The agent reports every millisecond, as it does while runs end.
func (f *fixture) handBack(outcome work.Outcome, length time.Duration) int {
	f.t.Helper()
	before := f.startCount()
	for n := range int(length / time.Millisecond) {
		f.now = f.now.Add(time.Millisecond)
		ends := make([]work.End, 0, len(f.table.agents["h0"].placed))
		for tk := range f.table.agents["h0"].placed {
			ends = append(ends, work.End{Run: tk.key(), Outcome: outcome, NeverBegun: true})
		}
		f.report("h0", ends...)
		if n%40 == 0 {
			f.table.Tick(f.now)
			f.prove()
		}
	}
	return f.startCount() - before
}

func newHandedBack(t *testing.T, jobs int) *fixture {
	f := newOwner(t, 1)
	for n := range jobs {
		f.submit(testJob(n, 1, false))
	}
	f.commit()
	return f
}

// Guards against an endpoint that refuses every start with 503 and gets starts without a pause: 127,737 in
// 6.5 s. With pauses that double up to maxHandBackPause it gets one burst for each of the first pauses, and
// one start for each further one. It is used again, with all tasks, as soon as it takes a start.
func TestEndpointThatHandsStartsBackGetsPauses(t *testing.T) {
	const tasks, length = 8, 6500 * time.Millisecond
	f := newHandedBack(t, tasks)
	if got, limit := f.handBack(work.OutcomeNotStarted, length), tasks*handBacksBeforeProbe+int(length/maxHandBackPause)+8; got > limit {
		t.Errorf("%d starts in %v, want at most %d", got, length, limit)
	}
	f.advance(maxHandBackPause + handBackAnswerTime + 200*time.Millisecond)
	if got := len(f.table.agents["h0"].placed); got != tasks {
		t.Errorf("%d tasks placed once the endpoint takes starts, want %d", got, tasks)
	}
}

// Guards against a sound endpoint that is slowed down as it hands starts back for lack of capacity, which is
// normal with many coordinators.
func TestHandBacksForLackOfCapacityArePassedOver(t *testing.T) {
	f := newHandedBack(t, 1)
	if got := f.handBack(work.OutcomeNoCapacity, pacedFrom/2*time.Millisecond); got < pacedFrom/2-1 {
		t.Errorf("%d starts in %d ms, want one after each hand-back", got, pacedFrom/2)
	}
	for _, a := range f.table.agents {
		if a.handBacks.count > 0 {
			t.Errorf("%d hand-backs counted, want none", a.handBacks.count)
		}
	}
}

// Guards against run numbers beyond those that one owner has: the next owner's are lower then, and endpoints
// refuse them as old. The last number is used again, as long as no run has begun under it.
func TestRunNumbersOfOneOwnerAreBounded(t *testing.T) {
	f := newHandedBack(t, 1)
	tk := f.table.jobs[testJob(0, 1, false).ID].task(0, 0)
	f.handBack(work.OutcomeNoCapacity, time.Hour/1000)
	for until := f.now.Add(time.Hour); f.now.Before(until); f.now = f.now.Add(20 * time.Millisecond) {
		if tk.mayNumber(f.now) {
			tk.run, tk.placedAt = tk.nextRun(), f.now
		}
	}
	if tk.run >= runsPerEpoch {
		t.Errorf("%d numbers used in an hour, want them to last", tk.run)
	}
	tk.run = runsPerEpoch
	tk.placedAt = f.now
	before := f.startCount()
	f.advance(3 * maxRunPause)
	for n, s := range f.started["h0"][before:] {
		if s.Run.Number > runsPerEpoch {
			t.Errorf("start %d has the number %d, want at most %d", n, s.Run.Number, runsPerEpoch)
		}
	}
	if got := f.startCount() - before; got != 1 {
		t.Fatalf("%d starts with the last number, want 1", got)
	}
	f.report("h0", work.End{Run: tk.key(), Outcome: work.OutcomeLost})
	f.advance(3 * maxRunPause)
	if got := f.startCount() - before; got != 1 {
		t.Errorf("%d starts after a run may have begun under the last number, want no further one", got)
	}
}

// Guards against a task that is never started again, or with a lower number, as an earlier build's owner has
// used more numbers than it had.
func TestNumbersBeyondThoseOfAnEarlierOwner(t *testing.T) {
	for name, outcome := range map[string]work.Outcome{"listed": "", "ended": work.OutcomeLost} {
		earlier := newHandedBack(t, 1)
		f := successor(t, earlier, 2)
		run := work.Run{Task: work.TaskName(testJob(0, 1, false).ID, 0, 0), Number: 9 * runsPerEpoch}
		if outcome == "" {
			f.attachTo("h0", []work.Run{run})
			f.prove()
			f.report("h0", work.End{Run: run, Outcome: work.OutcomeLost})
		} else {
			f.attachTo("h0", nil, work.End{Run: run, Outcome: outcome})
		}
		f.prove()
		starts := f.started["h0"]
		if len(starts) != 1 || starts[0].Run.Number != run.Number+1 {
			t.Errorf("%s: starts %v, want one with the number %d", name, starts, run.Number+1)
		}
	}
}
