package fence

import (
	"time"

	"carobpulley"
)

// mark refuses a task that has not started: in all attempts if it is cancelled,
// else in all attempts up to the one given, of this epoch or an older one. A new
// owner counts its attempts from 1 again, so the epoch comes first.
type mark struct {
	epoch     uint64
	attempt   int
	cancelled bool
	at        time.Time
}

// before reports whether the attempt is newer than all that the mark refuses.
func (m mark) before(epoch uint64, attempt int) bool {
	if m.epoch != epoch {
		return m.epoch < epoch
	}
	return m.attempt < attempt
}

// marks holds marks, oldest first. A mark that is renewed leaves its old place
// in the queue behind.
type marks struct {
	byID  map[carobpulley.TaskID]mark
	queue []place
	most  int
}

type place struct {
	id carobpulley.TaskID
	at time.Time
}

func newMarks(most int) marks {
	return marks{byID: make(map[carobpulley.TaskID]mark), most: most}
}

func (s *marks) get(id carobpulley.TaskID) (mark, bool) {
	m, ok := s.byID[id]
	return m, ok
}

// add adds a mark to what is already refused. If the queue is full the oldest
// mark is dropped; its time is returned.
func (s *marks) add(now time.Time, id carobpulley.TaskID, m mark) (dropped time.Time, ok bool) {
	if old, known := s.byID[id]; known {
		m.cancelled = m.cancelled || old.cancelled
		if !old.before(m.epoch, m.attempt) {
			m.epoch, m.attempt = old.epoch, old.attempt
		}
	}
	if len(s.queue) >= s.most {
		dropped, ok = s.queue[0].at, true
		s.drop()
	}
	m.at = now
	s.byID[id] = m
	s.queue = append(s.queue, place{id: id, at: now})
	return dropped, ok
}

func (s *marks) expire(now time.Time) {
	for len(s.queue) > 0 && now.Sub(s.queue[0].at) >= RecordRetention {
		s.drop()
	}
}

// drop removes the oldest place, and its mark unless it was renewed.
func (s *marks) drop() {
	p := s.queue[0]
	s.queue[0] = place{}
	s.queue = s.queue[1:]
	if s.byID[p.id].at.Equal(p.at) {
		delete(s.byID, p.id)
	}
}
