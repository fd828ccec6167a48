package fence

import (
	"time"

	"carobpulley"
)

// ResultDroppedText is the error text of a task that completed but whose result was
// dropped to stay within MaxResultBytes. The task is reported as PhaseFailed,
// since an answer without the result would be partial.
const ResultDroppedText = "the task is done but its result is no longer kept"

// record is the start record of a task.
type record struct {
	id            carobpulley.TaskID
	shard         int
	epoch         uint64
	attempt       int
	at            time.Time
	phase         carobpulley.Phase
	status        int
	result        []byte
	err           string
	resultDropped bool
	// seq orders the records. A value is never used twice, so that the page after
	// a given seq misses no record that existed when the previous page was built.
	seq        uint64
	prev, next *record
}

// reportBaseBytes is the encoded size of a reported task without its texts and
// its result, rounded up.
const reportBaseBytes = 96

// size returns an upper bound of the record's encoded size in an answer.
func (r *record) size() int {
	return reportBaseBytes + len(r.id.Job.Member) + len(r.id.Job.Key) + len(r.result) + max(len(r.err), len(ResultDroppedText))
}

// records holds the start records as a linked list, oldest first.
type records struct {
	byID           map[carobpulley.TaskID]*record
	oldest, newest *record
	// seq is the sequence number of the newest record.
	seq        uint64
	maxRecords int
	// results lists the records with a result, ordered by the end of their task.
	results        []*record
	resultBytes    int
	maxResultBytes int
	// incompleteUntil is the time at which the newest record that was dropped
	// early would have expired.
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
		if !s.refreshIfRunning(now) {
			s.incompleteUntil = s.oldest.at.Add(RecordRetention)
			s.dropOldest()
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

// end stores the final state of a running task.
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
		s.dropOldestResult()
	}
}

// dropOldestResult drops the oldest result; its record stays.
func (s *records) dropOldestResult() {
	r := s.results[0]
	s.results[0] = nil
	s.results = s.results[1:]
	if r.result == nil {
		return
	}
	s.resultBytes -= len(r.result)
	r.result = nil
	r.resultDropped = true
}

// expire drops the records older than RecordRetention, except those of running
// tasks.
func (s *records) expire(now time.Time) {
	for s.oldest != nil && now.Sub(s.oldest.at) >= RecordRetention {
		if !s.refreshIfRunning(now) {
			s.dropOldest()
		}
	}
}

// refreshIfRunning moves the oldest record to the end of the list, with a new
// time and seq, if its task is running. It reports whether it did.
func (s *records) refreshIfRunning(now time.Time) bool {
	if s.oldest.phase != carobpulley.PhaseRunning {
		return false
	}
	r := s.oldest
	s.unlink(r)
	r.at = now
	s.push(r)
	return true
}

// dropOldest removes the oldest record and its result.
func (s *records) dropOldest() {
	r := s.oldest
	s.remove(r)
	s.resultBytes -= len(r.result)
	r.result = nil
	for len(s.results) > 0 && s.results[0].result == nil {
		s.results[0] = nil
		s.results = s.results[1:]
	}
}

// remove removes a record. It does not account for a result.
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
