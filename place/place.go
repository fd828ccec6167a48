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
	rng           *rand.Rand
	distances     DomainLatencies
	domain        string
	catalogue     *carobpulley.Catalogue
	endpoints     map[string]*endpoint
	services      map[string]*service
	timers        timerHeap
	firstUpsertAt time.Time
	// reserved counts the places held, backlog the tasks that wait at the entry.
	reserved int
	backlog  int
	// meanRun is the mean run time of all services in nanoseconds.
	meanRun float64
}

var _ carobpulley.Placer = (*Placer)(nil)

// New returns a Placer for an entry in the given domain. The source seeds ties
// and jitter.
func New(src rand.Source, distances DomainLatencies, domain string) *Placer {
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
		s.setDeclaredRun(c.Services[name].RunTime)
	}
	// In a fixed order, so that a seed gives the same decisions each time.
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[id]
		p.applyCatalogue(now, e)
		p.refresh(now, e)
	}
}

// Upsert implements carobpulley.Placer. An incarnation older than the known one
// is ignored.
func (p *Placer) Upsert(now time.Time, ep carobpulley.Endpoint, l carobpulley.Load) {
	if p.firstUpsertAt.IsZero() {
		p.firstUpsertAt = now
	}
	e, ok := p.endpoints[ep.ID]
	switch {
	case !ok:
		e = &endpoint{since: now, speed: 1, idleAnnouncements: trialAnnouncements, timerIndex: -1, inService: true, rampedUp: now.Sub(p.firstUpsertAt) < startupPeriod}
		p.endpoints[ep.ID] = e
		if !e.rampedUp {
			e.beginSlowStart(now)
		}
	case ep.Incarnation < e.info.Incarnation:
		return
	case ep.Incarnation > e.info.Incarnation:
		e.reset(now)
	case e.suspect:
		e.suspect = false
		e.beginSlowStart(now)
	}
	joined := !slices.Equal(e.info.Services, ep.Services)
	e.info = ep
	e.latency = p.distances.Between(p.domain, ep.Domain)
	if joined {
		p.setServices(e)
	}
	p.applyCatalogue(now, e)
	e.applyLoad(now, l)
	e.countIdleAnnouncement()
	p.refresh(now, e)
}

