package emul

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// suspendDays is the number of seeds of TestSuspendDays in a test run without EMUL_DAYS.
const suspendDays = 6

// suspendActions returns suspensions of hosts.
func suspendActions() []faultAction {
	duration := func(rng *rand.Rand) time.Duration {
		return time.Duration(300+rng.IntN(5700)) * time.Millisecond
	}
	return []faultAction{
		{"suspend agent", targetAgents, func(f *Fleet, rng *rand.Rand) {
			f.Agents[rng.IntN(len(f.Agents))].Suspend(duration(rng))
		}},
		{"suspend coordinator", targetCoordinators, func(f *Fleet, rng *rand.Rand) {
			f.coordinator(rng.IntN(len(f.Coordinators))).Suspend(duration(rng))
		}},
	}
}

// suspendDaySpec returns a fleet for a random day of suspensions.
func suspendDaySpec(seed uint64) Spec {
	spec := testSpec()
	spec.Seed = seed
	spec.Shards = 1 + 3*int(seed%2)
	spec.Behavior = randomBehavior(seed)
	return spec
}

// suspendDayActions returns faults of which half are suspensions.
func suspendDayActions() []faultAction {
	actions := faultActions()
	for len(actions) < 2*len(faultActions()) {
		actions = append(actions, suspendActions()...)
	}
	return actions
}

// Guards against runs that begin after a suspension on what was true before it, beside all other faults.
func TestSuspendDays(t *testing.T) {
	first, count := seedRange(t)
	if count == defaultSeeds {
		count = suspendDays
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runFleet(t, suspendDaySpec(seed), func(t *testing.T, f *Fleet) { runSeed(t, f, seed, suspendDayActions()) })
		})
	}
}

// silentTB drops the errors of a play that is to break a rule.
type silentTB struct{ testing.TB }

func (silentTB) Error(...any)          {}
func (silentTB) Errorf(string, ...any) {}

// Guards against days of suspensions that show nothing: by the steady clock, which stands still while a host
// is suspended, one of them breaks a rule.
func TestSuspensionsShowOnTheSteadyClock(t *testing.T) {
	const seeds = 40
	for seed := uint64(1); seed <= seeds; seed++ {
		violations := 0
		synctest.Test(t, func(t *testing.T) {
			spec := suspendDaySpec(seed)
			spec.SteadyAges = true
			f := New(spec)
			defer f.Close()
			time.Sleep(4 * time.Second)
			runSeed(silentTB{t}, f, seed, suspendDayActions())
			violations = len(f.Checker.Violations())
		})
		if violations > 0 {
			t.Logf("seed %d: %d violations", seed, violations)
			return
		}
	}
	t.Errorf("no rule is broken in %d days", seeds)
}
