package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

const (
	// MinAppendInterval is the minimum time between the sending of two appends of a
	// Group. It limits one writer to 50 appends per second, of the several hundred
	// that the log accepts.
	MinAppendInterval = 20 * time.Millisecond
	// MaxBufferedBytes is the total size of the items that a Group buffers until
	// they are in the log (design section 8).
	MaxBufferedBytes = 32 << 20
	// AppendTimeout bounds one attempt of an append and the read of one page that
	// looks for its record.
	AppendTimeout = RequestTimeout
)

// Group appends items to a stream in groups: a record is the concatenation of its
// items in the order of Add. Items must be self-delimiting or mergeable: a
// concatenation of encoded protobuf messages merges their repeated fields. One
// append is in flight at a time.
type Group struct {
	log    carobpulley.Log
	stream string
	newID  func() string

	mu            sync.Mutex
	pending       []*PendingAppend
	lastAdded     *PendingAppend
	bufferedBytes int
	stopped       bool
	// wake holds an element while items may be pending.
	wake chan struct{}

	// The fields below are used by Run only.

	lastSentAt time.Time
	// readFrom is the offset from which findRecord reads. The current record cannot be
	// before it.
	readFrom uint64
}

// PendingAppend is the future result of an Add.
type PendingAppend struct {
	data   []byte
	done   chan struct{}
	offset uint64
	err    error
}

// Done returns a channel that is closed when the result is known.
func (p *PendingAppend) Done() <-chan struct{} { return p.done }

// Wait waits for the result and returns the offset of the record that contains the
// item. Kinds: KindUnknown if Run ended during the append or if ctx ended first,
// KindUnavailable if Run ended before the append, KindInvalid if the log rejected
// the record.
func (p *PendingAppend) Wait(ctx context.Context) (uint64, error) {
	select {
	case <-p.done:
		return p.offset, p.err
	case <-ctx.Done():
		return 0, &Error{Op: "wait", Kind: carobpulley.KindUnknown, Err: ctx.Err()}
	}
}

// NewGroup returns a group appender. Items are appended while Run runs. newID is
// called by Run and returns an id that no other record of the stream has.
func NewGroup(log carobpulley.Log, stream string, newID func() string) *Group {
	return &Group{log: log, stream: stream, newID: newID, wake: make(chan struct{}, 1)}
}

// Add buffers an item. The caller must not modify it afterwards. Kinds:
// KindInvalid for an item larger than MaxRecordBytes, KindOverload for a full
// buffer, KindUnavailable after Run has ended.
func (g *Group) Add(item []byte) (*PendingAppend, error) {
	const op = "add"
	if len(item) > MaxRecordBytes {
		return nil, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: errors.Errorf("item of %d bytes", len(item))}
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.stopped {
		return nil, &Error{Op: op, Kind: carobpulley.KindUnavailable, Err: errors.New("group is stopped")}
	}
	if g.bufferedBytes+len(item) > MaxBufferedBytes {
		return nil, &Error{Op: op, Kind: carobpulley.KindOverload, Err: errors.Errorf("%d bytes are buffered", g.bufferedBytes)}
	}
	p := &PendingAppend{data: item, done: make(chan struct{})}
	g.bufferedBytes += len(item)
	g.pending = append(g.pending, p)
	g.lastAdded = p
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return p, nil
}

// Flush waits for the results of all items added before and returns the error of
// the last one. Call it before ending Run to stop without losing items.
func (g *Group) Flush(ctx context.Context) error {
	g.mu.Lock()
	last := g.lastAdded
	g.mu.Unlock()

	if last == nil {
		return nil
	}
	_, err := last.Wait(ctx)
	return err
}

// Run appends items until ctx ends and then returns its error. Items that are not
// in the log by then complete with an error.
func (g *Group) Run(ctx context.Context) error {
	defer g.failPending()
	for {
		select {
		case <-g.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			g.waitInterval(ctx)
			batch, data := g.nextBatch()
			if len(batch) == 0 || ctx.Err() != nil {
				g.requeue(batch)
				break
			}
			offset, err := g.appendRecord(ctx, data)
			g.complete(batch, offset, err)
		}
	}
}

