package place

import (
	"math"
	"time"
)

const (
	// defaultRunTime is the first estimate where the catalogue declares none.
	defaultRunTime = 300 * time.Millisecond
	// serviceWindow and memberMemory are the numbers of results that the means
	// of a service and of a service at one endpoint remember.
	serviceWindow  = 128
	endpointWindow = 32
	// speedWindow is the number of results that the speed of an endpoint
	// remembers.
	speedWindow = 64
	// speedPrior is the number of results that a speed of 1 counts for.
	speedPrior = 4
	// priorWeight is the number of results that the estimate from the service
	// and the endpoint's speed counts for.
	priorWeight = 8
	// trialAnnouncements is the number of announcements without a result after which
	// an endpoint is tried with one task and its old results count little, so
	// that one that was slow once does not stay unused.
	trialAnnouncements = 30
	maxIdleSamples     = 1
	// trialRunRatio is the run time over the service's mean that a trial is given.
	trialRunRatio = 0.9
	// meanDrift is the relative change of a service's mean after which its
	// endpoints are scored again.
	meanDrift = 0.25
	// failureWindow is the number of results that the failure rate of a service
	// remembers.
	failureWindow = 8
	// slowRunRatio is the run time over the service's mean from which an endpoint is
	// slow enough that a task may wait for another.
	slowRunRatio = 1.1
	// failurePenalty is the part by which each recent failure raises the expected
	// run time at an endpoint. One failure among many changes little.
	failurePenalty = 0.25
	// minRunWindow is the number of results after which a shortest run time is
	// largely forgotten, so that an outlier does not count for ever.
	minRunWindow = 1024
)

// service is the state of one service. Times are in nanoseconds.
type service struct {
	ready     readyHeap
	endpoints int
	// slots and busy are sums over the usable endpoints, fast is the sum of the
	// slots of those that are not slow.
	slots, occupied, fastSlots int
	// meanRun is the run time, base the mean at the last scoring.
	meanRun, scoredMean float64
	// minRun is the shortest run time of the recent results.
	minRun   float64
	samples  int
	failRate float64
}

// setDeclaredRun sets the first estimate. It is ignored after the first result,
// because declared run times may be ten times off.
func (s *service) setDeclaredRun(run time.Duration) {
	if s.samples > 0 {
		return
	}
	if run <= 0 {
		run = defaultRunTime
	}
	s.meanRun = float64(run)
	s.scoredMean = s.meanRun
}

// failureWeight is the weight of a failure: a service that fails everywhere says
// little about an endpoint.
func (s *service) failureWeight() float64 {
	return 1 - s.failRate
}

func (s *service) countFailure() {
	s.failRate += (1 - s.failRate) / failureWindow
}

func (s *service) meanMoved() bool {
	return math.Abs(s.meanRun-s.scoredMean) > meanDrift*s.scoredMean
}

// endpointService is a service at an endpoint.
type endpointService struct {
	endpoint  *endpoint
	service   *service
	name      string
	score     float64
	heapIndex int
	// slots, busy and fast are this member's parts of the service's sums.
	slots, occupied, fastSlots int
	estimate                   estimate
}

// estimate is a mean run time in nanoseconds.
type estimate struct {
	mean    float64
	samples float64
}

// updateSums updates the member's parts of the service's sums.
func (m *endpointService) updateSums(usable bool) {
	slots, busy, fast := 0, 0, 0
	if usable {
		slots, busy = m.endpoint.info.Slots, m.endpoint.taskCount()
		if !m.isSlow() {
			fast = slots
		}
	}
	m.service.slots += slots - m.slots
	m.service.occupied += busy - m.occupied
	m.service.fastSlots += fast - m.fastSlots
	m.slots, m.occupied, m.fastSlots = slots, busy, fast
}

// isSlow reports whether a task may wait for another endpoint.
func (m *endpointService) isSlow() bool {
	return m.expectedRun() >= slowRunRatio*m.service.meanRun
}

// expectedRun is the expected run time: the mean of the service at this endpoint,
// weighted with what the service and the endpoint's speed say.
func (m *endpointService) expectedRun() float64 {
	prior := m.service.meanRun * m.endpoint.speed
	n := m.estimate.samples
	return (priorWeight*prior + n*m.estimate.mean) / (priorWeight + n)
}

// countIdleAnnouncement counts an announcement of the endpoint without a result before it.
func (e *endpoint) countIdleAnnouncement() {
	e.idleAnnouncements++
	e.breaker.decayFailures()
	if e.idleAnnouncements < trialAnnouncements {
		return
	}
	e.samples = min(e.samples, maxIdleSamples)
	for _, m := range e.services {
		m.estimate.samples = min(m.estimate.samples, maxIdleSamples)
	}
}

// trialDue reports whether the endpoint is due to be tried with one task.
func (e *endpoint) trialDue() bool {
	return e.reserved == 0 && e.idleAnnouncements >= trialAnnouncements && e.breaker.failures < 0.5
}

// recordRun takes an observed run time.
func (m *endpointService) recordRun(run float64) {
	s, e := m.service, m.endpoint
	s.failRate -= s.failRate / failureWindow
	s.samples++
	if s.samples == 1 {
		s.meanRun, s.minRun = run, run
	}
	s.minRun = min(run, s.minRun+(run-s.minRun)/minRunWindow)
	s.meanRun += (run - s.meanRun) / float64(min(s.samples, serviceWindow))
	m.estimate.samples = min(m.estimate.samples+1, endpointWindow)
	m.estimate.mean += (run - m.estimate.mean) / m.estimate.samples
	e.idleAnnouncements = 0
	e.samples = min(e.samples+speedPrior, speedWindow)
	e.speed += (run/s.meanRun - e.speed) / min(e.samples+speedPrior, speedWindow)
}

// expectedFinish is the expected time until a task sent now has been answered. Failures
// raise it.
func (m *endpointService) expectedFinish() float64 {
	e := m.endpoint
	run := m.expectedRun() * (1 + failurePenalty*e.breaker.failures)
	if e.trialDue() {
		run = min(run, trialRunRatio*m.service.meanRun)
	}
	return 2*float64(e.latency) + m.expectedWait() + run
}

// expectedWait is the expected wait at the endpoint. Where a slot seems free, it is the
// chance that another entry has taken it, which grows with the occupancy.
func (m *endpointService) expectedWait() float64 {
	e := m.endpoint
	slots := float64(max(1, e.info.Slots))
	ahead := float64(e.taskCount()) / slots
	if !e.full() {
		return ahead * ahead * m.expectedRun() / slots
	}
	return (ahead - 1 + 1/slots) * m.expectedRun()
}
