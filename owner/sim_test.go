package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"carobpulley"
)

// timed is a function to run at a virtual time. It holds no pointer, which
// keeps the heap cheap; slot is the place of the function in world.fns.
type timed struct {
	at        time.Duration
	seq, slot int
}

type timeline []timed

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q timeline) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(timed)) }

func (q *timeline) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	*q = old[:n]
	return x
}

// proc is a process: events of a paused one wait, events of a dead one are lost.
type proc struct {
	name, domain string
	dead         bool
	gen          uint64
	pausedUntil  time.Time
}

// change is a configuration record: a domain goes out of service or comes back.
type change struct {
	domain string
	in     bool
}

// startRecord is a start as the endpoint sees it.
type startRecord struct {
	at                     time.Time
	agent, domain, payload string
}

// world is a cluster in virtual time: three entries, six agents and a log.
type world struct {
	now     time.Time
	seq     int
	queue   timeline
	fns     []func()
	free    []int
	rng     *rand.Rand
	entries []*simEntry
	agents  []*simAgent
	log     proc
	names   []string
	// without names protections that are left out, to show that their lack is found.
	without string
	// slow makes tasks run for seconds, so that others queue.
	slow bool
	// fewHeld bounds the copies that entries hold for others, so that owners wait
	// for the journal.
	fewHeld bool

	claims  []carobpulley.ClaimRead
	config  []change
	journal []carobpulley.Claim

	dropUntil, loseUntil, silentUntil, logDownUntil, logLoseUntil time.Time
	// silent tells which connections deliver late until silentUntil.
	silent func(from, to *proc) bool

	// step is the step of the first job at which the faults are injected.
	step  string
	fired bool
	fault func(e *simEntry, a *simAgent)

	starts     map[carobpulley.TaskID][]startRecord
	notRun     map[string]bool
	complete   map[carobpulley.JobID]string
	removed    map[string]time.Time
	violations []string
	history    history
	finished   int
	// pending is the number of callers without a final answer; the run stops a
	// while after the last one.
	pending int
	stopAt  time.Time
}

var simDomains = []string{"d1", "d2", "d3"}

func newWorld(s schedule) *world {
	w := &world{
		now: start, rng: rand.New(rand.NewPCG(s.seed, 1)), names: []string{"a", "b", "c"}, without: s.without, step: s.step,
		starts: map[carobpulley.TaskID][]startRecord{}, notRun: map[string]bool{},
		complete: map[carobpulley.JobID]string{}, removed: map[string]time.Time{},
	}
	w.slow = w.chance(0.2) || s.slow
	w.fewHeld = s.seed%4 == 3
	for i, n := range w.names {
		w.entries = append(w.entries, &simEntry{w: w, proc: proc{name: n, domain: simDomains[i]}})
	}
	for i := range 6 {
		w.agents = append(w.agents, &simAgent{w: w, proc: proc{name: fmt.Sprint("e", i), domain: simDomains[i%3]}})
	}
	for _, e := range w.entries {
		e.boot()
	}
	for _, a := range w.agents {
		a.boot()
	}
	return w
}

// lacks reports whether a protection is left out.
func (w *world) lacks(protection string) bool { return strings.Contains(w.without, protection) }

// after runs fn at a later time.
func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	slot := len(w.fns)
	if n := len(w.free); n > 0 {
		slot, w.free = w.free[n-1], w.free[:n-1]
		w.fns[slot] = fn
	} else {
		w.fns = append(w.fns, fn)
	}
	heap.Push(&w.queue, timed{at: w.now.Sub(start) + d, seq: w.seq, slot: slot})
}

// on runs fn in a process after a delay, unless the process dies before.
func (w *world) on(p *proc, d time.Duration, fn func()) {
	gen := p.gen
	w.after(d, func() {
		switch {
		case p.dead || p.gen != gen:
		case w.now.Before(p.pausedUntil):
			w.on(p, p.pausedUntil.Sub(w.now), fn)
		default:
			fn()
		}
	})
}

// every runs fn in a process again and again.
func (w *world) every(p *proc, d time.Duration, fn func()) {
	w.on(p, d*3/4+w.upTo(d/4), func() {
		fn()
		w.every(p, d, fn)
	})
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)) + 1)
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// send delivers a message, unless a fault loses it. A silent connection
// delivers it late.
func (w *world) send(from, to *proc, fn func()) {
	d := 200*time.Microsecond + w.upTo(2*time.Millisecond)
	if w.now.Before(w.dropUntil) && w.chance(0.5) {
		return
	}
	if w.now.Before(w.silentUntil) && w.silent(from, to) {
		d += w.silentUntil.Sub(w.now)
	}
	w.after(d, func() { w.on(to, 0, fn) })
}

