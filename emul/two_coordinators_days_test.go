package emul

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// twoCoordinatorsDays is the number of seeds of TestTwoCoordinatorsDays in a test run without EMUL_DAYS.
	twoCoordinatorsDays = 4
	// twoCoordinatorsInterval is the mean time between two callers.
	twoCoordinatorsInterval = 40 * time.Millisecond
	// maxApart bounds the time between two submissions of a caller whose connection breaks as it sends a job.
	maxApart = 90 * time.Millisecond
	// maxBreakSeen bounds the time from the break of a connection until the coordinator sees it, and
	// maxBreakSeenBack that from the time on at which a coordinator that was paused or cut off is back.
	maxBreakSeen     = 300 * time.Millisecond
	maxBreakSeenBack = 200 * time.Millisecond
	// answeredWithin is the time after the last fault within which every caller has an answer.
	answeredWithin = 25 * time.Second
	// reachPoll is the time between two looks at whether a coordinator is reached.
	reachPoll = 5 * time.Millisecond
)

// twoDay is a random day whose callers send their jobs to two coordinators.
type twoDay struct {
	*Fleet
	seed uint64
	// busy excludes simultaneous faults of a coordinator's process.
	busy []chan struct{}

	mu sync.Mutex
	// begun is the number of coordinators that have ever started.
	begun int
	// cuts counts the faults that cut one host off from another one, and unheard those that cut a coordinator
	// off from callers.
	cuts    map[[2]netip.Addr]int
	unheard []int
	// calmAt is the end of the last fault; zero until then.
	calmAt time.Time
	// calls holds the submissions of each job, for the text of a failure.
	calls map[string][]string

	// again counts the submissions that followed another one at once, answers the jobs with a result.
	again, answers atomic.Int64
}

func newTwoDay(f *Fleet, seed uint64) *twoDay {
	d := &twoDay{
		Fleet: f, seed: seed, begun: f.spec.Coordinators - f.spec.Late,
		cuts: make(map[[2]netip.Addr]int), unheard: make([]int, f.spec.Coordinators), calls: make(map[string][]string),
	}
	for range f.spec.Coordinators {
		d.busy = append(d.busy, make(chan struct{}, 1))
	}
	return d
}

// draw returns a coordinator that has ever started.
func (d *twoDay) draw(rng *rand.Rand) int { return rng.IntN(d.count()) }

func (d *twoDay) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun
}

// others returns the coordinators but for one.
func (d *twoDay) others(n int) []int {
	var all []int
	for k := range d.spec.Coordinators {
		if k != n {
			all = append(all, k)
		}
	}
	return all
}

// cut begins or ends the loss of what one host sends to another one.
func (d *twoDay) cut(from, to netip.Addr, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := [2]netip.Addr{from, to}
	if on {
		d.cuts[key]++
	} else {
		d.cuts[key]--
	}
	d.Net.SetBlocked(from, to, d.cuts[key] > 0)
}

// way is the directions of a fault between hosts.
type way struct{ there, back bool }

func drawWay(rng *rand.Rand) way {
	there := rng.IntN(4) != 0
	return way{there, !there || rng.IntN(2) == 0}
}

// cutCoordinators begins or ends the loss of what coordinators send to others (there), or get from them (back).
func (d *twoDay) cutCoordinators(from, to []int, w way, on bool) {
	for _, a := range from {
		for _, b := range to {
			if w.there {
				d.cut(CoordinatorAddr(a), CoordinatorAddr(b), on)
			}
			if w.back {
				d.cut(CoordinatorAddr(b), CoordinatorAddr(a), on)
			}
		}
	}
}

// cutAgents begins or ends the loss of what a coordinator sends to agents (there), or gets from them (back).
func (d *twoDay) cutAgents(n int, w way, on bool) {
	for agent := range d.spec.Endpoints {
		if w.there {
			d.cut(CoordinatorAddr(n), AgentAddr(agent), on)
		}
		if w.back {
			d.cut(AgentAddr(agent), CoordinatorAddr(n), on)
		}
	}
}

