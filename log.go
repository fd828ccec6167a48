package carobpulley

import (
	"context"
	"time"
)

// Names of the streams in the platform's log.
const (
	// StreamConfig holds the configuration records.
	StreamConfig = "config"
	// StreamOwners holds the ownership claims of shards.
	StreamOwners = "owners"
	// StreamJournalPrefix and an entry's name form the name of its journal.
	StreamJournalPrefix = "journal-"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	// ID is a unique id that the writer sets; readers discard a second record with
	// the same id.
	ID string
	// Time is when the log accepted the record, by the log's clock.
	Time time.Time
	Data []byte
}

// Page is the result of reading a part of a stream.
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
	// KindUnknown the record may have been added: read the stream before a retry.
	Append(ctx context.Context, stream, id string, data []byte) (uint64, error)
	// Read returns up to limit records from an offset. It waits for the first one
	// until ctx ends or waitUntil has passed. If from is below the offset of the
	// oldest record, the page starts at the oldest record.
	Read(ctx context.Context, stream string, from uint64, limit int, waitUntil time.Time) (Page, error)
}
