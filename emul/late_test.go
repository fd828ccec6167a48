package emul

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"
)

// lateActions returns faults by which messages between processes arrive late, twice, or after
// messages that were sent since.
func lateActions() []faultAction {
	duration := func(rng *rand.Rand) time.Duration {
		return time.Duration(500+rng.IntN(3500)) * time.Millisecond
	}
	// slow adds a delay of up to 4 s between a host and the coordinators, one way or both.
	slow := func(f *Fleet, rng *rand.Rand, host netip.Addr) {
		there, back := rng.IntN(3) > 0, rng.IntN(3) > 0
		added := time.Duration(100+rng.IntN(3900)) * time.Millisecond
		set := func(added time.Duration) {
			for n := range f.Coordinators {
				if there {
					f.Net.SetDelay(host, CoordinatorAddr(n), added)
				}
				if back {
					f.Net.SetDelay(CoordinatorAddr(n), host, added)
				}
			}
		}
		set(added)
		time.Sleep(duration(rng))
		set(0)
	}
	return []faultAction{
		{"slow agent", targetNetwork, func(f *Fleet, rng *rand.Rand) { slow(f, rng, AgentAddr(rng.IntN(len(f.Agents)))) }},
		{"slow coordinator", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			slow(f, rng, CoordinatorAddr(rng.IntN(len(f.Coordinators))))
		}},
		{"repeat", targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			f.SetRepeatRate(0.05 + 0.5*rng.Float64())
			time.Sleep(duration(rng))
			f.SetRepeatRate(0)
		}},
	}
}

// Guards against orders that are carried out twice, or on a permission that has run out, because
// messages of a hand-over arrive late, twice or in another order, beside all other faults.
func TestLateDays(t *testing.T) {
	first, count := seedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed
			spec.Behavior = randomBehavior(seed)
			// Late messages are half of the faults.
			actions := faultActions()
			for range 3 {
				actions = append(actions, lateActions()...)
			}
			runFleet(t, spec, func(t *testing.T, f *Fleet) { runSeed(t, f, seed, actions) })
		})
	}
}
