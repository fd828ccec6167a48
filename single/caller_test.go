package single

import (
	"fmt"
	"time"

	"carobpulley/jobs"
	"carobpulley/work"
)

// caller submits one job until it has an answer.
type caller struct {
	w     *world
	id    string
	tasks int
	tries int
	done  bool
}

// call is one call of a caller.
type call struct {
	of      *caller
	process int
	open    bool
}

func (w *world) callers(n int) {
	w.after(w.ms(30, 400), func() { w.callers(n + 1) })
	c := &caller{w: w, id: fmt.Sprintf("%016x", n), tasks: 1 + w.rng.IntN(3)}
	c.submit()
}

func (c *caller) submit() {
	if c.tries++; c.done || c.tries > 5 {
		return
	}
	co := c.w.co
	if !co.up {
		c.w.after(resendAfter, c.submit)
		return
	}
	l := &call{of: c, process: co.number, open: true}
	limit := c.w.ms(1000, 5000)
	until := c.w.now.Add(limit)
	c.w.after(c.w.ms(0, 4), co.mine(func() {
		if l.open {
			co.submit(l, until)
		}
	}))
	c.w.after(limit, func() { l.leave("time is up") })
	if c.w.mix.callers && c.w.chance(0.4) {
		c.w.after(c.w.ms(1, 2500), func() { l.leave("connection ends") })
	}
}

// leave ends a call without an answer. The coordinator learns of it a little later.
func (l *call) leave(reason string) {
	w, co := l.of.w, l.of.w.co
	if !l.open {
		return
	}
	l.open = false
	w.log("caller: the call of %s ends: %s", l.of.id, reason)
	if co.up && co.number == l.process {
		w.after(w.ms(0, 20), co.mine(func() { co.left(l, reason) }))
	}
	wait := resendAfter
	if w.mix.atOnce && co.up && co.number == l.process && w.chance(0.4) {
		wait = w.ms(0, 30)
	}
	w.after(wait, l.of.submit)
}

// answered ends a call with the state of its job.
func (l *call) answered(state work.State) {
	if !l.open {
		return
	}
	l.open = false
	if state == work.StateCompleted || state == work.StateFailed {
		l.of.done = true
		return
	}
	l.of.w.after(resendAfter, l.of.submit)
}

func (co *coordinator) submit(l *call, until time.Time) {
	c := l.of
	job := &work.Job{
		ID: c.id, BestEffort: true, Spec: co.spec(), AnswerBy: until,
		Queue: work.Queue{Name: "q", Service: testService, MaxAttempts: 9, Stretch: 10, TargetMS: 3000},
		Steps: []work.Step{{Count: c.tasks, Resources: work.Resources{CPU: 500, MemMB: 10}, EstimateMS: 300}},
	}
	co.do(func() {
		switch status, reason := co.table.Submit(co.w.now, job); status {
		case jobs.SubmitPending:
			co.waiters[c.id] = append(co.waiters[c.id], l)
		case jobs.SubmitComplete:
			l.answered(work.StateCompleted)
		default:
			co.w.log("co: %s refused: %s", c.id, reason)
			l.answered("")
		}
	})
}

// left handles the departure of a caller.
func (co *coordinator) left(l *call, reason string) {
	co.do(func() {
		id := l.of.id
		remaining := co.waiters[id][:0]
		found := false
		for _, other := range co.waiters[id] {
			if other == l {
				found = true
				continue
			}
			remaining = append(remaining, other)
		}
		co.waiters[id] = remaining
		if found && len(remaining) == 0 {
			delete(co.waiters, id)
			co.table.Abandon(co.w.now, id, reason)
		}
	})
}
