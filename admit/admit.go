// Package admit decides which jobs are accepted and in which order their tasks
// start. It enforces quotas and limits and schedules by weighted fair queueing
// over classes and members. It does no I/O and reads no clock: callers pass the
// time.
package admit

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"carobpulley"
)

// Estimator estimates what the endpoints can run and when. Package place
// implements it.
type Estimator interface {
	// CanRun reports whether any known endpoint runs the service.
	CanRun(service string) bool
	// Expect estimates when a task with the given number of tasks ahead of it
	// would end. It returns the zero time if there is no basis for an estimate.
	Expect(now time.Time, service string, ahead int) time.Time
	// MinRunTime returns the shortest expected run time, or 0 before the first
	// result.
	MinRunTime(service string) time.Duration
}

// Admitter implements carobpulley.Admitter. The classes share the starts in the
// ratio 8:3:1, and the members of a class share its starts by their weights.
type Admitter struct {
	estimator   Estimator
	catalogue   *carobpulley.Catalogue
	share       float64
	classes     map[carobpulley.Class]*class
	classOrder  []*class
	members     map[string]*member
	services    map[string]*service
	jobs        map[carobpulley.JobID]*job
	unblockHeap indexedHeap[*member]
	skipped     []*queueGroup
	virtualTime float64
	queued      int
}

var _ carobpulley.Admitter = (*Admitter)(nil)

// New returns an Admitter that decides with the given estimator.
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
			groups: map[string]*queueGroup{},
			flows:  map[string]*flow{},
		}
		a.classes[name] = c
		a.classOrder = append(a.classOrder, c)
	}
	return a
}

// Configure implements carobpulley.Admitter.
func (a *Admitter) Configure(now time.Time, c *carobpulley.Catalogue) {
	a.catalogue = c
	a.applyLimits(now)
}

// SetShare sets the fraction of the quotas and limits that this entry enforces,
// which is the fraction of the shards that it owns. The initial value is 1.
func (a *Admitter) SetShare(now time.Time, share float64) {
	a.share = share
	a.applyLimits(now)
}

func (a *Admitter) applyLimits(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		s := a.services[name]
		s.limit = scaleLimit(a.catalogue.Services[name].MaxConcurrent, a.share)
		for _, g := range s.groups {
			g.updateHeap()
		}
	}
	// The order is fixed so that ties are broken deterministically.
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		m.configure(now, a.catalogue.Members[name], a.share)
		a.updateBlocked(now, m)
	}
	for _, c := range a.classOrder {
		c.activeWeight = 0
		for _, f := range c.flows {
			if f.queued > 0 {
				c.activeWeight += f.weight()
			}
		}
	}
}

// Push implements carobpulley.Admitter. A requeued task keeps its position,
// which follows from its QueuedAt.
func (a *Admitter) Push(now time.Time, w carobpulley.Waiting) {
	j, ok := a.jobs[w.Task.Job]
	if !ok {
		j = &job{shared: w}
		a.jobs[w.Task.Job] = j
		q := a.queueOf(now, w)
		q.link(j, q.olderThanAll(w.QueuedAt))
	}
	j.push(w)
	f := j.queue.flow
	a.addQueued(f, 1)
	f.updateQueue(j.queue)
}

// Next implements carobpulley.Admitter. Once ready has returned true, Next
// returns a task of that service, so ready may make a reservation. Its time is
// logarithmic in members, services and queued tasks, plus one call of ready for
// each service with queued tasks that is not ready. It drops tasks whose deadline
// has passed; the owner's job table ends them.
func (a *Admitter) Next(now time.Time, ready func(service string) bool) (carobpulley.Waiting, bool) {
	a.unblockDue(now)
	a.sortClasses()
	for _, c := range a.classOrder {
		if g := a.nextReady(now, c, ready); g != nil {
			return a.dequeue(now, g.queues[0]), true
		}
	}
	return carobpulley.Waiting{}, false
}

// Drop implements carobpulley.Admitter. It does not scan other jobs.
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
		for _, g := range s.groups {
			g.updateHeap()
		}
	}
	if m, ok := a.members[w.Member]; ok {
		m.running = max(0, m.running-1)
		if m.blocked {
			a.updateBlocked(now, m)
		}
	}
}

// Len implements carobpulley.Admitter.
func (a *Admitter) Len() int {
	return a.queued
}

// unblockDue updates the members whose quota of starts allows a start again.
func (a *Admitter) unblockDue(now time.Time) {
	for len(a.unblockHeap) > 0 && !a.unblockHeap[0].unblockAt.After(now) {
		a.updateBlocked(now, a.unblockHeap[0])
	}
}

