package emul

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// homeActions returns restarts of one coordinator, and of two at a time.
func homeActions() []faultAction {
	restart := func(f *Fleet, rng *rand.Rand, others int) {
		first := rng.IntN(len(f.Coordinators))
		var wg sync.WaitGroup
		for n := range 1 + others {
			down := time.Duration(rng.IntN(2)*rng.IntN(300)) * time.Millisecond
			wg.Go(func() {
				at := (first + n) % len(f.Coordinators)
				f.coordinator(at).Kill()
				time.Sleep(down)
				f.StartCoordinator(at)
			})
		}
		wg.Wait()
	}
	return []faultAction{
		{"restart", targetNetwork, func(f *Fleet, rng *rand.Rand) { restart(f, rng, 0) }},
		{"restart two", targetNetwork, func(f *Fleet, rng *rand.Rand) { restart(f, rng, 1) }},
	}
}

// suspendAction suspends one coordinator at a time.
func suspendAction() faultAction {
	return faultAction{"suspend", targetNetwork, func(f *Fleet, rng *rand.Rand) {
		f.coordinator(rng.IntN(len(f.Coordinators))).Suspend(time.Duration(100+rng.IntN(2000)) * time.Millisecond)
	}}
}

// submitAwake submits a job for a time once the coordinator is not suspended.
func (f *Fleet) submitAwake(at int, j *work.Job, leave time.Duration) carobpulley.JobAnswer {
	f.coordinator(at).suspension.wait()
	return f.submitUntil(at, j, leave)
}

// callTwice lets callers send each job to two coordinators, the second time a few milliseconds after they
// have left the first one, or its process has ended. It returns the share of the second calls with a result.
func (f *Fleet) callTwice(seed uint64, interval time.Duration) float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	began := time.Now()
	var wg sync.WaitGroup
	var calls, completed atomic.Int64
	for n := 0; time.Since(began) < elsewhereLoad; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * interval))))
		first := rng.IntN(len(f.Coordinators))
		second := (first + 1 + rng.IntN(len(f.Coordinators)-1)) % len(f.Coordinators)
		stays := time.Duration(2+rng.IntN(90)) * time.Millisecond
		if rng.IntN(3) == 0 {
			stays = 3 * time.Second
		}
		apart, tasks := time.Duration(rng.IntN(20))*time.Millisecond, 1+rng.IntN(2)
		wg.Go(func() {
			var both sync.WaitGroup
			both.Go(func() { f.submitAwake(first, testJob(n, true, tasks), stays) })
			time.Sleep(min(stays, 100*time.Millisecond) + apart)
			calls.Add(1)
			if a := f.submitAwake(second, testJob(n, true, tasks), 4*time.Second); a.State.Ended() {
				completed.Add(1)
			}
			both.Wait()
		})
	}
	wg.Wait()
	return float64(completed.Load()) / float64(calls.Load())
}

// Guards against two runs of a task at a time as callers send their jobs to two coordinators at once, while
// coordinators restart.
func TestHomeDays(t *testing.T) {
	playHomeDays(t, homeActions())
}

// Guards against the same while coordinators are suspended one after the other, so that no home is in force for
// long.
func TestHomeSuspensionDays(t *testing.T) { playHomeDays(t, []faultAction{suspendAction()}) }

func playHomeDays(t *testing.T, actions []faultAction) {
	playSeeds(t, 4, randomBehavior, func(f *Fleet, seed uint64) {
		faults := f.injectPairsOf(seed, actions)
		t.Logf("seed %d: %.3f of the second calls have a result", seed, f.callTwice(seed, 40*time.Millisecond))
		faults.Wait()
	})
}