// Remove implements carobpulley.Placer.
func (p *Placer) Remove(_ time.Time, id string) {
	e, ok := p.endpoints[id]
	if !ok {
		return
	}
	p.removeServices(e)
	if e.timerIndex >= 0 {
		heap.Remove(&p.timers, e.timerIndex)
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
	p.fireTimers(now)
	s, ok := p.services[name]
	if !ok || len(s.ready) == 0 {
		return carobpulley.Endpoint{}, false
	}
	m := s.ready[0]
	if p.shouldWait(m) {
		return carobpulley.Endpoint{}, false
	}
	e := m.endpoint
	p.reserved++
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

// shouldWait reports whether a task should wait for a place at a faster endpoint: the
// backlog ahead of it is expected to be placed, and the task to end, sooner than
// at the best endpoint that has room.
func (p *Placer) shouldWait(m *endpointService) bool {
	s := m.service
	if p.backlog == 0 || p.reserved == 0 || s.fastSlots == 0 || m.endpoint.trialDue() {
		return false
	}
	if !m.endpoint.full() && !m.isSlow() {
		return false
	}
	interval := p.meanRun / float64(p.reserved)
	return m.expectedRun()+m.expectedWait() > s.meanRun+interval*float64(p.backlog)
}

// Done implements carobpulley.Placer. A sample of an earlier incarnation is
// ignored.
func (p *Placer) Done(now time.Time, s carobpulley.Sample) {
	p.fireTimers(now)
	e, ok := p.endpoints[s.Endpoint]
	if !ok || s.SentAt.Before(e.since) {
		return
	}
	e.reserved = max(0, e.reserved-1)
	p.reserved = max(0, p.reserved-1)
	m := e.service(s.Service)
	switch {
	case s.Refused:
		e.handleRefusal(now)
	case s.Failed || s.Lost:
		p.handleFailure(now, e, m)
	default:
		p.handleSuccess(now, e, m, s.Run)
	}
	if !s.Lost {
		e.applyLoad(now, s.Load)
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
	waiting := max(0, ahead+s.occupied+1-s.slots)
	rounds := 1 + float64(waiting)/float64(s.slots)
	return now.Add(time.Duration(s.meanRun * rounds))
}

// MinRunTime returns the shortest run time to be expected of the service, from the
// recent results; 0 before the first.
func (p *Placer) MinRunTime(name string) time.Duration {
	if s, ok := p.services[name]; ok {
		return time.Duration(s.minRun)
	}
	return 0
}

// fireTimers handles the time events that are due.
func (p *Placer) fireTimers(now time.Time) {
	for len(p.timers) > 0 && !p.timers[0].timerAt.After(now) {
		e := p.timers[0]
		e.fireTimers(now)
		p.refresh(now, e)
	}
}

// applyCatalogue takes the endpoint's domain and draining state from the catalogue.
func (p *Placer) applyCatalogue(now time.Time, e *endpoint) {
	in := p.catalogue.InService(e.info.Domain)
	if in && !e.inService {
		e.beginSlowStart(now)
	}
	e.inService = in
	e.draining = e.info.Draining || p.catalogue.Draining[e.info.ID]
}

func (p *Placer) setServices(e *endpoint) {
	old := e.services
	p.removeServices(e)
	for _, name := range e.info.Services {
		s, ok := p.services[name]
		if !ok {
			s = &service{}
			s.setDeclaredRun(p.catalogue.Services[name].RunTime)
			p.services[name] = s
		}
		m := &endpointService{endpoint: e, service: s, name: name, heapIndex: -1}
		if i := slices.IndexFunc(old, func(o *endpointService) bool { return o.name == name }); i >= 0 {
			m.estimate = old[i].estimate
		}
		s.endpoints++
		e.services = append(e.services, m)
	}
}

func (p *Placer) removeServices(e *endpoint) {
	for _, m := range e.services {
		m.service.endpoints--
		m.updateSums(false)
		if m.heapIndex >= 0 {
			heap.Remove(&m.service.ready, m.heapIndex)
		}
	}
	e.services = nil
}

// refresh updates the endpoint's place in each of its services' heaps and its
// next time event.
func (p *Placer) refresh(now time.Time, e *endpoint) {
	for _, m := range e.services {
		p.updateRank(now, m)
	}
	at := e.nextTimer()
	switch {
	case at.IsZero() && e.timerIndex >= 0:
		heap.Remove(&p.timers, e.timerIndex)
	case at.IsZero():
	case e.timerIndex < 0:
		e.timerAt = at
		heap.Push(&p.timers, e)
	default:
		e.timerAt = at
		heap.Fix(&p.timers, e.timerIndex)
	}
}

func (p *Placer) updateRank(now time.Time, m *endpointService) {
	e := m.endpoint
	m.updateSums(e.usable(now))
	switch room := e.hasCapacity(now, m.expectedRun()); {
	case !room && m.heapIndex >= 0:
		heap.Remove(&m.service.ready, m.heapIndex)
	case !room:
	case m.heapIndex < 0:
		m.score = m.expectedFinish()
		heap.Push(&m.service.ready, m)
	default:
		m.score = m.expectedFinish()
		heap.Fix(&m.service.ready, m.heapIndex)
	}
}

// rescore scores all endpoints of a service again after its mean has moved.
func (p *Placer) rescore(s *service) {
	s.scoredMean = s.meanRun
	for _, m := range s.ready {
		m.score = m.expectedFinish()
	}
	heap.Init(&s.ready)
}

func (p *Placer) handleSuccess(now time.Time, e *endpoint, m *endpointService, run time.Duration) {
	e.handleSuccess(now)
	if m == nil || run <= 0 {
		return
	}
	p.meanRun += (float64(run) - p.meanRun) / serviceWindow
	m.recordRun(float64(run))
	if s := m.service; s.meanMoved() {
		p.rescore(s)
	}
}

func (p *Placer) handleFailure(now time.Time, e *endpoint, m *endpointService) {
	weight := 1.0
	if m != nil {
		weight = m.service.failureWeight()
		m.service.countFailure()
	}
	e.handleFailure(now, weight, p.rng)
}