// updateBlocked blocks or unblocks a member by its quota. When that changes, the
// start tags of the member's flows are raised to the current virtual time, so that
// they are not compensated for the time they were blocked.
func (a *Admitter) updateBlocked(now time.Time, m *member) {
	at := m.nextStartAt(now)
	blocked := !at.IsZero() || (m.limit > 0 && m.running >= m.limit)
	if m.unblockIndex >= 0 {
		heap.Remove(&a.unblockHeap, m.unblockIndex)
	}
	if !at.IsZero() {
		m.unblockAt = at
		heap.Push(&a.unblockHeap, m)
	}
	if blocked == m.blocked {
		return
	}
	m.blocked = blocked
	for _, f := range m.flows {
		f.startTag = max(f.startTag, f.class.virtualTime)
		f.updateQueues()
	}
}

// sortClasses orders the classes by start tag. Insertion sort suffices for so few.
func (a *Admitter) sortClasses() {
	for i := 1; i < len(a.classOrder); i++ {
		for k := i; k > 0 && a.classOrder[k].startTag < a.classOrder[k-1].startTag; k-- {
			a.classOrder[k], a.classOrder[k-1] = a.classOrder[k-1], a.classOrder[k]
		}
	}
}

// nextReady returns the first queue group of the class whose service is ready, in
// the order of the groups' first flows. Groups that are not ready are put back
// into the heap.
func (a *Admitter) nextReady(now time.Time, c *class, ready func(string) bool) *queueGroup {
	a.skipped = a.skipped[:0]
	var found *queueGroup
	for found == nil && len(c.ready) > 0 {
		g := c.ready[0]
		switch first := g.queues[0].first; {
		case !first.shared.Deadline.IsZero() && !now.Before(first.shared.Deadline):
			a.drop(first)
		case ready(g.name):
			found = g
		default:
			heap.Remove(&c.ready, 0)
			a.skipped = append(a.skipped, g)
		}
	}
	for _, g := range a.skipped {
		g.updateHeap()
	}
	return found
}

// dequeue removes the first task of a queue and advances the virtual times.
func (a *Admitter) dequeue(now time.Time, q *queue) carobpulley.Waiting {
	f, c := q.flow, q.flow.class
	a.virtualTime = max(a.virtualTime, c.startTag)
	c.startTag = max(c.startTag, a.virtualTime-maxCatchUp) + 1/c.weight
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag = max(f.startTag, c.virtualTime-maxCatchUp) + 1/f.weight()

	j := q.first
	w := j.pop()
	if len(j.tasks) == 0 {
		q.unlink(j)
		delete(a.jobs, w.Task.Job)
	}
	a.addQueued(f, -1)
	q.group.service.running++
	f.member.running++
	if f.member.bucket != nil {
		f.member.bucket.ReserveN(now, 1)
	}
	a.updateBlocked(now, f.member)
	f.updateQueues()
	for _, g := range q.group.service.groups {
		g.updateHeap()
	}
	return w
}

func (a *Admitter) drop(j *job) int {
	n := len(j.tasks)
	q := j.queue
	q.unlink(j)
	delete(a.jobs, j.shared.Task.Job)
	a.addQueued(q.flow, -n)
	q.flow.updateQueue(q)
	return n
}

// addQueued adds n to the counts of queued tasks; n is negative when tasks leave.
// The start tag of a class or flow that was empty is raised to the current virtual
// time.
func (a *Admitter) addQueued(f *flow, n int) {
	c := f.class
	if c.queued == 0 {
		c.startTag = max(c.startTag, a.virtualTime)
	}
	if f.queued == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		c.activeWeight += f.weight()
	}
	a.queued += n
	c.queued += n
	f.queued += n
	f.member.queued += n
	if f.queued == 0 {
		c.activeWeight -= f.weight()
	}
}

func (a *Admitter) queueOf(now time.Time, w carobpulley.Waiting) *queue {
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
	q := f.queueOf(w.Service)
	if q == nil {
		q = &queue{flow: f, group: a.groupOf(c, w.Service), heapIndex: -1}
		f.queues = append(f.queues, q)
	}
	return q
}

func (a *Admitter) member(now time.Time, name string) *member {
	m, ok := a.members[name]
	if !ok {
		m = &member{unblockIndex: -1}
		m.configure(now, a.catalogue.Members[name], a.share)
		a.members[name] = m
		a.updateBlocked(now, m)
	}
	return m
}

func (a *Admitter) groupOf(c *class, name string) *queueGroup {
	g, ok := c.groups[name]
	if !ok {
		s := a.service(name)
		g = &queueGroup{class: c, name: name, service: s, heapIndex: -1}
		s.groups = append(s.groups, g)
		c.groups[name] = g
	}
	return g
}

func (a *Admitter) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{limit: scaleLimit(a.catalogue.Services[name].MaxConcurrent, a.share)}
		a.services[name] = s
	}
	return s
}
