package place

import (
	"math"
	"math/rand/v2"
	"time"

	"carobpulley"
)

const (
	// refusalPause is the shortest pause in sending tasks after a refusal. The
	// pause doubles with each consecutive refusal up to refusalPauseMax, so that an
	// agent that refuses everything costs few messages.
	refusalPause    = 2 * time.Millisecond
	refusalPauseMax = 250 * time.Millisecond
	// slowStartStep is the time in which the task limit of an endpoint in slow
	// start doubles (design section 6).
	slowStartStep = time.Second
	// The average age of a load report is a considerable part of a run time. In
	// that time the number of other entries' tasks is assumed to revert by the
	// fraction othersReversion to its mean, which is taken over about othersWindow
	// reports.
	othersReversion = 0.3
	othersWindow    = 16
	// minLookAhead is the smallest number of tasks that may be sent before slots
	// are free. It hides the round trip, and lets an entry without tasks at the
	// endpoint get its share of the slots that other entries' tasks free.
	minLookAhead = 1
)

// endpoint is the state of one endpoint. reserved counts the reservations of this
// entry, othersTasks estimates the tasks of other entries from the last report.
type endpoint struct {
	info     carobpulley.Endpoint
	services []*endpointService
	latency  time.Duration
	// since is when the current incarnation was first seen.
	since time.Time

	inService bool
	draining  bool
	suspect   bool

	reserved    int
	othersTasks int
	// othersMean is the moving mean of the reported tasks of other entries.
	othersMean float64
	// unreported counts the tasks sent so recently that a report may not include
	// them.
	unreported int
	lastSent   time.Time

	rampedUp       bool
	slowStartLimit int
	raiseAt        time.Time

	refusals    int
	pausedUntil time.Time
	breaker     breaker

	// speed is the mean ratio of run times at this endpoint to the mean of the
	// service; samples is the weight of the earlier results.
	speed   float64
	samples float64
	// idleAnnouncements counts the announcements since the last successful result.
	idleAnnouncements int

	timerIndex int
	timerAt    time.Time
}

func (e *endpoint) service(name string) *endpointService {
	for _, es := range e.services {
		if es.name == name {
			return es
		}
	}
	return nil
}

func (e *endpoint) taskCount() int {
	return e.reserved + e.othersTasks
}

func (e *endpoint) full() bool {
	return e.taskCount() >= e.info.Slots
}

// reset clears the state of an earlier incarnation and begins a slow start.
func (e *endpoint) reset(now time.Time) {
	e.since = now
	e.reserved = 0
	e.suspect = false
	e.breaker = breaker{}
	e.refusals = 0
	e.beginSlowStart(now)
}

// beginSlowStart limits the endpoint to one task and raises the limit step by step.
func (e *endpoint) beginSlowStart(now time.Time) {
	e.rampedUp = false
	e.slowStartLimit = 1
	e.raiseAt = now.Add(slowStartStep)
}

func (e *endpoint) raiseSlowStartLimit(n int) {
	e.slowStartLimit += n
	if e.slowStartLimit >= e.info.Slots {
		e.rampedUp = true
	}
}

func (e *endpoint) reserve(now time.Time) {
	if now.Sub(e.lastSent) > 2*e.latency {
		e.unreported = 0
	}
	e.unreported++
	e.lastSent = now
	e.reserved++
	e.breaker.startProbe()
}

// applyLoad updates the estimate of other entries' tasks from the load reported by
// the agent. The report may not include tasks sent within the last round trip.
func (e *endpoint) applyLoad(now time.Time, l carobpulley.Load) {
	if now.Sub(e.lastSent) > 2*e.latency {
		e.unreported = 0
	}
	seen := max(0, e.reserved-e.unreported)
	reported := float64(max(0, l.Running+l.Queued-seen))
	e.othersMean += (reported - e.othersMean) / othersWindow
	e.othersTasks = int(math.Round(reported + othersReversion*(e.othersMean-reported)))
}

func (e *endpoint) usable(now time.Time) bool {
	return e.inService && !e.draining && !e.suspect && !e.breaker.isOpen(now)
}

// hasCapacity reports whether the endpoint may take another task with the given
// run time.
func (e *endpoint) hasCapacity(now time.Time, run float64) bool {
	if !e.usable(now) || now.Before(e.pausedUntil) {
		return false
	}
	if e.breaker.halfOpen() {
		return true
	}
	if !e.rampedUp {
		return e.reserved < min(e.slowStartLimit, max(1, e.info.Slots-e.othersTasks))
	}
	return e.taskCount() < e.info.Slots+e.lookAhead(run)
}

// lookAhead returns the number of tasks that may be sent in excess of the slots: as
// many as are expected to end within a round trip, limited by the agent's queue.
func (e *endpoint) lookAhead(run float64) int {
	ending := float64(e.info.Slots) * 2 * float64(e.latency) / run
	return min(AgentQueueSize(e.info.Slots), max(minLookAhead, int(math.Round(ending))))
}

// AgentQueueSize returns the number of tasks that an agent should queue in addition
// to the running ones. It covers the look-ahead of a few entries whose view of the
// load is out of date.
func AgentQueueSize(slots int) int {
	return max(2, slots/2)
}

func (e *endpoint) handleRefusal(now time.Time) {
	pause := min(refusalPauseMax, max(refusalPause, 2*e.latency)<<min(e.refusals, 10))
	e.refusals++
	e.pausedUntil = now.Add(pause)
	e.breaker.cancelProbe()
}

func (e *endpoint) handleSuccess(now time.Time) {
	e.refusals = 0
	if e.breaker.countSuccess() {
		e.beginSlowStart(now)
		return
	}
	if !e.rampedUp {
		e.raiseSlowStartLimit(1)
	}
}

func (e *endpoint) handleFailure(now time.Time, weight float64, rng *rand.Rand) {
	e.breaker.countFailure(now, weight, rng)
}

// fireTimers applies the state changes that are due.
func (e *endpoint) fireTimers(now time.Time) {
	e.breaker.clearElapsed(now)
	if !e.pausedUntil.After(now) {
		e.pausedUntil = time.Time{}
	}
	if !e.rampedUp && !e.raiseAt.After(now) {
		e.raiseSlowStartLimit(e.slowStartLimit)
		e.raiseAt = e.raiseAt.Add(slowStartStep)
	}
}

// nextTimer returns the earliest time at which the state changes without an event,
// or the zero time if there is none. The time may have passed already.
func (e *endpoint) nextTimer() time.Time {
	at := e.pausedUntil
	setIfEarlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	setIfEarlier(e.breaker.openUntil)
	if !e.rampedUp {
		setIfEarlier(e.raiseAt)
	}
	return at
}
