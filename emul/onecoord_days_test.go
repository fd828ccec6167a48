package emul

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobpulley/work"
)

// oneCoordinatorDays is the number of seeds of TestOneCoordinatorDays in a test run without EMUL_DAYS.
const oneCoordinatorDays = 5

// oneCoordinatorSeeds are days of TestOneCoordinatorDays that run every time.
var oneCoordinatorSeeds = []uint64{
	// Runs began beside others that had been told lost and were still on: three of 75 plays beside other load.
	48,
	// Runs that wake with their endpoint are on until a whole lease is over, which waited in its socket.
	187,
}

// hostLog records the suspensions of hosts whose endpoints' clocks stand meanwhile.
type hostLog struct {
	mu          sync.Mutex
	suspensions []hostSuspension
}

func (l *hostLog) add(s ...hostSuspension) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspensions = append(l.suspensions, s...)
}

// pauseActions returns pauses of the processes of a fleet with one coordinator.
func pauseActions(l *hostLog) []faultAction {
	length := func(rng *rand.Rand) time.Duration {
		return time.Duration(200+rng.IntN(2800)) * time.Millisecond
	}
	short := func(rng *rand.Rand) time.Duration {
		return time.Duration(10+rng.IntN(390)) * time.Millisecond
	}
	return []faultAction{
		{"suspend host", targetAgents, func(f *Fleet, rng *rand.Rand) {
			l.add(f.suspendHosts(length(rng), rng.IntN(len(f.Agents)))...)
		}},
		{"suspend endpoint", targetAgents, func(f *Fleet, rng *rand.Rand) {
			n, d, began := rng.IntN(len(f.Agents)), length(rng), time.Now()
			f.Endpoints[n].Suspend(d)
			l.add(hostSuspension{n, began, began.Add(d)})
		}},
		{"commands late for a short time", targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			e := f.Endpoints[rng.IntN(len(f.Endpoints))]
			commands := []Command{CommandStart, CommandStop, CommandRenew}
			e.SetTrouble(Trouble{Late: rng.Float64(), MaxLate: 2 * length(rng)}, commands...)
			time.Sleep(length(rng))
			e.SetTrouble(Trouble{}, commands...)
		}},
		{"freeze agent", targetAgents, func(f *Fleet, rng *rand.Rand) {
			f.Agents[rng.IntN(len(f.Agents))].Freeze(length(rng))
		}},
		{"freeze agent at a command", targetAgents, func(f *Fleet, rng *rand.Rand) {
			end := f.pauseAtCommands(rng.IntN(len(f.Agents)), Command(rng.IntN(int(commandCount))), rng.IntN(2) == 0, length(rng))
			time.Sleep(2 * time.Second)
			end()
			time.Sleep(3 * time.Second)
		}},
		{"freeze agents shortly", targetAgents, func(f *Fleet, rng *rand.Rand) {
			for range 10 {
				f.Agents[rng.IntN(len(f.Agents))].Freeze(short(rng))
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		}},
		{"freeze coordinator", targetCoordinators, func(f *Fleet, rng *rand.Rand) { f.coordinator(0).Freeze(length(rng)) }},
		{"suspend coordinator", targetCoordinators, func(f *Fleet, rng *rand.Rand) { f.coordinator(0).Suspend(length(rng)) }},
		{"freeze coordinator shortly", targetCoordinators, func(f *Fleet, rng *rand.Rand) {
			for range 10 {
				f.coordinator(0).Freeze(short(rng))
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		}},
	}
}

// longerBehavior returns a behavior by which runs take 20 ms to 2.5 s and some fail.
func longerBehavior(seed uint64) func(work.Start) (time.Duration, work.Outcome) {
	random := randomBehavior(seed)
	return func(s work.Start) (time.Duration, work.Outcome) {
		d, outcome := random(s)
		return d * 5 / 2, outcome
	}
}

// callAgain submits a job until it is answered with its result, each time to the one coordinator. Some
// callers leave while the job runs, and come back resubmitAfter later.
func (f *Fleet) callAgain(rng *rand.Rand, j *work.Job) {
	for range 6 {
		patience := 3 * time.Second
		if rng.IntN(3) == 0 {
			patience = time.Duration(20+rng.IntN(900)) * time.Millisecond
		}
		again := *j
		if a, answered := f.submitFor(0, &again, patience); answered && a.State == work.StateCompleted {
			f.Checker.CheckCompleted(j)
			return
		}
		time.Sleep(resubmitAfter)
	}
}

// playOneCoordinatorDay plays a random day with one coordinator, and checks that no two runs of a task are on
// at a time but for those that wake with their host.
func playOneCoordinatorDay(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		spec := testSpec()
		spec.Seed = seed * 100
		spec.Coordinators = 1
		spec.Behavior = longerBehavior(seed)
		f := New(spec)
		defer f.Close()
		time.Sleep(4 * time.Second)
		var l hostLog
		actions := faultActions()
		actions = slices.Concat(actions[:1], actions[2:5], elsewhereActions(), silenceActions(), pauseActions(&l), pauseActions(&l))
		faults, more := f.injectPairsOf(seed, actions), f.injectPairsOf(seed+1<<32, actions)
		var callers sync.WaitGroup
		rng := rand.New(rand.NewPCG(seed, 5))
		began := time.Now()
		for n := 0; time.Since(began) < elsewhereLoad; n++ {
			time.Sleep(time.Duration(rng.Int64N(int64(2 * callerInterval))))
			j, own := testJob(n, true, 1+rng.IntN(6)), rand.New(rand.NewPCG(seed, uint64(n)))
			callers.Go(func() { f.callAgain(own, j) })
		}
		callers.Wait()
		faults.Wait()
		more.Wait()
		checkButForWakingRuns(t, f, l.suspensions)
	})
}

// checkButForWakingRuns checks that no rule was broken. Two runs of a task may be on at a time at an endpoint
// whose host was suspended, until its lease ends.
func checkButForWakingRuns(t *testing.T, f *Fleet, suspensions []hostSuspension) {
	t.Helper()
	for _, v := range f.Checker.Violations() {
		if !isOverlap(v) {
			t.Errorf("violation: %s", v)
		}
	}
	before := len(f.Checker.Violations())
	longest := longestAfterWaking(f, suspensions)
	if longest > leaseStopTime {
		t.Errorf("two runs of a task until %s after their host woke, bound %s", longest, leaseStopTime)
	}
	for _, v := range f.Checker.Violations()[before:] {
		t.Errorf("violation: %s", v)
	}
	t.Logf("%d runs, %d suspensions of hosts, two runs of a task until %s after waking", f.Checker.RunCount(), len(suspensions), longest)
}

// Guards against two runs of a task at a time by one coordinator, as hosts are suspended, processes frozen,
// connections silent and endpoints carry commands out late, beside each other.
func TestOneCoordinatorDays(t *testing.T) {
	first, count := seedRange(t)
	if count == defaultSeeds {
		count = oneCoordinatorDays
	}
	seeds := slices.Clone(oneCoordinatorSeeds)
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playOneCoordinatorDay(t, seed) })
	}
}
