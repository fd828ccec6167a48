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

// simulationStart is the wall-clock time at which every simulation begins.
var simulationStart = time.Unix(1_000_000_000, 0)

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

const (
	announceInterval = time.Second
	// contactsPerSecond is the number of messages per second between a pair of entries:
	// contacts and their answers, in each direction.
	contactsPerSecond = 16
	// dispatchRetryInterval is the time after which an entry with queued tasks tries to
	// dispatch them again if no event occurs before.
	dispatchRetryInterval = 5 * time.Millisecond
)

// simulation is one run of a scenario with one strategy. Useful messages carry a task to
// the endpoint that ran it or an answer towards its caller. Wasted messages carry
// dispatches that an agent refused and the refusals. Control messages are announcements,
// contacts and witness messages.
type simulation struct {
	scenario scenario
	strategy strategy
	now      time.Duration
	// events are sorted by time, the next one last.
	events                                          []event
	arrivals                                        []arrival
	entries                                         []*simulatedEntry
	agents                                          []*simulatedAgent
	byID                                            map[string]*simulatedAgent
	openJobs                                        int
	usefulMessages, wastedMessages, controlMessages int
	endedAt                                         []time.Duration
	workPerSecond                                   []float64
}

func simulate(sc scenario, st strategy, arrivals []arrival, seed uint64) *simulation {
	s := &simulation{scenario: sc, strategy: st, arrivals: arrivals, openJobs: len(arrivals), byID: map[string]*simulatedAgent{}}
	s.endedAt = make([]time.Duration, len(arrivals))
	for i := range sc.entries {
		e := &simulatedEntry{simulation: s, domain: sc.domain(i), openJobs: map[carobpulley.JobID]*openJob{}}
		e.placer, e.admitter = st.build(rand.NewPCG(seed, uint64(i)), sc.latencies(), e.domain)
		if a, ok := e.admitter.(*admit.Admitter); ok {
			a.SetShare(s.time(), 1/float64(sc.entries))
		}
		s.entries = append(s.entries, e)
	}
	s.setInService(true)
	for i := range endpointCount {
		a := &simulatedAgent{simulation: s, endpoint: sc.endpoint(i), speed: sc.speeds()[i], inService: true}
		s.agents = append(s.agents, a)
		s.byID[a.endpoint.ID] = a
		for _, e := range s.entries {
			e.placer.Upsert(s.time(), a.endpoint, a.load())
		}
		s.schedule(time.Duration(i+1)*announceInterval/endpointCount, func() { s.announce(a) })
	}
	s.schedule(arrivals[0].at, func() { s.submit(0) })
	if sc.outage {
		s.schedule(outageStart, func() { s.setInService(false) })
		s.schedule(outageEnd, func() { s.setInService(true) })
	}
	for len(s.events) > 0 {
		last := len(s.events) - 1
		e := s.events[last]
		s.events = s.events[:last]
		s.now = e.at
		e.run()
	}
	s.controlMessages += int(s.now.Seconds()) * contactsPerSecond * sc.entries * (sc.entries - 1) / 2
	return s
}

// schedule adds an event that runs after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	e := event{at: s.now + delay, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) time() time.Time {
	return simulationStart.Add(s.now)
}

// announce sends an endpoint's load to every entry, periodically while jobs are open.
func (s *simulation) announce(a *simulatedAgent) {
	if s.openJobs == 0 {
		return
	}
	load := a.load()
	for _, e := range s.entries {
		s.controlMessages++
		s.schedule(e.delayTo(a), func() {
			e.placer.Upsert(s.time(), a.endpoint, load)
			e.dispatchQueued()
		})
	}
	s.schedule(announceInterval, func() { s.announce(a) })
}

// setInService takes the second domain out of service or returns it to service. The
// change applies at the agents without delay, and those out of service refuse their
// queued tasks.
func (s *simulation) setInService(allInService bool) {
	c := s.scenario.catalogue(allInService)
	for _, e := range s.entries {
		e.placer.Configure(s.time(), c)
		e.admitter.Configure(s.time(), c)
	}
	for _, a := range s.agents {
		a.setInService(c.InService(a.endpoint.Domain))
	}
	for _, e := range s.entries {
		e.dispatchQueued()
	}
}

// submit passes a job from the caller to the receiving entry and on to its owner. If
// these are the same entry, the claim goes to a witness before the first start.
func (s *simulation) submit(i int) {
	j := s.arrivals[i]
	owner, forwardDelay := s.entries[j.owner], s.forwardDelay(j)
	delay := s.scenario.clientDelay + forwardDelay
	if forwardDelay == 0 {
		s.controlMessages += 2
		delay += 2 * s.scenario.latencies().Between(owner.domain, s.entries[(j.owner+1)%len(s.entries)].domain)
	} else {
		s.usefulMessages += 2
	}
	s.schedule(delay, func() { owner.admitJob(i) })
	if i+1 < len(s.arrivals) {
		s.schedule(s.arrivals[i+1].at-s.now, func() { s.submit(i + 1) })
	}
}

// forwardDelay returns the one-way delay between the receiving entry and the owner of a
// job.
func (s *simulation) forwardDelay(j arrival) time.Duration {
	if j.receiver == j.owner {
		return 0
	}
	return s.scenario.latencies().Between(s.entries[j.receiver].domain, s.entries[j.owner].domain)
}

