package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"carobpulley"
)

// simEvent is a function to run at a virtual time. It holds no pointer, which keeps the
// heap cheap; slot is the index of the function in simulation.funcs.
type simEvent struct {
	at        time.Duration
	seq, slot int
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	*q = old[:n]
	return x
}

// process is a simulated process: events of a paused one are postponed, events of a dead
// one are dropped.
type process struct {
	name, domain string
	dead         bool
	incarnation  uint64
	pausedUntil  time.Time
}

// configChange is a configuration record: a domain is taken out of service or put back.
type configChange struct {
	domain    string
	inService bool
}

// startRecord is a start as the endpoint sees it.
type startRecord struct {
	at                     time.Time
	agent, domain, payload string
}

// simulation is a cluster in virtual time: three entries, six agents and a log.
type simulation struct {
	now       time.Time
	seq       int
	queue     eventQueue
	funcs     []func()
	freeSlots []int
	rng       *rand.Rand
	entries   []*simEntry
	agents    []*simAgent
	log       process
	names     []string
	// without names protections that are left out, to show that the checks find their
	// absence.
	without string
	// slow makes tasks run for seconds, so that others queue.
	slow bool
	// smallHeldLimit limits the copies that entries hold for others, so that owners wait
	// for the journal.
	smallHeldLimit bool

	claims  []carobpulley.ClaimRead
	config  []configChange
	journal []carobpulley.Claim

	messagesLostUntil, answersLostUntil, delayedUntil, logDownUntil, logAnswersLostUntil time.Time
	// delayed reports whether a connection delivers late until delayedUntil.
	delayed func(from, to *process) bool

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
	// pending is the number of callers without a final answer; the run stops 9 s after the
	// last one.
	pending int
	stopAt  time.Time
}

var simDomains = []string{"d1", "d2", "d3"}

func newSimulation(s schedule) *simulation {
	sim := &simulation{
		now: start, rng: rand.New(rand.NewPCG(s.seed, 1)), names: []string{"a", "b", "c"}, without: s.without, step: s.step,
		starts: map[carobpulley.TaskID][]startRecord{}, notRun: map[string]bool{},
		complete: map[carobpulley.JobID]string{}, removed: map[string]time.Time{},
	}
	sim.slow = sim.chance(0.2) || s.slow
	sim.smallHeldLimit = s.seed%4 == 3
	for i, n := range sim.names {
		sim.entries = append(sim.entries, &simEntry{sim: sim, process: process{name: n, domain: simDomains[i]}})
	}
	for i := range 6 {
		sim.agents = append(sim.agents, &simAgent{sim: sim, process: process{name: fmt.Sprint("e", i), domain: simDomains[i%3]}})
	}
	for _, e := range sim.entries {
		e.boot()
	}
	for _, a := range sim.agents {
		a.boot()
	}
	return sim
}

// lacks reports whether a protection is left out.
func (sim *simulation) lacks(protection string) bool {
	return strings.Contains(sim.without, protection)
}

// after runs fn after a delay.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	slot := len(sim.funcs)
	if n := len(sim.freeSlots); n > 0 {
		slot, sim.freeSlots = sim.freeSlots[n-1], sim.freeSlots[:n-1]
		sim.funcs[slot] = fn
	} else {
		sim.funcs = append(sim.funcs, fn)
	}
	heap.Push(&sim.queue, simEvent{at: sim.now.Sub(start) + d, seq: sim.seq, slot: slot})
}

// on runs fn in a process after a delay, unless the process dies before.
func (sim *simulation) on(p *process, d time.Duration, fn func()) {
	incarnation := p.incarnation
	sim.after(d, func() {
		switch {
		case p.dead || p.incarnation != incarnation:
		case sim.now.Before(p.pausedUntil):
			sim.on(p, p.pausedUntil.Sub(sim.now), fn)
		default:
			fn()
		}
	})
}

// every runs fn in a process periodically.
func (sim *simulation) every(p *process, d time.Duration, fn func()) {
	sim.on(p, d*3/4+sim.randomUpTo(d/4), func() {
		fn()
		sim.every(p, d, fn)
	})
}

func (sim *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)) + 1)
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// send delivers a message, unless a fault loses it. A delayed connection delivers it late.
func (sim *simulation) send(from, to *process, fn func()) {
	d := 200*time.Microsecond + sim.randomUpTo(2*time.Millisecond)
	if sim.now.Before(sim.messagesLostUntil) && sim.chance(0.5) {
		return
	}
	if sim.now.Before(sim.delayedUntil) && sim.delayed(from, to) {
		d += sim.delayedUntil.Sub(sim.now)
	}
	sim.after(d, func() { sim.on(to, 0, fn) })
}

// call sends a request whose handler gets a reply function. done runs once, with the answer
// or at the timeout.
func call[T any](sim *simulation, from, to *process, timeout time.Duration, handle func(func(T)), done func(T, bool)) {
	over := false
	finish := func(v T, ok bool) {
		if !over {
			over = true
			done(v, ok)
		}
	}
	incarnation := from.incarnation
	sim.send(from, to, func() {
		handle(func(v T) {
			if sim.now.Before(sim.answersLostUntil) && sim.chance(0.5) {
				return
			}
			sim.send(to, from, func() {
				if from.incarnation == incarnation {
					finish(v, true)
				}
			})
		})
	})
	sim.on(from, timeout, func() {
		var none T
		finish(none, false)
	})
}

