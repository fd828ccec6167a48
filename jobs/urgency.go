package jobs

import (
	"time"

	"carobpulley/shed"
	"carobpulley/work"
)

// classOf returns the urgency of a queue. All queues of a service with one priority are of one class.
func (t *Table) classOf(q *work.Queue) shed.Class {
	if t.routing == nil {
		return shed.Class{Priority: q.Priority}
	}
	return shed.Class{Rank: t.routing.Rank(q), Priority: q.Priority}
}

// loadOf returns the load of a service's endpoints, as seen through the attached agents.
func (t *Table) loadOf(service string) *shed.Load {
	l := &shed.Load{}
	for _, a := range t.active {
		if !a.attached || !a.endpoint.Ready || a.endpoint.Service != service || t.outOfService[a.endpoint.Domain] {
			continue
		}
		l.Capacity += a.endpoint.Capacity.CPU
		l.Free += max(a.free.CPU, 0)
		for _, u := range a.endpoint.UsedByPriority {
			l.Use(u.Priority, u.CPU)
		}
		for tk := range a.placed {
			l.Use(tk.job.spec.Queue.Priority, tk.cpu())
		}
	}
	return l
}

// begun reports whether tasks of the group's step were placed before.
func (g *taskGroup) begun() bool { return len(g.tasks) < g.job.spec.Steps[g.step].Count }

// late reports whether the group's tasks come after all that can still be in time. Those of a step of which
// other tasks were placed come in time: one task more ends a job that has used capacity already.
func (g *taskGroup) late(now time.Time) bool { return g.latestStart.Before(now) && !g.begun() }

// cpuAhead returns the CPU capacity that the queued tasks need which come before a task of a class with a
// latest start. Where queues differ in priority late tasks come after it.
func (t *Table) cpuAhead(now time.Time, c shed.Class, service string, latest time.Time) int64 {
	ahead := int64(0)
	ranked := t.ranked(service)
	for _, g := range t.ready {
		if g.class.Rank > c.Rank || g.class.Rank == c.Rank && g.latestStart.After(latest) {
			break
		}
		if !ranked || !g.late(now) {
			ahead += g.cpu()
		}
	}
	return ahead
}

// ranked reports whether the queues of a service differ in priority.
func (t *Table) ranked(service string) bool {
	return t.routing != nil && t.routing.Priorities(service) > 1
}

// servableLate reports whether a job that can't be in time is expected to end before its caller leaves, with
// the capacity that the work in time leaves over.
func (t *Table) servableLate(now time.Time, spec *work.Job, l *shed.Load, c shed.Class) bool {
	if spec.AnswerBy.IsZero() || !t.ranked(spec.Queue.Service) {
		return false
	}
	estimate := spec.CriticalPath()
	wait := t.waitBehind(l, c, t.waitingCPU(), spec.CPU(), estimate)
	return wait <= shed.BearableLate(spec.AnswerBy.Sub(now)-estimate)
}

// waitBehind returns the expected wait of tasks behind work that waits at this coordinator, and as much at each
// that shares its endpoints.
func (t *Table) waitBehind(l *shed.Load, c shed.Class, ahead, cpu int64, estimate time.Duration) time.Duration {
	return l.Wait(c, ahead*int64(max(t.coordinators, 1))+cpu, t.turnover.From(c.Priority, estimate))
}
