package fence

import (
	"time"

	"carobpulley"
)

// ResultLost is the error text of a task that is done but whose result was
// dropped for lack of memory. Its phase is reported as PhaseFailed, since an
// answer without the result would be partial.
const ResultLost = "the task is done but its result is no longer kept"

// record is a started task.
type record struct {
	id      carobpulley.TaskID
	shard   int
	epoch   uint64
	attempt int
	at      time.Time
	phase   carobpulley.Phase
	status  int
	result  []byte
	err     string
	// lost is set if the result was dropped.
	lost bool
	// seq orders the records. It is never used twice, so that a page after it
	// misses none that was there before.
	seq        uint64
	prev, next *record
}

// reportBytes is the size of a reported task on the wire without its texts and
// result, rounded up.
const reportBytes = 96

// size returns the most bytes that the record takes in an answer.
func (r *record) size() int {
	return reportBytes + len(r.id.Job.Member) + len(r.id.Job.Key) + len(r.result) + max(len(r.err), len(ResultLost))
}

// records holds the started tasks, oldest first.
type records struct {
	byID           map[carobpulley.TaskID]*record
	oldest, newest *record
	// seq is that of the newest record.
	seq        uint64
	maxRecords int
	// results lists the records with a result by the time of their end.
	results        []*record
	resultBytes    int
	maxResultBytes int
	// incompleteUntil is when the youngest record dropped early would have
	// expired.
	incompleteUntil time.Time
}

func newRecords(maxRecords, maxResultBytes int) records {
	return records{
		byID:           make(map[carobpulley.TaskID]*record),
		maxRecords:     maxRecords,
		maxResultBytes: maxResultBytes,
	}
}

func (s *records) get(id carobpulley.TaskID) *record {
	return s.byID[id]
}

func (s *records) start(now time.Time, d *carobpulley.Dispatch) {
	for len(s.byID) >= s.maxRecords {
		if !s.keepRunning(now) {
			s.incompleteUntil = s.oldest.at.Add(RecordRetention)
			s.drop()
		}
	}
	r := &record{
		id:      d.ID,
		shard:   d.Shard,
		epoch:   d.Epoch,
		attempt: d.Attempt,
		at:      now,
		phase:   carobpulley.PhaseRunning,
	}
	s.byID[r.id] = r
	s.push(r)
}

// end takes the final state of a running task.
func (s *records) end(r *record, t carobpulley.StartedTask) {
	r.phase = t.Phase
	r.status = t.Status
	r.err = t.Err
	if len(t.Result) == 0 {
		return
	}
	r.result = t.Result
	s.results = append(s.results, r)
	s.resultBytes += len(r.result)
	for s.resultBytes > s.maxResultBytes {
		s.dropResult()
	}
}

// dropResult drops the oldest result and keeps its record.
func (s *records) dropResult() {
	r := s.results[0]
	s.results[0] = nil
	s.results = s.results[1:]
	if r.result == nil {
		return
	}
	s.resultBytes -= len(r.result)
	r.result = nil
	r.lost = true
}

// expire drops the records older than RecordRetention. A running task stays.
func (s *records) expire(now time.Time) {
	for s.oldest != nil && now.Sub(s.oldest.at) >= RecordRetention {
		if !s.keepRunning(now) {
			s.drop()
		}
	}
}

// keepRunning moves the oldest record to the end if its task is running.
func (s *records) keepRunning(now time.Time) bool {
	if s.oldest.phase != carobpulley.PhaseRunning {
		return false
	}
	r := s.oldest
	s.unlink(r)
	r.at = now
	s.push(r)
	return true
}

// drop removes the oldest record and its result.
func (s *records) drop() {
	r := s.oldest
	s.remove(r)
	s.resultBytes -= len(r.result)
	r.result = nil
	for len(s.results) > 0 && s.results[0].result == nil {
		s.results[0] = nil
		s.results = s.results[1:]
	}
}

// remove forgets a record without a result.
func (s *records) remove(r *record) {
	delete(s.byID, r.id)
	s.unlink(r)
}

func (s *records) push(r *record) {
	s.seq++
	r.seq = s.seq
	r.prev = s.newest
	if s.newest == nil {
		s.oldest = r
	} else {
		s.newest.next = r
	}
	s.newest = r
}

func (s *records) unlink(r *record) {
	if r.prev == nil {
		s.oldest = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		s.newest = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