// cutAll begins or ends the loss of what a coordinator sends to all hosts, callers among them, or gets from them.
func (d *twoDay) cutAll(n int, w way, on bool) {
	d.cutCoordinators([]int{n}, d.others(n), w, on)
	d.cutAgents(n, w, on)
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.unheard[n]++
	} else {
		d.unheard[n]--
	}
}

// awaitReached waits until a process runs and callers reach it, or it has ended. It reports whether it waited.
func (d *twoDay) awaitReached(n int, p *Process) (waited bool) {
	for !p.hasEnded() {
		waited = p.suspension.wait() || waited
		d.mu.Lock()
		reached := d.unheard[n] == 0
		d.mu.Unlock()
		if reached {
			break
		}
		waited = true
		time.Sleep(reachPoll)
	}
	return waited
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// twoCall is one submission.
type twoCall struct {
	at int
	// late is the time from the sending to the arrival.
	late time.Duration
	// breakAfter is the time from the sending until the connection breaks, if it does before the caller's
	// patience is over.
	breakAfter time.Duration
	// seen is the time from the break until the coordinator sees it, and seenBack that from the time on at which
	// the coordinator is back.
	seen, seenBack time.Duration
}

// submit makes a call. It reports false if the connection has broken before the answer.
func (d *twoDay) submit(c twoCall, j *work.Job) (a carobpulley.JobAnswer, answered bool) {
	p := d.coordinator(c.at)
	ctx, cancel := context.WithCancel(d.ctx)
	arrived, answers := make(chan struct{}), make(chan carobpulley.JobAnswer, 1)
	go func() {
		time.Sleep(c.late)
		d.awaitReached(c.at, p)
		close(arrived)
		if p.hasEnded() {
			return
		}
		limited, cancel := context.WithTimeout(ctx, callerTimeout)
		defer cancel()
		a := p.Coordinator.Submit(limited, j)
		d.awaitReached(c.at, p)
		answers <- a
	}()
	select {
	case a = <-answers:
		cancel()
		return a, true
	case <-p.done:
		cancel()
		return a, false
	case <-time.After(c.breakAfter):
	}
	go func() {
		time.Sleep(c.seen)
		<-arrived // a process reads a job before it sees that its sender has left
		if d.awaitReached(c.at, p) {
			time.Sleep(c.seenBack)
			d.awaitReached(c.at, p)
		}
		cancel()
	}()
	return a, false
}

// isOver reports whether callers should have had their answers by now.
func (d *twoDay) isOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.calmAt.IsZero() && time.Since(d.calmAt) > answeredWithin
}

func (d *twoDay) record(id, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[id] = append(d.calls[id], fmt.Sprintf(format, args...))
}

// logCalls logs the submissions of the jobs that violations name.
func (d *twoDay) logCalls(t *testing.T) {
	for _, v := range d.Checker.Violations() {
		for id, calls := range d.calls {
			if strings.Contains(v, id) {
				t.Logf("job %s: %s", id, strings.Join(calls, "; "))
				delete(d.calls, id)
			}
		}
	}
}

// play submits a job until it is answered, each time at another coordinator: at once if the connection has
// broken soon after the job was sent, and otherwise resubmitAfter later.
func (d *twoDay) play(rng *rand.Rand, j *work.Job) {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	at := d.draw(rng)
	for !d.isOver() {
		c := twoCall{at: at, breakAfter: callerTimeout + 500*time.Millisecond, seen: upTo(1 + upTo(maxBreakSeen)), seenBack: upTo(maxBreakSeenBack)}
		pause := resubmitAfter
		switch rng.IntN(6) {
		case 0, 1:
			apart := upTo(maxApart)
			c.breakAfter = upTo(apart + 1)
			pause = apart - c.breakAfter
			if rng.IntN(3) == 0 {
				c.late = upTo(2 * maxApart) // it may arrive after the second submission
			}
			d.again.Add(1)
		case 2:
			c.breakAfter = upTo(time.Second)
		}
		began, again := time.Now(), *j
		a, answered := d.submit(c, &again)
		d.record(j.ID, "%s to coordinator %d, late by %s, %s later answered %t %d %q; seen after %s and %s", began.Format("15:04:05.000"), at, c.late, time.Since(began), answered, a.Code, a.Reason, c.seen, c.seenBack)
		if answered {
			switch {
			case a.Code == carobpulley.AnswerOK && a.State == work.StateCompleted:
				d.Checker.CheckCompleted(j)
				d.answers.Add(1)
				return
			case a.Code == carobpulley.AnswerOK && a.State == work.StateFailed:
				return
			case a.Code == carobpulley.AnswerOK:
				d.Checker.AddViolation(fmt.Sprintf("job %s was answered as %q", j.ID, a.State))
				return
			case a.Code == carobpulley.AnswerRefused:
				pause = 100 * time.Millisecond
			default:
				pause = resubmitAfter
			}
		} else if time.Since(began) < maxApart && d.coordinator(at).hasEnded() {
			pause = upTo(maxApart) // nothing listens there
		}
		time.Sleep(pause)
		at = (at + 1 + rng.IntN(d.count()-1)) % d.count()
	}
	d.Checker.AddViolation("job " + j.ID + " got no answer")
}

