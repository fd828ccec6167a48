package emul

import (
	"context"
	"errors"
	"sync"
	"time"

	"carobpulley"
)

const (
	// appendLatency and readLatency are the times that the store takes to answer.
	appendLatency = 4 * time.Millisecond
	readLatency   = 2 * time.Millisecond
)

// Fault is a fault of the store.
type Fault int

// Faults of the store.
const (
	// FaultNone stands for a store without a fault.
	FaultNone Fault = iota
	// FaultBusy rejects every call.
	FaultBusy
	// FaultUnresponsive neither carries out nor answers any call.
	FaultUnresponsive
	// FaultLostAnswers carries out appends without answering them.
	FaultLostAnswers
	// FaultLate carries out appends up to maxAppendDelay later, without answering them.
	FaultLate
)

// maxAppendDelay bounds how late an append is carried out under FaultLate.
const maxAppendDelay = 3 * time.Second

// partition holds the records of one partition and its writer's epoch and sequence.
type partition struct {
	records      []carobpulley.KeyedRecord
	firstOffset  int64
	newest       map[string]carobpulley.KeyedRecord
	epoch        uint64
	lastSequence int64
	hasSequence  bool
	appended     chan struct{}
}

func (p *partition) endOffset() int64 { return p.firstOffset + int64(len(p.records)) }

// Store is an in-memory emulation of the platform's store.
type Store struct {
	mu         sync.Mutex
	partitions map[carobpulley.Partition]*partition
	fault      Fault
	delayTails bool
	calls      int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{partitions: make(map[carobpulley.Partition]*partition)}
}

// SetFault sets the fault that all processes see.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DelayTails makes tail reads return records only at the end of their wait.
func (s *Store) DelayTails(delayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTails = delayed
}

// CallCount returns the number of calls of all processes.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact removes the history of a partition. Newest still returns the newest record of each key.
func (s *Store) Compact(part carobpulley.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(part)
	p.firstOffset = p.endOffset()
	p.records = nil
}

// View is the access of one process to the store.
type View struct {
	store *Store
	mu    sync.Mutex
	fault Fault
}

// View returns the access for one process.
func (s *Store) View() *View { return &View{store: s} }

// SetFault sets the fault that this process sees. A fault of the store takes precedence.
func (v *View) SetFault(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
}

func (v *View) beginCall() Fault {
	v.mu.Lock()
	f := v.fault
	v.mu.Unlock()
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.store.calls++
	if v.store.fault != FaultNone {
		return v.store.fault
	}
	return f
}

func storeError(kind carobpulley.Kind, msg string) error {
	return &carobpulley.Error{Op: "store", Kind: kind, Msg: msg}
}

// sleep waits for the latency of a call, or until its context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return storeError(carobpulley.KindUnknown, ctx.Err().Error())
	case <-time.After(d):
		return nil
	}
}

func (s *Store) partition(p carobpulley.Partition) *partition {
	if s.partitions[p] == nil {
		s.partitions[p] = &partition{newest: make(map[string]carobpulley.KeyedRecord), appended: make(chan struct{})}
	}
	return s.partitions[p]
}

// appendIf carries out an append after appendLatency if allow returns nil then. It returns the
// offset of the partition's end.
func (v *View) appendIf(ctx context.Context, part carobpulley.Partition, records []carobpulley.KeyedRecord, allow func(*partition) error) (int64, error) {
	fault := v.beginCall()
	if fault == FaultBusy {
		return 0, storeError(carobpulley.KindUnavailable, "busy")
	}
	if err := sleep(ctx, appendLatency); err != nil {
		return 0, err
	}
	if fault == FaultUnresponsive {
		<-ctx.Done()
		return 0, storeError(carobpulley.KindUnknown, "no answer")
	}
	if fault == FaultLate {
		time.AfterFunc(v.store.appendDelay(), func() { _, _ = v.store.append(part, records, allow) })
		<-ctx.Done()
		return 0, storeError(carobpulley.KindUnknown, "no answer yet")
	}
	end, err := v.store.append(part, records, allow)
	if fault == FaultLostAnswers {
		<-ctx.Done()
		return 0, storeError(carobpulley.KindUnknown, "the answer is lost")
	}
	return end, err
}

// appendDelay returns another delay for each call, spread over maxAppendDelay.
func (s *Store) appendDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	const step = 7919 * time.Millisecond
	return time.Duration(s.calls) * step % maxAppendDelay
}

// append carries out an append if allow returns nil, and returns the offset of the partition's end.
func (s *Store) append(part carobpulley.Partition, records []carobpulley.KeyedRecord, allow func(*partition) error) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(part)
	err := allow(p)
	if err == nil {
		p.append(records)
	}
	return p.endOffset(), err
}

