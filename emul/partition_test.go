package emul

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// partitionDomain cuts a failure domain, with its coordinator and agents, off from all other hosts and
// from the store, or connects it again.
func partitionDomain(f *Fleet, domain int, cut bool) {
	fault := FaultNone
	if cut {
		fault = FaultUnresponsive
	}
	var inside, outside []*Process
	for n := range f.Coordinators {
		if n == domain {
			inside = append(inside, f.coordinator(n))
		} else {
			outside = append(outside, f.coordinator(n))
		}
	}
	for n, p := range f.Agents {
		if n%3 == domain {
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
			partitionDomain(f, 0, true)
			load(4 * time.Second)
			partitionDomain(f, 0, false)
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

// Guards against tasks that run twice, attempts that are counted twice or not at all, and jobs that are
// lost, when owners are replaced again and again beside runs that fail: by partitions of their domain,
// kills, and a store that they don't reach.
func TestReplacedOwnersDays(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed
			spec.Endpoints = 6
			spec.Shards = 1 + 3*int(seed%2)
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 5))
			spec.Behavior = func(work.Start) (time.Duration, work.Outcome) {
				mu.Lock()
				defer mu.Unlock()
				d := time.Duration(50+rng.IntN(1200)) * time.Millisecond
				if rng.IntN(5) == 0 {
					return d, work.OutcomeFailed
				}
				return d, work.OutcomeDone
			}
			actions := faultActions()
			for range 3 {
				actions = append(actions, faultActions()[:2]...) // coordinators that are killed and stopped
				actions = append(actions, faultAction{"partition", targetNetwork, func(f *Fleet, rng *rand.Rand) {
					domain := rng.IntN(3)
					partitionDomain(f, domain, true)
					time.Sleep(time.Duration(700+rng.IntN(3800)) * time.Millisecond)
					partitionDomain(f, domain, false)
				}})
			}
			runFleet(t, spec, func(t *testing.T, f *Fleet) { runSeed(t, f, seed, actions) })
		})
	}
}
