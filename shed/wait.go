package shed

import "time"

const (
	// exactShare is the part of its slack that a job may be expected to wait where the expected wait is exact;
	// the rest covers bad estimates. Where it is uncertain the part of a less urgent job is uncertainShare.
	exactShare     = 0.7
	uncertainShare = 0.4
	// lateShare is the part of the time left to the caller of a late job, which waits for all that can be in
	// time.
	lateShare = 0.4
	// fewCoordinators is the number of coordinators at an endpoint up to which the expected wait is exact,
	// and manyCoordinators that from which it is uncertain.
	fewCoordinators, manyCoordinators = 3, 6
	// messageTime is the transit time of a start and of the report of an end together.
	messageTime = 15 * time.Millisecond
	// maxWait bounds an expected wait.
	maxWait = time.Hour
)

// uncertainty returns how uncertain the expected wait of a class is, from 0 to 1. A coordinator takes the others to
// have as much waiting work as itself: three that see the whole fleet are close to it, while with six at each
// endpoint, of more, the work of one says little about a burst of urgent jobs at the others.
func (l *Load) uncertainty(c Class) float64 {
	if c.Rank <= 0 {
		return 0
	}
	part := float64(l.Coordinators-fewCoordinators) / (manyCoordinators - fewCoordinators)
	return min(max(part, 0), 1)
}

// Wait returns how long a job is expected to wait for capacity, if each of its tasks needs the CPU capacity of
// task, and the work before it and its own tasks need that of cpu. The whole capacity becomes free once in the
// turnover time. As far as the wait is uncertain, more urgent jobs are taken to go on to use what they use now.
func (l *Load) Wait(c Class, task, cpu int64, turnover *Turnover, estimate time.Duration) time.Duration {
	short := float64(cpu - max(min(l.Room(c, task), l.Free), 0))
	if short <= 0 {
		return 0
	}
	burst := short / float64(max(l.Capacity, 1)) * float64(turnover.From(0, estimate))
	lasting := short / float64(max(l.open(c), 1)) * float64(turnover.From(c.Priority, estimate))
	u := l.uncertainty(c)
	return time.Duration(min((1-u)*burst+u*lasting, float64(maxWait)))
}

// Bearable returns the longest expected wait with which a job of a class is admitted, for the slack of its
// objective.
func (l *Load) Bearable(c Class, slack time.Duration) time.Duration {
	share := exactShare - l.uncertainty(c)*(exactShare-uncertainShare)
	return max(time.Duration(share*float64(slack))-messageTime, 0)
}

// BearableLate returns the longest expected wait for which a late job is kept, for the time that its caller
// waits beyond the job's run time.
func BearableLate(left time.Duration) time.Duration {
	return time.Duration(lateShare * float64(left))
}
