package emul

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"carobpulley"
)

const (
	// offloadDays is the number of seeds of TestOffloadDays in a test run without EMUL_DAYS.
	offloadDays = 3
	// loadPeriod is the time for which a coordinator is short of processor time, or is not.
	loadPeriod = 700 * time.Millisecond
)

// shortOfTime and idle are processor loads by which a coordinator with one core passes submissions on, and takes
// them.
var (
	shortOfTime = carobpulley.ProcessorLoad{Used: 200 * time.Millisecond}
	idle        = carobpulley.ProcessorLoad{}
)

// changingLoad returns processor loads by which coordinators are short of processor time half of the time.
func changingLoad(seed uint64) func(coordinator int) carobpulley.ProcessorLoad {
	return func(coordinator int) carobpulley.ProcessorLoad {
		period := uint64(time.Now().UnixNano()) / uint64(loadPeriod)
		if rand.New(rand.NewPCG(seed<<8+uint64(coordinator), period)).IntN(2) == 0 {
			return shortOfTime
		}
		return idle
	}
}

// Guards against two runs of a task at a time, and against callers without an answer, as coordinators pass jobs on
// to each other on days whose callers send them to two coordinators, beside faults of coordinators and networks.
func TestOffloadDays(t *testing.T) {
	first, count := seedRange(t)
	if count == defaultSeeds {
		count = offloadDays
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			var passedOn atomic.Int64
			playTwoDay(t, seed, twoFaults(), func(spec *Spec) {
				spec.Load = changingLoad(seed)
				spec.JoinSeen = func(take bool) {
					if take {
						passedOn.Add(1)
					}
				}
			})
			if t.Logf("%d calls passed a job on", passedOn.Load()); passedOn.Load() == 0 {
				t.Error("no job was passed on")
			}
		})
	}
}
