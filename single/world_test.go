package single

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	agents = 3
	// resendAfter is the platform's time from a caller's broken call to its next one.
	resendAfter = 1300 * time.Millisecond
	maxLeaseMS  = 1000
	// slowestRate is the rate of the slowest clock that an endpoint may have.
	slowestRate = 0.98
	testService = "s"
	endpointCPU = 4000
)

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// world is one coordinator, which may be replaced by a successor, with agents and callers.
type world struct {
	mix    mix
	rng    *rand.Rand
	now    time.Time
	queue  events
	pushed int
	trace  []string
	broke  string

	// ownDeadline is set if endpoints judge a start as late by its own deadline only, and not by the lease
	// in force.
	ownDeadline bool
	// pollsFromArrival is set if the lease of a late poll counts from its arrival.
	pollsFromArrival bool

	agents []*agent
	co     *coordinator
	// placements holds the placements of each task in their order.
	placements map[string][]*placement
	// basis holds, by placement key, why the coordinator took the run to be over.
	basis map[string]string
	// begun counts runs, placed placements, and again the placements of tasks that had a run, by the basis of
	// the last one.
	begun, placed int
	again         map[string]int
	// leftOut holds how long runs were on that began in spite of a later placement, where the mix leaves that out.
	leftOut []time.Duration
}

func (w *world) after(d time.Duration, do func()) {
	w.pushed++
	heap.Push(&w.queue, event{w.now.Add(d), w.pushed, do})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) ms(low, high int) time.Duration {
	return w.between(time.Duration(low)*time.Millisecond, time.Duration(high)*time.Millisecond)
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) log(f string, a ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.3f ", w.now.Sub(testStart).Seconds())+fmt.Sprintf(f, a...))
}

func (w *world) fail(f string, a ...any) {
	if w.broke == "" {
		w.log(f, a...)
		w.broke = w.trace[len(w.trace)-1]
	}
}

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && w.queue[0].at.Before(until) && w.broke == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		for _, a := range w.agents {
			a.endpoint.expire()
		}
		e.do()
	}
}

// process is a process that may be frozen or replaced.
type process struct {
	w      *world
	up     bool
	number int
	frozen time.Time
}

// mine returns a step of the process as it is now, which waits for the end of a freeze.
func (p *process) mine(do func()) func() {
	n := p.number
	var step func()
	step = func() {
		switch {
		case !p.up || p.number != n:
		case p.w.now.Before(p.frozen):
			p.w.after(p.frozen.Sub(p.w.now)+p.w.between(0, 4*time.Millisecond), step)
		default:
			do()
		}
	}
	return step
}

func (p *process) freeze(d time.Duration) {
	if until := p.w.now.Add(d); until.After(p.frozen) {
		p.frozen = until
	}
}

// path is the state of the messages between the coordinator and an agent, in one direction.
type path struct {
	until     time.Time
	lost, dup float64
	slow      time.Duration
}

// carry carries a message, or two copies of it.
func (w *world) carry(p *path, arrive func()) {
	copies := 1
	troubled := w.now.Before(p.until)
	if troubled && w.chance(p.dup) {
		copies = 2
	}
	for range copies {
		d := w.between(0, 3*time.Millisecond)
		if troubled {
			if w.chance(p.lost) {
				continue
			}
			d += w.between(0, p.slow+1)
		}
		w.after(d, arrive)
	}
}

// rpc carries a call to a process and its reply back. done gets nil without a reply in time.
func (w *world) rpc(to *process, there, back *path, timeout time.Duration, serve func() any, done func(any)) {
	settled := false
	finish := func(reply any) {
		if !settled {
			settled = true
			done(reply)
		}
	}
	w.after(timeout, func() { finish(nil) })
	w.carry(there, func() {
		if !to.up {
			w.after(w.between(0, 3*time.Millisecond), func() { finish(nil) })
			return
		}
		to.mine(func() {
			reply := serve()
			w.carry(back, func() { finish(reply) })
		})()
	})
}
