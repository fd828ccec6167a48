package emul

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// defaultSeeds is the number of seeds in a test run without EMUL_DAYS.
	defaultSeeds = 12
	// loadDuration is the time during which faults are injected and jobs submitted.
	loadDuration = 12 * time.Second
	// meanJobInterval is the mean time between two jobs.
	meanJobInterval = 30 * time.Millisecond
	// recoveryBound is the time after the last fault within which every durable job ends.
	recoveryBound = 20 * time.Second
)

// faultAction injects a fault and removes it again.
type faultAction struct {
	name string
	// target is what the fault affects; faults on one target exclude each other.
	target int
	inject func(f *Fleet, rng *rand.Rand)
}

// Targets of faults.
const (
	targetCoordinators = iota
	targetAgents
	targetEndpoints
	targetStore
	targetNetwork
	targetOperators
)

func faultActions() []faultAction {
	randomIndex := func(rng *rand.Rand, n int) int { return rng.IntN(n) }
	duration := func(rng *rand.Rand) time.Duration {
		return time.Duration(200+rng.IntN(3500)) * time.Millisecond
	}
	return []faultAction{
		{"kill coordinator", targetCoordinators, func(f *Fleet, rng *rand.Rand) {
			n := randomIndex(rng, len(f.Coordinators))
			f.coordinator(n).Kill()
			time.Sleep(duration(rng))
			f.StartCoordinator(n)
		}},
		{"stop coordinator", targetCoordinators, func(f *Fleet, rng *rand.Rand) {
			n := randomIndex(rng, len(f.Coordinators))
			f.coordinator(n).Stop()
			f.StartCoordinator(n)
		}},
		{"kill agent", targetAgents, func(f *Fleet, rng *rand.Rand) {
			n := randomIndex(rng, len(f.Agents))
			f.Agents[n].Kill()
			time.Sleep(duration(rng) / 3)
			f.StartAgent(n)
		}},
		{"crash runner", targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			n := randomIndex(rng, len(f.Endpoints))
			f.Endpoints[n].Crash()
			time.Sleep(duration(rng))
			f.Endpoints[n].Restart()
		}},
		{"lose orders", targetEndpoints, func(f *Fleet, rng *rand.Rand) {
			n := randomIndex(rng, len(f.Endpoints))
			f.Endpoints[n].SetLossRate(0.05 + 0.4*rng.Float64())
			time.Sleep(duration(rng))
			f.Endpoints[n].SetLossRate(0)
		}},
		{"store", targetStore, func(f *Fleet, rng *rand.Rand) {
			f.Store.SetFault(Fault(1 + randomIndex(rng, 3)))
			time.Sleep(duration(rng))
			f.Store.SetFault(FaultNone)
		}},
		{"store for one", targetStore, func(f *Fleet, rng *rand.Rand) {
			v := f.coordinator(randomIndex(rng, len(f.Coordinators))).Store
			v.SetFault(Fault(1 + randomIndex(rng, 3)))
			time.Sleep(duration(rng))
			v.SetFault(FaultNone)
		}},
		{"history", targetStore, func(f *Fleet, _ *rand.Rand) {
			f.Store.Compact(carobpulley.Partition{Topic: carobpulley.TopicControl})
			f.Store.Compact(carobpulley.Partition{Topic: carobpulley.TopicJobs})
			f.Store.Compact(operatorsPartition)
		}},
		{"cut", targetNetwork, func(f *Fleet, rng *rand.Rand) {
			agent, both := AgentAddr(randomIndex(rng, len(f.Agents))), rng.IntN(2) == 0
			for n := range f.Coordinators {
				f.Net.SetBlocked(agent, CoordinatorAddr(n), true)
				f.Net.SetBlocked(CoordinatorAddr(n), agent, both)
			}
			time.Sleep(duration(rng))
			for n := range f.Coordinators {
				f.Net.SetBlocked(agent, CoordinatorAddr(n), false)
				f.Net.SetBlocked(CoordinatorAddr(n), agent, false)
			}
		}},
		{"domain", targetStore, func(f *Fleet, rng *rand.Rand) {
			domain := fmt.Sprintf("domain-%d", randomIndex(rng, 3))
			f.SetDomain(domain, true)
			time.Sleep(duration(rng))
			f.SetDomain(domain, false)
		}},
	}
}

