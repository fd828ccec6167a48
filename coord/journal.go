package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/jobs"
)

const (
	// appendInterval is the shortest time between two appends to one shard; it batches
	// more records into each call.
	appendInterval = 8 * time.Millisecond
	// appendBackoff is the pause after a failed append. It doubles up to
	// appendBackoffMax while the outcome of the append is unknown, so that a store that
	// recovers is not overloaded by retries.
	appendBackoff    = 50 * time.Millisecond
	appendBackoffMax = 400 * time.Millisecond
	// storeUnavailableAfter is how long appends may fail before new jobs are refused at
	// once.
	storeUnavailableAfter = 250 * time.Millisecond
	// storeRetryAfter is the time since the last failure after which new jobs are
	// accepted again, so that their appends probe the store.
	storeRetryAfter = 600 * time.Millisecond
)

// journal appends the changes of one shard to its partition, one append at a time.
type journal struct {
	c         *Coordinator
	partition carobpulley.Partition
	writer    carobpulley.Writer
	wakeup    chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	// failingSince is the time of the first failure since the last successful append;
	// zero while appends succeed. The coordinator's lock guards it.
	failingSince time.Time
	// lastFailureAt is the time of the last failure.
	lastFailureAt time.Time
	appending     bool
}

func newJournal(c *Coordinator, partition carobpulley.Partition, epoch uint64) *journal {
	ctx, cancel := context.WithCancel(c.baseCtx)
	return &journal{
		c:         c,
		partition: partition,
		writer:    carobpulley.Writer{Producer: producer, Epoch: epoch, Sequence: 1},
		wakeup:    make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
}

func (j *journal) wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

func (j *journal) run() {
	for {
		select {
		case <-j.ctx.Done():
			return
		case <-j.wakeup:
		}
		sent := time.Now()
		if !j.appendNext() {
			return
		}
		sleep(j.ctx, appendInterval-time.Since(sent))
	}
}

// appendNext collects and appends one batch. It reports false if the shard is no longer
// owned.
func (j *journal) appendNext() bool {
	c := j.c
	c.lock()
	b, err := c.table.NextBatch(j.partition.Number)
	j.appending = b != nil
	c.mu.Unlock()
	if err != nil {
		c.log.Error().Err(err).Msg("encoding a batch of shard records failed")
		return true
	}
	if b == nil {
		return true
	}
	return j.appendWithRetry(b)
}

// appendWithRetry repeats one append until its outcome is known. It reports false if the
// shard is no longer owned. Once an attempt got no answer, a refusal of a later one does not
// show that nothing is stored: another batch under the same sequence number would then get the
// answer to this one, and be lost.
func (j *journal) appendWithRetry(b *jobs.Batch) bool {
	c := j.c
	backoff := appendBackoff
	unanswered := false
	for {
		sent := c.clock.Now()
		err := j.appendOnce(b)
		now := c.clock.Now()
		c.cfg.Meter.Observe("append", now.Sub(sent))
		if err == nil {
			j.handleCommit(now, b)
			return true
		}
		if j.ctx.Err() != nil {
			return false
		}
		c.recordStoreError("append", err)
		kind := carobpulley.KindOf(err)
		rejected := kind == carobpulley.KindUnavailable || kind == carobpulley.KindGone
		switch {
		case rejected && !unanswered:
			j.handleRejected(now, b)
			sleep(j.ctx, backoff)
			j.wake()
			return j.ctx.Err() == nil
		case rejected || kind == carobpulley.KindUnknown:
			unanswered = true
			j.recordFailure(now)
			sleep(j.ctx, backoff)
			backoff = min(2*backoff, appendBackoffMax)
		default:
			j.releaseShard(err)
			return false
		}
	}
}

func (j *journal) appendOnce(b *jobs.Batch) error {
	call, cancel := context.WithTimeout(j.ctx, appendTimeout)
	defer cancel()
	_, err := j.c.store.AppendFenced(call, j.partition, j.writer, b.Records)
	return err
}

func (j *journal) handleCommit(now time.Time, b *jobs.Batch) {
	c := j.c
	c.lock()
	defer c.mu.Unlock()
	j.writer.Sequence++
	j.failingSince = time.Time{}
	j.appending = false
	if c.journals[j.partition.Number] != j {
		return
	}
	for _, s := range c.table.CommitBatch(now, b) {
		c.notifyWaiters(s.Job, waitResult{stored: s})
	}
	c.flush()
}

// handleRejected returns the batch of an append that had no effect to the table. Its
// submissions are not stored, so callers that wait for them can withdraw them.
func (j *journal) handleRejected(now time.Time, b *jobs.Batch) {
	j.recordFailure(now)
	c := j.c
	c.lock()
	defer c.mu.Unlock()
	j.appending = false
	if c.journals[j.partition.Number] == j {
		c.table.AbortBatch(b)
	}
}

func (j *journal) recordFailure(now time.Time) {
	j.c.lock()
	defer j.c.mu.Unlock()
	if j.failingSince.IsZero() {
		j.failingSince = now
	}
	j.lastFailureAt = now
}

// storeUnavailable reports whether appends have failed for longer than
// storeUnavailableAfter and the last failure is recent. The caller holds the
// coordinator's lock.
func (j *journal) storeUnavailable(now time.Time) bool {
	return !j.failingSince.IsZero() && now.Sub(j.failingSince) > storeUnavailableAfter && now.Sub(j.lastFailureAt) < storeRetryAfter
}

// releaseShard releases the shard after an append error that retries cannot resolve:
// another owner writes to the partition, or the sequence is broken. In the latter case
// this process may claim the shard again under a new epoch.
func (j *journal) releaseShard(err error) {
	c := j.c
	c.lock()
	defer c.mu.Unlock()
	if c.journals[j.partition.Number] != j {
		return
	}
	c.releaseShard(j.partition.Number, err.Error())
	if h := c.health[j.partition.Number]; h != nil {
		h.reason = "its owner can no longer append to the partition"
	}
}
