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
	towardsUsual = 0.3
	usualMemory  = 16
	// minLookAhead is the least number of tasks sent ahead of free slots. It
	// hides the round trip, and lets an entry without tasks at the endpoint take
	// its part of the slots that other entries' tasks free.
	minLookAhead = 1
)

// endpoint is the state of one endpoint. mine counts the places held by this
// entry, others the tasks of other entries by the last report.
type endpoint struct {
	info     carobpulley.Endpoint
	members  []*member
	distance time.Duration
	since    time.Time

	inService bool
	draining  bool
	suspect   bool

	mine   int
	others int
	// usual is the mean of the reported tasks of other entries.
	usual    float64
	recent   int
	lastSent time.Time

	warm   bool
	allow  int
	growAt time.Time

	refusals    int
	pausedUntil time.Time
	breaker     breaker

	// speed is the run time at this endpoint over the mean of the service.
	speed   float64
	samples float64
	// announces counts the announcements since the last result.
	announces int

	wake   int
	wakeAt time.Time
}

func (e *endpoint) member(name string) *member {
	for _, m := range e.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (e *endpoint) ahead() int {
	return e.mine + e.others
}

func (e *endpoint) full() bool {
	return e.ahead() >= e.info.Slots
}

// replace starts the endpoint anew under a larger incarnation.
func (e *endpoint) replace(now time.Time) {
	e.since = now
	e.mine = 0
	e.suspect = false
	e.breaker = breaker{}
	e.refusals = 0
	e.restart(now)
}

// restart begins a slow start.
func (e *endpoint) restart(now time.Time) {
	e.warm = false
	e.allow = 1
	e.growAt = now.Add(slowStartStep)
}

func (e *endpoint) grow(n int) {
	e.allow += n
	if e.allow >= e.info.Slots {
		e.warm = true
	}
}

func (e *endpoint) reserve(now time.Time) {
	if now.Sub(e.lastSent) > 2*e.distance {
		e.recent = 0
	}
	e.recent++
	e.lastSent = now
	e.mine++
	e.breaker.reserve()
}

// report takes the load that the agent saw. Tasks sent within the last round
// trip may not have reached it yet.
func (e *endpoint) report(now time.Time, l carobpulley.Load) {
	if now.Sub(e.lastSent) > 2*e.distance {
		e.recent = 0
	}
	seen := max(0, e.mine-e.recent)
	reported := float64(max(0, l.Running+l.Queued-seen))
	e.usual += (reported - e.usual) / usualMemory
	e.others = int(math.Round(reported + towardsUsual*(e.usual-reported)))
}

func (e *endpoint) usable(now time.Time) bool {
	return e.inService && !e.draining && !e.suspect && !e.breaker.isOpen(now)
}

// room reports whether the endpoint may take another task with the given run
// time.
func (e *endpoint) room(now time.Time, run float64) bool {
	if !e.usable(now) || now.Before(e.pausedUntil) {
		return false
	}
	if e.breaker.halfOpen() {
		return true
	}
	if !e.warm {
		return e.mine < min(e.allow, max(1, e.info.Slots-e.others))
	}
	return e.ahead() < e.info.Slots+e.lookAhead(run)
}

// lookAhead is the number of tasks expected to end within a round trip. As
// many may be sent ahead of the slots that they free, within what agents queue.
func (e *endpoint) lookAhead(run float64) int {
	ending := float64(e.info.Slots) * 2 * float64(e.distance) / run
	return min(AgentQueue(e.info.Slots), max(minLookAhead, int(math.Round(ending))))
}

// AgentQueue is the number of tasks that an agent should let wait beside the
// running ones: the look-aheads of a few entries with stale views.
func AgentQueue(slots int) int {
	return max(2, slots/2)
}

func (e *endpoint) refused(now time.Time) {
	pause := min(refusalPauseMax, max(refusalPause, 2*e.distance)<<min(e.refusals, 10))
	e.refusals++
	e.pausedUntil = now.Add(pause)
	e.breaker.released()
}

func (e *endpoint) succeeded(now time.Time) {
	e.refusals = 0
	if e.breaker.succeeded() {
		e.restart(now)
		return
	}
	if !e.warm {
		e.grow(1)
	}
}

func (e *endpoint) failed(now time.Time, weight float64, rng *rand.Rand) {
	e.breaker.failed(now, weight, rng)
}

// tick handles the time events of the endpoint.
func (e *endpoint) tick(now time.Time) {
	e.breaker.tick(now)
	if !e.pausedUntil.After(now) {
		e.pausedUntil = time.Time{}
	}
	if !e.warm && !e.growAt.After(now) {
		e.grow(e.allow)
		e.growAt = e.growAt.Add(slowStartStep)
	}
}

// nextEvent returns the earliest time at which the state changes by itself, or
// the zero time. It may be due already.
func (e *endpoint) nextEvent() time.Time {
	at := e.pausedUntil
	consider := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	consider(e.breaker.until)
	if !e.warm {
		consider(e.growAt)
	}
	return at
}
