package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"carobpulley/work"
)

const (
	// settleTime is the time from the start of the processes to the first job.
	settleTime = 4 * time.Second
	// recoveryBound is the platform's bound on a recovery: the time after the last fault within
	// which every caller gets its answer and every durable job ends.
	recoveryBound = 12 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// longRunShare is the share of runs that take longRunExtra longer, so that they have not ended
	// when their job is submitted again.
	longRunShare = 0.15
	longRunExtra = 2 * time.Second
	// faultSequences is the number of concurrent sequences of faults.
	faultSequences = 2
	// callerFaultStream is the random stream of the sequence of the callers' faults.
	callerFaultStream = 400
)

// injectedFault is a fault in the report. AtMS is the time of its start since the
// start of the load.
type injectedFault struct {
	AtMS  int64  `json:"at_ms"`
	Fault string `json:"fault"`
}

// report is the result of one seed.
type report struct {
	Seed      uint64 `json:"seed"`
	Jobs      int    `json:"jobs"`
	Completed int    `json:"completed"`
	Refused   int    `json:"refused"`
	Failed    int    `json:"failed"`
	Resent    int    `json:"resent"`
	// AtOnce counts those of Resent that were sent again without a pause.
	AtOnce int `json:"at_once"`
	// Answers counts the responses with status 200 that arrived whole, Cut the responses of which a
	// part arrived.
	Answers   int   `json:"answers"`
	Cut       int   `json:"cut"`
	Starts    int   `json:"starts"`
	LongestMS int64 `json:"longest_ms"`
	// LongestJob is the job that waited longest for its answer.
	LongestJob string          `json:"longest_job"`
	Violations []string        `json:"broken,omitempty"`
	Logs       string          `json:"logs,omitempty"`
	Faults     []injectedFault `json:"faults"`
}

// soak is the run of one seed.
type soak struct {
	fleet *fleet
	began time.Time
	// callDeadline is the time at which callers stop resubmitting a job and report it as unanswered.
	callDeadline time.Time
	targetLocks  [targetCount]sync.Mutex

	mu sync.Mutex
	// domainsOutOfService holds, for each domain that is out of service, the time after which a
	// start in it is a violation.
	domainsOutOfService map[string]time.Time
	injected            []injectedFault
	results             []jobResult
	rng                 *rand.Rand
	// cancelled holds the ids of the jobs for which a caller has sent a DELETE.
	cancelled map[string]bool
	// answers and cut are as in report.
	answers, cut int
}

func (s *soak) addResult(result jobResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
}

// taskBehavior returns a random duration and outcome for a run, and checks that its domain is in
// service.
func (s *soak) taskBehavior(endpoint int, start work.Start) (time.Duration, work.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bound, out := s.domainsOutOfService[domainOf(endpoint)]; out && time.Now().After(bound) {
		s.fleet.checker.AddViolation(fmt.Sprintf("%s started in %s, which is out of service", start.Run.Task, domainOf(endpoint)))
	}
	id, _, _, err := work.ParseTaskName(start.Run.Task)
	if err != nil || start.Spec != jobSpec(id) {
		s.fleet.checker.AddViolation(fmt.Sprintf("%s started with the content %q", start.Run.Task, start.Spec))
	}
	if alwaysFails(id) {
		return time.Duration(10+s.rng.IntN(50)) * time.Millisecond, work.OutcomeFailed
	}
	d := time.Duration(30+s.rng.IntN(500)) * time.Millisecond
	if s.rng.Float64() < longRunShare {
		d += longRunExtra
	}
	if s.rng.Float64() < failureShare {
		return d, work.OutcomeFailed
	}
	return d, work.OutcomeDone
}

