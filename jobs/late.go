package jobs

import (
	"fmt"
	"time"

	"carobpulley/shed"
)

// tooLate returns why the late tasks of a group can't be expected to end before their caller leaves; empty if
// they can, or are not late.
//
// Answers the pattern of an overload that lasts: late tasks come after all that can still be in time, so
// their callers would wait in vain until their own time limit.
func (t *Table) tooLate(now time.Time, g *taskGroup, loads map[string]*shed.Load) string {
	service := t.service(g.job)
	if g.job.answerBy.IsZero() || !g.late(now) || !t.ranked(service) {
		return ""
	}
	if loads[service] == nil {
		loads[service] = t.loadOf(service)
	}
	var ahead int64
	for _, other := range t.ready {
		if !other.late(now) || other.before(g) {
			ahead += other.cpu()
		}
	}
	estimate := estimateOf(g.tasks[0])
	cpu := ahead*int64(max(t.coordinators, 1)) + g.cpu()
	wait := loads[service].Wait(g.class, g.tasks[0].cpu(), cpu, t.turnover.Time(estimate))
	left := g.job.answerBy.Sub(now) - estimate
	if wait <= left {
		return ""
	}
	return fmt.Sprintf("overload: late, a wait of %d ms is expected, %d ms are left", wait.Milliseconds(), max(left.Milliseconds(), 0))
}
