// Package load plays patterns of load against the decisions of coordinators and agents
// (packages jobs and runs) in virtual time, without a network, and measures which jobs are done in
// time. Coordinators see the endpoints as in a fleet: through reports that are up to
// 400 ms old, and beside others that use the same endpoints.
package load

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"carobpulley/work"
)

const (
	// messageDelay is the transit time of a message between a coordinator and an agent.
	messageDelay = time.Millisecond
	// startDelay is the time in which an endpoint confirms a start.
	startDelay = time.Millisecond
	// tickInterval, idleReport and busyReport are the intervals of the processes' own loops.
	tickInterval = 40 * time.Millisecond
	busyReport   = 240 * time.Millisecond
	idleReport   = 400 * time.Millisecond
	maxLease     = time.Second
	queueName    = "q"
	serviceName  = "s"
	incarnation  = 1
	// A job is in time if it takes at most stretch times its longest task, on an endpoint of
	// speed 1, and target.
	stretch = 1.6
	target  = 60 * time.Millisecond
)

// Class is a kind of job.
type Class struct {
	// PerSecond is the number of jobs at each coordinator.
	PerSecond float64
	Tasks     int
	CPU       int64
	// Mean is the mean run time of a task on an endpoint of speed 1, and Spread its
	// coefficient of variation. Callers' estimates of a job vary as much.
	Mean   time.Duration
	Spread float64
	// Priority is that of the class's queue; 0 is the most urgent.
	Priority int
}

// Pattern is a load on a fleet.
type Pattern struct {
	Coordinators int
	// Speeds holds an endpoint each: run times are divided by its speed.
	Speeds   []float64
	Capacity work.Resources
	// Sizes holds a factor on the capacity of each endpoint; nil stands for 1.
	Sizes   []float64
	Classes []Class
	// Share is the number of coordinators that work with an endpoint; 0 stands for all.
	Share int
	// Tail is the part of the jobs whose tasks take TailFactor times as long as others.
	Tail, TailFactor float64
	// Uneven is the spread of the tasks' run times around their job's estimate; 0 if they don't depend on it.
	Uneven float64
	// Patience is the time after which callers leave; 0 if they don't.
	Patience time.Duration
	// Factor returns the multiple of the arrivals at a time since the start; nil stands for 1.
	Factor func(since time.Duration) float64
	// Lost returns whether an endpoint is lost from a time since the start on; nil stands for
	// none.
	Lost         func(endpoint int, since time.Duration) bool
	Length       time.Duration
	Seed         uint64
	Interference Interference
}

// Window counts the jobs that arrived in one window of time.
type Window struct {
	Asked, InTime, Late, Refused int
	// Left counts the jobs whose callers left without an answer.
	Left int
	// Busy is the CPU time in millicore-seconds that runs used in the window.
	Busy float64
	// Took is the sum of the response times of the jobs that were done.
	Took time.Duration
}

// Result is the outcome of a pattern.
type Result struct {
	Window
	// Windows holds windows of WindowLength, Classes the pattern's classes.
	Windows []Window
	Classes []Window
	// Starts counts dispatched starts, RefusedStarts those that an agent refused, and
	// Dispatches the messages that carried them.
	Starts, RefusedStarts, Dispatches int
	// HandedBack counts starts that waited at an agent in vain.
	HandedBack int
	// Reports counts the reports of agents.
	Reports int
	// FirstStarts holds the times from the submission of jobs to their first start.
	FirstStarts []time.Duration
	Pairs       Pairs
}

// WindowLength is the length of a Window.
const WindowLength = 2 * time.Second

// event is a change at a time.
type event struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one play.
type simulation struct {
	pattern      Pattern
	random       *rand.Rand
	begin        time.Time
	queue        events
	orders       int
	coordinators []*coordinator
	agents       []*agent
	result       Result
	jobs         int
	// runTimes holds the run time of each task on an endpoint of speed 1.
	runTimes map[string]time.Duration
	// unstarted holds the arrivals of the jobs without a start.
	unstarted map[string]time.Time
	// classes holds the class of each job.
	classes map[string]int
}

