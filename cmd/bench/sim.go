package main

import (
	"container/heap"
	"time"

	"carobpulley"
)

// epoch is the time at which every run begins.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function that runs at a time; events at the same time run in the
// order in which they were added.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []*event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// loop is a discrete-event loop.
type loop struct {
	now    time.Duration
	seq    int
	events events
}

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, &event{at: l.now + d, seq: l.seq, run: run})
}

func (l *loop) time() time.Time {
	return epoch.Add(l.now)
}

func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run()
	}
}

// messages counts what the processes send to each other.
type messages struct {
	// Useful carry a task to the endpoint that ran it or an answer to its caller.
	Useful int `json:"useful"`
	Wasted int `json:"wasted"`
	// Control are announcements, contacts and witness messages between entries.
	Control int `json:"control"`
}

const (
	announceEvery = time.Second
	contactEvery  = 250 * time.Millisecond
	// pumpEvery is the time after which an entry with queued tasks tries again
	// without an event.
	pumpEvery = 5 * time.Millisecond
)

// world is one run of a scenario with one way.
type world struct {
	loop
	scenario  scenario
	way       way
	arrivals  []arrival
	entries   []*entry
	agents    []*agent
	catalogue *carobpulley.Catalogue
	left      int
	messages  messages
	ended     []time.Duration
	work      []float64
}

func simulate(sc scenario, w way, arrivals []arrival, seed uint64) *world {
	s := &world{scenario: sc, way: w, arrivals: arrivals, left: len(arrivals)}
	s.ended = make([]time.Duration, len(arrivals))
	s.catalogue = sc.catalogue(true)
	for i, ep := range sc.endpoints() {
		s.agents = append(s.agents, &agent{world: s, info: ep, speed: sc.speeds()[i], in: true})
	}
	for i := range sc.deployment.entries {
		s.entries = append(s.entries, newEntry(s, i, seed))
	}
	for i, e := range s.entries {
		e.configure(s.catalogue)
		for k, a := range s.agents {
			s.announce(e, a)
			s.after(announceEvery*time.Duration(1+k+i*len(s.agents))/time.Duration(len(s.agents)), func() { s.announceLoop(e, a) })
		}
		s.after(contactEvery, func() { s.contactLoop() })
	}
	for i := range arrivals {
		s.after(arrivals[i].at, func() { s.submit(i) })
	}
	if sc.outage {
		s.after(outageStart, func() { s.setDomain(false) })
		s.after(outageEnd, func() { s.setDomain(true) })
	}
	s.run()
	return s
}

func (s *world) announce(e *entry, a *agent) {
	e.placer.Upsert(s.time(), a.info, a.load())
}

func (s *world) announceLoop(e *entry, a *agent) {
	if s.left == 0 {
		return
	}
	s.messages.Control++
	ep, load := a.info, a.load()
	s.after(s.distance(a.info.Domain, e.domain), func() {
		e.placer.Upsert(s.time(), ep, load)
		e.pump()
	})
	s.after(announceEvery, func() { s.announceLoop(e, a) })
}

func (s *world) contactLoop() {
	if s.left == 0 {
		return
	}
	s.messages.Control += 2 * (len(s.entries) - 1)
	s.after(contactEvery, s.contactLoop)
}

// setDomain takes a domain out of service or back. Agents learn of it at once
// and withdraw what they queue.
func (s *world) setDomain(in bool) {
	c := s.scenario.catalogue(in)
	for _, e := range s.entries {
		e.configure(c)
	}
	for _, a := range s.agents {
		a.setService(c.InService(a.info.Domain))
	}
	for _, e := range s.entries {
		e.pump()
	}
}

func (s *world) distance(a, b string) time.Duration {
	return s.scenario.deployment.distances().Between(a, b)
}

// submit takes a job from the caller to the receiver, to the owner and, where
// they are the same entry, its claim to a witness before the first start.
func (s *world) submit(i int) {
	j := s.arrivals[i]
	receiver, owner := s.entries[j.receiver], s.entries[j.owner]
	delay := s.scenario.deployment.client
	if receiver != owner {
		s.messages.Useful++
		delay += s.distance(receiver.domain, owner.domain)
	} else {
		s.messages.Control += 2
		witness := s.entries[(j.owner+1)%len(s.entries)]
		delay += 2 * s.distance(owner.domain, witness.domain)
	}
	s.after(delay, func() { owner.take(i) })
}

func (s *world) answer(owner *entry, i int) {
	receiver := s.entries[s.arrivals[i].receiver]
	delay := s.scenario.deployment.client
	if receiver != owner {
		s.messages.Useful++
		delay += s.distance(owner.domain, receiver.domain)
	}
	s.ended[i] = s.now + delay
	s.left--
}

// run notes that an endpoint worked from now on, by the second.
func (s *world) note(run time.Duration, speed float64) {
	s.work = addWork(s.work, s.now, run, speed)
}

// addWork adds an interval of work to the sums by the second.
func addWork(work []float64, at, run time.Duration, speed float64) []float64 {
	for run > 0 {
		second := int(at / time.Second)
		for len(work) <= second {
			work = append(work, 0)
		}
		part := min(run, time.Duration(second+1)*time.Second-at)
		work[second] += part.Seconds() * speed
		at += part
		run -= part
	}
	return work
}
