package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// crashRetention is how long a crash is remembered for coordinators that attach later: longer
	// than a hand-over and the time in which a caller comes back.
	crashRetention = 30 * time.Second
	// maxCrashes bounds the crashes that are remembered, the latest ones.
	maxCrashes = 512
	// answerWait is the least time for which a start waits for the answers to starts before it, and the
	// most from the end of a start's connection to the news of the crash that ended it: the next poll is
	// sent at once.
	answerWait = 50 * time.Millisecond
	// carryOutTime is the time within which an endpoint that doesn't hold a start back carries it out.
	carryOutTime = 10 * time.Millisecond
	// holdBackMemory is how long after a command that timed out starts may be held back as well.
	holdBackMemory = 3 * time.Second
)

// crash is the record of a run that was at the endpoint when it crashed.
type crash struct {
	work.Crash
	number int64
	at     time.Time
}

// crashRun ends a run that was at the endpoint, or under way to it, when it crashed, and records
// the crash.
func (c *Controller) crashRun(now time.Time, key work.Run, r *run) {
	c.endRun(now, key, r, work.OutcomeCrashed)
	c.lastCrash++
	c.crashes = append(c.crashes, crash{Crash: *r.crashed, number: c.lastCrash, at: now})
	c.newCrashes = append(c.newCrashes, CrashedRun{Run: key, Crash: *r.crashed})
}

// underWay reports whether a run's start may have reached the endpoint without being confirmed.
func (r *run) underWay() bool { return r.phase == phaseStarting || r.phase == phaseUncertain }

// calling reports whether the call of a run's start has no answer yet, or ended with its connection.
func (r *run) calling() bool {
	return r.phase == phaseStarting || r.phase == phaseUncertain && !r.brokenAt.IsZero()
}

// evidence is what the runs at an endpoint tell of the cause of its crash.
type evidence struct {
	endpoint  string
	alone     bool
	underWay  int
	confirmed int
}

// crashEvidence returns the evidence of a crash of the endpoint.
func (c *Controller) crashEvidence() evidence {
	e := evidence{endpoint: c.cfg.Agent + "/" + c.EndpointGeneration(), alone: true}
	job := ""
	for key, r := range c.runs {
		switch {
		case r.phase == phaseQueued:
			continue
		case r.underWay():
			e.underWay++
		default:
			e.confirmed++
		}
		if job != "" && work.JobOfTask(key.Task) != job {
			e.alone = false
		}
		job = work.JobOfTask(key.Task)
	}
	return e
}

// record records the crash for a run. A start without an answer counts as certain if its connection ended
// by the crash and nothing else could have caused it: it was a suspect's and the only one under way, or
// only starts of its job were under way and nothing ran. If its call goes on, crashStart decides.
func (c *Controller) record(now time.Time, e evidence, task string, r *run) {
	r.onlyCause = e.underWay == 1 && r.start.Suspect || e.alone && e.confirmed == 0
	certain := !r.underWay() || r.onlyCause && c.endedByCrash(now, r)
	r.crashed = &work.Crash{Task: task, Endpoint: e.endpoint, Certain: certain, Alone: e.alone}
}

// endedByCrash reports whether the crash that is known now has ended the connection of a run's start, and
// the start was not held back: starts that an endpoint holds back, for seconds or for good, end with their
// connection as well.
func (c *Controller) endedByCrash(now time.Time, r *run) bool {
	sentAt := r.leasedAt
	if sentAt.IsZero() {
		sentAt = r.launchedAt
	}
	return !r.brokenAt.IsZero() && !r.repeated && r.brokenAt.Sub(sentAt) <= carryOutTime && now.Sub(r.brokenAt) <= answerWait &&
		c.answeredPoll.Before(r.brokenAt) && (c.timedOutAt.IsZero() || r.brokenAt.Sub(c.timedOutAt) > holdBackMemory)
}

// HandleStopError handles a stop without an answer.
func (c *Controller) HandleStopError(now time.Time, err error) {
	if carobpulley.KindOf(err) == carobpulley.KindUnknown {
		c.timedOutAt = now
	}
}

// mustWait reports whether a start waits for the answers to others: a suspect's start is the only one
// under way, so that a crash tells whether it was there.
func (c *Controller) mustWait(s *work.Start) bool {
	for _, r := range c.runs {
		if r.calling() && (s.Suspect || r.start.Suspect) {
			return true
		}
	}
	return false
}

// crashStart handles a start that was under way when the endpoint crashed, once its call has ended.
// A call that was refused or never sent has started nothing. Any other may have started the run at the
// endpoint's next generation, also one whose connection has ended, so a later poll decides.
func (c *Controller) crashStart(now time.Time, key work.Run, r *run, refusal string, err error) {
	switch {
	case (refusal != "" || neverSent(err)) && !r.repeated:
		c.endRun(now, key, r, work.OutcomeNotStarted)
	case carobpulley.KindOf(err) == carobpulley.KindBroken:
		r.brokenAt = now
		r.crashed.Certain = r.crashed.Certain || r.onlyCause && c.endedByCrash(now, r)
	case carobpulley.KindOf(err) == carobpulley.KindUnknown:
		c.timedOutAt = now
	}
}

// hasOtherSuspect reports whether a run of another suspect job is at the endpoint.
func (c *Controller) hasOtherSuspect(task string) bool {
	job := work.JobOfTask(task)
	for key, r := range c.runs {
		if r.start.Suspect && work.JobOfTask(key.Task) != job {
			return true
		}
	}
	return false
}

// unreportedCrashes returns the crashes that a coordinator has not got, and the number of the last.
func (c *Controller) unreportedCrashes(co *attachedCoordinator) ([]work.Crash, int64) {
	var out []work.Crash
	for i := range c.crashes {
		if c.crashes[i].number > co.crashesReported {
			out = append(out, c.crashes[i].Crash)
		}
	}
	return out, c.lastCrash
}

// CrashedRun is a run that was at an endpoint when it crashed.
type CrashedRun struct {
	work.Crash
	Run work.Run
}

// Crashes returns the runs at crashes since the last call.
func (c *Controller) Crashes() []CrashedRun {
	crashes := c.newCrashes
	c.newCrashes = nil
	return crashes
}

// dropCrashes drops the crashes whose retention has passed.
func (c *Controller) dropCrashes(now time.Time) {
	n := max(len(c.crashes)-maxCrashes, 0)
	for n < len(c.crashes) && now.Sub(c.crashes[n].at) > crashRetention {
		n++
	}
	c.crashes = c.crashes[n:]
}