// callers lets callers play for elsewhereLoad, and waits for them.
func (d *twoDay) callers() {
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(d.seed, 5))
	began := time.Now()
	for n := 0; time.Since(began) < elsewhereLoad; n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * twoCoordinatorsInterval))))
		j, own := testJob(n, true, 1+rng.IntN(3)), rand.New(rand.NewPCG(d.seed, uint64(n)))
		j.Steps[0].Resources.CPU = 2000
		wg.Go(func() { d.play(own, j) })
	}
	wg.Wait()
}

// injectFaults injects three faults at a time for elsewhereLoad.
func (d *twoDay) injectFaults(t *testing.T, faults []twoFault) *sync.WaitGroup {
	began := time.Now()
	var wg sync.WaitGroup
	for n := range uint64(3) {
		rng := rand.New(rand.NewPCG(d.seed, 1000+n))
		wg.Go(func() {
			for time.Since(began) < elsewhereLoad {
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				fault, at := faults[rng.IntN(len(faults))], time.Now()
				fault.inject(d, rng)
				t.Logf("%s to %s %s", at.Format("15:04:05.000"), time.Now().Format("15:04:05.000"), fault.name)
			}
		})
	}
	return &wg
}

// Guards against two runs of a task at a time, and against callers without an answer, as they send their jobs
// to two coordinators, at once or after a break, while coordinators are cut off from each other and from other
// hosts, are paused, end and join, and know different members.
func TestTwoCoordinatorsDays(t *testing.T) { playTwoDays(t, twoFaults()) }

// Guards against two runs of a task at a time beside coordinators and agents that are alive but slow: they are taken
// for out by turns, and what they send arrives late.
func TestSlowDays(t *testing.T) {
	faults := slowFaults()
	for range 3 {
		faults = append(faults, faults...)
	}
	playTwoDays(t, append(faults, twoFaults()...))
}

func playTwoDays(t *testing.T, faults []twoFault) {
	t.Helper()
	first, count := seedRange(t)
	if count == defaultSeeds {
		count = twoCoordinatorsDays
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playTwoDay(t, seed, faults, func(*Spec) {}) })
	}
}

// playTwoDay plays the day of a seed on a fleet whose specification is changed before.
func playTwoDay(t *testing.T, seed uint64, faults []twoFault, change func(*Spec)) {
	t.Helper()
	spec := testSpec()
	spec.Seed = seed * 100
	spec.Coordinators = 4 + int(seed%3)
	spec.Late = int(seed/3) % 2
	spec.Behavior = longerBehavior(seed)
	change(&spec)
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		d := newTwoDay(f, seed)
		injected := d.injectFaults(t, faults)
		var callers sync.WaitGroup
		callers.Go(d.callers)
		injected.Wait()
		d.mu.Lock()
		d.calmAt = time.Now()
		d.mu.Unlock()
		callers.Wait()
		d.logCalls(t)
		t.Logf("%d submissions at once after another one, %d jobs answered, %d runs", d.again.Load(), d.answers.Load(), f.Checker.RunCount())
		if d.again.Load() == 0 || d.answers.Load() == 0 {
			t.Error("no job was sent to two coordinators at once, or none was answered")
		}
	})
}