// regressionSeeds violated a rule in the past and run every time.
var regressionSeeds = []uint64{
	// An owner that had released its shard, or whose shard had been acquired by another
	// coordinator without its notice, acknowledged ends to endpoints that the new owner had
	// not stored.
	21, 27,
	// A batch was lost: it was appended under the sequence number of one whose answer had been lost
	// and whose repetition had been refused.
	337, 395,
}

// seedRange returns the first seed and the number of seeds: the defaults, or the values of
// EMUL_FIRST and EMUL_DAYS.
func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	read := func(name string, fallback uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return n
	}
	return read("EMUL_FIRST", 1), read("EMUL_DAYS", defaultSeeds)
}

// Guards against tasks that run twice at a time, starts that exceed an endpoint's capacity,
// durable jobs that are lost or never end, starts of refused jobs, and completed jobs that did not
// run, under pairs of random faults.
func TestRandomDays(t *testing.T) {
	first, count := seedRange(t)
	seeds := append([]uint64(nil), regressionSeeds...)
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			spec := testSpec()
			spec.Seed = seed
			spec.Behavior = randomBehavior(seed)
			runFleet(t, spec, func(t *testing.T, f *Fleet) { runSeed(t, f, seed, faultActions()) })
		})
	}
}

// randomBehavior returns a behavior by which runs take 20 ms to 1 s and 1 in 200 fails.
func randomBehavior(seed uint64) func(work.Start) (time.Duration, work.Outcome) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	return func(work.Start) (time.Duration, work.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		d := time.Duration(20+rng.IntN(980)) * time.Millisecond
		if rng.IntN(200) == 0 {
			return d, work.OutcomeFailed
		}
		return d, work.OutcomeDone
	}
}

func runSeed(t testing.TB, f *Fleet, seed uint64, actions []faultAction) {
	rng := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	var faults, jobs sync.WaitGroup
	for range 2 {
		faultRNG := rand.New(rand.NewPCG(seed, rng.Uint64()))
		faults.Go(func() { injectFaults(t, f, faultRNG, actions, began) })
	}
	var mu sync.Mutex
	var durable []*work.Job
	var refused []*work.Job
	for n := 0; time.Since(began) < loadDuration; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanJobInterval))))
		coordinator, bestEffort, tasks := rng.IntN(len(f.Coordinators)), rng.IntN(2) == 0, 1+rng.IntN(6)
		jobs.Go(func() {
			j := testJob(n, bestEffort, tasks)
			answer := submit(f, coordinator, j)
			if answer.Code == carobpulley.AnswerOK && answer.State == work.StateCompleted {
				f.Checker.CheckCompleted(j)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer.Code == carobpulley.AnswerRefused:
				refused = append(refused, j)
			case answer.Code == carobpulley.AnswerOK && !bestEffort:
				durable = append(durable, j)
			}
		})
	}
	faults.Wait()
	jobs.Wait()
	time.Sleep(recoveryBound)
	for _, j := range durable {
		switch awaitEnd(t, f, 0, j.ID, time.Second) {
		case work.StateCompleted:
			f.Checker.CheckCompleted(j)
		case work.StateFailed:
			f.Checker.CheckFailed(j)
		default:
		}
	}
	for _, j := range refused {
		for task := range j.Tasks() {
			if got := f.Checker.StartCount(work.TaskName(j.ID, 0, task)); got > 0 {
				t.Errorf("task %d of job %s was refused as not run and started %d times", task, j.ID, got)
			}
		}
	}
	if len(durable) == 0 {
		t.Error("no job was accepted")
	}
}

// injectFaults injects one fault after the other. Two calls run concurrently, so that faults
// overlap; faults on one target exclude each other.
func injectFaults(t testing.TB, f *Fleet, rng *rand.Rand, actions []faultAction, began time.Time) {
	for time.Since(began) < loadDuration {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		fault := actions[rng.IntN(len(actions))]
		t.Logf("%s %s", time.Since(began), fault.name)
		f.targetLocks[fault.target] <- struct{}{}
		fault.inject(f, rng)
		<-f.targetLocks[fault.target]
	}
}
