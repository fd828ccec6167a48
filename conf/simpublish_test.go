package conf

import (
	"time"
)

func (e *simEntry) carryForward() {
	if s, due := e.spread.Snapshot(e.w.now.Add(e.jump), simRetention, e.name == "a"); due && e.auth.Has(e.w.now) {
		e.append(s, func(bool) {})
	}
}

// append calls the log once and tells whether the record is certainly not in it.
func (e *simEntry) append(r interface{ Encode() ([]byte, error) }, done func(untaken bool)) {
	w, inc, ended := e.w, e.inc, false
	end := func(untaken bool) {
		if !ended && !e.dead && e.inc == inc {
			ended = true
			done(untaken)
		}
	}
	w.after(simCallTime, func() { end(false) })
	w.send(e.name, "log", func() {
		wait := time.Duration(0)
		if w.now.Before(w.log.slowTil) {
			wait = w.between(0, 2*time.Second)
		}
		w.after(wait, func() {
			if w.now.Before(w.log.downUntil) {
				w.send("log", e.name, func() { end(true) })
				return
			}
			w.appended(r)
			if w.faultOn("replay") && w.chance(0.5) {
				w.after(w.between(0, 2*time.Second), func() { w.appended(r) })
			}
			if !w.now.Before(w.log.loseUntil) {
				w.send("log", e.name, func() { end(false) })
			}
		})
	})
}

// publish is the shell's Publish.
func (e *simEntry) publish(c Change, done func(Progress)) {
	if e.w.without == "ids in doubt" {
		e.spread.doubts = nil
	}
	progress, reason := e.spread.Begin(c, e.logUp)
	if reason != "" {
		done(progress)
		return
	}
	c.Confirmed = e.spread.Confirmed()
	e.append(c, func(untaken bool) {
		if p := e.spread.End(c.ID, untaken); p == ProgressUnavailable {
			done(p)
			return
		}
		e.await(c.ID, e.w.now.Add(2*time.Second), false, done)
	})
}

func (e *simEntry) await(id string, until time.Time, pushed bool, done func(Progress)) {
	inc, p := e.inc, e.progress(id)
	if p == ProgressAccepted || p == ProgressConflict || !e.w.now.Before(until) {
		done(p)
		return
	}
	if p == ProgressPublished && !pushed {
		pushed = true
		e.push()
	}
	e.w.after(simTick, func() {
		if !e.dead && e.inc == inc {
			e.await(id, until, pushed, done)
		}
	})
}

func (e *simEntry) push() {
	version, doc := e.spread.fold.Version(), e.spread.fold.Document()
	for _, p := range e.w.entries {
		if p != e {
			e.call(p, func() func() {
				p.adopt(version, doc)
				theirs := p.version()
				return func() { e.spread.Answered(p.name, theirs) }
			})
		}
	}
}

// progress is what the entry tells of a change.
func (e *simEntry) progress(id string) Progress {
	p, _ := e.spread.Change(id)
	if e.w.without == "majority" && p == ProgressPublished {
		return ProgressAccepted
	}
	return p
}
