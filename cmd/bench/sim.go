package main

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/place"
)

// epoch is the time at which every run begins.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function that runs at a time; events of one time run in the order
// in which they were added.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []*event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
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

const (
	announceEvery = time.Second
	// contactsPerSecond is the number of messages between a pair of entries:
	// contacts and answers, each way.
	contactsPerSecond = 16
	// pumpEvery is the time after which an entry with queued tasks tries again
	// without an event.
	pumpEvery = 5 * time.Millisecond
)

// world is one run of a scenario with one way. Useful messages carry a task to
// the endpoint that ran it or an answer to its caller; control are
// announcements, contacts and witness messages.
type world struct {
	scenario                scenario
	way                     way
	now                     time.Duration
	seq                     int
	events                  events
	arrivals                []arrival
	entries                 []*entry
	agents                  map[string]*agent
	left                    int
	useful, wasted, control int
	ended                   []time.Duration
	work                    []float64
}

func simulate(sc scenario, w way, arrivals []arrival, seed uint64) *world {
	s := &world{scenario: sc, way: w, arrivals: arrivals, left: len(arrivals), agents: map[string]*agent{}}
	s.ended = make([]time.Duration, len(arrivals))
	for i := range sc.entries {
		e := &entry{world: s, domain: sc.domain(i), open: map[carobpulley.JobID]*openJob{}}
		e.placer, e.admitter = w.build(rand.NewPCG(seed, uint64(i)), sc.distances(), e.domain)
		if a, ok := e.admitter.(*admit.Admitter); ok {
			a.SetShare(s.time(), 1/float64(sc.entries))
		}
		s.entries = append(s.entries, e)
	}
	s.configure(true)
	for i, ep := range sc.endpoints() {
		a := &agent{world: s, info: ep, speed: sc.speeds()[i], in: true}
		s.agents[ep.ID] = a
		for _, e := range s.entries {
			e.placer.Upsert(s.time(), ep, a.load())
		}
		s.after(time.Duration(i+1)*announceEvery/runners, func() { s.announce(a) })
	}
	for i := range arrivals {
		s.after(arrivals[i].at, func() { s.submit(i) })
	}
	if sc.outage {
		s.after(outageStart, func() { s.configure(false) })
		s.after(outageEnd, func() { s.configure(true) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
	}
	pairs := sc.entries * (sc.entries - 1) / 2
	s.control += int(s.now.Seconds() * float64(contactsPerSecond*pairs))
	return s
}

func (s *world) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, &event{at: s.now + d, seq: s.seq, run: run})
}

func (s *world) time() time.Time {
	return epoch.Add(s.now)
}

// announce sends an endpoint's load to every entry while there is work.
func (s *world) announce(a *agent) {
	if s.left == 0 {
		return
	}
	load := a.load()
	for _, e := range s.entries {
		s.control++
		s.after(s.scenario.distances().Between(a.info.Domain, e.domain), func() {
			e.placer.Upsert(s.time(), a.info, load)
			e.pump()
		})
	}
	s.after(announceEvery, func() { s.announce(a) })
}

// configure takes the second domain out of service or back. Agents learn of it
// at once and withdraw what they queue.
func (s *world) configure(allIn bool) {
	c := s.scenario.catalogue(allIn)
	for _, e := range s.entries {
		e.placer.Configure(s.time(), c)
		e.admitter.Configure(s.time(), c)
	}
	for _, ep := range s.scenario.endpoints() {
		if a := s.agents[ep.ID]; a != nil {
			a.setService(c.InService(ep.Domain))
		}
	}
	for _, e := range s.entries {
		e.pump()
	}
}

// submit takes a job from the caller to the receiver, to the owner and, where
// they are the same entry, its claim to a witness before the first start.
func (s *world) submit(i int) {
	j, d := s.arrivals[i], s.scenario.distances()
	receiver, owner := s.entries[j.receiver], s.entries[j.owner]
	delay := s.scenario.client
	if receiver != owner {
		s.useful++
		delay += d.Between(receiver.domain, owner.domain)
	} else {
		s.control += 2
		delay += 2 * d.Between(owner.domain, s.entries[(j.owner+1)%len(s.entries)].domain)
	}
	s.after(delay, func() { owner.take(i) })
}

func (s *world) answer(owner *entry, i int) {
	receiver := s.entries[s.arrivals[i].receiver]
	s.ended[i] = s.now + s.scenario.client
	if receiver != owner {
		s.useful++
		s.ended[i] += s.scenario.distances().Between(owner.domain, receiver.domain)
	}
	s.left--
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
		at, run = at+part, run-part
	}
	return work
}

