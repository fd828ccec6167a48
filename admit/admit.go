// Package admit decides which jobs are taken in and in which order their tasks
// start: quotas, limits and weighted fair queueing over classes and members. It
// is pure: time comes from the caller.
package admit

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"carobpulley"
)

// Estimator tells what the endpoints can do. Package place implements it.
type Estimator interface {
	// CanRun reports whether any known endpoint runs the service.
	CanRun(service string) bool
	// Expect estimates when a task with the given number ahead of it would
	// end; the zero time if nothing is known.
	Expect(now time.Time, service string, ahead int) time.Time
	// Least returns the shortest run time to be expected; 0 if nothing is known.
	Least(service string) time.Duration
}

// Admitter implements carobpulley.Admitter. The classes share the starts 8:3:1,
// and the members of a class share its starts by their weights.
type Admitter struct {
	estimator Estimator
	catalogue *carobpulley.Catalogue
	share     float64
	classes   map[carobpulley.Class]*class
	order     []*class
	members   map[string]*member
	services  map[string]*service
	jobs      map[carobpulley.JobID]*job
	wakes     tree[*member]
	passed    []*lane
	clock     float64
	queued    int
}

var _ carobpulley.Admitter = (*Admitter)(nil)

// New returns an Admitter that asks the estimator.
func New(estimator Estimator) *Admitter {
	a := &Admitter{
		estimator: estimator,
		catalogue: &carobpulley.Catalogue{},
		share:     1,
		classes:   map[carobpulley.Class]*class{},
		members:   map[string]*member{},
		services:  map[string]*service{},
		jobs:      map[carobpulley.JobID]*job{},
	}
	for _, name := range carobpulley.Classes() {
		c := &class{
			weight: classWeights[name],
			lanes:  map[string]*lane{},
			flows:  map[string]*flow{},
		}
		a.classes[name] = c
		a.order = append(a.order, c)
	}
	return a
}

// Configure implements carobpulley.Admitter.
func (a *Admitter) Configure(now time.Time, c *carobpulley.Catalogue) {
	a.catalogue = c
	a.apply(now)
}

// SetShare sets the part of the quotas and limits that this entry enforces: the
// part of the shards that it owns. It is 1 at first.
func (a *Admitter) SetShare(now time.Time, share float64) {
	a.share = share
	a.apply(now)
}

func (a *Admitter) apply(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		s := a.services[name]
		s.limit = portion(a.catalogue.Services[name].MaxConcurrent, a.share)
		for _, l := range s.lanes {
			l.settle()
		}
	}
	// In a fixed order, so that ties are decided the same way each time.
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		m.configure(now, a.catalogue.Members[name], a.share)
		a.settle(now, m)
	}
	for _, c := range a.order {
		c.active = 0
		for _, f := range c.flows {
			if f.queued > 0 {
				c.active += f.weight()
			}
		}
	}
}

// Push implements carobpulley.Admitter. A task that comes back keeps its place
// by its QueuedAt.
func (a *Admitter) Push(now time.Time, w carobpulley.Waiting) {
	j, ok := a.jobs[w.Task.Job]
	if !ok {
		j = &job{shared: w}
		a.jobs[w.Task.Job] = j
		b := a.bin(now, w)
		b.link(j, b.goesFirst(w.QueuedAt))
	}
	j.push(w)
	f := j.bin.flow
	a.count(f, 1)
	f.settleBin(j.bin)
}

// Next implements carobpulley.Admitter. Once ready has returned true, Next
// returns a task of that service, so ready may reserve the place. Its time is logarithmic in members,
// services and queued tasks, plus one call of ready for each waiting service
// that is not ready. It drops tasks whose deadline has passed; the owner's job
// table ends them.
func (a *Admitter) Next(now time.Time, ready func(service string) bool) (carobpulley.Waiting, bool) {
	a.advance(now)
	a.sortClasses()
	for _, c := range a.order {
		if l := a.find(now, c, ready); l != nil {
			return a.take(now, l.bins[0]), true
		}
	}
	return carobpulley.Waiting{}, false
}

// Drop implements carobpulley.Admitter. It does not look at other jobs.
func (a *Admitter) Drop(_ time.Time, id carobpulley.JobID) int {
	j, ok := a.jobs[id]
	if !ok {
		return 0
	}
	return a.drop(j)
}

// Done implements carobpulley.Admitter.
func (a *Admitter) Done(now time.Time, w carobpulley.Waiting) {
	if s, ok := a.services[w.Service]; ok {
		s.running = max(0, s.running-1)
		for _, l := range s.lanes {
			l.settle()
		}
	}
	if m, ok := a.members[w.Member]; ok {
		m.running = max(0, m.running-1)
		if m.blocked {
			a.settle(now, m)
		}
	}
}

// Len implements carobpulley.Admitter.
func (a *Admitter) Len() int {
	return a.queued
}

