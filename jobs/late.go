package jobs

import (
	"fmt"
	"time"

	"carobpulley/shed"
)

// waitingWork is the work that waits at this coordinator before the late tasks of a group, by service. The
// groups are looked at in their order.
type waitingWork struct {
	// inTime is the CPU capacity that all tasks need which can still be in time, and lateAhead that of the
	// late tasks that were passed.
	inTime, lateAhead map[string]int64
	loads             map[string]*shed.Load
}

func (t *Table) waitingWork(now time.Time) *waitingWork {
	w := &waitingWork{inTime: make(map[string]int64), lateAhead: make(map[string]int64), loads: make(map[string]*shed.Load)}
	for _, g := range t.ready {
		if !g.late(now) {
			w.inTime[t.service(g.job)] += g.cpu()
		}
	}
	return w
}

// tooLate returns why the late tasks of a group can't be expected to end before their caller leaves; empty if
// they can, or are not late.
//
// Answers the pattern of an overload that lasts: late tasks come after all that can still be in time, so
// their callers would wait in vain until their own time limit.
func (t *Table) tooLate(now time.Time, g *taskGroup, w *waitingWork) string {
	service := t.service(g.job)
	if g.job.answerBy.IsZero() || !g.late(now) || !g.ranked {
		return ""
	}
	load := t.cachedLoad(service, w.loads)
	if load.Capacity == 0 {
		return "" // hopeless tells whether agents are about to be attached
	}
	estimate := estimateOf(g.tasks[0])
	cpu := (w.inTime[service]+w.lateAhead[service])*int64(max(t.coordinators, 1)) + g.cpu()
	wait := load.Wait(g.class, g.tasks[0].cpu(), cpu, &t.turnover, estimate)
	left := g.job.answerBy.Sub(now) - estimate
	if wait <= shed.BearableLate(left) {
		return ""
	}
	return fmt.Sprintf("overload: late, a wait of %d ms is expected, %d ms are left", wait.Milliseconds(), max(left.Milliseconds(), 0))
}
