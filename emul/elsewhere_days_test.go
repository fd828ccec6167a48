package emul

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// elsewhereLoad is the time during which callers submit jobs, and callerInterval the mean time between
// two of them.
const (
	elsewhereLoad  = 8 * time.Second
	callerInterval = 25 * time.Millisecond
	// callersCPU is the CPU capacity that a task needs if a job has up to six of them.
	callersCPU = 6000
)

// callUntilAnswered submits a job until a coordinator answers it, each time at another one and
// resubmitAfter after the call before broke. Some callers lose their connection while the job runs.
func (f *Fleet) callUntilAnswered(rng *rand.Rand, j *work.Job, tries int) {
	at := rng.IntN(len(f.Coordinators))
	for range tries {
		patience := 3 * time.Second
		if rng.IntN(3) == 0 {
			patience = time.Duration(20+rng.IntN(600)) * time.Millisecond
		}
		again := *j
		a := f.submitUntil(at, &again, patience)
		switch {
		case a.Code == carobpulley.AnswerOK && a.State == work.StateCompleted:
			f.Checker.CheckCompleted(j)
			return
		case a.Code == carobpulley.AnswerOK && a.State == work.StateFailed:
			return
		case a.Code == carobpulley.AnswerOK:
			f.Checker.AddViolation(fmt.Sprintf("job %s was answered as %q", j.ID, a.State))
			return
		}
		time.Sleep(resubmitAfter)
		at = (at + 1 + rng.IntN(len(f.Coordinators)-1)) % len(f.Coordinators)
	}
}

// callers lets callers submit jobs of up to a number of tasks for elsewhereLoad, and waits for them.
func (f *Fleet) callers(seed uint64, interval time.Duration, tasks int) {
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 5))
	began := time.Now()
	for n := 0; time.Since(began) < elsewhereLoad; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * interval))))
		j, own := testJob(n, true, 1+rng.IntN(tasks)), rand.New(rand.NewPCG(seed, uint64(n)))
		j.Steps[0].Resources.CPU = 6 * callersCPU / int64(tasks)
		wg.Go(func() { f.callUntilAnswered(own, j, 5) })
	}
	wg.Wait()
}

// playSeeds plays a test for each seed, as EMUL_FIRST and EMUL_DAYS or else count say, with runs that behave
// as the seed says.
func playSeeds(t *testing.T, count uint64, behavior func(seed uint64) func(work.Start) (time.Duration, work.Outcome), play func(f *Fleet, seed uint64)) {
	t.Helper()
	first, chosen := seedRange(t)
	if chosen == defaultSeeds {
		chosen = count
	}
	for seed := first; seed < first+chosen; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed * 100
			spec.Behavior = behavior(seed)
			runFleet(t, spec, func(_ *testing.T, f *Fleet) { play(f, seed) })
		})
	}
}

// Guards against two runs of a task at a time, and a job that is shown as completed before its tasks
// have ended so, as callers come back elsewhere under pairs of faults.
func TestElsewhereDays(t *testing.T) {
	playSeeds(t, 4, randomBehavior, func(f *Fleet, seed uint64) {
		faults := f.injectPairs(seed)
		f.callers(seed, callerInterval, 6)
		faults.Wait()
	})
}

// injectPairs injects pairs of faults for elsewhereLoad.
func (f *Fleet) injectPairs(seed uint64) *sync.WaitGroup {
	return f.injectPairsOf(seed, slices.Concat(faultActions()[:5], elsewhereActions()))
}

// injectPairsOf injects pairs of the faults given for elsewhereLoad.
func (f *Fleet) injectPairsOf(seed uint64, actions []faultAction) *sync.WaitGroup {
	began := time.Now()
	faults := new(sync.WaitGroup)
	for n := range uint64(2) {
		rng := rand.New(rand.NewPCG(seed, 1000+n))
		faults.Go(func() {
			for time.Since(began) < elsewhereLoad {
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				a := actions[rng.IntN(len(actions))]
				f.targetLocks[a.target] <- struct{}{}
				a.inject(f, rng)
				<-f.targetLocks[a.target]
			}
		})
	}
	return faults
}

// elsewhereActions returns faults that keep a coordinator's stops from its runs.
func elsewhereActions() []faultAction {
	all := []Command{CommandStart, CommandStop, CommandRenew}
	duration := func(rng *rand.Rand) time.Duration {
		return time.Duration(500+rng.IntN(4000)) * time.Millisecond
	}
	single := func(name string, draw func(rng *rand.Rand) Trouble, commands ...Command) faultAction {
		return faultAction{name, targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			e := f.Endpoints[rng.IntN(len(f.Endpoints))]
			e.SetTrouble(draw(rng), commands...)
			time.Sleep(duration(rng))
			e.SetTrouble(Trouble{}, commands...)
		}}
	}
	const delay = 8 * time.Millisecond
	return []faultAction{
		single("lost answers", func(rng *rand.Rand) Trouble { return Trouble{Lost: rng.Float64(), MaxDelay: delay} }, all...),
		single("late commands", func(rng *rand.Rand) Trouble { return Trouble{Late: 0.6 * rng.Float64(), MaxDelay: delay} }, all...),
		single("late commands from arrival", func(rng *rand.Rand) Trouble {
			return Trouble{Late: 0.6 * rng.Float64(), FromArrival: true}
		}, all...),
		single("late stops", func(*rand.Rand) Trouble { return Trouble{Late: 1} }, CommandStop),
		{"cut coordinator", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			n, there := rng.IntN(len(f.Coordinators)), rng.IntN(2) == 0
			back := !there || rng.IntN(2) == 0
			f.cutFromAgents(n, there, back, true)
			time.Sleep(duration(rng))
			f.cutFromAgents(n, there, back, false)
		}},
	}
}
