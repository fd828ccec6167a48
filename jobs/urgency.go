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
	l := &shed.Load{Coordinators: max(t.coordinators, 1)}
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

// late reports whether the group's tasks come after all that can still be in time. Those of a job that may have
// begun come in their order: its runs have used capacity already.
func (g *taskGroup) late(now time.Time) bool {
	return g.latestStart.Before(now) && !g.job.mayHaveBegun()
}

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
