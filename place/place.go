// Package place chooses endpoints for tasks from observed run times, reported load
// and network latency. It does no I/O and reads no clock: callers pass the time and
// the source of randomness.
package place

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carobpulley"
)

// startupPeriod is the time after the first announcement to a new entry in which
// endpoints are assumed to have been up before the entry, so that they need no slow
// start. Agents announce themselves every second and the list is rebuilt within 2 s
// (design section 3).
const startupPeriod = 2 * time.Second

// Placer implements carobpulley.Placer. It picks the endpoint with the earliest
// expected finish. It binds tasks late: tasks in excess of the slots and a
// look-ahead stay queued at the caller.
type Placer struct {
	rng           *rand.Rand
	latencies     DomainLatencies
	domain        string
	catalogue     *carobpulley.Catalogue
	endpoints     map[string]*endpoint
	services      map[string]*service
	timers        timerHeap
	firstUpsertAt time.Time
	// reserved counts this entry's reservations, backlog the tasks queued at the
	// entry.
	reserved int
	backlog  int
	// meanRun is the mean run time over all services in nanoseconds.
	meanRun float64
}

var _ carobpulley.Placer = (*Placer)(nil)

// New returns a Placer for an entry in the given domain. It draws jitter from src.
func New(src rand.Source, latencies DomainLatencies, domain string) *Placer {
	return &Placer{
		rng:       rand.New(src),
		latencies: latencies,
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
	// The order is fixed so that decisions are deterministic for a seed.
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[id]
		p.applyCatalogue(now, e)
		p.refresh(now, e)
	}
}

// Upsert implements carobpulley.Placer. It ignores an incarnation older than the
// recorded one.
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
	servicesChanged := !slices.Equal(e.info.Services, ep.Services)
	e.info = ep
	e.latency = p.latencies.Between(p.domain, ep.Domain)
	if servicesChanged {
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
	es := s.ready[0]
	if p.shouldWait(es) {
		return carobpulley.Endpoint{}, false
	}
	e := es.endpoint
	p.reserved++
	e.reserve(now)
	p.refresh(now, e)
	return e.info, true
}

// Backlog sets the number of tasks queued at the entry, including the one to be
// placed next. As long as it is not called, slow endpoints are used as soon as the
// faster ones are full.
func (p *Placer) Backlog(n int) {
	p.backlog = n
}

// shouldWait reports whether a task should stay queued for a faster endpoint. This
// is so if the backlog ahead of it is expected to be placed and the task to end
// sooner than on the best endpoint with free capacity.
func (p *Placer) shouldWait(es *endpointService) bool {
	s := es.service
	if p.backlog == 0 || p.reserved == 0 || s.fastSlots == 0 || es.endpoint.trialDue() {
		return false
	}
	if !es.endpoint.full() && !es.isSlow() {
		return false
	}
	interval := p.meanRun / float64(p.reserved)
	return es.expectedRun()+es.expectedWait() > s.meanRun+interval*float64(p.backlog)
}

// Done implements carobpulley.Placer. It ignores samples of an earlier incarnation.
func (p *Placer) Done(now time.Time, s carobpulley.Sample) {
	p.fireTimers(now)
	e, ok := p.endpoints[s.Endpoint]
	if !ok || s.SentAt.Before(e.since) {
		return
	}
	e.reserved = max(0, e.reserved-1)
	p.reserved = max(0, p.reserved-1)
	es := e.service(s.Service)
	switch {
	case s.Refused:
		e.handleRefusal(now)
	case s.Failed || s.Lost:
		p.handleFailure(now, e, es)
	default:
		p.handleSuccess(now, e, es, s.Run)
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

// Expect implements carobpulley.Placer. It returns the zero time if no usable
// endpoint runs the service, and before the first result, because the declared run
// time may be wrong by a factor of ten.
func (p *Placer) Expect(now time.Time, name string, ahead int) time.Time {
	s, ok := p.services[name]
	if !ok || s.slots == 0 || s.samples == 0 {
		return time.Time{}
	}
	waiting := max(0, ahead+s.occupied+1-s.slots)
	rounds := 1 + float64(waiting)/float64(s.slots)
	return now.Add(time.Duration(s.meanRun * rounds))
}

// MinRunTime returns the shortest expected run time of the service, estimated from
// recent results, or 0 before the first result.
func (p *Placer) MinRunTime(name string) time.Duration {
	if s, ok := p.services[name]; ok {
		return time.Duration(s.minRun)
	}
	return 0
}

// fireTimers applies the state changes of endpoints that are due.
func (p *Placer) fireTimers(now time.Time) {
	for len(p.timers) > 0 && !p.timers[0].timerAt.After(now) {
		e := p.timers[0]
		e.fireTimers(now)
		p.refresh(now, e)
	}
}

// applyCatalogue updates from the catalogue whether the endpoint's domain is in
// service and whether the endpoint is draining.
func (p *Placer) applyCatalogue(now time.Time, e *endpoint) {
	in := p.catalogue.InService(e.info.Domain)
	if in && !e.inService {
		e.beginSlowStart(now)
	}
	e.inService = in
	e.draining = e.info.Draining || p.catalogue.Draining[e.info.ID]
}

// setServices replaces the endpoint's services by the announced ones. Services that
// remain keep their estimates.
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
		es := &endpointService{endpoint: e, service: s, name: name, heapIndex: -1}
		if i := slices.IndexFunc(old, func(o *endpointService) bool { return o.name == name }); i >= 0 {
			es.estimate = old[i].estimate
		}
		s.endpoints++
		e.services = append(e.services, es)
	}
}

func (p *Placer) removeServices(e *endpoint) {
	for _, es := range e.services {
		es.service.endpoints--
		es.updateSums(false)
		if es.heapIndex >= 0 {
			heap.Remove(&es.service.ready, es.heapIndex)
		}
	}
	e.services = nil
}

// refresh updates the endpoint's position in the heap of each of its services and
// in the heap of timers.
func (p *Placer) refresh(now time.Time, e *endpoint) {
	for _, es := range e.services {
		p.updateRank(now, es)
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

// updateRank updates the service's sums and the endpoint's score and position in the
// heap of the service.
func (p *Placer) updateRank(now time.Time, es *endpointService) {
	e := es.endpoint
	es.updateSums(e.usable(now))
	switch free := e.hasCapacity(now, es.expectedRun()); {
	case !free && es.heapIndex >= 0:
		heap.Remove(&es.service.ready, es.heapIndex)
	case !free:
	case es.heapIndex < 0:
		es.score = es.expectedFinish()
		heap.Push(&es.service.ready, es)
	default:
		es.score = es.expectedFinish()
		heap.Fix(&es.service.ready, es.heapIndex)
	}
}

// rescore computes the scores of all endpoints of a service again after its mean
// has moved.
func (p *Placer) rescore(s *service) {
	s.scoredMean = s.meanRun
	for _, es := range s.ready {
		es.score = es.expectedFinish()
	}
	heap.Init(&s.ready)
}

func (p *Placer) handleSuccess(now time.Time, e *endpoint, es *endpointService, run time.Duration) {
	e.handleSuccess(now)
	if es == nil || run <= 0 {
		return
	}
	p.meanRun += (float64(run) - p.meanRun) / serviceWindow
	es.recordRun(float64(run))
	if s := es.service; s.meanMoved() {
		p.rescore(s)
	}
}

func (p *Placer) handleFailure(now time.Time, e *endpoint, es *endpointService) {
	weight := 1.0
	if es != nil {
		weight = es.service.failureWeight()
		es.service.countFailure()
	}
	e.handleFailure(now, weight, p.rng)
}
