package single

import (
	"time"

	"carobpulley"
)

// kind is a kind of command to an endpoint.
type kind int

const (
	kindStart kind = iota
	kindStop
	kindPoll
	kinds
)

// trouble is what happens to the commands of one kind until a time: they are never carried out, carried out
// seconds later, or carried out without an answer.
type trouble struct {
	until              time.Time
	unsent, late, lost float64
	// broken is the share of the unanswered whose connection ends instead of a timeout.
	broken float64
	// slow is the greatest time on the way beside these.
	slow time.Duration
}

func unanswered(k carobpulley.Kind) error { return &carobpulley.Error{Op: "call", Kind: k} }

// command is a call to an endpoint.
type command struct {
	kind    kind
	timeout time.Duration
	// start is the start that the command carries; nil for others.
	start *sent
	// wait returns how long the endpoint holds its answer back.
	wait func() time.Duration
	// carryOut is called once at most, with how late the command is.
	carryOut func(late time.Duration)
	// done is called once with the error of a call without an answer.
	done func(error)
	// answer is called when the endpoint answers; nil for an answer that carryOut has made.
	answer func()
}

// send carries a command to the agent's endpoint and its answer back.
func (a *agent) send(c command) {
	w, e := a.w, a.endpoint
	t := a.troubles[c.kind]
	if w.now.After(t.until) {
		t = trouble{}
	}
	settled := false
	finish := func(err error, after time.Duration) {
		w.after(after, a.mine(func() {
			if settled {
				return
			}
			settled = true
			if w.mix.freezes && w.chance(0.001) { // before the answer is handled
				w.freezeAgent(a)
			}
			a.mine(func() { c.done(err) })()
		}))
	}
	sentTo := e.generation
	carryOut := func(late time.Duration) bool {
		if c.start != nil && !c.start.pending {
			return false
		}
		if c.start != nil {
			c.start.pending = false
		}
		if e.down || e.generation != sentTo && !w.mix.acrossRebirths {
			return false
		}
		c.carryOut(late)
		return true
	}
	fail := func() {
		if w.chance(t.broken) {
			finish(unanswered(carobpulley.KindBroken), w.between(0, c.timeout))
		}
		finish(unanswered(carobpulley.KindUnknown), c.timeout)
	}
	if c.start != nil {
		c.start.pending = true
	}
	over := func() {
		if c.start != nil {
			c.start.pending = false
		}
	}
	if e.down {
		over()
		finish(unanswered(carobpulley.KindGone), w.between(0, 3*time.Millisecond))
		return
	}
	switch draw := w.rng.Float64(); {
	case draw < t.unsent:
		over()
		if w.chance(0.2) {
			finish(unanswered(carobpulley.KindUnavailable), w.between(0, 3*time.Millisecond))
			return
		}
		fail()
	case draw < t.unsent+t.late:
		late := w.ms(2000, 12000)
		w.after(late, func() { carryOut(late) })
		if !w.mix.lateAfterBreak {
			t.broken = 0
		}
		fail()
	case draw < t.unsent+t.late+t.lost:
		w.after(w.between(0, 4*time.Millisecond), func() { carryOut(0) })
		fail()
	default:
		finish(unanswered(carobpulley.KindUnknown), c.timeout)
		w.after(w.between(0, 4*time.Millisecond+t.slow), func() {
			if !carryOut(0) {
				finish(unanswered(carobpulley.KindGone), 0)
				return
			}
			generation := e.generation
			w.after(c.wait(), func() {
				if e.down || e.generation != generation {
					finish(unanswered(carobpulley.KindBroken), 0)
					return
				}
				if c.answer != nil {
					c.answer()
				}
				finish(nil, w.between(0, 4*time.Millisecond+t.slow))
			})
		})
	}
}
