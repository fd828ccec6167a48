package fence

import (
	"time"

	"carobpulley"
)

// tombstone refuses a task that has not started. If cancelled is set, it refuses
// all attempts. Otherwise it refuses the attempts up to attempt in its epoch and
// all attempts of older epochs. The attempts of a job's task grow across epochs
// too (owner.Table.Start), but epochs are compared first, so that the gate does
// not depend on that.
type tombstone struct {
	epoch     uint64
	attempt   int
	cancelled bool
	at        time.Time
}

// olderThan reports whether an attempt is newer than all those that the tombstone
// refuses by epoch and number. It ignores cancelled.
func (t tombstone) olderThan(epoch uint64, attempt int) bool {
	if t.epoch != epoch {
		return t.epoch < epoch
	}
	return t.attempt < attempt
}

// tombstones holds the tombstones by task and a queue of them, oldest first. If a
// tombstone is renewed, its old queue entry stays until it expires or is dropped.
type tombstones struct {
	byID  map[carobpulley.TaskID]tombstone
	queue []queueEntry
	limit int
}

// queueEntry is the time at which a tombstone was added or renewed.
type queueEntry struct {
	id carobpulley.TaskID
	at time.Time
}

func newTombstones(limit int) tombstones {
	return tombstones{byID: make(map[carobpulley.TaskID]tombstone), limit: limit}
}

func (s *tombstones) get(id carobpulley.TaskID) (tombstone, bool) {
	t, ok := s.byID[id]
	return t, ok
}

// add merges a tombstone with the one that the task already has. If the queue is
// full, it drops the oldest entry and returns its time.
func (s *tombstones) add(now time.Time, id carobpulley.TaskID, t tombstone) (dropped time.Time, ok bool) {
	if old, exists := s.byID[id]; exists {
		t.cancelled = t.cancelled || old.cancelled
		if !old.olderThan(t.epoch, t.attempt) {
			t.epoch, t.attempt = old.epoch, old.attempt
		}
	}
	if len(s.queue) >= s.limit {
		dropped, ok = s.queue[0].at, true
		s.dropOldest()
	}
	t.at = now
	s.byID[id] = t
	s.queue = append(s.queue, queueEntry{id: id, at: now})
	return dropped, ok
}

func (s *tombstones) expire(now time.Time) {
	for len(s.queue) > 0 && now.Sub(s.queue[0].at) >= RecordRetention {
		s.dropOldest()
	}
}

// dropOldest removes the oldest queue entry, and its tombstone unless that was
// renewed.
func (s *tombstones) dropOldest() {
	oldest := s.queue[0]
	s.queue[0] = queueEntry{}
	s.queue = s.queue[1:]
	if s.byID[oldest.id].at.Equal(oldest.at) {
		delete(s.byID, oldest.id)
	}
}
