package main

import (
	"slices"
	"time"
)

// ideal is the all-knowing list schedule without delays: each task, in order of
// arrival, goes to the slot where it ends first.
func ideal(sc scenario, arrivals []arrival) (ended []time.Duration, work []float64) {
	free := make([][]time.Duration, runners)
	for i := range free {
		free[i] = make([]time.Duration, runnerSlots)
	}
	ended = make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		for _, w := range a.work {
			best, slot, start, end := -1, 0, time.Duration(0), time.Duration(0)
			for r, speed := range sc.speeds() {
				k := slices.Index(free[r], slices.Min(free[r]))
				from := sc.available(r, max(a.at, free[r][k]))
				to := from + time.Duration(float64(w)/speed)
				if best < 0 || to < end {
					best, slot, start, end = r, k, from, to
				}
			}
			free[best][slot] = end
			ended[i] = max(ended[i], end)
			work = addWork(work, start, end-start, sc.speeds()[best])
		}
	}
	return ended, work
}

// available returns the first time from which a runner may start a task.
func (s scenario) available(runner int, at time.Duration) time.Duration {
	if s.outage && s.domain(runner) == s.domain(1) && at >= outageStart && at < outageEnd {
		return outageEnd
	}
	return at
}