// waitInterval waits until the next append may be sent.
func (g *Group) waitInterval(ctx context.Context) {
	sleep(ctx, time.Until(g.lastSentAt.Add(MinAppendInterval)))
}

// nextBatch removes the items of the next record from the buffer.
func (g *Group) nextBatch() ([]*PendingAppend, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()

	n, size := 0, 0
	for n < len(g.pending) && size+len(g.pending[n].data) <= MaxRecordBytes {
		size += len(g.pending[n].data)
		n++
	}
	batch := g.pending[:n:n]
	g.pending = g.pending[n:]
	data := make([]byte, 0, size)
	for _, p := range batch {
		data = append(data, p.data...)
	}
	return batch, data
}

// requeue puts items for which no append was sent back into the buffer.
func (g *Group) requeue(batch []*PendingAppend) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.pending = append(batch, g.pending...)
}

// complete sets the result of items and frees their part of the buffer.
func (g *Group) complete(batch []*PendingAppend, offset uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, p := range batch {
		g.bufferedBytes -= len(p.data)
		p.offset, p.err = offset, err
		p.data = nil
		close(p.done)
	}
}

// failPending completes the items that are left after Run with an error.
func (g *Group) failPending() {
	g.mu.Lock()
	g.stopped = true
	remaining := g.pending
	g.pending = nil
	g.mu.Unlock()

	g.complete(remaining, 0, &Error{Op: "append", Kind: carobpulley.KindUnavailable, Err: errors.New("group is stopped")})
}

// appendRecord appends one record. It returns when the record is known to be in the
// log, the log rejected it as invalid, or ctx ended. An attempt without a response
// may take effect at any later time, so each attempt after it is preceded by a read
// that looks for the record. A duplicate can still result from an attempt that takes
// effect after the read; readers drop it.
func (g *Group) appendRecord(ctx context.Context, data []byte) (uint64, error) {
	const op = "append"
	id := g.newID()
	retry := newBackoff(MinAppendInterval)
	for mayBeStored := false; ; {
		offset, err := g.tryAppend(ctx, id, data)
		if err == nil {
			g.readFrom = offset + 1
			return offset, nil
		}
		switch kindOf(err) {
		case carobpulley.KindInvalid:
			return 0, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: err}
		case carobpulley.KindUnavailable:
		default:
			mayBeStored = true
		}
		sleep(ctx, retry.NextBackOff())
		for mayBeStored && ctx.Err() == nil {
			offset, err := g.findRecord(ctx, id)
			if err == nil && offset > 0 {
				return offset, nil
			}
			if err == nil {
				break
			}
			sleep(ctx, retry.NextBackOff())
		}
		if ctx.Err() != nil {
			kind := carobpulley.KindUnavailable
			if mayBeStored {
				kind = carobpulley.KindUnknown
			}
			return 0, &Error{Op: op, Kind: kind, Err: ctx.Err()}
		}
	}
}

// tryAppend makes one attempt of an append.
func (g *Group) tryAppend(ctx context.Context, id string, data []byte) (uint64, error) {
	g.waitInterval(ctx)
	g.lastSentAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return g.log.Append(ctx, g.stream, id, data)
}

// findRecord reads from g.readFrom to the tail and returns the offset of the record
// with an id, or 0 if there is none. A record that retention has removed counts as
// absent, since no reader can read it any more.
func (g *Group) findRecord(ctx context.Context, id string) (uint64, error) {
	for {
		page, err := g.readPage(ctx)
		if err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			g.readFrom = r.Offset + 1
			if r.ID == id {
				return r.Offset, nil
			}
		}
		if len(page.Records) == 0 || g.readFrom >= page.Next {
			g.readFrom = page.Next
			return 0, nil
		}
	}
}

func (g *Group) readPage(ctx context.Context) (carobpulley.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return g.log.Read(ctx, g.stream, g.readFrom, pageLimit, time.Time{})
}
