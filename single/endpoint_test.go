package single

import (
	"maps"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// atWork is a run at an endpoint.
type atWork struct {
	p        *placement
	cpu      int64
	stopping bool
}

// sent is a start that was sent to an endpoint.
type sent struct {
	lease carobpulley.Lease
	at    time.Time
	// pending is set while it may still be carried out.
	pending    bool
	generation int64
	// refused is set if the endpoint's generation would have refused it when that generation ended.
	refused bool
	// lapsesAt is the time at which that generation would have taken it for late.
	lapsesAt time.Time
}

// endpoint is modelled by the protocol's page.
type endpoint struct {
	w          *world
	name       string
	id         string
	ids        int
	generation int64
	bornAt     time.Time
	bootMS     int64
	rate       float64
	down       bool
	draining   bool
	sequence   int64
	capacity   int64
	token      int64
	deadline   int64
	running    map[work.Run]*atWork
	finished   []work.End
	lastEnd    int64
	ended      map[string]int64
}

func (e *endpoint) clock() int64 {
	return e.bootMS + int64(float64(e.w.now.Sub(e.bornAt).Milliseconds())*e.rate)
}

// bear starts a generation of the endpoint, which knows nothing of before.
func (e *endpoint) bear(newID bool) {
	if e.id == "" || newID {
		e.ids++
		e.id = e.name + "-" + string(rune('a'+e.ids%26))
	}
	e.generation = max(e.generation+1, e.w.now.UnixMilli())
	e.bornAt = e.w.now
	e.bootMS = 1 + e.w.rng.Int64N(300)
	e.rate = []float64{slowestRate, slowestRate, 0.99, 1}[e.w.rng.IntN(4)]
	e.down, e.draining = false, false
	e.sequence, e.token, e.deadline, e.lastEnd = 0, 0, 0, 0
	e.running, e.ended, e.finished = map[work.Run]*atWork{}, map[string]int64{}, nil
	e.w.log("%s: born as %s/%d", e.name, e.id, e.generation)
}

func (e *endpoint) crash() {
	for _, all := range e.w.placements {
		for _, p := range all {
			for _, s := range p.starts {
				if !s.pending || p.agent.endpoint != e || s.generation != e.generation {
					continue
				}
				s.refused = !p.canBegin(s, true)
				left := s.lease.DeadlineMS - e.clock()
				if !e.w.ownDeadline {
					left = max(left, e.deadline-e.clock())
				}
				s.lapsesAt = e.w.now.Add(time.Duration(float64(left)/e.rate) * time.Millisecond)
			}
		}
	}
	e.down = true
	e.running = map[work.Run]*atWork{}
	e.w.log("%s: down", e.name)
}

func (e *endpoint) expire() {
	if e.down || len(e.running) == 0 || e.clock() < e.deadline {
		return
	}
	e.w.log("%s: lease expired", e.name)
	for _, key := range e.runs() {
		e.end(key, work.OutcomeLeaseExpired)
	}
}

// list adds an end to the list.
func (e *endpoint) list(key work.Run, o work.Outcome) {
	e.lastEnd++
	e.finished = append(e.finished, work.End{Sequence: e.lastEnd, Run: key, Outcome: o})
}

func (e *endpoint) runs() []work.Run {
	return slices.SortedFunc(maps.Keys(e.running), compareRuns)
}

func (e *endpoint) end(key work.Run, o work.Outcome) {
	if p := e.running[key].p; !p.leftOutAt.IsZero() {
		e.w.leftOut = append(e.w.leftOut, e.w.now.Sub(p.leftOutAt))
	}
	delete(e.running, key)
	e.ended[key.Task] = max(e.ended[key.Task], key.Number)
	e.list(key, o)
}

// accept takes over a token; the endpoint does nothing for a lower one.
func (e *endpoint) accept(l carobpulley.Lease) bool {
	if l.Token < e.token {
		return false
	}
	e.token = l.Token
	return true
}

func (e *endpoint) renew(deadline int64) {
	if deadline > 0 {
		e.deadline = max(e.deadline, min(deadline, e.clock()+maxLeaseMS))
	}
}

// late reports whether a start with a deadline is late.
func (e *endpoint) late(deadline int64) bool {
	return deadline <= e.clock() && (e.w.ownDeadline || e.deadline <= e.clock())
}

func (e *endpoint) used() int64 {
	var sum int64
	for _, r := range e.running {
		sum += r.cpu
	}
	return sum
}

// start carries out a start and returns the refusal.
func (e *endpoint) start(s work.Start, p *placement, copied *sent, l carobpulley.Lease) string {
	w := e.w
	if l.Instance != e.id {
		return carobpulley.RefusalWrongInstance
	}
	if refusal := w.oddRefusal(); refusal != "" {
		return refusal
	}
	if !e.accept(l) {
		return carobpulley.RefusalStaleToken
	}
	if r := e.running[s.Run]; r != nil {
		e.renew(l.DeadlineMS)
		r.p = p
		return ""
	}
	switch {
	case s.Run.Number <= e.ended[s.Run.Task]:
		e.renew(l.DeadlineMS)
		return carobpulley.RefusalStaleRun
	case e.late(l.DeadlineMS):
		return carobpulley.RefusalLeaseExpired
	case e.used()+s.Resources.CPU > e.capacity:
		e.renew(l.DeadlineMS)
		return carobpulley.RefusalNoCapacity
	}
	e.renew(l.DeadlineMS)
	r := &atWork{p: p, cpu: s.Resources.CPU}
	e.running[s.Run] = r
	w.begun++
	w.log("%s: %s begins, token %d, lease for %d ms", e.name, p, l.Token, e.deadline-e.clock())
	w.checkBegin(p, copied, e)
	generation := e.generation
	w.after(w.runTime(), func() {
		if e.running[s.Run] == r && e.generation == generation && !e.down {
			e.end(s.Run, w.outcome())
		}
	})
	return ""
}

// stop carries out a stop, which takes a moment.
func (e *endpoint) stop(key work.Run, l carobpulley.Lease) string {
	switch {
	case l.Instance != e.id:
		return carobpulley.RefusalWrongInstance
	case !e.accept(l):
		return carobpulley.RefusalStaleToken
	}
	e.ended[key.Task] = max(e.ended[key.Task], key.Number)
	if r := e.running[key]; r != nil && !r.stopping {
		r.stopping = true
		generation := e.generation
		e.w.after(e.w.ms(0, 30), func() {
			if e.running[key] == r && e.generation == generation && !e.down {
				e.end(key, work.OutcomeStopped)
			}
		})
	}
	return ""
}

// hold carries out a poll, which forgets ends, and returns the refusal.
func (e *endpoint) hold(l carobpulley.Lease, lastSeen int64) string {
	switch {
	case l.Instance != e.id:
		return carobpulley.RefusalWrongInstance
	case !e.accept(l):
		return carobpulley.RefusalStaleToken
	}
	e.renew(l.DeadlineMS)
	for len(e.finished) > 0 && e.finished[0].Sequence <= lastSeen {
		e.finished = e.finished[1:]
	}
	return ""
}

func (e *endpoint) lists() carobpulley.RunLists {
	l := carobpulley.RunLists{Clock: e.clock(), Generation: e.generation}
	for _, key := range e.runs() {
		l.Running = append(l.Running, carobpulley.ListedRun{Run: key})
	}
	l.Finished = slices.Clone(e.finished[:min(len(e.finished), 500)])
	return l
}

func (e *endpoint) heartbeat() carobpulley.Heartbeat {
	e.sequence++
	return carobpulley.Heartbeat{
		Instance: e.id, Generation: e.generation, Sequence: e.sequence, Service: testService, Draining: e.draining,
		Capacity: work.Resources{CPU: e.capacity, MemMB: 100000},
	}
}
