package jobs

import (
	"time"

	"carobpulley/work"
)

// takeEnds takes the ends that an agent reports.
func (t *Table) takeEnds(now time.Time, h *host, ends []work.End) {
	for i := range ends {
		t.takeEnd(now, h, &ends[i])
	}
}

func (t *Table) takeEnd(now time.Time, h *host, e *work.End) {
	tk := t.taskOf(e.Run)
	if tk == nil {
		t.ackProved(now, h, e)
		return
	}
	if tk.phase == taskDone || !t.current(h, tk, e) {
		t.ackRepeated(now, h, tk.job, e)
		return
	}
	t.unplace(tk)
	tk.run = max(tk.run, e.Run.Number)
	switch e.Outcome {
	case work.OutcomeDone:
		t.taskEnded(now, h, tk, e)
	case work.OutcomeFailed:
		t.taskFailed(now, h, tk, e)
	default:
		t.decide(Decision{Job: tk.job.id, Task: e.Run.Task, Run: e.Run.Number, Agent: h.name, Event: string(e.Outcome), Reason: "told by the agent"})
		t.ackNow(h, e)
		if e.Outcome == work.OutcomeNotStarted || e.Outcome == work.OutcomeLost {
			tk.avoid = h
		}
		t.requeue(now, tk)
	}
	t.settleEnded(tk.job)
}

// current reports whether an end is that of the task's run: the one placed
// there, or one of an earlier owner's whose task was not placed since.
func (t *Table) current(h *host, tk *task, e *work.End) bool {
	if tk.phase == taskPlaced {
		return tk.host == h && tk.run == e.Run.Number
	}
	return tk.job.old && tk.run <= e.Run.Number
}

// ackNow lets a runner forget an end of which nothing is to be stored.
func (t *Table) ackNow(h *host, e *work.End) {
	if e.Sequence > 0 {
		h.acked = append(h.acked, e.Sequence)
	}
}

// ackProved lets a runner forget an end that changes nothing here once this owner
// is known to have been the owner when it got it: to a newer owner the end may
// be news.
func (t *Table) ackProved(now time.Time, h *host, e *work.End) {
	if e.Sequence <= 0 {
		return
	}
	if _, waiting := h.unproved[e.Sequence]; !waiting {
		h.unproved[e.Sequence] = unproved{shard: work.ShardOf(work.JobOfTask(e.Run.Task), t.cfg.Shards), at: now}
	}
}

// ConfirmOwnership tells when a read of the store was sent that shows no newer owner of
// the owned shards.
func (t *Table) ConfirmOwnership(sent time.Time) {
	for _, h := range t.hosts {
		for number, u := range h.unproved {
			if !u.at.Before(sent) {
				continue
			}
			delete(h.unproved, number)
			if t.shards[u.shard] != nil {
				h.acked = append(h.acked, number)
			}
		}
	}
}

// ackRepeated takes an end that changes nothing. It may have been told before, so
// it is forgotten no earlier than what the job has to store.
func (t *Table) ackRepeated(now time.Time, h *host, j *job, e *work.End) {
	if j.dirty || j.inBatch {
		t.ackStored(h, j, e)
		return
	}
	if !j.kept() {
		t.ackNow(h, e)
		return
	}
	t.ackProved(now, h, e)
}

func (t *Table) ackStored(h *host, j *job, e *work.End) {
	if !j.kept() {
		t.ackNow(h, e)
		return
	}
	if e.Sequence > 0 {
		j.acks = append(j.acks, ack{host: h.name, life: h.life, number: e.Sequence})
	}
	t.touch(j)
}

func (t *Table) taskEnded(now time.Time, h *host, tk *task, e *work.End) {
	j := tk.job
	h.succeed(tk, e)
	tk.phase = taskDone
	j.left[tk.step]--
	t.ackStored(h, j, e)
	if j.state.Ended() {
		return
	}
	if j.done() {
		t.finishJob(now, j, work.StateCompleted)
		if j.kept() {
			t.decide(Decision{Job: j.id, Agent: h.name, Event: "completed", Reason: "its last task ended"})
		}
		return
	}
	if j.left[tk.step] == 0 {
		t.enqueueUnlocked(j, tk.step)
	}
}

func (t *Table) taskFailed(now time.Time, h *host, tk *task, e *work.End) {
	j := tk.job
	h.fail(now, j.id)
	tk.fails++
	tk.avoid = h
	t.ackStored(h, j, e)
	t.decide(Decision{Job: j.id, Task: e.Run.Task, Run: e.Run.Number, Agent: h.name, Event: "failed", Reason: "told by the runner"})
	if j.state.Ended() {
		return
	}
	if most := t.attempts(j); most > 0 && tk.fails >= most {
		t.finishJob(now, j, work.StateFailed)
		t.decide(Decision{Job: j.id, Task: e.Run.Task, Event: "failed", Reason: "its attempts are used up"})
		return
	}
	t.requeue(now, tk)
}

// attempts returns the bound on failed runs of a task by the configuration in
// force, or by the one that the job was accepted under.
func (t *Table) attempts(j *job) int {
	if t.plan != nil {
		if q, ok := t.plan.Queue(j.queue); ok {
			return q.MaxAttempts
		}
	}
	return j.spec.Queue.MaxAttempts
}

// again takes back a task whose run is over without an end.
func (t *Table) again(now time.Time, tk *task) {
	t.unplace(tk)
	t.requeue(now, tk)
	t.settleEnded(tk.job)
}

// settleEnded retires an ended job whose last run is over.
func (t *Table) settleEnded(j *job) {
	if j.shown.Ended() && !j.dirty && !j.inBatch {
		t.retire(j)
	}
}

// unplace removes a task from its host's account.
func (t *Table) unplace(tk *task) {
	if tk.phase != taskPlaced {
		return
	}
	h := tk.host
	delete(h.placed, tk)
	h.free = h.free.Add(tk.need())
	tk.phase = taskWaiting
	tk.host = nil
	tk.stopping = false
}

// stopTask orders the stop of a task's run.
func (t *Table) stopTask(tk *task) {
	if tk.phase != taskPlaced || tk.stopping {
		return
	}
	tk.stopping = true
	o := t.outgoing(tk.host)
	o.Stops = append(o.Stops, tk.key())
}

// succeed learns from a run that ended well.
func (h *host) succeed(tk *task, e *work.End) {
	clear(h.failRow)
	h.sickFor = 0
	h.sickUntil = time.Time{}
	h.trial = false
	estimate := float64(tk.estimate().Milliseconds())
	if estimate <= 0 || e.ElapsedMS <= 0 {
		return
	}
	pace := min(max(float64(e.ElapsedMS)/estimate, paceFloor), paceCeiling)
	h.paced++
	weight := max(paceWeight, 1/float64(h.paced))
	h.pace += (pace - h.pace) * weight
}

// fail learns from a run that failed.
func (h *host) fail(now time.Time, job string) {
	h.failRow[job] = true
	if len(h.failRow) < failRow && !h.trial {
		return
	}
	h.sickFor = min(max(2*h.sickFor, sickPause), sickPauseMax)
	h.sickUntil = now.Add(h.sickFor)
	h.trial = true
}
