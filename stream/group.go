package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

const (
	// GroupInterval is the least time between the sending of two appends of a
	// Group. It limits one writer to 50 of the several hundred appends per
	// second that the log takes.
	GroupInterval = 20 * time.Millisecond
	// MaxBufferedBytes is the size of the items that a Group holds until they
	// are in the log (design section 8).
	MaxBufferedBytes = 32 << 20
	// AppendTimeout bounds one try of an append and one page of a read back.
	AppendTimeout = ExchangeTimeout
)

// Group appends items to a stream in groups: a record is the concatenation of
// its items in the order of Add. Items delimit themselves; encoded protobuf
// messages merge their repeated fields. One append is in flight at a time.
type Group struct {
	log    carobpulley.Log
	stream string
	newID  func() string

	mu       sync.Mutex
	waiting  []*Ticket
	last     *Ticket
	buffered int
	stopped  bool
	// added holds a token while items may be waiting.
	added chan struct{}

	// The fields below belong to Run.
	sentAt time.Time
	// from is an offset before which the current record can't be.
	from uint64
}

// Ticket tells when an item is in the log.
type Ticket struct {
	data   []byte
	done   chan struct{}
	offset uint64
	err    error
}

// Done is closed when the result is known.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Wait returns the offset of the record that holds the item. Kinds:
// KindUnknown if the group stopped during the append, KindUnavailable if it
// stopped before, KindInvalid if the log refused the record. KindUnknown also if
// ctx ended first.
func (t *Ticket) Wait(ctx context.Context) (uint64, error) {
	select {
	case <-t.done:
		return t.offset, t.err
	case <-ctx.Done():
		return 0, &Error{Op: "wait", Kind: carobpulley.KindUnknown, Err: ctx.Err()}
	}
}

// NewGroup returns a group appender; Run makes it work. newID returns an id
// that no other record of the stream has; it is called from Run.
func NewGroup(log carobpulley.Log, stream string, newID func() string) *Group {
	return &Group{log: log, stream: stream, newID: newID, added: make(chan struct{}, 1)}
}

// Add buffers an item, which the caller must not change after. Kinds:
// KindInvalid for one larger than MaxRecordBytes, KindOverload for a full
// buffer, KindUnavailable after Run has ended.
func (g *Group) Add(item []byte) (*Ticket, error) {
	const op = "add"
	if len(item) > MaxRecordBytes {
		return nil, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: errors.Errorf("item of %d bytes", len(item))}
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.stopped {
		return nil, &Error{Op: op, Kind: carobpulley.KindUnavailable, Err: errors.New("group is stopped")}
	}
	if g.buffered+len(item) > MaxBufferedBytes {
		return nil, &Error{Op: op, Kind: carobpulley.KindOverload, Err: errors.Errorf("%d bytes are buffered", g.buffered)}
	}
	t := &Ticket{data: item, done: make(chan struct{})}
	g.buffered += len(item)
	g.waiting = append(g.waiting, t)
	g.last = t
	select {
	case g.added <- struct{}{}:
	default:
	}
	return t, nil
}

// Flush waits until all items added before are settled, and returns the error
// of the last one. Call it before ending Run to stop without loss.
func (g *Group) Flush(ctx context.Context) error {
	g.mu.Lock()
	last := g.last
	g.mu.Unlock()

	if last == nil {
		return nil
	}
	_, err := last.Wait(ctx)
	return err
}

// Run appends until ctx ends and then returns its error. Items not in the log
// by then are settled with an error.
func (g *Group) Run(ctx context.Context) error {
	defer g.stop()
	for {
		select {
		case <-g.added:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			g.pace(ctx)
			batch, data := g.take()
			if len(batch) == 0 || ctx.Err() != nil {
				g.putBack(batch)
				break
			}
			offset, err := g.append(ctx, data)
			g.settle(batch, offset, err)
		}
	}
}

// pace waits until the next append may be sent.
func (g *Group) pace(ctx context.Context) {
	sleep(ctx, time.Until(g.sentAt.Add(GroupInterval)))
}

// take removes the items of the next record from the buffer.
func (g *Group) take() ([]*Ticket, []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()

	n, size := 0, 0
	for n < len(g.waiting) && size+len(g.waiting[n].data) <= MaxRecordBytes {
		size += len(g.waiting[n].data)
		n++
	}
	batch := g.waiting[:n:n]
	g.waiting = g.waiting[n:]
	data := make([]byte, 0, size)
	for _, t := range batch {
		data = append(data, t.data...)
	}
	return batch, data
}

// putBack returns items that no append was sent for.
func (g *Group) putBack(batch []*Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.waiting = append(batch, g.waiting...)
}

// settle tells the waiters of items and frees their part of the buffer.
func (g *Group) settle(batch []*Ticket, offset uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, t := range batch {
		g.buffered -= len(t.data)
		t.offset, t.err = offset, err
		t.data = nil
		close(t.done)
	}
}

// stop settles what is left after Run.
func (g *Group) stop() {
	g.mu.Lock()
	g.stopped = true
	rest := g.waiting
	g.waiting = nil
	g.mu.Unlock()

	g.settle(rest, 0, &Error{Op: "append", Kind: carobpulley.KindUnavailable, Err: errors.New("group is stopped")})
}

// append adds one record and returns once it is known to be in the log, the log
// refused it as invalid, or ctx ended. An unanswered try may take effect at any
// later time, so each try after it is preceded by a read back. A second copy
// can still arise from one that takes effect after the read; readers drop it.
func (g *Group) append(ctx context.Context, data []byte) (uint64, error) {
	const op = "append"
	id := g.newID()
	retry := newBackoff(GroupInterval)
	for unanswered := false; ; {
		offset, err := g.try(ctx, id, data)
		if err == nil {
			g.from = offset + 1
			return offset, nil
		}
		switch kindOf(err) {
		case carobpulley.KindInvalid:
			return 0, &Error{Op: op, Kind: carobpulley.KindInvalid, Err: err}
		case carobpulley.KindUnavailable:
		default:
			unanswered = true
		}
		sleep(ctx, retry.NextBackOff())
		for unanswered && ctx.Err() == nil {
			offset, err := g.readBack(ctx, id)
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
			if unanswered {
				kind = carobpulley.KindUnknown
			}
			return 0, &Error{Op: op, Kind: kind, Err: ctx.Err()}
		}
	}
}

// try sends one append.
func (g *Group) try(ctx context.Context, id string, data []byte) (uint64, error) {
	g.pace(ctx)
	g.sentAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return g.log.Append(ctx, g.stream, id, data)
}

// readBack looks for a record from g.from to the tail and returns its offset,
// or 0 if it is not there. A record that retention has removed counts as not
// there, since no reader can find it any more.
func (g *Group) readBack(ctx context.Context, id string) (uint64, error) {
	for {
		page, err := g.readPage(ctx)
		if err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			g.from = r.Offset + 1
			if r.ID == id {
				return r.Offset, nil
			}
		}
		if len(page.Records) == 0 || g.from >= page.Next {
			g.from = page.Next
			return 0, nil
		}
	}
}

func (g *Group) readPage(ctx context.Context) (carobpulley.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return g.log.Read(ctx, g.stream, g.from, tailLimit, time.Time{})
}
