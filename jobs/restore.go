package jobs

import (
	"errors"
	"maps"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// ReasonUnreadable is why a job's state is not available.
const ReasonUnreadable = "the job's records can't be read"

// loadJobs creates the jobs of a shard from its records. It returns the errors of those that can't be
// read or can't be true.
func (t *Table) loadJobs(now time.Time, number int, s *shard, records []carobpulley.KeyedRecord) []error {
	stored, errs := groupRecords(records)
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		r := stored[id]
		t.displace(now, id)
		readable, odd := r.Check()
		errs = append(errs, odd...)
		if readable && r.HasEnds() {
			s.expired = append(s.expired, work.KeyEnds+id)
		}
		switch {
		case !readable:
			t.addUnreadable(number, r, errors.Join(odd...))
		case r.Progress != nil && r.Progress.State.Ended():
			t.restoreEnded(now, number, id, *r.Progress)
		case r.Job != nil:
			t.restoreActive(now, number, s, r)
		}
	}
	return errs
}

// groupRecords returns the records by job, and the errors of those that belong to none.
func groupRecords(records []carobpulley.KeyedRecord) (stored map[string]*work.Stored, errs []error) {
	stored = make(map[string]*work.Stored)
	for i := range records {
		r := &records[i]
		if r.Value == nil || len(r.Key) < 2 {
			continue
		}
		prefix, id := r.Key[:1], r.Key[1:]
		if prefix != work.KeyJob && prefix != work.KeyProgress && prefix != work.KeyEnds {
			continue
		}
		if err := work.CheckID(id); err != nil {
			errs = append(errs, err)
			continue
		}
		if stored[id] == nil {
			stored[id] = &work.Stored{ID: id}
		}
		stored[id].Read(prefix, r.Value)
	}
	return stored, errs
}

// addUnreadable adds a job whose state or ended tasks its records don't tell. Nothing of it starts or is
// stopped, and these records stay as they are, for an owner that can read them. Ends of its runs go into
// a record of their own.
//
// Answers the pattern of progress that counts as none since it can't be read: tasks that have ended
// start again.
func (t *Table) addUnreadable(number int, r *work.Stored, err error) {
	j := &job{id: r.ID, shard: number, phase: phaseUnreadable, ends: &work.Progress{State: work.StateQueued}}
	switch {
	case r.Job != nil:
		j.queue, j.digest = r.Job.Queue.Name, r.Job.Digest()
	case r.Progress != nil:
		j.queue, j.digest = r.Progress.Queue, r.Progress.Digest
	}
	if r.HasEnds() {
		j.ends = r.Ends
	}
	t.jobs[r.ID] = j
	t.logDecision(Decision{Job: r.ID, Event: "unreadable", Reason: err.Error()})
}

// unreadable returns a job that the table has but whose records can't be read; nil if there is none.
func (t *Table) unreadable(id string) *job {
	if j := t.jobs[id]; j != nil && j.phase == phaseUnreadable {
		return j
	}
	return nil
}

// handleEndWithoutTask handles an end that belongs to no known task. That of a task of an unreadable job
// is stored before it is acknowledged.
func (t *Table) handleEndWithoutTask(now time.Time, a *agentState, e *work.End) {
	id, step, index, err := work.ParseTaskName(e.Run.Task)
	j := t.unreadable(id)
	if j != nil && j.ends == nil {
		return
	}
	counts := e.Outcome == work.OutcomeDone || e.Outcome == work.OutcomeFailed
	if err != nil || j == nil || !counts || len(j.ends.Done)+len(j.ends.FailedRuns) >= work.MaxTasks {
		t.ackAfterConfirmation(now, a, e)
		return
	}
	done, failed := [2]int{step, index}, [3]int64{int64(step), int64(index), e.Run.Number}
	switch {
	case slices.Contains(j.ends.Done, done) || slices.Contains(j.ends.FailedRuns, failed):
		t.ackIgnored(now, a, j, e)
		return
	case e.Outcome == work.OutcomeDone:
		j.ends.Done = append(j.ends.Done, done)
	default:
		j.ends.FailedRuns = append(j.ends.FailedRuns, failed)
	}
	t.ackAfterStore(a, j, e)
}

func (t *Table) restoreActive(now time.Time, number int, s *shard, r *work.Stored) {
	spec := r.Job
	j := newJob(spec, number, time.UnixMilli(spec.AcceptedMS))
	j.phase = phaseActive
	j.storedState = work.StateQueued
	j.runBase = int64(s.epoch-min(spec.Epoch, s.epoch)) * runsPerEpoch
	j.takeoverPending = true
	if r.Progress != nil {
		j.restore(*r.Progress)
		t.restoreCrashes(now, j, *r.Progress)
	}
	t.jobs[spec.ID] = j
	if r.Ends != nil {
		t.takeUpEnds(now, j, r.Ends)
	}
}

// takeUpEnds applies the ends that were reported while the job was unreadable.
func (t *Table) takeUpEnds(now time.Time, j *job, ends *work.Progress) {
	j.restore(work.Progress{Done: ends.Done})
	for _, f := range ends.FailedRuns {
		if tk := j.task(int(f[0]), int(f[1])); tk != nil {
			tk.failures.add(f[2])
			j.begun = true
			t.failIfUsedUp(now, tk)
		}
	}
	if j.done() && !j.state.Ended() {
		t.finishJob(now, j, work.StateCompleted)
		t.logDecision(Decision{Job: j.id, Event: "completed", Reason: "its last task ended while it was unreadable"})
	}
	t.markDirty(j)
}

func (t *Table) restoreEnded(now time.Time, number int, id string, p work.Progress) {
	j := &job{id: id, queue: p.Queue, shard: number, phase: phaseEnded, digest: p.Digest, state: p.State, storedState: p.State, reason: p.Reason}
	j.endedAt = time.UnixMilli(p.EndedMS)
	if j.endedAt.After(now) {
		j.endedAt = now
	}
	t.jobs[id] = j
	t.ended = append(t.ended, j)
}
