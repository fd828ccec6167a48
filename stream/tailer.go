package stream

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"carobpulley"
)

const (
	// TailWait is how long a read of Run waits at the tail. The log's vote is valid
	// for 800 ms from the sending of a read (design section 4), which is enough for
	// three reads.
	TailWait = 250 * time.Millisecond
	// MinTailInterval is the minimum time between the sending of two reads of Run at
	// the tail, so that a busy stream does not cause one read per record.
	MinTailInterval = 20 * time.Millisecond
	// DedupWindow is the number of record ids that a Tailer keeps to drop
	// duplicates. At the 50 records/s of one group appender it covers 21 min;
	// duplicates occur only within the writer's retries.
	DedupWindow = 1 << 16

	pageLimit  = 256
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Batch is the result of one read of a stream.
type Batch struct {
	// Records holds the new records in log order, without duplicates of a record id.
	Records []carobpulley.Record
	// Next is the offset after the batch.
	Next uint64
	// TailReadAt is the time at which the read was sent, or zero if it did not reach
	// the tail. After this batch, all records that were in the log at that time have
	// been delivered.
	TailReadAt time.Time
	// Missed is the number of records that retention removed before this reader read
	// them. The batch continues at the oldest retained record.
	Missed uint64
}

// Tailer follows a stream. It is not safe for concurrent use.
type Tailer struct {
	log    carobpulley.Log
	stream string
	next   uint64
	ids    map[string]struct{}
	// idOrder holds the same ids in log order.
	idOrder []string
}

// NewTailer returns a reader that starts at an offset, or at the oldest record if
// from is 0. It cannot detect a duplicate whose first copy is before from.
func NewTailer(log carobpulley.Log, stream string, from uint64) *Tailer {
	return &Tailer{log: log, stream: stream, next: from, ids: make(map[string]struct{})}
}

// Poll does one read that waits for a record until waitUntil. An error does not
// change the position. KindInternal means that the log lost records: it ends before
// the position.
func (t *Tailer) Poll(ctx context.Context, waitUntil time.Time) (Batch, error) {
	const op = "poll"
	sentAt := time.Now()
	page, err := t.log.Read(ctx, t.stream, t.next, pageLimit, waitUntil)
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
		if t.markSeen(r.ID) {
			b.Records = append(b.Records, r)
		}
	}
	b.Next = t.next
	if t.next == page.Next {
		b.TailReadAt = sentAt
	}
	return b, nil
}

// Run polls until ctx ends and then returns its error. It passes each batch to
// deliver, including empty ones, and each error of a read to onError.
func (t *Tailer) Run(ctx context.Context, deliver func(Batch), onError func(error)) error {
	retry := newBackoff(minBackoff)
	for ctx.Err() == nil {
		sentAt := time.Now()
		b, err := t.Poll(ctx, sentAt.Add(TailWait))
		switch {
		case ctx.Err() != nil:
		case err != nil:
			onError(err)
			sleep(ctx, retry.NextBackOff())
		default:
			retry.Reset()
			deliver(b)
			if !b.TailReadAt.IsZero() {
				sleep(ctx, MinTailInterval-time.Since(sentAt))
			}
		}
	}
	return ctx.Err()
}

// markSeen adds an id to the ones seen and reports whether it is new.
func (t *Tailer) markSeen(id string) bool {
	if _, ok := t.ids[id]; ok {
		return false
	}
	if len(t.idOrder) == DedupWindow {
		delete(t.ids, t.idOrder[0])
		t.idOrder = t.idOrder[1:]
	}
	t.ids[id] = struct{}{}
	t.idOrder = append(t.idOrder, id)
	return true
}

// newBackoff returns an exponential backoff without jitter, since the log has few
// writers and readers per stream and their timing should be reproducible.
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