// append adds a record to the log. A lost answer is reported as a failure although the
// record was added.
func (sim *simulation) append(from *process, effect func(), done func(bool)) {
	sim.on(from, 2*time.Millisecond+sim.randomUpTo(5*time.Millisecond), func() {
		if sim.now.Before(sim.logDownUntil) || sim.now.Before(sim.delayedUntil) && sim.delayed(from, &sim.log) {
			sim.on(from, time.Second, func() { done(false) })
			return
		}
		effect()
		if sim.now.Before(sim.logAnswersLostUntil) && sim.chance(0.5) {
			sim.on(from, time.Second, func() { done(false) })
			return
		}
		sim.on(from, time.Millisecond, func() { done(true) })
	})
}

// run processes events up to the given time.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && (sim.pending > 0 || sim.now.Before(sim.stopAt)) {
		x := heap.Pop(&sim.queue).(simEvent)
		sim.now = start.Add(x.at)
		fn := sim.funcs[x.slot]
		sim.funcs[x.slot], sim.freeSlots = nil, append(sim.freeSlots, x.slot)
		fn()
	}
}

// reachStep injects the faults if the first job reaches the schedule's step for the first
// time.
func (sim *simulation) reachStep(step string, id carobpulley.JobID, e *simEntry, a *simAgent) {
	if sim.fired || step != sim.step || id.Key != "k0" {
		return
	}
	sim.fired = true
	if a == nil {
		a = sim.agents[sim.rng.IntN(len(sim.agents))]
	}
	sim.fault(e, a)
}

// checkStart checks a start against all starts and answers so far.
func (sim *simulation) checkStart(a *simAgent, d carobpulley.Dispatch) {
	payload := string(d.Payload)
	for _, s := range sim.starts[d.ID] {
		sim.recordViolation("task %v started twice: at %s %v, at %s", d.ID, s.agent, s.at.Sub(start), a.name)
	}
	for i := range simTasks {
		for _, s := range sim.starts[carobpulley.TaskID{Job: d.ID.Job, Index: i}] {
			if body(s.payload) != body(payload) {
				sim.recordViolation("job %v runs two bodies", d.ID.Job)
			}
		}
	}
	sim.starts[d.ID] = append(sim.starts[d.ID], startRecord{sim.now, a.name, a.domain, payload})
	if sim.notRun[body(payload)] || sim.notRun[payload] {
		sim.recordViolation("%s starts after it was reported as not run", payload)
	}
	if at, ok := sim.removed[a.domain]; ok && sim.now.Sub(at) > 3*time.Second {
		sim.recordViolation("%s starts in %s %v after its removal", payload, a.domain, sim.now.Sub(at))
	}
}

// checkAnswer checks an answer that a caller received for its body.
func (sim *simulation) checkAnswer(spec carobpulley.JobSpec, a carobpulley.Answer, err *carobpulley.Error) {
	if err != nil {
		if err.NotRun {
			sim.checkNotRun(body(string(spec.Payloads[0])), spec)
		}
		return
	}
	switch a.Outcome {
	case carobpulley.OutcomeNotRun:
		sim.checkNotRun(body(string(spec.Payloads[0])), spec)
	case carobpulley.OutcomeFailed:
		for _, k := range a.Tasks {
			if k.Phase == carobpulley.PhaseNotRun && k.Index < len(spec.Payloads) {
				sim.checkNotRun(string(spec.Payloads[k.Index]), spec)
			}
		}
	case carobpulley.OutcomeComplete:
		sim.checkComplete(spec, a)
	}
}

func (sim *simulation) checkNotRun(what string, spec carobpulley.JobSpec) {
	sim.notRun[what] = true
	for i, p := range spec.Payloads {
		for _, s := range sim.starts[carobpulley.TaskID{Job: spec.ID, Index: i}] {
			if s.payload == string(p) && (s.payload == what || body(s.payload) == what) {
				sim.recordViolation("%s is reported as not run and started at %s", what, s.agent)
			}
		}
	}
}

func (sim *simulation) checkComplete(spec carobpulley.JobSpec, a carobpulley.Answer) {
	var all []string
	for i := range spec.Payloads {
		if i >= len(a.Tasks) || string(a.Tasks[i].Result) != "r:"+string(spec.Payloads[i]) {
			sim.recordViolation("the complete answer to %v lacks results", spec.ID)
			return
		}
		all = append(all, string(a.Tasks[i].Result))
	}
	text := strings.Join(all, ",")
	if old, ok := sim.complete[spec.ID]; ok && old != text {
		sim.recordViolation("two complete answers to %v differ", spec.ID)
	}
	sim.complete[spec.ID] = text
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v ", sim.now.Sub(start))+fmt.Sprintf(format, args...))
}

// body returns the part of a payload that identifies the job and its body.
func body(payload string) string {
	return payload[:strings.LastIndexByte(payload, '/')]
}