// entry is an owner entry.
type entry struct {
	world    *world
	domain   string
	placer   carobpulley.Placer
	admitter carobpulley.Admitter
	open     map[carobpulley.JobID]*openJob
	pumping  bool
}

type openJob struct {
	arrival, left int
}

// take admits a job and queues its tasks. No scenario submits a job that may be
// refused.
func (e *entry) take(i int) {
	a, now := e.world.arrivals[i], e.world.time()
	id := carobpulley.JobID{Member: a.member, Key: strconv.Itoa(i)}
	spec := carobpulley.JobSpec{ID: id, Service: a.service, Payloads: make([][]byte, len(a.work)), Deadline: now.Add(jobDeadline)}
	if err := e.admitter.Admit(now, spec); err != nil {
		panic(err)
	}
	e.open[id] = &openJob{arrival: i, left: len(a.work)}
	for k := range a.work {
		e.admitter.Push(now, carobpulley.Waiting{
			Task:    carobpulley.TaskID{Job: id, Index: k},
			Service: a.service, Member: a.member, Class: a.class, Deadline: spec.Deadline, QueuedAt: now,
		})
	}
	e.pump()
}

// pump starts what can be started.
func (e *entry) pump() {
	var ep carobpulley.Endpoint
	ready := func(service string) (ok bool) {
		ep, ok = e.placer.Pick(e.world.time(), service)
		return ok
	}
	for {
		if p, ok := e.placer.(*place.Placer); ok {
			p.Backlog(e.admitter.Len())
		}
		w, ok := e.admitter.Next(e.world.time(), ready)
		if !ok {
			break
		}
		a := e.world.agents[ep.ID]
		t := task{waiting: w, from: e, sent: e.world.time(), work: e.world.arrivals[e.open[w.Task.Job].arrival].work[w.Task.Index]}
		e.world.after(a.distance(e), func() { a.arrive(t) })
	}
	if e.admitter.Len() > 0 && !e.pumping {
		e.pumping = true
		e.world.after(pumpEvery, func() {
			e.pumping = false
			e.pump()
		})
	}
}

// ended takes an agent's answer to a dispatch.
func (e *entry) ended(t task, sample carobpulley.Sample) {
	s := e.world
	sample.EndedAt = s.time()
	e.placer.Done(s.time(), sample)
	e.admitter.Done(s.time(), t.waiting)
	if j := e.open[t.waiting.Task.Job]; sample.Refused {
		s.wasted += 2
		e.admitter.Push(s.time(), t.waiting)
	} else {
		s.useful += 2
		j.left--
		if j.left == 0 {
			s.answer(e, j.arrival)
			delete(e.open, t.waiting.Task.Job)
		}
	}
	e.pump()
}

// task is a dispatched task; work is its run time at speed 1.
type task struct {
	waiting carobpulley.Waiting
	from    *entry
	sent    time.Time
	work    time.Duration
}

// agent is an endpoint with its agent.
type agent struct {
	world   *world
	info    carobpulley.Endpoint
	speed   float64
	in      bool
	running int
	queue   []task
}

func (a *agent) distance(e *entry) time.Duration {
	return a.world.scenario.distances().Between(a.info.Domain, e.domain)
}

func (a *agent) load() carobpulley.Load {
	return carobpulley.Load{Running: a.running, Queued: len(a.queue)}
}

func (a *agent) arrive(t task) {
	switch {
	case !a.in || (a.running == a.info.Slots && len(a.queue) >= a.world.way.agentQueue):
		a.reply(t, carobpulley.Sample{Refused: true})
	case a.running < a.info.Slots:
		a.start(t)
	default:
		a.queue = append(a.queue, t)
	}
}

func (a *agent) start(t task) {
	a.running++
	run := time.Duration(float64(t.work) / a.speed)
	a.world.work = addWork(a.world.work, a.world.now, run, a.speed)
	a.world.after(run, func() {
		a.running--
		if len(a.queue) > 0 {
			next := a.queue[0]
			a.queue = a.queue[1:]
			a.start(next)
		}
		a.reply(t, carobpulley.Sample{Run: run})
	})
}

func (a *agent) reply(t task, sample carobpulley.Sample) {
	sample.Endpoint, sample.Service = a.info.ID, t.waiting.Service
	sample.SentAt, sample.Load = t.sent, a.load()
	a.world.after(a.distance(t.from), func() { t.from.ended(t, sample) })
}

func (a *agent) setService(in bool) {
	a.in = in
	queue := a.queue
	if !in {
		a.queue = nil
		for _, t := range queue {
			a.reply(t, carobpulley.Sample{Refused: true})
		}
	}
}
