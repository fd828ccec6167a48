// Package memlog implements an append-only log in memory, with streams, offsets,
// limited retention and configurable faults. It replaces the platform's log service
// in tests and in the program standin.
//
// Errors are of type *carobpulley.Error. A Log that is used in a testing/synctest
// bubble must be created inside the bubble.
package memlog

import (
	"context"
	"sync"
	"time"

	"carobpulley"
)

const (
	// FirstOffset is the offset of the first record of a stream, so that
	// offset 0 can mean "from the oldest record".
	FirstOffset = 1
	// MaxPageBytes is the size of record data after which a page ends. The record
	// that reaches it is included.
	MaxPageBytes = 8 << 20
)

// Retention limits the records that a stream keeps. A zero field means no limit.
type Retention struct {
	// Age is the time for which a record is kept after its append.
	Age time.Duration
	// Count is the number of records kept per stream.
	Count int
}

// Faults configures the faults of the log.
type Faults struct {
	// Outage makes every call fail with KindUnavailable, including waiting reads.
	Outage bool
	// Delay is the time between a call and its effect. An append whose context ends
	// meanwhile still takes effect at that time.
	Delay time.Duration
	// LostAnswers is the number of next appends that take effect but return
	// KindUnknown; -1 means all appends.
	LostAnswers int
	// LostAppends is the number of next appends that take no effect and return
	// KindUnknown; -1 means all appends.
	LostAppends int
}

// Stats counts the calls that took effect.
type Stats struct {
	Appends int
	Reads   int
}

// Log is an in-memory carobpulley.Log, safe for concurrent use.
type Log struct {
	retention Retention
	clock     func() time.Time

	mu      sync.Mutex
	faults  Faults
	stats   Stats
	streams map[string]*stream
	// changed is closed and replaced at each append and each change of the faults.
	changed chan struct{}
}

type stream struct {
	records []carobpulley.Record
	next    uint64
}

var _ carobpulley.Log = (*Log)(nil)

// New returns an empty log. The clock sets the times of the records and must run at
// the rate of the timers of package time.
func New(retention Retention, clock func() time.Time) *Log {
	return &Log{
		retention: retention,
		clock:     clock,
		streams:   make(map[string]*stream),
		changed:   make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.faults = f
	l.notifyReaders()
}

// Faults returns the faults with the remaining counts.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.faults
}

// Stats returns the number of calls that took effect.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.stats
}

// Append implements carobpulley.Log. Kinds: KindInvalid, KindUnavailable (the record
// was not added) and KindUnknown (it may have been added or may still be).
func (l *Log) Append(ctx context.Context, name, id string, data []byte) (uint64, error) {
	const op = "append"
	if name == "" || id == "" {
		return 0, &carobpulley.Error{Op: op, Kind: carobpulley.KindInvalid, Msg: "stream and record id are required"}
	}
	if ctx.Err() != nil {
		return 0, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnavailable, Msg: ctx.Err().Error()}
	}
	data = append([]byte(nil), data...)

	type result struct {
		offset uint64
		err    error
	}
	done := make(chan result, 1)
	effect := func() {
		offset, err := l.addRecord(name, id, data)
		done <- result{offset, err}
	}
	delay := l.Faults().Delay
	if delay <= 0 {
		effect()
	} else {
		time.AfterFunc(delay, effect)
	}

	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnknown, Msg: ctx.Err().Error()}
	}
}

// addRecord appends a record unless a fault prevents it.
func (l *Log) addRecord(name, id string, data []byte) (uint64, error) {
	const op = "append"
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.faults.Outage {
		return 0, outageError(op)
	}
	if consumeFault(&l.faults.LostAppends) {
		return 0, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnknown, Msg: "no answer from the log"}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{next: FirstOffset}
		l.streams[name] = s
	}
	offset := s.next
	s.records = append(s.records, carobpulley.Record{Offset: offset, ID: id, Time: l.clock(), Data: data})
	s.next++
	l.applyRetention(s)
	l.stats.Appends++
	l.notifyReaders()
	if consumeFault(&l.faults.LostAnswers) {
		return 0, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnknown, Msg: "no answer from the log"}
	}
	return offset, nil
}

// Read implements carobpulley.Log. It returns an empty page when waitUntil passes.
// Kinds: KindInvalid and KindUnavailable.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, waitUntil time.Time) (carobpulley.Page, error) {
	const op = "read"
	if name == "" || limit < 1 {
		return carobpulley.Page{}, &carobpulley.Error{Op: op, Kind: carobpulley.KindInvalid, Msg: "stream and a positive limit are required"}
	}
	if !sleep(ctx, l.Faults().Delay) {
		return carobpulley.Page{}, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnavailable, Msg: ctx.Err().Error()}
	}
	timeout := time.NewTimer(waitUntil.Sub(l.clock()))
	defer timeout.Stop()

	for {
		page, changed, err := l.page(name, from, limit)
		if err != nil || len(page.Records) > 0 || !l.clock().Before(waitUntil) {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			waitUntil = time.Time{}
		case <-ctx.Done():
			return carobpulley.Page{}, &carobpulley.Error{Op: op, Kind: carobpulley.KindUnavailable, Msg: ctx.Err().Error()}
		}
	}
}

// page returns the records from an offset on, and a channel that is closed when
// there may be more.
func (l *Log) page(name string, from uint64, limit int) (carobpulley.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.faults.Outage {
		return carobpulley.Page{}, nil, outageError("read")
	}
	l.stats.Reads++
	s := l.streams[name]
	if s == nil {
		return carobpulley.Page{Oldest: FirstOffset, Next: FirstOffset}, l.changed, nil
	}
	l.applyRetention(s)
	oldest := s.next - uint64(len(s.records))
	page := carobpulley.Page{Oldest: oldest, Next: s.next}
	size := 0
	for i := max(from, oldest); i < s.next && len(page.Records) < limit && size < MaxPageBytes; i++ {
		r := s.records[i-oldest]
		size += len(r.Data)
		page.Records = append(page.Records, r)
	}
	return page, l.changed, nil
}

// applyRetention removes the records that retention no longer covers.
func (l *Log) applyRetention(s *stream) {
	drop := 0
	if l.retention.Count > 0 {
		drop = max(0, len(s.records)-l.retention.Count)
	}
	if l.retention.Age > 0 {
		limit := l.clock().Add(-l.retention.Age)
		for drop < len(s.records) && s.records[drop].Time.Before(limit) {
			drop++
		}
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
}

// notifyReaders makes waiting reads check the stream again.
func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// consumeFault reports whether a fault with a count applies, and decrements the
// count unless it is negative.
func consumeFault(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// outageError returns the error of a call during an outage.
func outageError(op string) error {
	return &carobpulley.Error{Op: op, Kind: carobpulley.KindUnavailable, Msg: "the log is down"}
}
