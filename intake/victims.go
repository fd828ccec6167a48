package intake

import (
	"slices"
	"time"
)

// free aborts the slowest unfinished requests until the others leave freedFraction of the budget. The
// slowest is the one that has made no progress for the longest time.
func (l *Ledger) free() []*Entry {
	var candidates []*Entry
	for e := range l.entries {
		if e.receiving() && e.bytes > 0 {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *Entry) int { return a.progressAt.Compare(b.progressAt) })
	goal := int64(float64(l.limits.BudgetBytes) * (1 - freedFraction))
	for i, e := range candidates {
		if l.charged-l.dying <= goal {
			return candidates[:i]
		}
		l.abort(e, ReasonBudget)
	}
	return candidates
}

// leastUseful returns the connection of a role to end for a new one: the slowest request that has stalled,
// then the connection that has been idle for the longest time, then the slowest request; nil if all are
// served.
func (l *Ledger) leastUseful(now time.Time, r Role) *Entry {
	var slowest, idle *Entry
	for e := range l.entries {
		switch {
		case e.role != r || e.phase == phaseServed:
		case e.aborted != "":
			return e
		case e.phase == phaseIdle:
			idle = earlier(idle, e)
		default:
			slowest = earlier(slowest, e)
		}
	}
	if idle == nil || slowest != nil && now.Sub(slowest.progressAt) >= stalledAfter {
		return slowest
	}
	return idle
}

func earlier(a, b *Entry) *Entry {
	if a == nil || b.progressAt.Before(a.progressAt) {
		return b
	}
	return a
}
