package emul

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// silentCases returns the ways in which open connections of coordinator 0 go silent for good, each alone
// and with stops that have to be repeated.
func silentCases() []elsewhereCase {
	strikes := map[string]func(f *Fleet){
		"both ways":        func(f *Fleet) { f.SilenceCoordinator(0, true, true) },
		"to agents":        func(f *Fleet) { f.SilenceCoordinator(0, true, false) },
		"from agents":      func(f *Fleet) { f.SilenceCoordinator(0, false, true) },
		"coordinators":     (*Fleet).SilenceCoordinators,
		"all":              (*Fleet).SilenceAll,
		"all, again":       func(f *Fleet) { f.SilenceAll(); time.AfterFunc(150*time.Millisecond, f.SilenceAll) },
		"all, and killed":  func(f *Fleet) { f.SilenceAll(); killFirst(f) },
		"all, and drained": func(f *Fleet) { f.SilenceAll(); f.coordinator(0).Stop() },
	}
	cases := make([]elsewhereCase, 0, 4*len(strikes))
	for name, strike := range strikes {
		cases = append(cases,
			faultAndLeave(name, noFault, strike),
			faultAndLeave(name+", half of the stops late", troubled(Trouble{Late: 0.5}, CommandStop), strike),
			faultAndLeave(name+", answers lost", troubled(Trouble{Lost: 1}, CommandStart, CommandStop, CommandRenew), strike),
			elsewhereCase{name + ", leaves later", noFault, strike, 4 * time.Second, 700 * time.Millisecond},
		)
	}
	return cases
}

// Guards against two runs of a task at a time because stops of a job that was given up wait for an answer
// over connections that have gone silent, while others work.
func TestResubmittedElsewhereAfterSilence(t *testing.T) {
	playElsewhereCases(t, silentCases()...)
}

// Guards against two runs of a task at a time because hosts stand still for up to a tenth of a second, many
// times a second, as callers come back elsewhere.
func TestResubmittedElsewhereWithQuotas(t *testing.T) {
	quota := func(share float64) func(f *Fleet) { return func(f *Fleet) { f.SetQuotas(share) } }
	playElsewhereCases(t,
		faultAndLeave("a quarter", quota(0.25), noFault),
		faultAndLeave("a quarter, killed", quota(0.25), killFirst),
		faultAndLeave("a tenth", quota(0.1), noFault),
		faultAndLeave("a quarter, half of the stops late", func(f *Fleet) {
			f.SetQuotas(0.25)
			troubled(Trouble{Late: 0.5}, CommandStop)(f)
		}, noFault),
		faultAndLeave("a quarter, silent", quota(0.25), (*Fleet).SilenceAll),
		faultAndLeave("a quarter, cut off", quota(0.25), func(f *Fleet) { f.cutFromAgents(0, true, true, true) }),
	)
}

// silenceActions returns faults of connections that go silent for good and of hosts with a quota.
func silenceActions() []faultAction {
	pause := func(rng *rand.Rand) { time.Sleep(time.Duration(100+rng.IntN(1000)) * time.Millisecond) }
	return []faultAction{
		{"silence coordinator", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			there := rng.IntN(2) == 0
			f.SilenceCoordinator(rng.IntN(len(f.Coordinators)), there, !there || rng.IntN(2) == 0)
			pause(rng)
		}},
		{"silence coordinators", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			f.SilenceCoordinators()
			pause(rng)
		}},
		{"silence all", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			f.SilenceAll()
			pause(rng)
		}},
		{"quotas", targetOperators, func(f *Fleet, rng *rand.Rand) {
			f.SetQuotas(0.25 + 0.5*rng.Float64())
			time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
			f.SetQuotas(1)
		}},
	}
}

// Guards against two runs of a task at a time, and a job that is shown as completed before its tasks have
// ended so, as connections go silent for good beside other faults.
func TestSilentDays(t *testing.T) {
	playSeeds(t, 2, randomBehavior, func(f *Fleet, seed uint64) {
		faults := f.injectPairsOf(seed, slices.Concat(faultActions()[:5], elsewhereActions(), silenceActions(), silenceActions()))
		f.callers(seed, callerInterval, 6)
		faults.Wait()
	})
}
