package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// partitionDomain cuts the first coordinator and the agents of its failure domain off from all
// other hosts and from the store, or connects them again.
func partitionDomain(f *Fleet, cut bool) {
	fault := FaultNone
	if cut {
		fault = FaultUnresponsive
	}
	inside := []*Process{f.coordinator(0)}
	var outside []*Process
	for n := 1; n < len(f.Coordinators); n++ {
		outside = append(outside, f.coordinator(n))
	}
	for n, p := range f.Agents {
		if n%3 == 0 {
			inside = append(inside, p)
		} else {
			outside = append(outside, p)
		}
	}
	for _, in := range inside {
		in.Store.SetFault(fault)
		for _, out := range outside {
			f.Net.SetBlocked(in.Addr, out.Addr, cut)
			f.Net.SetBlocked(out.Addr, in.Addr, cut)
		}
	}
}

// Guards against an owner that is cut off with the agents of its domain, infers from the silence of
// the other agents that their runs are over, and starts tasks again that its successor has taken over
// (review/1).
func TestCutOffOwnerRestartsNoRunOfItsSuccessor(t *testing.T) {
	const interval = 40 * time.Millisecond
	spec := testSpec()
	spec.Endpoints = 6
	spec.Behavior = func(s work.Start) (time.Duration, work.Outcome) {
		return time.Duration(500+100*(int(s.Run.Task[len(s.Run.Task)-1])%9)) * time.Millisecond, work.OutcomeDone
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		accepted := make([]int, 0, 200)
		next := 0
		load := func(during time.Duration) {
			for until := time.Now().Add(during); time.Now().Before(until); next++ {
				if a := submit(f, next%spec.Coordinators, testJob(next, false, 2)); a.Code == carobpulley.AnswerOK {
					accepted = append(accepted, next)
				}
				time.Sleep(interval)
			}
		}
		for range 3 {
			load(2 * time.Second)
			partitionDomain(f, true)
			load(4 * time.Second)
			partitionDomain(f, false)
			load(2 * time.Second)
			f.coordinator(1).Kill()
			f.coordinator(2).Kill()
			time.Sleep(3 * time.Second) // the first coordinator owns the shard again
			f.StartCoordinator(1)
			f.StartCoordinator(2)
			time.Sleep(2 * time.Second)
		}
		for _, n := range accepted {
			if got := awaitEnd(t, f, 1, jobID(n), 15*time.Second); got != work.StateCompleted {
				t.Errorf("job %d: %s", n, got)
			}
		}
		if len(accepted) < 100 {
			t.Errorf("%d jobs accepted, want 100 or more", len(accepted))
		}
	})
}
