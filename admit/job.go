package admit

import (
	"slices"
	"time"

	"carobpulley"
)

// waitingTask holds the fields of a queued task that differ within a job.
type waitingTask struct {
	queuedAt time.Time
	index    int32
}

// job holds the queued tasks of one job, so that a cancellation finds them
// without scanning other jobs. The jobs of a queue are linked in FIFO order.
type job struct {
	shared     carobpulley.Waiting
	queue      *queue
	tasks      []waitingTask
	prev, next *job
}

// push adds a task. A requeued task keeps its QueuedAt and goes to the front if it
// is older than the first.
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

// queue is the FIFO queue of jobs of one (class, member, service).
type queue struct {
	flow        *flow
	group       *queueGroup
	first, last *job
	heapIndex   int
}

func (q *queue) before(o *queue) bool { return q.flow.startTag < o.flow.startTag }
func (q *queue) position() *int       { return &q.heapIndex }

func (q *queue) link(j *job, front bool) {
	j.queue = q
	switch {
	case q.first == nil:
		q.first, q.last = j, j
	case front:
		j.next, q.first.prev = q.first, j
		q.first = j
	default:
		j.prev, q.last.next = q.last, j
		q.last = j
	}
}

func (q *queue) unlink(j *job) {
	if j.prev == nil {
		q.first = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		q.last = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev, j.next = nil, nil
}

// olderThanAll reports whether a task queued at this time is older than the first
// task of a non-empty queue.
func (q *queue) olderThanAll(queuedAt time.Time) bool {
	return q.first != nil && queuedAt.Before(q.first.tasks[0].queuedAt)
}
