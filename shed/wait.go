package shed

import "time"

const (
	// urgentWaitShare is the part of its slack that a job of the most urgent queues may be expected to wait;
	// the rest covers bad estimates.
	urgentWaitShare = 0.7
	// waitShare is that part for less urgent queues, whose wait grows with each more urgent job that arrives
	// meanwhile.
	waitShare = 0.4
	// messageTime is the transit time of a start and of the report of an end together.
	messageTime = 15 * time.Millisecond
)

// Wait returns how long a job is expected to wait for capacity, if the work before it and its own tasks need
// the given CPU capacity, and the capacity of its class becomes free once in the turnover time.
func (l *Load) Wait(c Class, cpu int64, turnover time.Duration) time.Duration {
	short := cpu - max(l.Room(c), 0)
	if short <= 0 {
		return 0
	}
	return time.Duration(float64(short) / float64(max(l.Open(c), 1)) * float64(turnover))
}

// Bearable returns the longest expected wait with which a job of a class is admitted, for a slack of its
// objective.
func Bearable(c Class, slack time.Duration) time.Duration {
	share := waitShare
	if c.Rank <= 0 {
		share = urgentWaitShare
	}
	return max(time.Duration(share*float64(slack))-messageTime, 0)
}
