package coord

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/jobs"
)

const (
	// appendEvery is the shortest time between two appends to one shard, so that
	// more records share each call.
	appendEvery = 8 * time.Millisecond
	// appendPause follows an append that the store refused; it doubles up to
	// appendPauseMax, so that a store that comes back sees no rush.
	appendPause    = 50 * time.Millisecond
	appendPauseMax = 400 * time.Millisecond
	// storeAway is how long appends may fail until new jobs are refused at once.
	storeAway = 250 * time.Millisecond
	// storeAgain is the time after the last failure at which a new job tries the
	// store again.
	storeAgain = 600 * time.Millisecond
)

// journal appends what changes in one shard, one append at a time.
type journal struct {
	c      *Coordinator
	part   carobpulley.Partition
	writer carobpulley.Writer
	kick   chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	// failingSince is when the first of the failures in a row was seen; zero
	// while the store answers. The coordinator's lock guards it.
	failingSince time.Time
	// failedAt is when the last failure was seen.
	failedAt time.Time
	busy     bool
}

func newJournal(c *Coordinator, part carobpulley.Partition, epoch uint64) *journal {
	ctx, stop := context.WithCancel(c.hard)
	return &journal{
		c:      c,
		part:   part,
		writer: carobpulley.Writer{Producer: producer, Epoch: epoch, Sequence: 1},
		kick:   make(chan struct{}, 1),
		ctx:    ctx,
		stop:   stop,
	}
}

func (j *journal) wake() {
	select {
	case j.kick <- struct{}{}:
	default:
	}
}

func (j *journal) run() {
	for {
		select {
		case <-j.ctx.Done():
			return
		case <-j.kick:
		}
		sent := time.Now()
		if !j.next() {
			return
		}
		pause(j.ctx, appendEvery-time.Since(sent))
	}
}

// next stores one batch. It reports false if the shard is lost.
func (j *journal) next() bool {
	c := j.c
	c.mu.Lock()
	b, err := c.table.NextBatch(j.part.Number)
	j.busy = b != nil
	c.mu.Unlock()
	if err != nil {
		c.log.Error().Err(err).Msg("batch not encoded")
		return true
	}
	if b == nil {
		return true
	}
	return j.store(b)
}

// store repeats one append until it is known to be done or not done.
func (j *journal) store(b *jobs.Batch) bool {
	c := j.c
	backoff := appendPause
	for {
		sent := time.Now()
		err := j.append(b)
		now := time.Now()
		c.cfg.Meter.Observe("append", now.Sub(sent))
		if err == nil {
			j.committed(now, b)
			return true
		}
		if j.ctx.Err() != nil {
			return false
		}
		c.storeTrouble("append", err)
		switch carobpulley.KindOf(err) {
		case carobpulley.KindUnavailable, carobpulley.KindGone:
			j.refused(now, b)
			pause(j.ctx, backoff)
			j.wake()
			return j.ctx.Err() == nil
		case carobpulley.KindUnknown:
			j.failing(now)
			pause(j.ctx, backoff)
			backoff = min(2*backoff, appendPauseMax)
		default:
			j.lost(err)
			return false
		}
	}
}

func (j *journal) append(b *jobs.Batch) error {
	call, cancel := context.WithTimeout(j.ctx, appendLimit)
	defer cancel()
	_, err := j.c.store.AppendFenced(call, j.part, j.writer, b.Records)
	return err
}

func (j *journal) committed(now time.Time, b *jobs.Batch) {
	c := j.c
	c.mu.Lock()
	defer c.mu.Unlock()
	j.writer.Sequence++
	j.failingSince = time.Time{}
	j.busy = false
	if c.journals[j.part.Number] != j {
		return
	}
	for _, s := range c.table.CommitBatch(now, b) {
		c.tell(s.Job, waited{stored: s})
	}
	c.flush()
}

// refused takes an append of which the store did nothing. Submissions that wait
// are answered at once: they are not stored and never run.
func (j *journal) refused(now time.Time, b *jobs.Batch) {
	j.failing(now)
	c := j.c
	c.mu.Lock()
	defer c.mu.Unlock()
	j.busy = false
	if c.journals[j.part.Number] == j {
		c.table.AbortBatch(b)
	}
}

func (j *journal) failing(now time.Time) {
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	if j.failingSince.IsZero() {
		j.failingSince = now
	}
	j.failedAt = now
}

// away reports whether the store has failed for too long to take new jobs. The
// caller holds the coordinator's lock.
func (j *journal) away(now time.Time) bool {
	return !j.failingSince.IsZero() && now.Sub(j.failingSince) > storeAway && now.Sub(j.failedAt) < storeAgain
}

// lost gives up the shard: another owner writes, or the sequence is broken. With
// the latter this process may claim it again, under a new epoch.
func (j *journal) lost(err error) {
	c := j.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.journals[j.part.Number] != j {
		return
	}
	c.drop(j.part.Number, err.Error())
	if w := c.watch[j.part.Number]; w != nil {
		w.why = "its owner lost the partition"
	}
}
