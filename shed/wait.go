package shed

import "time"

const (
	// urgentWaitShare is the part of its slack that a job of the most urgent queues may be expected to wait;
	// the rest covers bad estimates. The wait of a less urgent one grows with each more urgent job that
	// arrives meanwhile, so waitShare is smaller, and so is lateShare, that of the time left to the caller of
	// a late job, which waits for all that can be in time.
	urgentWaitShare = 0.7
	waitShare       = 0.5
	lateShare       = 0.4
	// messageTime is the transit time of a start and of the report of an end together.
	messageTime = 15 * time.Millisecond
	// maxWait bounds an expected wait.
	maxWait = time.Hour
)

// Wait returns how long a job is expected to wait for capacity, if each of its tasks needs the CPU capacity of
// task, the work before it and its own tasks need that of cpu, and the whole capacity becomes free once in the
// turnover time.
func (l *Load) Wait(c Class, task, cpu int64, turnover time.Duration) time.Duration {
	short := cpu - max(min(l.Room(c, task), l.Free), 0)
	if short <= 0 {
		return 0
	}
	wait := float64(short) / float64(max(l.Capacity, 1)) * float64(turnover)
	return time.Duration(min(wait, float64(maxWait)))
}

// Bearable returns the longest expected wait with which a job of a class is admitted, for the slack of its
// objective.
func Bearable(c Class, slack time.Duration) time.Duration {
	share := waitShare
	if c.Rank <= 0 {
		share = urgentWaitShare
	}
	return max(time.Duration(share*float64(slack))-messageTime, 0)
}

// BearableLate returns the longest expected wait for which a late job is kept, for the time that its caller
// waits beyond the job's run time.
func BearableLate(left time.Duration) time.Duration {
	return time.Duration(lateShare * float64(left))
}
