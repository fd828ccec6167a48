package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/stream"
	"carobpulley/wire"
)

// maxOwnersRecords bounds the ownership claims stored for peers that cannot read the
// log. A peer that lags further behind reads the log itself.
const maxOwnersRecords = 4096

// firstOffset is the offset of the first record of a stream.
const firstOffset = 1

// ownershipClaims holds the ownership claims read from the log or received from peers.
type ownershipClaims struct {
	records []inner.OwnersRecord
	// next is the offset after the newest record.
	next uint64
	// readAt and configReadAt are the times at which the last reads that reached the
	// ends of the owners and config streams were sent. The older of the two counts as
	// the log's vote for this entry's authority.
	readAt       time.Time
	configReadAt time.Time
	// readFromStart is set if the first read found the stream empty, so that this
	// entry was started before the first shard had an owner.
	readFromStart bool
}

// add stores a record and reports whether it is new.
func (o *ownershipClaims) add(r inner.OwnersRecord) bool {
	if r.Offset < o.next {
		return false
	}
	o.next = r.Offset + 1
	o.records = append(o.records, r)
	if len(o.records) > maxOwnersRecords {
		o.records = o.records[len(o.records)-maxOwnersRecords:]
	}
	return true
}

// from returns the records at or after an offset.
func (o *ownershipClaims) from(offset uint64) []inner.OwnersRecord {
	i := len(o.records)
	for i > 0 && o.records[i-1].Offset >= offset {
		i--
	}
	return o.records[i:]
}

// ownersLoop follows the owners stream until ctx ends.
func (e *Entry) ownersLoop(ctx context.Context) error {
	t := stream.NewTailer(e.log, carobpulley.StreamOwners, 0)
	return t.Run(ctx, e.handleOwnersBatch, func(err error) {
		e.recordLogResult(err)
		e.logger.Warn().Err(err).Msg("the log did not answer")
	})
}

func (e *Entry) handleOwnersBatch(b stream.Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, rec := range b.Records {
		r, err := decodeOwnersRecord(rec)
		if err != nil {
			e.logger.Error().Err(err).Uint64("offset", rec.Offset).Msg("ownership claim cannot be read")
			continue
		}
		e.applyOwnersRecord(now, r)
	}
	if !b.TailReadAt.IsZero() {
		if e.ownership.readAt.IsZero() {
			e.ownership.readFromStart = len(e.ownership.records) == 0 && b.Missed == 0 && b.Next <= firstOffset
		}
		e.ownership.next = max(e.ownership.next, b.Next)
		e.ownership.readAt = b.TailReadAt
		e.reportLogRead(now)
	}
	e.dispatchQueued(now)
}

func decodeOwnersRecord(rec carobpulley.Record) (inner.OwnersRecord, error) {
	var m wire.OwnersRecord
	if err := proto.Unmarshal(rec.Data, &m); err != nil {
		return inner.OwnersRecord{}, err
	}
	m.Offset = rec.Offset
	m.Id = rec.ID
	return inner.OwnersRecordFromWire(&m)
}

// applyPeerClaims applies the ownership claims in a peer's contact answer that this
// entry has not read.
func (e *Entry) applyPeerClaims(now time.Time, a inner.ContactAnswer) {
	for _, r := range a.Claims {
		e.applyOwnersRecord(now, r)
	}
}

func (e *Entry) applyOwnersRecord(now time.Time, r inner.OwnersRecord) {
	if !e.ownership.add(r) {
		return
	}
	e.stepAuthority(now, carobpulley.ClaimRead{
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Shards:      r.Shards,
	})
}

// reportLogRead reports to the authority when both streams were last read to their
// ends.
func (e *Entry) reportLogRead(now time.Time) {
	at := e.ownership.readAt
	if e.ownership.configReadAt.Before(at) {
		at = e.ownership.configReadAt
	}
	if at.IsZero() {
		return
	}
	e.stepAuthority(now, carobpulley.LogRead{SentAt: at})
}

// appendClaim appends an ownership claim to the log. The authority repeats the
// action if the claim is not read back.
func (e *Entry) appendClaim(a carobpulley.AppendClaim) {
	e.runBackground(func() {
		ctx, cancel := context.WithTimeout(e.ctx, logTimeout)
		defer cancel()
		id := e.newID()
		data, err := proto.Marshal(inner.OwnersRecordToWire(inner.OwnersRecord{
			ID:          id,
			Entry:       a.Entry,
			Incarnation: a.Incarnation,
			Shards:      a.Shards,
		}))
		if err != nil {
			e.logger.Error().Err(err).Msg("ownership claim cannot be encoded")
			return
		}
		if _, err := e.log.Append(ctx, carobpulley.StreamOwners, id, data); err != nil {
			e.logger.Warn().Err(err).Msg("ownership claim was not confirmed")
		}
	})
}
