package place

import (
	"math"
	"time"
)

const (
	// defaultRun is the first estimate where the catalogue declares none.
	defaultRun = 300 * time.Millisecond
	// serviceMemory and memberMemory are the numbers of results that the means
	// of a service and of a service at one endpoint remember.
	serviceMemory = 128
	memberMemory  = 32
	// speedMemory is the number of results that the speed of an endpoint
	// remembers.
	speedMemory = 64
	// speedPrior is the number of results that a speed of 1 counts for.
	speedPrior = 4
	// priorWeight is the number of results that the estimate from the service
	// and the endpoint's speed counts for.
	priorWeight = 8
	// idleAnnounces is the number of announcements without a result after which
	// an endpoint is tried with one task and its old results count little, so
	// that one that was slow once does not stay unused.
	idleAnnounces = 30
	idleSamples   = 1
	// trialRun is the run time over the service's mean that a trial is given.
	trialRun = 0.9
	// meanDrift is the relative change of a service's mean after which its
	// endpoints are scored again.
	meanDrift = 0.25
	// failureMemory is the number of results that the failure rate of a service
	// remembers.
	failureMemory = 8
	// slowRun is the run time over the service's mean from which an endpoint is
	// slow enough that a task may wait for another.
	slowRun = 1.1
	// failureRaise is the part by which each recent failure raises the expected
	// run time at an endpoint. One failure among many changes little.
	failureRaise = 0.25
	// leastMemory is the number of results after which a shortest run time is
	// largely forgotten, so that an outlier does not count for ever.
	leastMemory = 1024
)

// service is the state of one service. Times are in nanoseconds.
type service struct {
	ready     readyHeap
	endpoints int
	// slots and busy are sums over the usable endpoints, fast is the sum of the
	// slots of those that are not slow.
	slots, busy, fast int
	// mean is the run time, base the mean at the last scoring.
	mean, base float64
	// least is the shortest run time of the recent results.
	least    float64
	samples  int
	failRate float64
}

// declare sets the first estimate. It is ignored after the first result,
// because declared run times may be ten times off.
func (s *service) declare(run time.Duration) {
	if s.samples > 0 {
		return
	}
	if run <= 0 {
		run = defaultRun
	}
	s.mean = float64(run)
	s.base = s.mean
}

// failure is the weight of a failure: a service that fails everywhere says
// little about an endpoint.
func (s *service) failure() float64 {
	return 1 - s.failRate
}

func (s *service) failed() {
	s.failRate += (1 - s.failRate) / failureMemory
}

func (s *service) moved() bool {
	return math.Abs(s.mean-s.base) > meanDrift*s.base
}

// member is a service at an endpoint.
type member struct {
	endpoint *endpoint
	service  *service
	name     string
	score    float64
	place    int
	// slots, busy and fast are this member's parts of the service's sums.
	slots, busy, fast int
	estimate          estimate
}

// estimate is a mean run time in nanoseconds.
type estimate struct {
	mean    float64
	samples float64
}

// count updates the member's parts of the service's sums.
func (m *member) count(usable bool) {
	slots, busy, fast := 0, 0, 0
	if usable {
		slots, busy = m.endpoint.info.Slots, m.endpoint.ahead()
		if !m.slow() {
			fast = slots
		}
	}
	m.service.slots += slots - m.slots
	m.service.busy += busy - m.busy
	m.service.fast += fast - m.fast
	m.slots, m.busy, m.fast = slots, busy, fast
}

// slow reports whether a task may wait for another endpoint.
func (m *member) slow() bool {
	return m.run() >= slowRun*m.service.mean
}

// run is the expected run time: the mean of the service at this endpoint,
// weighted with what the service and the endpoint's speed say.
func (m *member) run() float64 {
	prior := m.service.mean * m.endpoint.speed
	n := m.estimate.samples
	return (priorWeight*prior + n*m.estimate.mean) / (priorWeight + n)
}

// idle counts an announcement of the endpoint without a result before it.
func (e *endpoint) idle() {
	e.announces++
	e.breaker.forget()
	if e.announces < idleAnnounces {
		return
	}
	e.samples = min(e.samples, idleSamples)
	for _, m := range e.members {
		m.estimate.samples = min(m.estimate.samples, idleSamples)
	}
}

// trial reports whether the endpoint is due to be tried with one task.
func (e *endpoint) trial() bool {
	return e.mine == 0 && e.announces >= idleAnnounces && e.breaker.failures < 0.5
}

// learn takes an observed run time.
func (m *member) learn(run float64) {
	s, e := m.service, m.endpoint
	s.failRate -= s.failRate / failureMemory
	s.samples++
	if s.samples == 1 {
		s.mean, s.least = run, run
	}
	s.least = min(run, s.least+(run-s.least)/leastMemory)
	s.mean += (run - s.mean) / float64(min(s.samples, serviceMemory))
	m.estimate.samples = min(m.estimate.samples+1, memberMemory)
	m.estimate.mean += (run - m.estimate.mean) / m.estimate.samples
	e.announces = 0
	e.samples = min(e.samples+speedPrior, speedMemory)
	e.speed += (run/s.mean - e.speed) / min(e.samples+speedPrior, speedMemory)
}

// finish is the expected time until a task sent now has been answered. Failures
// raise it.
func (m *member) finish() float64 {
	e := m.endpoint
	run := m.run() * (1 + failureRaise*e.breaker.failures)
	if e.trial() {
		run = min(run, trialRun*m.service.mean)
	}
	return 2*float64(e.distance) + m.wait() + run
}

// wait is the expected wait at the endpoint. Where a slot seems free, it is the
// chance that another entry has taken it, which grows with the occupancy.
func (m *member) wait() float64 {
	e := m.endpoint
	slots := float64(max(1, e.info.Slots))
	ahead := float64(e.ahead()) / slots
	if !e.full() {
		return ahead * ahead * m.run() / slots
	}
	return (ahead - 1 + 1/slots) * m.run()
}
