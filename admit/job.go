package admit

import (
	"slices"
	"time"

	"carobpulley"
)

// waitingTask is a queued task without what it shares with its job.
type waitingTask struct {
	queuedAt time.Time
	index    int32
}

// job holds the queued tasks of one job, so that a cancellation finds them
// without looking at other jobs. Jobs of a bin are linked in FIFO order.
type job struct {
	shared     carobpulley.Waiting
	bin        *bin
	tasks      []waitingTask
	prev, next *job
}

// push adds a task. One that comes back keeps its time and goes to the front.
func (j *job) push(w carobpulley.Waiting) {
	t := waitingTask{queuedAt: w.QueuedAt, index: int32(w.Task.Index)}
	if len(j.tasks) > 0 && w.QueuedAt.Before(j.tasks[0].queuedAt) {
		j.tasks = slices.Insert(j.tasks, 0, t)
		return
	}
	j.tasks = append(j.tasks, t)
}

func (j *job) pop() carobpulley.Waiting {
	w := j.shared
	w.Task.Index = int(j.tasks[0].index)
	w.QueuedAt = j.tasks[0].queuedAt
	j.tasks = j.tasks[1:]
	return w
}

// bin is the FIFO of jobs of one (class, member, service).
type bin struct {
	flow        *flow
	lane        *lane
	first, last *job
	place       int
}

func (b *bin) before(o *bin) bool { return b.flow.tag < o.flow.tag }
func (b *bin) position() *int     { return &b.place }

func (b *bin) link(j *job, front bool) {
	j.bin = b
	switch {
	case b.first == nil:
		b.first, b.last = j, j
	case front:
		j.next, b.first.prev = b.first, j
		b.first = j
	default:
		j.prev, b.last.next = b.last, j
		b.last = j
	}
}

func (b *bin) unlink(j *job) {
	if j.prev == nil {
		b.first = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		b.last = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next = nil, nil
}

// goesFirst reports whether a task with this time is older than all of the bin.
func (b *bin) goesFirst(queuedAt time.Time) bool {
	return b.first != nil && queuedAt.Before(b.first.tasks[0].queuedAt)
}
