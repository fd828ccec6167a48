package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobpulley"
	"carobpulley/admit"
)

// entry is an owner entry with its placer and admitter.
type entry struct {
	world    *world
	domain   string
	placer   carobpulley.Placer
	admitter carobpulley.Admitter
	open     map[carobpulley.JobID]*openJob
	pumping  bool
}

type openJob struct {
	arrival int
	left    int
}

func newEntry(s *world, i int, seed uint64) *entry {
	d := s.scenario.deployment
	e := &entry{world: s, domain: d.domain(i), open: map[carobpulley.JobID]*openJob{}}
	src := rand.NewPCG(seed, uint64(i))
	e.placer, e.admitter = s.way.build(src, d.distances(), e.domain)
	if a, ok := e.admitter.(*admit.Admitter); ok {
		a.SetShare(s.time(), 1/float64(d.entries))
	}
	if p, ok := e.placer.(*puller); ok {
		p.world, p.entry = s, e
	}
	return e
}

func (e *entry) configure(c *carobpulley.Catalogue) {
	e.placer.Configure(e.world.time(), c)
	e.admitter.Configure(e.world.time(), c)
}

// take admits a job and queues its tasks.
func (e *entry) take(i int) {
	a := e.world.arrivals[i]
	id := carobpulley.JobID{Member: a.member, Key: strconv.Itoa(i)}
	deadline := e.world.time().Add(jobDeadline)
	spec := carobpulley.JobSpec{ID: id, Service: a.service, Payloads: make([][]byte, len(a.work)), Deadline: deadline}
	if err := e.admitter.Admit(e.world.time(), spec); err != nil {
		panic(err) // no scenario submits a job that may be refused
	}
	e.open[id] = &openJob{arrival: i, left: len(a.work)}
	for k := range a.work {
		e.admitter.Push(e.world.time(), carobpulley.Waiting{
			Task:    carobpulley.TaskID{Job: id, Index: k},
			Service: a.service, Member: a.member, Class: a.class, Deadline: deadline, QueuedAt: e.world.time(),
		})
	}
	e.pump()
}

// pump starts what can be started.
func (e *entry) pump() {
	now := e.world.time()
	for {
		var ep carobpulley.Endpoint
		ready := func(service string) bool {
			var ok bool
			ep, ok = e.placer.Pick(now, service)
			return ok
		}
		w, ok := e.admitter.Next(now, ready)
		if !ok {
			break
		}
		e.dispatch(w, ep)
	}
	if e.admitter.Len() > 0 && !e.pumping {
		e.pumping = true
		e.world.after(pumpEvery, func() {
			e.pumping = false
			e.pump()
		})
	}
}

func (e *entry) dispatch(w carobpulley.Waiting, ep carobpulley.Endpoint) {
	s := e.world
	for _, a := range s.agents {
		if a.info.ID == ep.ID {
			t := task{waiting: w, from: e, sent: s.time(), work: s.arrivals[e.open[w.Task.Job].arrival].work[w.Task.Index]}
			s.after(s.distance(e.domain, ep.Domain), func() { a.arrive(t) })
			return
		}
	}
}

// ended takes an agent's answer to a dispatch.
func (e *entry) ended(t task, sample carobpulley.Sample) {
	s := e.world
	sample.EndedAt = s.time()
	e.placer.Done(s.time(), sample)
	e.admitter.Done(s.time(), t.waiting)
	switch j := e.open[t.waiting.Task.Job]; {
	case sample.Refused:
		s.messages.Wasted += 2
		e.admitter.Push(s.time(), t.waiting)
	default:
		s.messages.Useful += 2
		j.left--
		if j.left == 0 {
			s.answer(e, j.arrival)
			delete(e.open, t.waiting.Task.Job)
		}
	}
	e.pump()
}

// task is a dispatched task at an agent; work is its run time at speed 1.
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
	a.world.note(run, a.speed)
	a.world.after(run, func() {
		a.running--
		if len(a.queue) > 0 {
			next := a.queue[0]
			a.queue = a.queue[1:]
			a.start(next)
		}
		a.reply(t, carobpulley.Sample{Run: run})
		a.offer()
	})
}

func (a *agent) reply(t task, sample carobpulley.Sample) {
	sample.Endpoint, sample.Service = a.info.ID, t.waiting.Service
	sample.SentAt, sample.Load = t.sent, a.load()
	a.world.after(a.world.distance(a.info.Domain, t.from.domain), func() { t.from.ended(t, sample) })
}

func (a *agent) setService(in bool) {
	a.in = in
	if in {
		return
	}
	queue := a.queue
	a.queue = nil
	for _, t := range queue {
		a.reply(t, carobpulley.Sample{Refused: true})
	}
}

// offer tells an entry of an idle slot where endpoints pull.
func (a *agent) offer() {
	s := a.world
	if p, ok := s.entries[0].placer.(*puller); ok {
		p.offer(a)
	}
}
