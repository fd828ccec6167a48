package emul

import (
	"context"
	"errors"
	"sync"
	"time"

	"carobpulley"
)

const (
	// appendTime and readTime are what the store takes for an answer.
	appendTime = 4 * time.Millisecond
	readTime   = 2 * time.Millisecond
)

// Fault is a way in which the store misbehaves.
type Fault int

// Faults of the store.
const (
	// FaultNone is a store that works.
	FaultNone Fault = iota
	// FaultBusy refuses every call.
	FaultBusy
	// FaultSilent answers no call and does nothing.
	FaultSilent
	// FaultLost carries out appends and does not answer.
	FaultLost
)

type partition struct {
	records []carobpulley.KeyedRecord
	first   int64
	newest  map[string]carobpulley.KeyedRecord
	epoch   uint64
	last    int64
	began   bool
	grown   chan struct{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// Store is the platform's store in memory.
type Store struct {
	mu    sync.Mutex
	parts map[carobpulley.Partition]*partition
	fault Fault
	deaf  bool
	calls int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: make(map[carobpulley.Partition]*partition)}
}

// Break sets the store's fault for all processes.
func (s *Store) Break(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Deafen makes waiting reads miss what is appended until their wait is over.
func (s *Store) Deafen(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history of a partition; the newest record of each key stays.
func (s *Store) Compact(part carobpulley.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(part)
	p.first = p.end()
	p.records = nil
}

// View is the store as one process sees it.
type View struct {
	store *Store
	mu    sync.Mutex
	fault Fault
}

// View returns the store for one process.
func (s *Store) View() *View { return &View{store: s} }

// Break sets a fault for this process alone.
func (v *View) Break(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
}

func (v *View) now() Fault {
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

// wait lets the time of a call pass.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return storeError(carobpulley.KindUnknown, ctx.Err().Error())
	case <-time.After(d):
		return nil
	}
}

func (s *Store) part(p carobpulley.Partition) *partition {
	if s.parts[p] == nil {
		s.parts[p] = &partition{newest: make(map[string]carobpulley.KeyedRecord), grown: make(chan struct{})}
	}
	return s.parts[p]
}

// append carries out an append after its time, if allow permits it then.
func (v *View) append(ctx context.Context, part carobpulley.Partition, records []carobpulley.KeyedRecord, allow func(*partition) error) (int64, error) {
	fault := v.now()
	if fault == FaultBusy {
		return 0, storeError(carobpulley.KindUnavailable, "busy")
	}
	if err := wait(ctx, appendTime); err != nil {
		return 0, err
	}
	if fault == FaultSilent {
		<-ctx.Done()
		return 0, storeError(carobpulley.KindUnknown, "no answer")
	}
	v.store.mu.Lock()
	p := v.store.part(part)
	err := allow(p)
	if err == nil {
		p.add(records)
	}
	end := p.end()
	v.store.mu.Unlock()
	if fault == FaultLost {
		<-ctx.Done()
		return 0, storeError(carobpulley.KindUnknown, "the answer is lost")
	}
	return end, err
}

func (p *partition) add(records []carobpulley.KeyedRecord) {
	for _, r := range records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		if r.Value == nil {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r
	}
	if len(records) > 0 {
		close(p.grown)
		p.grown = make(chan struct{})
	}
}

// Append implements carobpulley.Store.
func (v *View) Append(ctx context.Context, part carobpulley.Partition, records []carobpulley.KeyedRecord) error {
	_, err := v.append(ctx, part, records, func(*partition) error { return nil })
	return err
}

// AppendAt implements carobpulley.Store.
func (v *View) AppendAt(ctx context.Context, part carobpulley.Partition, at int64, records []carobpulley.KeyedRecord) (int64, error) {
	return v.append(ctx, part, records, func(p *partition) error {
		if p.end() != at {
			return storeError(carobpulley.KindConflict, "the partition ends elsewhere")
		}
		return nil
	})
}

// errRepeated marks an append that was done before.
var errRepeated = storeError(carobpulley.KindConflict, "repeated")

// AppendFenced implements carobpulley.Store.
func (v *View) AppendFenced(ctx context.Context, part carobpulley.Partition, w carobpulley.Writer, records []carobpulley.KeyedRecord) (int64, error) {
	end, err := v.append(ctx, part, records, func(p *partition) error {
		switch {
		case w.Epoch < p.epoch:
			return storeError(carobpulley.KindStaleEpoch, "a newer epoch writes")
		case w.Epoch > p.epoch:
			p.epoch = w.Epoch
			p.last = w.Sequence
			p.began = len(records) > 0
			return nil
		case p.began && w.Sequence == p.last:
			return errRepeated
		case p.began && w.Sequence != p.last+1:
			return storeError(carobpulley.KindConflict, "the sequence has a gap")
		}
		p.last = w.Sequence
		p.began = true
		return nil
	})
	if errors.Is(err, errRepeated) {
		return end, nil
	}
	return end, err
}

// Newest implements carobpulley.Store.
func (v *View) Newest(ctx context.Context, part carobpulley.Partition) ([]carobpulley.KeyedRecord, int64, error) {
	if err := v.read(ctx); err != nil {
		return nil, 0, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := v.store.part(part)
	out := make([]carobpulley.KeyedRecord, 0, len(p.newest))
	for _, r := range p.newest {
		out = append(out, r)
	}
	return out, p.end(), nil
}

func (v *View) read(ctx context.Context) error {
	switch v.now() {
	case FaultBusy:
		return storeError(carobpulley.KindUnavailable, "busy")
	case FaultSilent:
		<-ctx.Done()
		return storeError(carobpulley.KindUnavailable, "no answer")
	case FaultNone, FaultLost:
	}
	return wait(ctx, readTime)
}

// late returns what there is when a wait is over.
func (v *View) late(part carobpulley.Partition, from int64) ([]carobpulley.KeyedRecord, int64, error) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := v.store.part(part)
	if from < p.first {
		return nil, 0, storeError(carobpulley.KindExpired, "the history is gone")
	}
	return append([]carobpulley.KeyedRecord(nil), p.records[from-p.first:]...), p.end(), nil
}

// Tail implements carobpulley.Store.
func (v *View) Tail(ctx context.Context, part carobpulley.Partition, from int64, longest time.Duration) ([]carobpulley.KeyedRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, longest+time.Second)
	defer cancel()
	if err := v.read(ctx); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for {
		v.store.mu.Lock()
		p := v.store.part(part)
		if from < p.first {
			v.store.mu.Unlock()
			return nil, 0, storeError(carobpulley.KindExpired, "the history is gone")
		}
		records := append([]carobpulley.KeyedRecord(nil), p.records[min(from-p.first, int64(len(p.records))):]...)
		end, grown := p.end(), p.grown
		if v.store.deaf {
			grown = nil
			records = nil
		}
		v.store.mu.Unlock()
		if len(records) > 0 {
			return records, end, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return v.late(part, from)
		case <-ctx.Done():
			return nil, 0, storeError(carobpulley.KindUnavailable, ctx.Err().Error())
		}
	}
}