// advance unblocks the members whose quota allows a start again.
func (a *Admitter) advance(now time.Time) {
	for len(a.wakes) > 0 && !a.wakes[0].wakeAt.After(now) {
		a.settle(now, a.wakes[0])
	}
}

// settle blocks or unblocks a member by its quota. An unblocked flow goes on
// from the present, so that it does not make up for the time it was blocked.
func (a *Admitter) settle(now time.Time, m *member) {
	at := m.startsAt(now)
	blocked := !at.IsZero() || (m.limit > 0 && m.running >= m.limit)
	if m.wake >= 0 {
		heap.Remove(&a.wakes, m.wake)
	}
	if !at.IsZero() {
		m.wakeAt = at
		heap.Push(&a.wakes, m)
	}
	if blocked == m.blocked {
		return
	}
	m.blocked = blocked
	for _, f := range m.flows {
		f.tag = max(f.tag, f.class.clock)
		f.settle()
	}
}

// sortClasses orders the few classes by their virtual time.
func (a *Admitter) sortClasses() {
	for i := 1; i < len(a.order); i++ {
		for k := i; k > 0 && a.order[k].tag < a.order[k-1].tag; k-- {
			a.order[k], a.order[k-1] = a.order[k-1], a.order[k]
		}
	}
}

// find returns the first lane of the class that is ready, by the order of its
// first flow. Lanes passed over go back.
func (a *Admitter) find(now time.Time, c *class, ready func(string) bool) *lane {
	a.passed = a.passed[:0]
	var found *lane
	for found == nil && len(c.ready) > 0 {
		l := c.ready[0]
		switch first := l.bins[0].first; {
		case !first.shared.Deadline.IsZero() && !now.Before(first.shared.Deadline):
			a.drop(first)
		case ready(l.name):
			found = l
		default:
			heap.Remove(&c.ready, 0)
			a.passed = append(a.passed, l)
		}
	}
	for _, l := range a.passed {
		l.settle()
	}
	return found
}

// take removes the first task of a bin and advances the virtual times.
func (a *Admitter) take(now time.Time, b *bin) carobpulley.Waiting {
	f, c := b.flow, b.flow.class
	a.clock = max(a.clock, c.tag)
	c.tag = max(c.tag, a.clock-maxLag) + 1/c.weight
	c.clock = max(c.clock, f.tag)
	f.tag = max(f.tag, c.clock-maxLag) + 1/f.weight()

	j := b.first
	w := j.pop()
	if len(j.tasks) == 0 {
		b.unlink(j)
		delete(a.jobs, w.Task.Job)
	}
	a.count(f, -1)
	b.lane.service.running++
	f.member.running++
	if f.member.bucket != nil {
		f.member.bucket.ReserveN(now, 1)
	}
	a.settle(now, f.member)
	f.settle()
	for _, l := range b.lane.service.lanes {
		l.settle()
	}
	return w
}

func (a *Admitter) drop(j *job) int {
	n := len(j.tasks)
	b := j.bin
	b.unlink(j)
	delete(a.jobs, j.shared.Task.Job)
	a.count(b.flow, -n)
	b.flow.settleBin(b)
	return n
}

// count adds queued tasks to the sums. A class or flow that was empty goes on
// from the present virtual time.
func (a *Admitter) count(f *flow, n int) {
	c := f.class
	if c.queued == 0 {
		c.tag = max(c.tag, a.clock)
	}
	if f.queued == 0 {
		f.tag = max(f.tag, c.clock)
		c.active += f.weight()
	}
	a.queued += n
	c.queued += n
	f.queued += n
	f.member.queued += n
	if f.queued == 0 {
		c.active -= f.weight()
	}
}

func (a *Admitter) bin(now time.Time, w carobpulley.Waiting) *bin {
	c, ok := a.classes[w.Class]
	if !ok {
		c = a.classes[carobpulley.ClassNormal]
	}
	f, ok := c.flows[w.Member]
	if !ok {
		f = &flow{class: c, member: a.member(now, w.Member)}
		f.member.flows = append(f.member.flows, f)
		c.flows[w.Member] = f
	}
	b := f.bin(w.Service)
	if b == nil {
		b = &bin{flow: f, lane: a.lane(c, w.Service), place: -1}
		f.bins = append(f.bins, b)
	}
	return b
}

func (a *Admitter) member(now time.Time, name string) *member {
	m, ok := a.members[name]
	if !ok {
		m = &member{wake: -1}
		m.configure(now, a.catalogue.Members[name], a.share)
		a.members[name] = m
		a.settle(now, m)
	}
	return m
}

func (a *Admitter) lane(c *class, name string) *lane {
	l, ok := c.lanes[name]
	if !ok {
		s := a.service(name)
		l = &lane{class: c, name: name, service: s, place: -1}
		s.lanes = append(s.lanes, l)
		c.lanes[name] = l
	}
	return l
}

func (a *Admitter) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{limit: portion(a.catalogue.Services[name].MaxConcurrent, a.share)}
		a.services[name] = s
	}
	return s
}
