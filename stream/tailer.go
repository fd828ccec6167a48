package stream

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"carobpulley"
)

const (
	// TailWait is how long a read of Run waits at the tail. The log's vote is
	// valid for 800 ms from the sending of a read (design section 4); three
	// reads fit into that.
	TailWait = 250 * time.Millisecond
	// TailInterval is the least time between the sending of two reads of Run at
	// the tail, so that a busy stream is not read once per record.
	TailInterval = 20 * time.Millisecond
	// MaxIDs is the number of record ids that a Tailer remembers. At the 50
	// records/s of one group appender it covers 21 min; a second copy comes
	// within the writer's retries.
	MaxIDs = 1 << 16

	tailLimit    = 256
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Batch is what one read of a stream brought.
type Batch struct {
	// Records are in log order, without second copies of a record id.
	Records []carobpulley.Record
	// Next is the offset after the batch.
	Next uint64
	// TailReadAt is when the read was sent if it reached the tail, else zero.
	// All that was in the log at that time has been delivered with this batch.
	TailReadAt time.Time
	// Missed is the number of records that retention removed before this
	// reader got to them. The batch continues at the oldest one.
	Missed uint64
}

// Tailer follows a stream. It is not safe for concurrent use.
type Tailer struct {
	log    carobpulley.Log
	stream string
	next   uint64
	ids    map[string]struct{}
	// order holds the remembered ids in log order.
	order []string
}

// NewTailer returns a reader that starts at an offset, or at the oldest record
// if from is 0. It can't tell a second copy if the first is before from.
func NewTailer(log carobpulley.Log, stream string, from uint64) *Tailer {
	return &Tailer{log: log, stream: stream, next: from, ids: make(map[string]struct{})}
}

// Poll does one read that waits for a record until waitUntil. An error leaves
// the position as it is. KindInternal means that the log lost records: it ends
// before the position.
func (t *Tailer) Poll(ctx context.Context, waitUntil time.Time) (Batch, error) {
	const op = "poll"
	sentAt := time.Now()
	page, err := t.log.Read(ctx, t.stream, t.next, tailLimit, waitUntil)
	if err != nil {
		return Batch{}, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	if page.Next < t.next {
		return Batch{}, &Error{Op: op, Kind: carobpulley.KindInternal, Err: errors.Errorf("stream %s ends at %d, already read to %d", t.stream, page.Next, t.next)}
	}
	var b Batch
	if t.next > 0 && page.Oldest > t.next {
		b.Missed = page.Oldest - t.next
	}
	t.next = max(t.next, page.Oldest)
	for _, r := range page.Records {
		t.next = r.Offset + 1
		if t.remember(r.ID) {
			b.Records = append(b.Records, r)
		}
	}
	b.Next = t.next
	if t.next == page.Next {
		b.TailReadAt = sentAt
	}
	return b, nil
}

// Run polls until ctx ends and then returns its error. It hands each batch to
// deliver, empty ones included, and each error of a read to failed.
func (t *Tailer) Run(ctx context.Context, deliver func(Batch), failed func(error)) error {
	retry := newBackoff(firstBackoff)
	for ctx.Err() == nil {
		sentAt := time.Now()
		b, err := t.Poll(ctx, sentAt.Add(TailWait))
		switch {
		case ctx.Err() != nil:
		case err != nil:
			failed(err)
			sleep(ctx, retry.NextBackOff())
		default:
			retry.Reset()
			deliver(b)
			if !b.TailReadAt.IsZero() {
				sleep(ctx, TailInterval-time.Since(sentAt))
			}
		}
	}
	return ctx.Err()
}

// remember reports whether an id is new.
func (t *Tailer) remember(id string) bool {
	if _, ok := t.ids[id]; ok {
		return false
	}
	if len(t.order) == MaxIDs {
		delete(t.ids, t.order[0])
		t.order = t.order[1:]
	}
	t.ids[id] = struct{}{}
	t.order = append(t.order, id)
	return true
}

// newBackoff returns an exponential backoff without jitter: the log has few
// writers and readers per stream, and their times should be reproducible.
func newBackoff(first time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = maxBackoff
	b.Multiplier = 2
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
