package jobs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

const (
	// maxBatchRecords bounds the records of a batch.
	maxBatchRecords = 300
	// maxBatchBytes is the size from which a batch gets no further job. With the records of the last
	// one it stays below the 2 MiB that PROTOCOL.md allows for a call.
	maxBatchBytes = 1 << 20
)

// Batch holds the records that are stored by one append.
type Batch struct {
	Shard   int
	Records []carobpulley.KeyedRecord
	// size is the number of bytes of the values.
	size    int
	items   []batchItem
	expired []string
}

type batchItem struct {
	job    *job
	accept bool
	state  work.State
	acks   []ack
}

// StoredJob is a job whose state was stored, so that its callers can be answered.
type StoredJob struct {
	Job string
	// Accepted is set if the batch stored the job's own record.
	Accepted bool
	State    work.State
}

// HasUnstoredChanges reports whether a shard has changes for NextBatch.
func (t *Table) HasUnstoredChanges(number int) bool {
	s := t.shards[number]
	return s != nil && (len(s.dirty) > 0 || len(s.expired) > 0)
}

// NextBatch returns the next batch of a shard, or nil if there is nothing to store.
// The caller ends it with CommitBatch or AbortBatch.
func (t *Table) NextBatch(number int) (*Batch, error) {
	s := t.shards[number]
	if s == nil {
		return nil, nil
	}
	b := &Batch{Shard: number}
	n := 0
	for n < len(s.dirty) && len(b.Records) < maxBatchRecords && b.size < maxBatchBytes {
		j := s.dirty[n]
		n++
		if t.jobs[j.id] != j {
			j.dirty = false
			continue
		}
		if err := t.addToBatch(b, j); err != nil {
			return nil, err
		}
	}
	s.dirty = s.dirty[n:]
	// Ends go after the progress that has taken them up.
	for len(s.dirty) == 0 && len(s.expired) > 0 && len(b.Records) < maxBatchRecords {
		key := s.expired[0]
		s.expired = s.expired[1:]
		b.expired = append(b.expired, key)
		b.Records = append(b.Records, carobpulley.KeyedRecord{Key: key})
	}
	if len(b.Records) == 0 {
		return nil, nil
	}
	return b, nil
}

func (t *Table) addToBatch(b *Batch, j *job) error {
	it := batchItem{job: j, accept: j.phase == phaseStoring, state: j.state, acks: j.acks}
	switch {
	case j.phase == phaseUnreadable:
		value, err := work.EncodeProgress(*j.ends)
		if err != nil {
			return err
		}
		b.append(work.KeyEnds+j.id, value)
	case it.accept:
		value, err := work.EncodeJob(j.spec)
		if err != nil {
			return err
		}
		b.append(work.KeyJob+j.id, value)
	}
	if !it.accept && j.phase != phaseUnreadable || j.state.Ended() {
		value, err := work.EncodeProgress(t.progress(j))
		if err != nil {
			return err
		}
		b.append(work.KeyProgress+j.id, value)
	}
	if j.state.Ended() {
		b.Records = append(b.Records, carobpulley.KeyedRecord{Key: work.KeyJob + j.id})
	}
	j.dirty = false
	j.inBatch = true
	j.acks = nil
	b.items = append(b.items, it)
	return nil
}

func (b *Batch) append(key string, value []byte) {
	b.Records = append(b.Records, carobpulley.KeyedRecord{Key: key, Value: value})
	b.size += len(value)
}

// CommitBatch handles a batch that was stored. It returns the jobs in it that are
// still in the table.
func (t *Table) CommitBatch(now time.Time, b *Batch) []StoredJob {
	stored := make([]StoredJob, 0, len(b.items))
	for i := range b.items {
		it := &b.items[i]
		j := it.job
		if t.jobs[j.id] != j {
			continue
		}
		j.inBatch = false
		j.storedState = it.state
		j.crashUnstored = j.crashUnstored && j.dirty
		t.acknowledge(it.acks)
		stored = append(stored, StoredJob{Job: j.id, Accepted: it.accept, State: it.state})
		if it.accept {
			j.phase = phaseActive
			t.enqueueJob(now, j)
		}
		if it.state.Ended() && !j.dirty {
			t.retire(now, j)
		}
	}
	t.PlaceReady(now)
	return stored
}

// retire discards everything but the state of an ended job, unless runs of it are
// still placed. A best-effort job that was given up is discarded altogether, and the submission that
// waits for it is started.
func (t *Table) retire(now time.Time, j *job) {
	if j.phase == phaseEnded {
		return
	}
	for step := range j.tasks {
		for i := range j.tasks[step] {
			if j.tasks[step][i].phase == taskPlaced {
				return
			}
		}
	}
	j.phase = phaseEnded
	j.spec = nil
	j.tasks = nil
	j.remaining = nil
	if j.durable() {
		t.ended = append(t.ended, j)
		return
	}
	if t.displaced[j.id] == j {
		t.retireDisplaced(now, j)
		return
	}
	if j.state == work.StateCancelled && !j.cancelRequested {
		delete(t.jobs, j.id)
		t.acceptResubmission(now, j.resubmission)
		return
	}
	t.recent = append(t.recent, j)
}

// AbortBatch handles a failed batch of which nothing was stored. Its changes go into
// a later batch.
func (t *Table) AbortBatch(b *Batch) {
	s := t.shards[b.Shard]
	for i := range b.items {
		it := &b.items[i]
		it.job.inBatch = false
		it.job.acks = append(it.acks, it.job.acks...)
		if t.jobs[it.job.id] == it.job {
			t.markDirty(it.job)
		}
	}
	if s != nil {
		s.expired = append(b.expired, s.expired...)
	}
}

// acknowledge queues the acknowledgement of stored ends, after which the endpoints
// may drop them. Ends of an earlier endpoint generation are skipped.
func (t *Table) acknowledge(acks []ack) {
	for _, k := range acks {
		if a := t.agents[k.agent]; a != nil && a.generation == k.generation {
			a.acked = append(a.acked, k.number)
		}
	}
}