// runSeed runs one seed. The logs are kept if it violates a guarantee, or upon request.
func runSeed(ctx context.Context, program string, seed uint64, duration time.Duration, logs string, keep bool) (report, error) {
	dir, err := os.MkdirTemp(logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return report{}, err
	}
	s := &soak{domainsOutOfService: make(map[string]time.Time), cancelled: make(map[string]bool), rng: rand.New(rand.NewPCG(seed, 1))}
	s.fleet, err = newFleet(ctx, program, dir, seed, s.taskBehavior)
	if err != nil {
		if s.fleet != nil {
			s.fleet.close()
		}
		return report{}, err
	}
	time.Sleep(settleTime)
	s.runLoad(seed, duration)
	r := s.report(seed)
	s.fleet.close()
	if err := ctx.Err(); err != nil {
		return r, err // an interrupted seed has no result
	}
	if len(r.Violations) == 0 && !keep {
		return r, os.RemoveAll(dir)
	}
	r.Logs = filepath.Clean(dir)
	return r, nil
}

// runLoad runs callers and faults, waits for all answers and checks the results.
func (s *soak) runLoad(seed uint64, duration time.Duration) {
	s.began = time.Now()
	until := s.began.Add(duration)
	// Includes the longest fault, which may begin just before until, and the recovery from it.
	s.callDeadline = until.Add(domainBound + maxFaultDuration + recoveryBound)
	var wg sync.WaitGroup
	for n := range faultSequences {
		rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
		wg.Go(func() { s.injectFaults(rng, faults(), until) })
	}
	wg.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, callerFaultStream)), callerFaults(), until) })
	for n := range callerCount {
		c := &caller{soak: s, number: n, rng: rand.New(rand.NewPCG(seed, uint64(200+n))), habits: rand.New(rand.NewPCG(seed, uint64(300+n)))}
		wg.Go(func() { c.run(until) })
	}
	wg.Wait()
	s.checkResults()
}

// maxFaultDuration bounds the durations that faultDuration returns.
const maxFaultDuration = 4 * time.Second

// checkResults waits for the ends of accepted durable jobs, and checks all results against the
// starts at the endpoints.
func (s *soak) checkResults() {
	limit := time.Now().Add(recoveryBound)
	c := &caller{soak: s, rng: s.rng}
	c.switchCoordinator()
	for i := range s.results {
		result := &s.results[i]
		if result.state != "" || !result.accepted || result.job.BestEffort {
			continue
		}
		result.state = c.awaitEnd(result.job, limit)
		if !result.state.Ended() {
			s.fleet.checker.AddViolation(fmt.Sprintf("kept job %s is %q %s after the last fault", result.job.ID, result.state, recoveryBound))
		}
	}
	for i := range s.results {
		s.checkStarts(&s.results[i])
	}
}

// checkStarts checks one result against the recorded starts: no task of a refused job has started,
// and every task of a completed job has.
func (s *soak) checkStarts(result *jobResult) {
	for step := range result.job.Steps {
		for index := range result.job.Steps[step].Count {
			task := work.TaskName(result.job.ID, step, index)
			starts := s.fleet.checker.StartCount(task)
			switch {
			case result.refused && starts > 0:
				s.fleet.checker.AddViolation("refused as not run, but started: " + task)
			case result.state == work.StateCompleted && starts == 0:
				s.fleet.checker.AddViolation("completed, but never started: " + task)
			}
		}
	}
}

func (s *soak) report(seed uint64) report {
	r := report{Seed: seed, Jobs: len(s.results), Answers: s.answers, Cut: s.cut, Starts: s.fleet.checker.RunCount(), Faults: s.injected, Violations: s.fleet.checker.Violations()}
	for i := range s.results {
		result := &s.results[i]
		if ms := result.latency.Milliseconds(); ms > r.LongestMS {
			r.LongestMS, r.LongestJob = ms, result.job.ID
		}
		r.Resent += result.attempts - 1
		r.AtOnce += result.atOnce
		switch {
		case result.refused:
			r.Refused++
		case result.state == work.StateCompleted:
			r.Completed++
		default:
			r.Failed++
		}
	}
	slices.Sort(r.Violations)
	r.Violations = slices.Compact(r.Violations)
	return r
}
