package owner

import (
	"container/heap"
	"time"

	"carobpulley"
)

// deadlineHeap is a heap of running jobs, earliest deadline first.
type deadlineHeap []*job

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(a, b int) bool { return d[a].spec.Deadline.Before(d[b].spec.Deadline) }

func (d deadlineHeap) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].heapIndex, d[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	n := len(old) - 1
	j := old[n]
	old[n] = nil
	*d = old[:n]
	j.heapIndex = -1
	return j
}

// retainedJobs is a list of ended jobs in the order of their end. The retention times are
// constant, so that the oldest job expires first.
type retainedJobs struct {
	first, last *job
	// oldestAnswer is the oldest job whose answer is still stored.
	oldestAnswer *job
	length       int
}

// add appends a job.
func (r *retainedJobs) add(j *job) {
	j.prev = r.last
	if r.last != nil {
		r.last.next = j
	} else {
		r.first = j
	}
	r.last = j
	if r.oldestAnswer == nil {
		r.oldestAnswer = j
	}
	r.length++
}

// remove removes a job.
func (r *retainedJobs) remove(j *job) {
	if r.oldestAnswer == j {
		r.oldestAnswer = j.next
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
	r.length--
}

// addJob adds a running job.
func (t *Table) addJob(j *job) {
	j.shard.jobs[j.spec.ID] = j
	t.openJobs++
	heap.Push(&t.running, j)
}

// retire moves a job from the running to the ended jobs and frees its payloads.
func (t *Table) retire(now time.Time, j *job) {
	t.unschedule(j)
	t.openJobs--
	j.outcome = j.finalOutcome
	j.endedAt = now
	j.spec.Payloads = nil
	for i := range j.tasks {
		k := &j.tasks[i]
		if j.outcome != carobpulley.OutcomeComplete {
			k.result = nil
		}
		j.answerSize += len(k.result) + len(k.err)
	}
	t.answerBytes += j.answerSize
	t.ended.add(j)
	t.dropAnswers(now)
}

// unschedule removes a job from the heap of deadlines.
func (t *Table) unschedule(j *job) {
	if j.heapIndex >= 0 {
		heap.Remove(&t.running, j.heapIndex)
	}
}

// removeJob removes a job and its key.
func (t *Table) removeJob(j *job) {
	delete(j.shard.jobs, j.spec.ID)
	if j.refused {
		t.refusals--
	}
	if j.outcome == carobpulley.OutcomeRunning {
		t.unschedule(j)
		t.openJobs--
		return
	}
	t.answerBytes -= j.answerSize
	t.ended.remove(j)
}

// dropAnswers drops the oldest answers that are past AnswerRetention or exceed
// MaxAnswerBytes.
func (t *Table) dropAnswers(now time.Time) {
	for j := t.ended.oldestAnswer; j != nil; j = t.ended.oldestAnswer {
		if now.Sub(j.endedAt) < AnswerRetention && t.answerBytes <= MaxAnswerBytes {
			return
		}
		t.ended.oldestAnswer = j.next
		t.answerBytes -= j.answerSize
		j.answerSize = 0
		j.tasks = nil
		j.answerDropped = !j.refused
	}
}

// expire drops the claims, answers and keys that are past their retention, and ends jobs
// past their deadline.
func (t *Table) expire(now time.Time, out *[]carobpulley.Action) {
	t.closedClaims.Expire(now)
	t.dropAnswers(now)
	for j := t.ended.first; j != nil && now.Sub(j.endedAt) >= KeyRetention; j = t.ended.first {
		t.removeJob(j)
	}
	for len(t.running) > 0 && !now.Before(t.running[0].spec.Deadline) {
		t.expireJob(now, t.running[0], out)
	}
}

// expireJob ends the tasks that cannot start any more. Running tasks continue.
func (t *Table) expireJob(now time.Time, j *job, out *[]carobpulley.Action) {
	t.unschedule(j)
	if j.concluded() {
		t.finish(now, j, out)
		return
	}
	t.endWaiting(j, "deadline", out)
	for i := range j.tasks {
		if k := &j.tasks[i]; k.queryFailed {
			k.err = "the agent did not answer before the deadline"
			j.end(k, carobpulley.PhaseUnknown)
		}
	}
	t.concludeIfEnded(now, j, out)
}
