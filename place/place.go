// Package place chooses endpoints for tasks from learned run times, reported
// load and distance. It is pure: time and randomness come from the caller.
package place

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carobpulley"
)

// startupPeriod is the time in which a new entry learns the endpoints that were
// there before it. They need no slow start. Agents announce themselves each
// second and the list is rebuilt in 2 s (design section 3).
const startupPeriod = 2 * time.Second

// Placer implements carobpulley.Placer: it pushes to the endpoint with the
// earliest expected finish and binds late, so that tasks beyond the slots and
// a look-ahead wait with the caller.
type Placer struct {
	rng       *rand.Rand
	distances Distances
	domain    string
	catalogue *carobpulley.Catalogue
	endpoints map[string]*endpoint
	services  map[string]*service
	wakes     wakeHeap
	firstAt   time.Time
	// mine counts the places held, backlog the tasks that wait at the entry.
	mine    int
	backlog int
	// run is the mean run time of all services in nanoseconds.
	run float64
}

var _ carobpulley.Placer = (*Placer)(nil)

// New returns a Placer for an entry in the given domain. The source seeds ties
// and jitter.
func New(src rand.Source, distances Distances, domain string) *Placer {
	return &Placer{
		rng:       rand.New(src),
		distances: distances,
		domain:    domain,
		catalogue: &carobpulley.Catalogue{},
		endpoints: map[string]*endpoint{},
		services:  map[string]*service{},
	}
}

// Configure implements carobpulley.Placer.
func (p *Placer) Configure(now time.Time, c *carobpulley.Catalogue) {
	p.catalogue = c
	for name, s := range p.services {
		s.declare(c.Services[name].RunTime)
	}
	// In a fixed order, so that a seed gives the same decisions each time.
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[id]
		p.setService(now, e)
		p.refresh(now, e)
	}
}

// Upsert implements carobpulley.Placer. An incarnation older than the known one
// is ignored.
func (p *Placer) Upsert(now time.Time, ep carobpulley.Endpoint, l carobpulley.Load) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	e, ok := p.endpoints[ep.ID]
	switch {
	case !ok:
		e = &endpoint{since: now, speed: 1, announces: idleAnnounces, wake: -1, inService: true, warm: now.Sub(p.firstAt) < startupPeriod}
		p.endpoints[ep.ID] = e
		if !e.warm {
			e.restart(now)
		}
	case ep.Incarnation < e.info.Incarnation:
		return
	case ep.Incarnation > e.info.Incarnation:
		e.replace(now)
	case e.suspect:
		e.suspect = false
		e.restart(now)
	}
	joined := !slices.Equal(e.info.Services, ep.Services)
	e.info = ep
	e.distance = p.distances.Between(p.domain, ep.Domain)
	if joined {
		p.join(e)
	}
	p.setService(now, e)
	e.report(now, l)
	e.idle()
	p.refresh(now, e)
}

// Remove implements carobpulley.Placer.
func (p *Placer) Remove(_ time.Time, id string) {
	e, ok := p.endpoints[id]
	if !ok {
		return
	}
	p.leave(e)
	if e.wake >= 0 {
		heap.Remove(&p.wakes, e.wake)
	}
	delete(p.endpoints, id)
}

// Suspect implements carobpulley.Placer.
func (p *Placer) Suspect(now time.Time, id string) {
	if e, ok := p.endpoints[id]; ok {
		e.suspect = true
		p.refresh(now, e)
	}
}

// Pick implements carobpulley.Placer. It takes time logarithmic in the number
// of endpoints and allocates nothing.
func (p *Placer) Pick(now time.Time, name string) (carobpulley.Endpoint, bool) {
	p.advance(now)
	s, ok := p.services[name]
	if !ok || len(s.ready) == 0 {
		return carobpulley.Endpoint{}, false
	}
	m := s.ready[0]
	if p.hold(m) {
		return carobpulley.Endpoint{}, false
	}
	e := m.endpoint
	p.mine++
	e.reserve(now)
	p.refresh(now, e)
	return e.info, true
}

// Backlog tells how many tasks wait at the entry, the one to be placed next
// included. While it is not called, slow endpoints are used as soon as the
// faster ones are full.
func (p *Placer) Backlog(n int) {
	p.backlog = n
}

// hold reports whether a task should wait for a place at a faster endpoint: the
// backlog ahead of it is expected to be placed, and the task to end, sooner than
// at the best endpoint that has room.
func (p *Placer) hold(m *member) bool {
	s := m.service
	if p.backlog == 0 || p.mine == 0 || s.fast == 0 || m.endpoint.trial() {
		return false
	}
	if !m.endpoint.full() && !m.slow() {
		return false
	}
	interval := p.run / float64(p.mine)
	return m.run()+m.wait() > s.mean+interval*float64(p.backlog)
}