// Play plays a pattern. The same pattern gives the same result.
func Play(p Pattern) Result {
	s := &simulation{
		pattern: p, random: rand.New(rand.NewPCG(p.Seed, 1)),
		begin:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		runTimes: make(map[string]time.Duration), unstarted: make(map[string]time.Time),
		classes: make(map[string]int),
	}
	s.result.Classes = make([]Window, len(p.Classes))
	s.result.Windows = make([]Window, int((p.Length+WindowLength-1)/WindowLength))
	for n := range p.Speeds {
		s.addAgent(n)
	}
	for n := range p.Coordinators {
		s.addCoordinator(n)
	}
	// Jobs that arrive last get the time to end.
	const settle = 6 * time.Second
	for until := s.begin.Add(p.Length + settle); len(s.queue) > 0 && s.queue[0].at.Before(until); {
		e, _ := heap.Pop(&s.queue).(*event)
		e.do(e.at)
	}
	for _, w := range s.result.Windows {
		s.result.Asked += w.Asked
		s.result.InTime += w.InTime
		s.result.Late += w.Late
		s.result.Refused += w.Refused
		s.result.Left += w.Left
		s.result.Busy += w.Busy
		s.result.Took += w.Took
	}
	s.sumPairs()
	return s.result
}

func (s *simulation) at(t time.Time, do func(now time.Time)) {
	s.orders++
	heap.Push(&s.queue, &event{at: t, order: s.orders, do: do})
}

// every calls do at an interval, for the first time at the given time.
func (s *simulation) every(first time.Time, interval time.Duration, do func(now time.Time)) {
	s.at(first, func(now time.Time) {
		do(now)
		s.every(now.Add(interval), interval, do)
	})
}

// count applies a change to the counts of a job's window and class.
func (s *simulation) count(a arrival, change func(w *Window)) {
	n := int(a.at.Sub(s.begin) / WindowLength)
	change(&s.result.Windows[min(n, len(s.result.Windows)-1)])
	change(&s.result.Classes[a.class])
}

// runTime draws the run time of a task on an endpoint of speed 1.
func (s *simulation) runTime(c *Class) time.Duration {
	// A log-normal distribution with the given mean and coefficient of variation.
	sigma := math.Sqrt(math.Log(1 + c.Spread*c.Spread))
	return time.Duration(float64(c.Mean) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2))
}

// taskTime draws the run time of a task of a job with an estimate.
func (s *simulation) taskTime(c *Class, estimate time.Duration) time.Duration {
	if s.pattern.Uneven == 0 {
		return s.runTime(c)
	}
	return time.Duration(float64(estimate) * math.Exp(s.pattern.Uneven*s.random.NormFloat64()))
}

// arrive schedules the next job of a class at a coordinator.
func (s *simulation) arrive(co *coordinator, class int, last time.Time) {
	c := &s.pattern.Classes[class]
	factor := 1.0
	if s.pattern.Factor != nil {
		factor = s.pattern.Factor(last.Sub(s.begin))
	}
	next := last.Add(time.Duration(s.random.ExpFloat64() / (c.PerSecond * factor) * float64(time.Second)))
	if !next.Before(s.begin.Add(s.pattern.Length)) {
		return
	}
	s.at(next, func(now time.Time) {
		s.jobs++
		size := s.runTime(c)
		j := &work.Job{
			ID: fmt.Sprintf("%016x", s.jobs), BestEffort: true,
			Queue: s.queueOf(class),
			Steps: []work.Step{{Count: c.Tasks, Resources: work.Resources{CPU: c.CPU}, EstimateMS: max(size.Milliseconds(), 1), Image: image(class)}},
		}
		s.unstarted[j.ID] = now
		long := 1.0
		if s.pattern.Tail > 0 && s.random.Float64() < s.pattern.Tail {
			// A long job is long in all its tasks, and its caller's estimate tells so.
			long = s.pattern.TailFactor
			j.Steps[0].EstimateMS = int64(float64(j.Steps[0].EstimateMS) * long)
		}
		s.classes[j.ID] = class
		longest := time.Duration(0)
		for task := range c.Tasks {
			took := time.Duration(float64(s.taskTime(c, size)) * long)
			s.runTimes[work.TaskName(j.ID, 0, task)] = took
			longest = max(longest, took)
		}
		co.submit(now, j, arrival{at: now, due: now.Add(time.Duration(stretch*float64(longest)) + target), class: class})
		s.arrive(co, class, now)
	})
}
