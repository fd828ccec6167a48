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
	// settle is the time from the start of the processes to the first job.
	settle = 4 * time.Second
	// answerLimit is the time after the last fault by which every caller has its
	// answer, and every kept job its end: the platform's bound on a recovery.
	answerLimit = 12 * time.Second
	// callers is the number of callers.
	callers = 12
	// longShare of the runs take longRun more, so that they are still at work when
	// their job is sent again.
	longShare = 0.15
	longRun   = 2 * time.Second
	// series is the number of faults that may strike side by side.
	series = 2
)

// struck is a fault that was played.
type struck struct {
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
	Starts    int    `json:"starts"`
	LongestMS int64  `json:"longest_ms"`
	// LongestJob had the longest way to its answer.
	LongestJob string   `json:"longest_job"`
	Broken     []string `json:"broken,omitempty"`
	Logs       string   `json:"logs,omitempty"`
	Faults     []struck `json:"faults"`
}

// soak is one seed being played.
type soak struct {
	fleet *fleet
	began time.Time
	// end is when callers give up.
	end   time.Time
	locks [targets]sync.Mutex

	mu       sync.Mutex
	out      map[string]time.Time
	struck   []struck
	outcomes []outcome
	rng      *rand.Rand
}

func (s *soak) take(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

// run decides how a start goes, and checks that its domain is in service.
func (s *soak) run(runner int, start work.Start) (time.Duration, work.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bound, out := s.out[domainOf(runner)]; out && time.Now().After(bound) {
		s.fleet.judge.Fail(fmt.Sprintf("%s started in %s, which is out of service", start.Run.Task, domainOf(runner)))
	}
	d := time.Duration(30+s.rng.IntN(500)) * time.Millisecond
	if s.rng.Float64() < longShare {
		d += longRun
	}
	if s.rng.Float64() < dueFailure {
		return d, work.OutcomeFailed
	}
	return d, work.OutcomeDone
}

// play plays one seed. The logs are kept if it broke a promise, or upon request.
func play(ctx context.Context, program string, seed uint64, duration time.Duration, logs string, keep bool) (report, error) {
	dir, err := os.MkdirTemp(logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return report{}, err
	}
	s := &soak{out: make(map[string]time.Time), rng: rand.New(rand.NewPCG(seed, 1))}
	s.fleet, err = newFleet(ctx, program, dir, seed, s.run)
	if err != nil {
		if s.fleet != nil {
			s.fleet.close()
		}
		return report{}, err
	}
	time.Sleep(settle)
	s.load(seed, duration)
	r := s.report(seed)
	s.fleet.close()
	if err := ctx.Err(); err != nil {
		return r, err // an interrupted seed says nothing
	}
	if len(r.Broken) == 0 && !keep {
		return r, os.RemoveAll(dir)
	}
	r.Logs = filepath.Clean(dir)
	return r, nil
}

// load lets callers and faults loose, and waits for all answers.
func (s *soak) load(seed uint64, duration time.Duration) {
	s.began = time.Now()
	until := s.began.Add(duration)
	// The longest fault that begins at the last moment is over by then.
	s.end = until.Add(domainBound + lastingMost + answerLimit)
	var wg sync.WaitGroup
	for n := range series {
		rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
		wg.Go(func() { s.strike(rng, until) })
	}
	for n := range callers {
		c := &caller{s: s, number: n, rng: rand.New(rand.NewPCG(seed, uint64(200+n)))}
		wg.Go(func() { c.run(until) })
	}
	wg.Wait()
	s.check()
}

// lastingMost is the longest time that a fault lasts.
const lastingMost = 4 * time.Second

// check compares what callers know with what runners saw.
func (s *soak) check() {
	limit := time.Now().Add(answerLimit)
	c := &caller{s: s, rng: s.rng}
	c.elsewhere()
	for i := range s.outcomes {
		o := &s.outcomes[i]
		if o.state != "" || !o.accepted || o.job.BestEffort {
			continue
		}
		o.state = c.state(o.job.ID, limit)
		if !o.state.Ended() {
			s.fleet.judge.Fail(fmt.Sprintf("kept job %s is %q %s after the last fault", o.job.ID, o.state, answerLimit))
		}
	}
	for i := range s.outcomes {
		s.compare(&s.outcomes[i])
	}
}

// compare checks one outcome against the runners' record.
func (s *soak) compare(o *outcome) {
	for step := range o.job.Steps {
		for index := range o.job.Steps[step].Count {
			task := work.TaskName(o.job.ID, step, index)
			starts := s.fleet.judge.Starts(task)
			switch {
			case o.refused && starts > 0:
				s.fleet.judge.Fail("refused as not run, but started: " + task)
			case o.state == work.StateCompleted && starts == 0:
				s.fleet.judge.Fail("completed, but never started: " + task)
			}
		}
	}
}

func (s *soak) report(seed uint64) report {
	r := report{Seed: seed, Jobs: len(s.outcomes), Starts: s.fleet.judge.Begun(), Faults: s.struck, Broken: s.fleet.judge.Broken()}
	for i := range s.outcomes {
		o := &s.outcomes[i]
		if ms := o.took.Milliseconds(); ms > r.LongestMS {
			r.LongestMS, r.LongestJob = ms, o.job.ID
		}
		r.Resent += o.tries - 1
		switch {
		case o.refused:
			r.Refused++
		case o.state == work.StateCompleted:
			r.Completed++
		default:
			r.Failed++
		}
	}
	slices.Sort(r.Broken)
	r.Broken = slices.Compact(r.Broken)
	return r
}
