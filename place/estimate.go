package place

import (
	"math"
	"time"
)

const (
	// defaultRunTime is the initial estimate for services whose run time the
	// catalogue does not declare.
	defaultRunTime = 300 * time.Millisecond
	// serviceWindow and endpointWindow are the numbers of results over which the
	// mean run times of a service and of a service at one endpoint are taken.
	serviceWindow  = 128
	endpointWindow = 32
	// speedWindow is the number of results over which the speed of an endpoint is
	// taken.
	speedWindow = 64
	// speedPrior is the number of results that the initial speed of 1 counts for.
	speedPrior = 4
	// priorWeight is the number of results that the prior estimate counts for,
	// which is derived from the service's mean and the endpoint's speed.
	priorWeight = 8
	// trialAnnouncements is the number of announcements without a result after
	// which an endpoint is tried with one task and its old results count as at
	// most maxIdleSamples, so that an endpoint that was slow once does not stay
	// unused.
	trialAnnouncements = 30
	maxIdleSamples     = 1
	// trialRunRatio is the ratio to the service's mean that the run time of a trial
	// is assumed not to exceed.
	trialRunRatio = 0.9
	// meanDrift is the relative change of a service's mean after which its
	// endpoints are scored again.
	meanDrift = 0.25
	// failureWindow is the number of results over which the failure rate of a
	// service is taken.
	failureWindow = 8
	// slowRunRatio is the ratio of run time to the service's mean from which an
	// endpoint counts as slow, so that a task may wait for another endpoint.
	slowRunRatio = 1.1
	// failurePenalty is the fraction by which each recent failure raises the
	// expected run time at an endpoint. A success resets the failures, so one
	// failure among many results changes little.
	failurePenalty = 0.25
	// minRunWindow is the number of results over which the shortest run time decays
	// towards later results, so that an outlier does not count indefinitely.
	minRunWindow = 1024
)

// service is the state of one service. Times are in nanoseconds.
type service struct {
	ready     readyHeap
	endpoints int
	// slots and occupied are sums over the usable endpoints. fastSlots is the sum of
	// the slots of those that are not slow.
	slots, occupied, fastSlots int
	// meanRun is the mean run time, scoredMean its value at the last rescoring.
	meanRun, scoredMean float64
	// minRun is the shortest run time of recent results.
	minRun   float64
	samples  int
	failRate float64
}

// setDeclaredRun sets the initial estimate. It has no effect after the first
// result, because declared run times may be wrong by a factor of ten.
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

// failureWeight returns the weight of a failure in an endpoint's breaker. Failures
// of a service that fails everywhere say little about a single endpoint.
func (s *service) failureWeight() float64 {
	return 1 - s.failRate
}

func (s *service) countFailure() {
	s.failRate += (1 - s.failRate) / failureWindow
}

func (s *service) meanMoved() bool {
	return math.Abs(s.meanRun-s.scoredMean) > meanDrift*s.scoredMean
}

// endpointService is the state of one service at one endpoint.
type endpointService struct {
	endpoint  *endpoint
	service   *service
	name      string
	score     float64
	heapIndex int
	// slots, occupied and fastSlots are the amounts counted in the service's sums.
	slots, occupied, fastSlots int
	estimate                   estimate
}

// estimate is a mean run time in nanoseconds with its number of results.
type estimate struct {
	mean    float64
	samples float64
}

// updateSums replaces the amounts counted in the service's sums by current ones.
func (es *endpointService) updateSums(usable bool) {
	slots, occupied, fastSlots := 0, 0, 0
	if usable {
		slots, occupied = es.endpoint.info.Slots, es.endpoint.taskCount()
		if !es.isSlow() {
			fastSlots = slots
		}
	}
	es.service.slots += slots - es.slots
	es.service.occupied += occupied - es.occupied
	es.service.fastSlots += fastSlots - es.fastSlots
	es.slots, es.occupied, es.fastSlots = slots, occupied, fastSlots
}

// isSlow reports whether the service is slow at this endpoint, so that a task may
// wait for another one.
func (es *endpointService) isSlow() bool {
	return es.expectedRun() >= slowRunRatio*es.service.meanRun
}

// expectedRun returns the expected run time: the weighted mean of the results at
// this endpoint and of the prior, the service's mean times the endpoint's speed.
func (es *endpointService) expectedRun() float64 {
	prior := es.service.meanRun * es.endpoint.speed
	n := es.estimate.samples
	return (priorWeight*prior + n*es.estimate.mean) / (priorWeight + n)
}

// countIdleAnnouncement counts an announcement. A successful result resets the
// count.
func (e *endpoint) countIdleAnnouncement() {
	e.idleAnnouncements++
	e.breaker.decayFailures()
	if e.idleAnnouncements < trialAnnouncements {
		return
	}
	e.samples = min(e.samples, maxIdleSamples)
	for _, es := range e.services {
		es.estimate.samples = min(es.estimate.samples, maxIdleSamples)
	}
}

// trialDue reports whether the endpoint should be tried with one task.
func (e *endpoint) trialDue() bool {
	return e.reserved == 0 && e.idleAnnouncements >= trialAnnouncements && e.breaker.failures < 0.5
}

// recordRun updates the estimates with the run time of a successful task.
func (es *endpointService) recordRun(run float64) {
	s, e := es.service, es.endpoint
	s.failRate -= s.failRate / failureWindow
	s.samples++
	if s.samples == 1 {
		s.meanRun, s.minRun = run, run
	}
	s.minRun = min(run, s.minRun+(run-s.minRun)/minRunWindow)
	s.meanRun += (run - s.meanRun) / float64(min(s.samples, serviceWindow))
	es.estimate.samples = min(es.estimate.samples+1, endpointWindow)
	es.estimate.mean += (run - es.estimate.mean) / es.estimate.samples
	e.idleAnnouncements = 0
	e.samples = min(e.samples+speedPrior, speedWindow)
	e.speed += (run/s.meanRun - e.speed) / min(e.samples+speedPrior, speedWindow)
}

// expectedFinish returns the expected time until the result of a task sent now
// arrives. Recent failures raise it.
func (es *endpointService) expectedFinish() float64 {
	e := es.endpoint
	run := es.expectedRun() * (1 + failurePenalty*e.breaker.failures)
	if e.trialDue() {
		run = min(run, trialRunRatio*es.service.meanRun)
	}
	return 2*float64(e.latency) + es.expectedWait() + run
}

// expectedWait returns the expected wait at the endpoint. If a slot seems free, the
// wait follows from the probability that another entry has taken it, which grows
// with the occupancy.
func (es *endpointService) expectedWait() float64 {
	e := es.endpoint
	slots := float64(max(1, e.info.Slots))
	ahead := float64(e.taskCount()) / slots
	if !e.full() {
		return ahead * ahead * es.expectedRun() / slots
	}
	return (ahead - 1 + 1/slots) * es.expectedRun()
}
