package emul

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Specifications of the jobs of callers that submit their jobs again: of some the first task always
// fails, and the rest is like the other jobs.
const (
	specFails    = "fails"
	specOther    = "other"
	specOrdinary = "x"
)

// duplicateInterval is the mean time between two of these callers.
const duplicateInterval = 60 * time.Millisecond

// duplicateBehavior returns a behavior by which runs take 20 ms to 1 s.
func duplicateBehavior(seed uint64) func(work.Start) (time.Duration, work.Outcome) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	return func(s work.Start) (time.Duration, work.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		d := time.Duration(20+rng.IntN(980)) * time.Millisecond
		if _, _, index, err := work.ParseTaskName(s.Run.Task); err == nil && index == 0 && s.Spec == specFails {
			return d / 4, work.OutcomeFailed
		}
		return d, work.OutcomeDone
	}
}

// duplicate is a caller of a job that is submitted several times.
type duplicate struct {
	f   *Fleet
	rng *rand.Rand
	job *work.Job
	// since is the time of the first submission.
	since time.Time
	// results counts the answers by state.
	results map[work.State]int
}

// submit submits the job once and checks the answer. It reports whether there was one.
func (d *duplicate) submit(at int, patience time.Duration) bool {
	again := *d.job
	a := d.f.submitUntil(at, &again, patience)
	if a.Code != carobpulley.AnswerOK {
		return false
	}
	d.f.Checker.CheckAnswer(d.job, d.since, a.State)
	d.results[a.State]++
	return true
}

// play submits the job until it is answered, and then again.
func (d *duplicate) play() {
	f, rng := d.f, d.rng
	d.since = time.Now()
	at := rng.IntN(len(f.Coordinators))
	for range 4 {
		patience := 3 * time.Second
		if rng.IntN(4) == 0 {
			patience = time.Duration(20+rng.IntN(600)) * time.Millisecond
		}
		var beside sync.WaitGroup
		if rng.IntN(4) == 0 { // a request that arrives twice while its job runs, at the same process
			wait, p := time.Duration(rng.IntN(400))*time.Millisecond, f.coordinator(at)
			own := *d
			own.results = make(map[work.State]int)
			beside.Go(func() {
				time.Sleep(wait)
				if f.coordinator(at) == p {
					own.submit(at, patience)
				}
			})
		}
		answered := d.submit(at, patience)
		beside.Wait()
		if answered {
			break
		}
		time.Sleep(resubmitAfter)
		at = rng.IntN(len(f.Coordinators))
	}
	for range 1 + rng.IntN(2) {
		// A stop takes until the lease has ended; before that a duplicate goes to the same coordinator.
		wait := time.Duration(rng.IntN(3000)) * time.Millisecond
		if rng.IntN(6) == 0 {
			wait += 11 * time.Second
		}
		time.Sleep(wait)
		if wait >= resubmitAfter {
			at = rng.IntN(len(f.Coordinators))
		}
		d.submit(at, 3*time.Second)
	}
}

// playDurable submits the job, which is durable, until it is accepted, and again until it has ended.
func (d *duplicate) playDurable() {
	f, rng := d.f, d.rng
	d.since = time.Now()
	for accepted, tries := false, 0; tries < 40; tries++ {
		at, again := rng.IntN(len(f.Coordinators)), *d.job
		switch a := f.submitUntil(at, &again, 3*time.Second); {
		case a.Code == carobpulley.AnswerConflict && !accepted:
			return // another job with the id is known there
		case a.Code == carobpulley.AnswerOK:
			accepted = true
		}
		time.Sleep(resubmitAfter)
		if a := f.coordinator(at).Coordinator.State(f.ctx, testQueue, d.job.ID); accepted && a.Code == carobpulley.AnswerOK && a.State.Ended() {
			f.Checker.CheckAnswer(d.job, d.since, a.State)
			d.results[a.State]++
			return
		}
	}
	f.Checker.AddViolation("durable job " + d.job.ID + " has not ended")
}

// duplicateCallers lets callers play for elsewhereLoad. A share of the ids is used by a second, other job,
// once the first one is over.
func (f *Fleet) duplicateCallers(seed uint64, interval time.Duration) map[work.State]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := make(map[work.State]int)
	rng := rand.New(rand.NewPCG(seed, 5))
	began := time.Now()
	for n := 0; time.Since(began) < elsewhereLoad; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * interval))))
		spec := specOrdinary
		if rng.IntN(4) == 0 {
			spec = specFails
		}
		own, tasks, shared := rand.New(rand.NewPCG(seed, uint64(n))), 1+rng.IntN(4), rng.IntN(8) == 0
		wg.Go(func() {
			specs := []string{spec}
			if shared {
				specs = append(specs, specOther)
			}
			for _, s := range specs {
				j := specJob(n, s != specOther || own.IntN(2) == 0, tasks, s)
				d := duplicate{f: f, rng: own, job: j, results: make(map[work.State]int)}
				if j.BestEffort {
					d.play()
				} else {
					d.playDurable()
				}
				mu.Lock()
				for state, count := range d.results {
					total[state] += count
				}
				mu.Unlock()
				time.Sleep(resubmitAfter)
			}
		})
	}
	wg.Wait()
	return total
}

// Guards against an answer that the runs of its own submissions don't bear out, as callers submit their
// jobs again beside and after the answers, some ids are used by two jobs, and processes and endpoints fail.
func TestDuplicateDays(t *testing.T) {
	playSeeds(t, 2, duplicateBehavior, func(f *Fleet, seed uint64) {
		faults := f.injectPairs(seed)
		total := f.duplicateCallers(seed, duplicateInterval)
		faults.Wait()
		if total[work.StateCompleted] == 0 || total[work.StateFailed] == 0 {
			t.Errorf("seed %d: answers %v, want both states", seed, total)
		}
		t.Logf("seed %d: answers %v", seed, total)
	})
}