// addWorkPerSecond adds the work of a run at a speed to the sums per second.
func addWorkPerSecond(work []float64, at, run time.Duration, speed float64) []float64 {
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

// simulatedEntry is an entry in its role as owner of jobs.
type simulatedEntry struct {
	simulation     *simulation
	domain         string
	placer         carobpulley.Placer
	admitter       carobpulley.Admitter
	openJobs       map[carobpulley.JobID]*openJob
	retryScheduled bool
}

type openJob struct {
	arrival, unfinishedTasks int
}

func (e *simulatedEntry) delayTo(a *simulatedAgent) time.Duration {
	return e.simulation.scenario.latencies().Between(e.domain, a.endpoint.Domain)
}

// admitJob admits a job and queues its tasks. It panics on a refusal, since no scenario
// submits a job that may be refused.
func (e *simulatedEntry) admitJob(i int) {
	a, now := e.simulation.arrivals[i], e.simulation.time()
	id := carobpulley.JobID{Member: a.Member, Key: strconv.Itoa(i)}
	spec := carobpulley.JobSpec{ID: id, Service: a.Name, Payloads: make([][]byte, len(a.runTimes)), Deadline: now.Add(jobDeadline)}
	if err := e.admitter.Admit(now, spec); err != nil {
		panic(err)
	}
	e.openJobs[id] = &openJob{arrival: i, unfinishedTasks: len(a.runTimes)}
	for k := range a.runTimes {
		e.admitter.Push(now, carobpulley.Waiting{
			Task:    carobpulley.TaskID{Job: id, Index: k},
			Service: a.Name, Member: a.Member, Class: a.Class, Deadline: spec.Deadline, QueuedAt: now,
		})
	}
	e.dispatchQueued()
}

// dispatchQueued dispatches queued tasks while the placer finds endpoints for them.
func (e *simulatedEntry) dispatchQueued() {
	var ep carobpulley.Endpoint
	ready := func(service string) (ok bool) {
		ep, ok = e.placer.Pick(e.simulation.time(), service)
		return ok
	}
	for {
		if p, ok := e.placer.(*place.Placer); ok {
			p.Backlog(e.admitter.Len())
		}
		w, ok := e.admitter.Next(e.simulation.time(), ready)
		if !ok {
			break
		}
		t := simulatedTask{waiting: w, entry: e, sentAt: e.simulation.time(), runTime: e.simulation.arrivals[e.openJobs[w.Task.Job].arrival].runTimes[w.Task.Index]}
		a := e.simulation.byID[ep.ID]
		e.simulation.schedule(e.delayTo(a), func() { a.handleDispatch(t) })
	}
	if e.admitter.Len() > 0 && !e.retryScheduled {
		e.retryScheduled = true
		e.simulation.schedule(dispatchRetryInterval, func() {
			e.retryScheduled = false
			e.dispatchQueued()
		})
	}
}

// handleReply handles an agent's reply to a dispatch. A refused task is queued again.
func (e *simulatedEntry) handleReply(t simulatedTask, sample carobpulley.Sample) {
	s := e.simulation
	sample.EndedAt = s.time()
	e.placer.Done(s.time(), sample)
	e.admitter.Done(s.time(), t.waiting)
	if j := e.openJobs[t.waiting.Task.Job]; sample.Refused {
		s.wastedMessages += 2
		e.admitter.Push(s.time(), t.waiting)
	} else {
		s.usefulMessages += 2
		j.unfinishedTasks--
		if j.unfinishedTasks == 0 {
			s.endedAt[j.arrival] = s.now + s.forwardDelay(s.arrivals[j.arrival]) + s.scenario.clientDelay
			s.openJobs--
			delete(e.openJobs, t.waiting.Task.Job)
		}
	}
	e.dispatchQueued()
}

// simulatedTask is a dispatched task. runTime is its run time at speed 1.
type simulatedTask struct {
	waiting carobpulley.Waiting
	entry   *simulatedEntry
	sentAt  time.Time
	runTime time.Duration
}

// simulatedAgent is an endpoint together with its agent.
type simulatedAgent struct {
	simulation *simulation
	endpoint   carobpulley.Endpoint
	speed      float64
	inService  bool
	running    int
	queue      []simulatedTask
}

func (a *simulatedAgent) load() carobpulley.Load {
	return carobpulley.Load{Running: a.running, Queued: len(a.queue)}
}

func (a *simulatedAgent) handleDispatch(t simulatedTask) {
	if !a.inService || (a.running == a.endpoint.Slots && len(a.queue) >= a.simulation.strategy.maxAgentQueue) {
		a.reply(t, carobpulley.Sample{Refused: true})
		return
	}
	a.queue = append(a.queue, t)
	a.startNext()
}

// startNext starts the first queued task if a slot is free.
func (a *simulatedAgent) startNext() {
	if len(a.queue) > 0 && a.running < a.endpoint.Slots {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.start(t)
	}
}

func (a *simulatedAgent) start(t simulatedTask) {
	a.running++
	run := time.Duration(float64(t.runTime) / a.speed)
	a.simulation.workPerSecond = addWorkPerSecond(a.simulation.workPerSecond, a.simulation.now, run, a.speed)
	a.simulation.schedule(run, func() {
		a.running--
		a.startNext()
		a.reply(t, carobpulley.Sample{Run: run})
	})
}

func (a *simulatedAgent) reply(t simulatedTask, sample carobpulley.Sample) {
	sample.Endpoint, sample.Service = a.endpoint.ID, t.waiting.Service
	sample.SentAt, sample.Load = t.sentAt, a.load()
	a.simulation.schedule(t.entry.delayTo(a), func() { t.entry.handleReply(t, sample) })
}

// setInService sets whether the endpoint's domain is in service. If not, all queued tasks
// are refused.
func (a *simulatedAgent) setInService(inService bool) {
	a.inService = inService
	for !inService && len(a.queue) > 0 {
		t := a.queue[0]
		a.queue = a.queue[1:]
		a.reply(t, carobpulley.Sample{Refused: true})
	}
}