// Done implements carobpulley.Placer. A sample of an earlier incarnation is
// ignored.
func (p *Placer) Done(now time.Time, s carobpulley.Sample) {
	p.advance(now)
	e, ok := p.endpoints[s.Endpoint]
	if !ok || s.SentAt.Before(e.since) {
		return
	}
	e.mine = max(0, e.mine-1)
	p.mine = max(0, p.mine-1)
	m := e.member(s.Service)
	switch {
	case s.Refused:
		e.refused(now)
	case s.Failed || s.Lost:
		p.failed(now, e, m)
	default:
		p.succeeded(now, e, m, s.Run)
	}
	if !s.Lost {
		e.report(now, s.Load)
	}
	p.refresh(now, e)
}

// CanRun implements carobpulley.Placer.
func (p *Placer) CanRun(name string) bool {
	s, ok := p.services[name]
	return ok && s.endpoints > 0
}

// Expect implements carobpulley.Placer. It returns the zero time if no endpoint
// that may take work runs the service, or before the first result, since the
// declared run time may be ten times off.
func (p *Placer) Expect(now time.Time, name string, ahead int) time.Time {
	s, ok := p.services[name]
	if !ok || s.slots == 0 || s.samples == 0 {
		return time.Time{}
	}
	waiting := max(0, ahead+s.busy+1-s.slots)
	rounds := 1 + float64(waiting)/float64(s.slots)
	return now.Add(time.Duration(s.mean * rounds))
}

// Least returns the shortest run time to be expected of the service, from the
// recent results; 0 before the first.
func (p *Placer) Least(name string) time.Duration {
	if s, ok := p.services[name]; ok {
		return time.Duration(s.least)
	}
	return 0
}

// advance handles the time events that are due.
func (p *Placer) advance(now time.Time) {
	for len(p.wakes) > 0 && !p.wakes[0].wakeAt.After(now) {
		e := p.wakes[0]
		e.tick(now)
		p.refresh(now, e)
	}
}

// setService takes the endpoint's domain and draining state from the catalogue.
func (p *Placer) setService(now time.Time, e *endpoint) {
	in := p.catalogue.InService(e.info.Domain)
	if in && !e.inService {
		e.restart(now)
	}
	e.inService = in
	e.draining = e.info.Draining || p.catalogue.Draining[e.info.ID]
}

func (p *Placer) join(e *endpoint) {
	old := e.members
	p.leave(e)
	for _, name := range e.info.Services {
		s, ok := p.services[name]
		if !ok {
			s = &service{}
			s.declare(p.catalogue.Services[name].RunTime)
			p.services[name] = s
		}
		m := &member{endpoint: e, service: s, name: name, place: -1}
		if i := slices.IndexFunc(old, func(o *member) bool { return o.name == name }); i >= 0 {
			m.estimate = old[i].estimate
		}
		s.endpoints++
		e.members = append(e.members, m)
	}
}

func (p *Placer) leave(e *endpoint) {
	for _, m := range e.members {
		m.service.endpoints--
		m.count(false)
		if m.place >= 0 {
			heap.Remove(&m.service.ready, m.place)
		}
	}
	e.members = nil
}

// refresh updates the endpoint's place in each of its services' heaps and its
// next time event.
func (p *Placer) refresh(now time.Time, e *endpoint) {
	for _, m := range e.members {
		p.rank(now, m)
	}
	at := e.nextEvent()
	switch {
	case at.IsZero() && e.wake >= 0:
		heap.Remove(&p.wakes, e.wake)
	case at.IsZero():
	case e.wake < 0:
		e.wakeAt = at
		heap.Push(&p.wakes, e)
	default:
		e.wakeAt = at
		heap.Fix(&p.wakes, e.wake)
	}
}

func (p *Placer) rank(now time.Time, m *member) {
	e := m.endpoint
	m.count(e.usable(now))
	switch room := e.room(now, m.run()); {
	case !room && m.place >= 0:
		heap.Remove(&m.service.ready, m.place)
	case !room:
	case m.place < 0:
		m.score = m.finish()
		heap.Push(&m.service.ready, m)
	default:
		m.score = m.finish()
		heap.Fix(&m.service.ready, m.place)
	}
}

// rebuild scores all endpoints of a service again after its mean has moved.
func (p *Placer) rebuild(s *service) {
	s.base = s.mean
	for _, m := range s.ready {
		m.score = m.finish()
	}
	heap.Init(&s.ready)
}

func (p *Placer) succeeded(now time.Time, e *endpoint, m *member, run time.Duration) {
	e.succeeded(now)
	if m == nil || run <= 0 {
		return
	}
	p.run += (float64(run) - p.run) / serviceMemory
	m.learn(float64(run))
	if s := m.service; s.moved() {
		p.rebuild(s)
	}
}

func (p *Placer) failed(now time.Time, e *endpoint, m *member) {
	weight := 1.0
	if m != nil {
		weight = m.service.failure()
		m.service.failed()
	}
	e.failed(now, weight, p.rng)
}
