package carobpulley

import (
	"context"
	"time"
)

// Names of the streams in the platform's log.
const (
	// StreamConfig carries configuration records.
	StreamConfig = "config"
	// StreamOwners carries ownership claims of shards.
	StreamOwners = "owners"
	// StreamJournalPrefix is followed by an entry's name.
	StreamJournalPrefix = "journal-"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	// ID is the writer's unique id; a reader drops the second copy.
	ID string
	// Time is when the log took the record, by the log's clock.
	Time time.Time
	Data []byte
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Oldest is the offset of the oldest record that is retained.
	Oldest uint64
	// Next is the offset of the next record to be appended.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After an error of kind
	// KindUnknown the record may have been added: read before the next try.
	Append(ctx context.Context, stream, id string, data []byte) (uint64, error)
	// Read returns up to limit records from an offset, and waits until ctx ends
	// or until waitUntil for the first one. If from is older than the oldest
	// record the page starts at the oldest one.
	Read(ctx context.Context, stream string, from uint64, limit int, waitUntil time.Time) (Page, error)
}
