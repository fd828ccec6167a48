package place

import (
	"math"
	"math/rand/v2"
	"time"

	"carobpulley"
)

const (
	// refusalPause is the least time without new work after a refusal. It
	// doubles with each further refusal in a row up to refusalPauseMax, so that
	// an agent that refuses everything costs few messages.
	refusalPause    = 2 * time.Millisecond
	refusalPauseMax = 250 * time.Millisecond
	// slowStartStep is the time in which the allowed places of an endpoint that
	// returned double (design section 6).
	slowStartStep = time.Second
	// A report is on average as old as a good part of a run time. In that time
	// the tasks of other entries move by towardsUsual to their usual number, the
	// mean of about usualMemory reports.
	othersReversion = 0.3
	othersWindow    = 16
	// minLookAhead is the least number of tasks sent ahead of free slots. It
	// hides the round trip, and lets an entry without tasks at the endpoint take
	// its part of the slots that other entries' tasks free.
	minLookAhead = 1
)

// endpoint is the state of one endpoint. mine counts the places held by this
// entry, others the tasks of other entries by the last report.
type endpoint struct {
	info     carobpulley.Endpoint
	services []*endpointService
	latency  time.Duration
	since    time.Time

	inService bool
	draining  bool
	suspect   bool

	reserved    int
	othersTasks int
	// othersMean is the mean of the reported tasks of other entries.
	othersMean float64
	unreported int
	lastSent   time.Time

	rampedUp       bool
	slowStartLimit int
	raiseAt        time.Time

	refusals    int
	pausedUntil time.Time
	breaker     breaker

	// speed is the run time at this endpoint over the mean of the service.
	speed   float64
	samples float64
	// idleAnnouncements counts the announcements since the last result.
	idleAnnouncements int

	timerIndex int
	timerAt    time.Time
}

func (e *endpoint) service(name string) *endpointService {
	for _, m := range e.services {
		if m.name == name {
			return m
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

// reset starts the endpoint anew under a larger incarnation.
func (e *endpoint) reset(now time.Time) {
	e.since = now
	e.reserved = 0
	e.suspect = false
	e.breaker = breaker{}
	e.refusals = 0
	e.beginSlowStart(now)
}

// beginSlowStart begins a slow start.
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

// applyLoad takes the load that the agent saw. Tasks sent within the last round
// trip may not have reached it yet.
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

// hasCapacity reports whether the endpoint may take another task with the given run
// time.
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

// lookAhead is the number of tasks expected to end within a round trip. As
// many may be sent ahead of the slots that they free, within what agents queue.
func (e *endpoint) lookAhead(run float64) int {
	ending := float64(e.info.Slots) * 2 * float64(e.latency) / run
	return min(AgentQueueSize(e.info.Slots), max(minLookAhead, int(math.Round(ending))))
}

// AgentQueueSize is the number of tasks that an agent should let wait beside the
// running ones: the look-aheads of a few entries with stale views.
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

// fireTimers handles the time events of the endpoint.
func (e *endpoint) fireTimers(now time.Time) {
	e.breaker.tick(now)
	if !e.pausedUntil.After(now) {
		e.pausedUntil = time.Time{}
	}
	if !e.rampedUp && !e.raiseAt.After(now) {
		e.raiseSlowStartLimit(e.slowStartLimit)
		e.raiseAt = e.raiseAt.Add(slowStartStep)
	}
}

// nextTimer returns the earliest time at which the state changes by itself, or
// the zero time. It may be due already.
func (e *endpoint) nextTimer() time.Time {
	at := e.pausedUntil
	consider := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	consider(e.breaker.openUntil)
	if !e.rampedUp {
		consider(e.raiseAt)
	}
	return at
}
