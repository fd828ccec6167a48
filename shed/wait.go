package shed

import "time"

const (
	// waitShare is the part of its slack that a job may be expected to wait; the rest covers bad estimates.
	waitShare = 0.7
	// messageTime is the transit time of a start and of the report of an end together.
	messageTime = 15 * time.Millisecond
)

// Wait returns how long a job is expected to wait for capacity, if each of its tasks needs the CPU capacity of
// task, the work before it and its own tasks need that of cpu, and the whole capacity becomes free once in the
// turnover time.
func (l *Load) Wait(c Class, task, cpu int64, turnover time.Duration) time.Duration {
	short := cpu - max(l.Room(c, task), 0)
	if short <= 0 {
		return 0
	}
	return time.Duration(float64(short) / float64(max(l.Capacity, 1)) * float64(turnover))
}

// Bearable returns the longest expected wait with which a job is admitted, for the slack of its objective.
func Bearable(slack time.Duration) time.Duration {
	return max(time.Duration(waitShare*float64(slack))-messageTime, 0)
}
