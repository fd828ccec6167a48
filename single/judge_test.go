package single

import (
	"fmt"
	"strings"
	"time"

	"carobpulley/work"
)

// placement is a start of a task by a process of the coordinator.
type placement struct {
	spec  string
	run   work.Run
	agent *agent
	at    time.Time
	// starts are the copies of the start that were sent to the endpoint.
	starts []*sent
	// replacedAt is the time of the task's next placement, and replacedIn the endpoint's generation then; 0
	// if it was down.
	replacedAt time.Time
	replacedIn int64
	// known is set while the agent's process knows the run. ended is set once it has ended it, and endedOver if
	// the run was over then.
	known, ended, endedOver bool
	// leftOutAt is the time at which the run began in spite of a later placement, if the mix leaves that out.
	leftOutAt time.Time
}

func (p *placement) String() string {
	return fmt.Sprintf("%s run %d of %s at %s", p.run.Task, p.run.Number, p.spec, p.agent.name)
}

func (p *placement) key() string { return fmt.Sprintf("%s/%s/%d", p.spec, p.run.Task, p.run.Number) }

func (w *world) find(s work.Start, a *agent) *placement {
	all := w.placements[s.Run.Task]
	for i := len(all) - 1; i >= 0; i-- {
		if p := all[i]; p.run == s.Run && p.spec == s.Spec && p.agent == a {
			return p
		}
	}
	return nil
}

// place records a placement and asserts that no earlier run of the task is on or can still begin.
func (w *world) place(a *agent, s work.Start) {
	p := &placement{spec: s.Spec, run: s.Run, agent: a, at: w.now}
	for i, earlier := range w.placements[s.Run.Task] {
		basis := w.basisOf(earlier, s.Spec)
		if state := earlier.unsettled(isTold(basis)); state != "" && (!w.mix.exceptRefusedBefore || !earlier.endedOver) {
			w.fail("%s is placed; %s, placed %v before, is %s; basis: %s; its agent knows it: %v, has ended it: %v",
				p, earlier, w.now.Sub(earlier.at), state, basis, earlier.known, earlier.ended)
			return
		}
		if i == len(w.placements[s.Run.Task])-1 {
			w.again[basis]++
		}
		if earlier.replacedAt.IsZero() {
			earlier.replacedAt = w.now
			if e := earlier.agent.endpoint; !e.down {
				earlier.replacedIn = e.generation
			}
		}
	}
	w.placements[s.Run.Task] = append(w.placements[s.Run.Task], p)
	a.placed = append(a.placed, p)
	w.placed++
	w.log("co: places %s", p)
}

// basisOf returns why a process of the coordinator took a run to be over.
func (w *world) basisOf(p *placement, spec string) string {
	if p.spec != spec {
		return "its coordinator's process has ended, and callers have waited"
	}
	if basis := w.basis[p.key()]; basis != "" {
		return basis
	}
	return "reported end"
}

// isTold reports whether the agent has told that the run is over.
func isTold(basis string) bool {
	return basis == "reported end" || strings.Contains(basis, "told by")
}

// unsettled returns in what state a run is on or can still begin; empty if it is over. told is set if its agent
// has told that it is.
func (p *placement) unsettled(told bool) string {
	e := p.agent.endpoint
	for _, r := range e.running {
		if r.p == p && !e.down && p.leftOutAt.IsZero() {
			return fmt.Sprintf("on, stopping %v, lease for %d ms", r.stopping, e.deadline-e.clock())
		}
	}
	for i, s := range p.starts {
		if s.pending && p.canBegin(s, told) {
			return fmt.Sprintf("able to begin: start %d of %d, sent %v before, token %d, deadline in %d ms; endpoint down %v, generation changed %v, token %d, lease for %d ms",
				i+1, len(p.starts), p.agent.w.now.Sub(s.at), s.lease.Token, s.lease.DeadlineMS-e.clock(), e.down, e.generation != s.generation, e.token, e.deadline-e.clock())
		}
	}
	return ""
}

// canBegin reports whether a start without an answer can still begin its run: the endpoint has seen no higher
// token and no end of the run in its generation, and the start isn't late.
func (p *placement) canBegin(s *sent, told bool) bool {
	e := p.agent.endpoint
	switch {
	case s.lease.Instance != e.id:
		return false
	case e.generation != s.generation && !e.w.mix.acrossRebirths:
		return false
	case s.refused && !told && e.w.mix.exceptRefusedBefore:
		return false
	case !s.lapsesAt.IsZero() && !e.w.now.Before(s.lapsesAt) && e.w.mix.exceptLapsed:
		return false
	case e.down:
		return e.w.mix.acrossRebirths
	case s.lease.Token < e.token || p.run.Number <= e.ended[p.run.Task]:
		return false
	case e.w.mix.startsFromArrival:
		return true
	}
	return !e.late(s.lease.DeadlineMS)
}

// checkBegin asserts that a run doesn't begin after its task was placed again, unless the placement could not
// foresee it: a generation of the endpoint that is born later knows no token.
func (w *world) checkBegin(p *placement, s *sent, e *endpoint) {
	left := s.generation != e.generation && (w.mix.exceptRefusedBefore && (p.endedOver || s.refused) || w.mix.exceptLapsed && !w.now.Before(s.lapsesAt))
	switch {
	case p.replacedAt.IsZero():
		return
	case left || p.replacedIn != e.generation:
		p.leftOutAt = w.now
		w.log("left out: %s begins after its task was placed again", p)
		return
	}
	w.fail("%s begins %v after the task was placed again; basis: %s", p, w.now.Sub(p.replacedAt), w.basis[p.key()])
}

// checkSend asserts that no start is sent after its task was placed again.
func (w *world) checkSend(p *placement, s *sent) {
	if !p.replacedAt.IsZero() && p.canBegin(s, true) {
		w.fail("%s is sent to the endpoint %v after the task was placed again; basis: %s", p, w.now.Sub(p.replacedAt), w.basis[p.key()])
	}
}

// observe records which runs the agent's process has ended.
func (a *agent) observe(p *placement) {
	known := a.up && a.c.HasRun(p.run)
	if p.known && !known && a.up && !p.ended {
		p.ended = true
		p.endedOver = p.unsettled(true) == ""
	}
	p.known = known
}