func (p *partition) append(records []carobpulley.KeyedRecord) {
	for _, r := range records {
		r.Offset = p.endOffset()
		p.records = append(p.records, r)
		if r.Value == nil {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r
	}
	if len(records) > 0 {
		close(p.appended)
		p.appended = make(chan struct{})
	}
}

// Append implements carobpulley.Store.
func (v *View) Append(ctx context.Context, part carobpulley.Partition, records []carobpulley.KeyedRecord) error {
	_, err := v.appendIf(ctx, part, records, func(*partition) error { return nil })
	return err
}

// AppendAt implements carobpulley.Store.
func (v *View) AppendAt(ctx context.Context, part carobpulley.Partition, at int64, records []carobpulley.KeyedRecord) (int64, error) {
	return v.appendIf(ctx, part, records, func(p *partition) error {
		if p.endOffset() != at {
			return storeError(carobpulley.KindConflict, "the partition ends elsewhere")
		}
		return nil
	})
}

// errDuplicateAppend marks an append that has been carried out already.
var errDuplicateAppend = storeError(carobpulley.KindConflict, "repeated")

// AppendFenced implements carobpulley.Store.
func (v *View) AppendFenced(ctx context.Context, part carobpulley.Partition, w carobpulley.Writer, records []carobpulley.KeyedRecord) (int64, error) {
	end, err := v.appendIf(ctx, part, records, func(p *partition) error {
		switch {
		case w.Epoch < p.epoch:
			return storeError(carobpulley.KindStaleEpoch, "a newer epoch writes")
		case w.Epoch > p.epoch:
			p.epoch = w.Epoch
			p.lastSequence = w.Sequence
			p.hasSequence = len(records) > 0
			return nil
		case p.hasSequence && w.Sequence == p.lastSequence:
			return errDuplicateAppend
		case p.hasSequence && w.Sequence != p.lastSequence+1:
			return storeError(carobpulley.KindConflict, "the sequence has a gap")
		}
		p.lastSequence = w.Sequence
		p.hasSequence = true
		return nil
	})
	if errors.Is(err, errDuplicateAppend) {
		return end, nil
	}
	return end, err
}

// Newest implements carobpulley.Store.
func (v *View) Newest(ctx context.Context, part carobpulley.Partition) ([]carobpulley.KeyedRecord, int64, error) {
	if err := v.beginRead(ctx); err != nil {
		return nil, 0, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := v.store.partition(part)
	out := make([]carobpulley.KeyedRecord, 0, len(p.newest))
	for _, r := range p.newest {
		out = append(out, r)
	}
	return out, p.endOffset(), nil
}

func (v *View) beginRead(ctx context.Context) error {
	switch v.beginCall() {
	case FaultBusy:
		return storeError(carobpulley.KindUnavailable, "busy")
	case FaultUnresponsive:
		<-ctx.Done()
		return storeError(carobpulley.KindUnavailable, "no answer")
	case FaultNone, FaultLostAnswers, FaultLate:
	}
	return sleep(ctx, readLatency)
}

// readAtTimeout returns the records from an offset at the end of a tail read's wait.
func (v *View) readAtTimeout(part carobpulley.Partition, from int64) ([]carobpulley.KeyedRecord, int64, error) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := v.store.partition(part)
	if from < p.firstOffset {
		return nil, 0, storeError(carobpulley.KindExpired, "the history is gone")
	}
	return append([]carobpulley.KeyedRecord(nil), p.records[from-p.firstOffset:]...), p.endOffset(), nil
}

// Tail implements carobpulley.Store.
func (v *View) Tail(ctx context.Context, part carobpulley.Partition, from int64, maxWait time.Duration) ([]carobpulley.KeyedRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+time.Second)
	defer cancel()
	if err := v.beginRead(ctx); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		v.store.mu.Lock()
		p := v.store.partition(part)
		if from < p.firstOffset {
			v.store.mu.Unlock()
			return nil, 0, storeError(carobpulley.KindExpired, "the history is gone")
		}
		records := append([]carobpulley.KeyedRecord(nil), p.records[min(from-p.firstOffset, int64(len(p.records))):]...)
		end, appended := p.endOffset(), p.appended
		if v.store.delayTails {
			appended = nil
			records = nil
		}
		v.store.mu.Unlock()
		if len(records) > 0 {
			return records, end, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return v.readAtTimeout(part, from)
		case <-ctx.Done():
			return nil, 0, storeError(carobpulley.KindUnavailable, ctx.Err().Error())
		}
	}
}
