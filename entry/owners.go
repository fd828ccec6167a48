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

// maxOwnersRecords bounds the claims kept for peers that cannot read the log.
// A peer further behind reads the log itself.
const maxOwnersRecords = 4096

// firstOffset is the offset of the first record of a stream.
const firstOffset = 1

// owners are the ownership claims read from the log or from peers.
type owners struct {
	records []inner.OwnersRecord
	// next is the offset after the newest record.
	next uint64
	// readAt and configReadAt are when the newest reads of the two streams'
	// tails were sent; both streams together make the log's vote.
	readAt       time.Time
	configReadAt time.Time
	// fromStart is set if the first read found the stream empty, so that this
	// entry has been here since before the first owner.
	fromStart bool
}

// add keeps a record and reports whether it is new.
func (o *owners) add(r inner.OwnersRecord) bool {
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

// after returns the records from an offset on.
func (o *owners) after(offset uint64) []inner.OwnersRecord {
	i := len(o.records)
	for i > 0 && o.records[i-1].Offset >= offset {
		i--
	}
	return o.records[i:]
}

// ownersLoop follows the owners stream until ctx ends.
func (e *Entry) ownersLoop(ctx context.Context) error {
	t := stream.NewTailer(e.log, carobpulley.StreamOwners, 0)
	return t.Run(ctx, e.ownersRead, func(err error) {
		e.noteLog(err)
		e.logger.Warn().Err(err).Msg("the log did not answer")
	})
}

func (e *Entry) ownersRead(b stream.Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, rec := range b.Records {
		r, err := decodeOwners(rec)
		if err != nil {
			e.logger.Error().Err(err).Uint64("offset", rec.Offset).Msg("ownership claim cannot be read")
			continue
		}
		e.ownersRecord(now, r)
	}
	if !b.TailReadAt.IsZero() {
		if e.owners.readAt.IsZero() {
			e.owners.fromStart = len(e.owners.records) == 0 && b.Missed == 0 && b.Next <= firstOffset
		}
		e.owners.next = max(e.owners.next, b.Next)
		e.owners.readAt = b.TailReadAt
		e.logVote(now)
	}
	e.pump(now)
}

func decodeOwners(rec carobpulley.Record) (inner.OwnersRecord, error) {
	var m wire.OwnersRecord
	if err := proto.Unmarshal(rec.Data, &m); err != nil {
		return inner.OwnersRecord{}, err
	}
	m.Offset = rec.Offset
	m.Id = rec.ID
	return inner.OwnersRecordFromWire(&m)
}

// ownersFromPeer takes the claims that a peer read and this entry did not.
func (e *Entry) ownersFromPeer(now time.Time, a inner.ContactAnswer) {
	for _, r := range a.Claims {
		e.ownersRecord(now, r)
	}
}

func (e *Entry) ownersRecord(now time.Time, r inner.OwnersRecord) {
	if !e.owners.add(r) {
		return
	}
	e.stepAuthority(now, carobpulley.ClaimRead{
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Shards:      r.Shards,
	})
}

// logVote tells the authority when both streams were last read to their ends.
func (e *Entry) logVote(now time.Time) {
	at := e.owners.readAt
	if e.owners.configReadAt.Before(at) {
		at = e.owners.configReadAt
	}
	if at.IsZero() {
		return
	}
	e.stepAuthority(now, carobpulley.LogRead{SentAt: at})
}

// appendClaim appends an ownership claim. The authority repeats it if it is
// not read back.
func (e *Entry) appendClaim(a carobpulley.AppendClaim) {
	e.goDo(func() {
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
