package jobs

import (
	"cmp"
	"slices"
	"time"

	"carobpulley/shed"
	"carobpulley/work"
)

// classOf returns the urgency of a queue's jobs that run at a service.
func (t *Table) classOf(service string, q *work.Queue) shed.Class {
	if t.routing == nil {
		return shed.Class{Priority: q.Priority}
	}
	return shed.Class{Rank: t.routing.Rank(service, q.Priority), Priority: q.Priority}
}

// ranked reports whether the queues of a service differ in priority.
func (t *Table) ranked(service string) bool {
	return t.routing != nil && t.routing.Priorities(service) > 1
}

// rank sets the urgency of a waiting group by the configuration in force.
func (t *Table) rank(g *taskGroup) {
	service := t.service(g.job)
	g.class, g.ranked = t.classOf(service, &g.job.spec.Queue), t.ranked(service)
}

// rankReady puts the waiting groups in order after a change of the configuration.
func (t *Table) rankReady() {
	for _, g := range t.ready {
		t.rank(g)
	}
	slices.SortStableFunc(t.ready, func(a, b *taskGroup) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), a.latestStart.Compare(b.latestStart))
	})
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

// late reports whether the group's tasks come after all that can still be in time. Where queues differ in priority
// those of a best-effort job that may have begun come in their order: its runs have used capacity already.
func (g *taskGroup) late(now time.Time) bool {
	return g.latestStart.Before(now) && (!g.ranked || g.job.durable() || !g.job.mayHaveBegun())
}

// mostlyPlaced reports whether at least half of the tasks of the group's step were placed, by a job that may have
// begun.
func (g *taskGroup) mostlyPlaced() bool {
	return g.job.mayHaveBegun() && 2*len(g.tasks) <= g.job.spec.Steps[g.step].Count
}

// cpuAhead returns the CPU capacity that the queued tasks of a service need which come before a task of a class
// with a latest start. Where queues differ in priority late tasks come after it.
func (t *Table) cpuAhead(now time.Time, c shed.Class, service string, latest time.Time) int64 {
	ahead := int64(0)
	for _, g := range t.ready {
		if g.class.Rank > c.Rank || g.class.Rank == c.Rank && g.latestStart.After(latest) {
			break
		}
		if t.service(g.job) == service && (!g.ranked || !g.late(now)) {
			ahead += g.cpu()
		}
	}
	return ahead
}