// call sends a request whose handler gets a reply function. done runs once
// with the answer or at the timeout.
func call[T any](w *world, from, to *proc, timeout time.Duration, handle func(func(T)), done func(T, bool)) {
	over := false
	finish := func(v T, ok bool) {
		if !over {
			over = true
			done(v, ok)
		}
	}
	gen := from.gen
	w.send(from, to, func() {
		handle(func(v T) {
			if w.now.Before(w.loseUntil) && w.chance(0.5) {
				return
			}
			w.send(to, from, func() {
				if from.gen == gen {
					finish(v, true)
				}
			})
		})
	})
	w.on(from, timeout, func() {
		var none T
		finish(none, false)
	})
}

// append adds a record to the log. A lost answer is reported as a failure
// although the record is there.
func (w *world) append(from *proc, effect func(), done func(bool)) {
	w.on(from, 2*time.Millisecond+w.upTo(5*time.Millisecond), func() {
		if w.now.Before(w.logDownUntil) || w.now.Before(w.silentUntil) && w.silent(from, &w.log) {
			w.on(from, time.Second, func() { done(false) })
			return
		}
		effect()
		if w.now.Before(w.logLoseUntil) && w.chance(0.5) {
			w.on(from, time.Second, func() { done(false) })
			return
		}
		w.on(from, time.Millisecond, func() { done(true) })
	})
}

// run lets time pass.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && (w.pending > 0 || w.now.Before(w.stopAt)) {
		x := heap.Pop(&w.queue).(timed)
		w.now = start.Add(x.at)
		fn := w.fns[x.slot]
		w.fns[x.slot], w.free = nil, append(w.free, x.slot)
		fn()
	}
}

// at marks a step of the first job's life, where the faults are injected.
func (w *world) at(step string, id carobpulley.JobID, e *simEntry, a *simAgent) {
	if w.fired || step != w.step || id.Key != "k0" {
		return
	}
	w.fired = true
	if a == nil {
		a = w.agents[w.rng.IntN(len(w.agents))]
	}
	w.fault(e, a)
}

// started checks a start against all that was recorded and told before.
func (w *world) started(a *simAgent, d carobpulley.Dispatch) {
	payload := string(d.Payload)
	for _, s := range w.starts[d.ID] {
		w.violate("task %v started twice: at %s %v, at %s", d.ID, s.agent, s.at.Sub(start), a.name)
	}
	for i := range simTasks {
		for _, s := range w.starts[carobpulley.TaskID{Job: d.ID.Job, Index: i}] {
			if body(s.payload) != body(payload) {
				w.violate("job %v runs two bodies", d.ID.Job)
			}
		}
	}
	w.starts[d.ID] = append(w.starts[d.ID], startRecord{w.now, a.name, a.domain, payload})
	if w.notRun[body(payload)] || w.notRun[payload] {
		w.violate("%s starts after it was told not run", payload)
	}
	if at, ok := w.removed[a.domain]; ok && w.now.Sub(at) > 3*time.Second {
		w.violate("%s starts in %s %v after its removal", payload, a.domain, w.now.Sub(at))
	}
}

// told checks an answer that a caller got for its body.
func (w *world) told(spec carobpulley.JobSpec, a carobpulley.Answer, err *carobpulley.Error) {
	if err != nil {
		if err.NotRun {
			w.toldNotRun(body(string(spec.Payloads[0])), spec)
		}
		return
	}
	switch a.Outcome {
	case carobpulley.OutcomeNotRun:
		w.toldNotRun(body(string(spec.Payloads[0])), spec)
	case carobpulley.OutcomeFailed:
		for _, k := range a.Tasks {
			if k.Phase == carobpulley.PhaseNotRun && k.Index < len(spec.Payloads) {
				w.toldNotRun(string(spec.Payloads[k.Index]), spec)
			}
		}
	case carobpulley.OutcomeComplete:
		w.toldComplete(spec, a)
	}
}

func (w *world) toldNotRun(what string, spec carobpulley.JobSpec) {
	w.notRun[what] = true
	for i, p := range spec.Payloads {
		for _, s := range w.starts[carobpulley.TaskID{Job: spec.ID, Index: i}] {
			if s.payload == string(p) && (s.payload == what || body(s.payload) == what) {
				w.violate("%s is told not run and started at %s", what, s.agent)
			}
		}
	}
}

func (w *world) toldComplete(spec carobpulley.JobSpec, a carobpulley.Answer) {
	var all []string
	for i := range spec.Payloads {
		if i >= len(a.Tasks) || string(a.Tasks[i].Result) != "r:"+string(spec.Payloads[i]) {
			w.violate("the complete answer to %v is not whole", spec.ID)
			return
		}
		all = append(all, string(a.Tasks[i].Result))
	}
	text := strings.Join(all, ",")
	if old, ok := w.complete[spec.ID]; ok && old != text {
		w.violate("two complete answers to %v differ", spec.ID)
	}
	w.complete[spec.ID] = text
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v ", w.now.Sub(start))+fmt.Sprintf(format, args...))
}

// body returns the part of a payload that names the job and its body.
func body(payload string) string {
	return payload[:strings.LastIndexByte(payload, '/')]
}
