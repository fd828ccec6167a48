package carobpulley

import (
	"context"
	"time"
)

// Names of the topics in the platform's store.
const (
	// TopicControl carries ownership claims and the addresses of processes.
	TopicControl = "keyed.control"
	// TopicJobs carries the jobs, one partition for each shard.
	TopicJobs = "keyed.jobs"
)

// KeyedRecord is a record of a topic that retains the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is nil for a record that deletes the key.
	Value  []byte
	Offset int64
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Writer identifies the writer of an append to a partition. The store refuses
// an epoch below the highest it has seen.
type Writer struct {
	Producer string
	Epoch    uint64
	// Sequence numbers the appends of an epoch from 0. A repeated append gets the
	// same answer as the first one.
	Sequence int64
}

// Store is the platform's store: partitions of records with offsets and
// conditional appends. All methods return an Error of this package:
// KindUnavailable and KindGone mean that nothing was done, KindUnknown that the
// call may have taken effect, KindStaleEpoch that a writer with a newer epoch
// exists, and KindConflict that the partition does not end at the caller's offset
// or that the sequence has a gap.
type Store interface {
	// Append adds records unconditionally.
	Append(ctx context.Context, p Partition, records []KeyedRecord) error
	// AppendAt adds records if the partition ends at the offset, and returns its
	// new end.
	AppendAt(ctx context.Context, p Partition, at int64, records []KeyedRecord) (int64, error)
	// AppendFenced adds records as the given writer and returns the new end of the
	// partition. Without records it only raises the epoch.
	AppendFenced(ctx context.Context, p Partition, w Writer, records []KeyedRecord) (int64, error)
	// Newest returns the newest record of every key, and where the partition ended
	// before the first page was read.
	Newest(ctx context.Context, p Partition) ([]KeyedRecord, int64, error)
	// Tail returns the records from an offset on and the offset to continue from.
	// It waits up to wait for the first record. It returns KindExpired if the
	// records from that offset are no longer retained: Newest returns those that
	// remain.
	Tail(ctx context.Context, p Partition, from int64, wait time.Duration) ([]KeyedRecord, int64, error)
}
