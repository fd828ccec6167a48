package conf

import (
	"time"
)

// writeSnapshot appends a snapshot record if one is due and the entry has authority.
func (e *simEntry) writeSnapshot() {
	if s, due := e.rollout.Snapshot(e.sim.now.Add(e.clockOffset), simRetention, e.name == "a"); due && e.auth.Has(e.sim.now) {
		e.append(s, func(bool) {})
	}
}

// append sends a record to the log once. notStored is set if the record is certainly
// not in the log.
func (e *simEntry) append(r interface{ Encode() ([]byte, error) }, done func(notStored bool)) {
	sim, inc, ended := e.sim, e.incarnation, false
	end := func(notStored bool) {
		if !ended && !e.dead && e.incarnation == inc {
			ended = true
			done(notStored)
		}
	}
	sim.after(simCallTimeout, func() { end(false) })
	sim.send(e.name, "log", func() {
		wait := time.Duration(0)
		if sim.now.Before(sim.log.slowUntil) {
			wait = sim.between(0, 2*time.Second)
		}
		sim.after(wait, func() {
			if sim.now.Before(sim.log.downUntil) {
				sim.send("log", e.name, func() { end(true) })
				return
			}
			sim.appendRecord(r)
			if sim.faultActive("replay") && sim.chance(0.5) {
				sim.after(sim.between(0, 2*time.Second), func() { sim.appendRecord(r) })
			}
			if !sim.now.Before(sim.log.loseAnswersUntil) {
				sim.send("log", e.name, func() { end(false) })
			}
		})
	})
}

// publish publishes a change as entry.Entry.Publish does.
func (e *simEntry) publish(c Change, done func(Progress)) {
	if e.sim.disabled == "ids in doubt" {
		e.rollout.unresolved = nil
	}
	progress, reason := e.rollout.BeginAppend(c, e.logUp)
	if reason != "" {
		done(progress)
		return
	}
	c.Confirmed = e.rollout.Confirmed()
	e.append(c, func(notStored bool) {
		if p := e.rollout.EndAppend(c.ID, notStored); p == ProgressUnavailable {
			done(p)
			return
		}
		e.awaitDecision(c.ID, e.sim.now.Add(2*time.Second), false, done)
	})
}

func (e *simEntry) awaitDecision(id string, until time.Time, pushed bool, done func(Progress)) {
	inc, p := e.incarnation, e.progress(id)
	if p == ProgressAccepted || p == ProgressConflict || !e.sim.now.Before(until) {
		done(p)
		return
	}
	if p == ProgressPublished && !pushed {
		pushed = true
		e.pushVersion()
	}
	e.sim.after(simTick, func() {
		if !e.dead && e.incarnation == inc {
			e.awaitDecision(id, until, pushed, done)
		}
	})
}

func (e *simEntry) pushVersion() {
	version, doc := e.rollout.fold.Version(), e.rollout.fold.Document()
	for _, p := range e.sim.entries {
		if p != e {
			e.call(p, func() func() {
				p.adopt(version, doc)
				theirs := p.version()
				return func() { e.rollout.HandlePushReply(p.name, theirs) }
			})
		}
	}
}

// progress returns the progress that the entry reports for a change.
func (e *simEntry) progress(id string) Progress {
	p, _ := e.rollout.ChangeProgress(id)
	if e.sim.disabled == "majority" && p == ProgressPublished {
		return ProgressAccepted
	}
	return p
}
