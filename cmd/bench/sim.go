package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/place"
)

// epoch is the time at which every run begins.
var epoch = time.Unix(1_000_000_000, 0)

// event is a function that runs at a time.
type event struct {
	at  time.Duration
	run func()
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
	scenario scenario
	way      way
	now      time.Duration
	// events are sorted from the last to the next.
	events                  []event
	arrivals                []arrival
	entries                 []*entry
	agents                  []*agent
	byID                    map[string]*agent
	left                    int
	useful, wasted, control int
	ended                   []time.Duration
	work                    []float64
}

func simulate(sc scenario, w way, arrivals []arrival, seed uint64) *world {
	s := &world{scenario: sc, way: w, arrivals: arrivals, left: len(arrivals), byID: map[string]*agent{}}
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
	for i := range runners {
		a := &agent{world: s, info: sc.endpoint(i), speed: sc.speeds()[i], in: true}
		s.agents = append(s.agents, a)
		s.byID[a.info.ID] = a
		for _, e := range s.entries {
			e.placer.Upsert(s.time(), a.info, a.load())
		}
		s.after(time.Duration(i+1)*announceEvery/runners, func() { s.announce(a) })
	}
	s.after(arrivals[0].at, func() { s.arrive(0) })
	if sc.outage {
		s.after(outageStart, func() { s.configure(false) })
		s.after(outageEnd, func() { s.configure(true) })
	}
	for len(s.events) > 0 {
		last := len(s.events) - 1
		e := s.events[last]
		s.events = s.events[:last]
		s.now = e.at
		e.run()
	}
	s.control += int(s.now.Seconds()) * contactsPerSecond * sc.entries * (sc.entries - 1) / 2
	return s
}

func (s *world) after(d time.Duration, run func()) {
	e := event{at: s.now + d, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	s.events = slices.Insert(s.events, i, e)
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
		s.after(e.distance(a), func() {
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
	for _, a := range s.agents {
		a.setService(c.InService(a.info.Domain))
	}
	for _, e := range s.entries {
		e.pump()
	}
}

// arrive takes a job from the caller to the receiver, to the owner and, where
// they are the same entry, its claim to a witness before the first start.
func (s *world) arrive(i int) {
	j := s.arrivals[i]
	owner, forward := s.entries[j.owner], s.forward(j)
	delay := s.scenario.client + forward
	if forward == 0 {
		s.control += 2
		delay += 2 * s.scenario.distances().Between(owner.domain, s.entries[(j.owner+1)%len(s.entries)].domain)
	} else {
		s.useful += 2
	}
	s.after(delay, func() { owner.take(i) })
	if i+1 < len(s.arrivals) {
		s.after(s.arrivals[i+1].at-s.now, func() { s.arrive(i + 1) })
	}
}

// forward is the one-way time between the receiver and the owner of a job.
func (s *world) forward(j arrival) time.Duration {
	if j.receiver == j.owner {
		return 0
	}
	return s.scenario.distances().Between(s.entries[j.receiver].domain, s.entries[j.owner].domain)
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

func (e *entry) distance(a *agent) time.Duration {
	return e.world.scenario.distances().Between(e.domain, a.info.Domain)
}

// take admits a job and queues its tasks. No scenario submits a job that may be
// refused.
func (e *entry) take(i int) {
	a, now := e.world.arrivals[i], e.world.time()
	id := carobpulley.JobID{Member: a.Member, Key: strconv.Itoa(i)}
	spec := carobpulley.JobSpec{ID: id, Service: a.Name, Payloads: make([][]byte, len(a.work)), Deadline: now.Add(jobDeadline)}
	if err := e.admitter.Admit(now, spec); err != nil {
		panic(err)
	}
	e.open[id] = &openJob{arrival: i, left: len(a.work)}
	for k := range a.work {
		e.admitter.Push(now, carobpulley.Waiting{
			Task:    carobpulley.TaskID{Job: id, Index: k},
			Service: a.Name, Member: a.Member, Class: a.Class, Deadline: spec.Deadline, QueuedAt: now,
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
		t := task{waiting: w, from: e, sent: e.world.time(), work: e.world.arrivals[e.open[w.Task.Job].arrival].work[w.Task.Index]}
		a := e.world.byID[ep.ID]
		e.world.after(e.distance(a), func() { a.arrive(t) })
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
			s.ended[j.arrival] = s.now + s.forward(s.arrivals[j.arrival]) + s.scenario.client
			s.left--
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

func (a *agent) load() carobpulley.Load {
	return carobpulley.Load{Running: a.running, Queued: len(a.queue)}
}

func (a *agent) arrive(t task) {
	if !a.in || (a.running == a.info.Slots && len(a.queue) >= a.world.way.agentQueue) {
		a.reply(t, carobpulley.Sample{Refused: true})
		return
	}
	a.queue = append(a.queue, t)
	a.next()
}

// next starts the first queued task if a slot is free.
func (a *agent) next() {
	if len(a.queue) > 0 && a.running < a.info.Slots {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.start(t)
	}
}

func (a *agent) start(t task) {
	a.running++
	run := time.Duration(float64(t.work) / a.speed)
	a.world.work = addWork(a.world.work, a.world.now, run, a.speed)
	a.world.after(run, func() {
		a.running--
		a.next()
		a.reply(t, carobpulley.Sample{Run: run})
	})
}

func (a *agent) reply(t task, sample carobpulley.Sample) {
	sample.Endpoint, sample.Service = a.info.ID, t.waiting.Service
	sample.SentAt, sample.Load = t.sent, a.load()
	a.world.after(t.from.distance(a), func() { t.from.ended(t, sample) })
}

func (a *agent) setService(in bool) {
	a.in = in
	for !in && len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.reply(t, carobpulley.Sample{Refused: true})
	}
}
