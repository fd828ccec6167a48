package main

import (
	"slices"
	"time"
)

// ideal computes the clairvoyant list schedule without message delays: each task, in
// order of arrival, runs in the slot where it ends first. It returns the end of each
// job and the work done in each second.
func ideal(sc scenario, arrivals []arrival) (ended []time.Duration, work []float64) {
	freeAt := make([][]time.Duration, endpointCount)
	for i := range freeAt {
		freeAt[i] = make([]time.Duration, endpointSlots)
	}
	ended = make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		for _, runTime := range a.runTimes {
			best, slot, start, end := -1, 0, time.Duration(0), time.Duration(0)
			for r, speed := range sc.speeds() {
				k := slices.Index(freeAt[r], slices.Min(freeAt[r]))
				from := sc.earliestStart(r, max(a.at, freeAt[r][k]))
				to := from + time.Duration(float64(runTime)/speed)
				if best < 0 || to < end {
					best, slot, start, end = r, k, from, to
				}
			}
			freeAt[best][slot] = end
			ended[i] = max(ended[i], end)
			work = addWorkPerSecond(work, start, end-start, sc.speeds()[best])
		}
	}
	return ended, work
}

// earliestStart returns the first time, not before at, when an endpoint may start a
// task.
func (s scenario) earliestStart(endpoint int, at time.Duration) time.Duration {
	if s.outage && s.domain(endpoint) == s.domain(1) && at >= outageStart && at < outageEnd {
		return outageEnd
	}
	return at
}
