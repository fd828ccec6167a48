package owner

import (
	"container/heap"
	"time"

	"carobpulley"
)

// deadlines is a heap of running jobs, earliest deadline first.
type deadlines []*job

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(a, b int) bool { return d[a].spec.Deadline.Before(d[b].spec.Deadline) }

func (d deadlines) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].index, d[b].index = a, b
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.index = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	n := len(old) - 1
	j := old[n]
	old[n] = nil
	*d = old[:n]
	j.index = -1
	return j
}

// retained is a list of ended jobs in the order of their end. The retention
// times are constant, so the oldest job is the first to expire.
type retained struct {
	first, last *job
	// stored is the oldest job whose answer is still stored.
	stored *job
	n      int
}

// add appends a job.
func (r *retained) add(j *job) {
	j.prev = r.last
	if r.last != nil {
		r.last.next = j
	} else {
		r.first = j
	}
	r.last = j
	if r.stored == nil {
		r.stored = j
	}
	r.n++
}

// remove takes a job out.
func (r *retained) remove(j *job) {
	if r.stored == j {
		r.stored = j.next
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		r.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		r.last = j.prev
	}
	j.prev, j.next = nil, nil
	r.n--
}

// store adds a running job.
func (t *Table) store(j *job) {
	j.shard.jobs[j.spec.ID] = j
	t.open++
	heap.Push(&t.running, j)
}

// retire moves a job from the running to the ended ones and frees its payloads.
func (t *Table) retire(now time.Time, j *job) {
	t.unschedule(j)
	t.open--
	j.outcome = j.final
	j.endedAt = now
	j.spec.Payloads = nil
	for i := range j.tasks {
		k := &j.tasks[i]
		if j.outcome != carobpulley.OutcomeComplete {
			k.result = nil
		}
		j.bytes += len(k.result) + len(k.err)
	}
	t.answerBytes += j.bytes
	t.ended.add(j)
	t.dropAnswers(now)
}

// unschedule takes a job out of the heap of deadlines.
func (t *Table) unschedule(j *job) {
	if j.index >= 0 {
		heap.Remove(&t.running, j.index)
	}
}

// forget removes a job and its key.
func (t *Table) forget(j *job) {
	delete(j.shard.jobs, j.spec.ID)
	if j.refused {
		t.refusals--
	}
	if j.outcome == carobpulley.OutcomeRunning {
		t.unschedule(j)
		t.open--
		return
	}
	t.answerBytes -= j.bytes
	t.ended.remove(j)
}

// dropAnswers drops the oldest answers while they are too old or too many.
func (t *Table) dropAnswers(now time.Time) {
	for j := t.ended.stored; j != nil; j = t.ended.stored {
		if now.Sub(j.endedAt) < AnswerRetention && t.answerBytes <= MaxAnswerBytes {
			return
		}
		t.ended.stored = j.next
		t.answerBytes -= j.bytes
		j.bytes = 0
		j.tasks = nil
		j.dropped = !j.refused
	}
}

// expire ends what has passed its time.
func (t *Table) expire(now time.Time, out *[]carobpulley.Action) {
	t.closed.Expire(now)
	t.dropAnswers(now)
	for j := t.ended.first; j != nil && now.Sub(j.endedAt) >= KeyRetention; j = t.ended.first {
		t.forget(j)
	}
	for len(t.running) > 0 && !now.Before(t.running[0].spec.Deadline) {
		t.expireJob(now, t.running[0], out)
	}
}

// expireJob ends the tasks that cannot start any more. Tasks that run go on.
func (t *Table) expireJob(now time.Time, j *job, out *[]carobpulley.Action) {
	t.unschedule(j)
	if j.settled() {
		t.finish(now, j, out)
		return
	}
	t.endWaiting(j, "deadline", out)
	for i := range j.tasks {
		if k := &j.tasks[i]; k.unresolved {
			k.err = "the agent did not answer before the deadline"
			j.end(k, carobpulley.PhaseUnknown)
		}
	}
	t.settle(now, j, out)
}
