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

// KeyedRecord is a record of a topic that keeps the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is nil for a record that drops the key.
	Value  []byte
	Offset int64
}

// Partition names a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Writer identifies the writer of an append to a partition. The store refuses
// an epoch below the highest it has seen.
type Writer struct {
	Producer string
	Epoch    uint64
	// Sequence numbers the appends of an epoch from 0. A repeated append is
	// answered as the first one was.
	Sequence int64
}

// Store is the platform's store: partitions of records with offsets, written
// under conditions. All methods return an Error of this package: KindUnavailable
// and KindGone say that nothing was done, KindUnknown that it may have been done,
// KindStaleEpoch that a newer epoch writes, KindConflict that the partition does
// not end where the caller said or that the sequence has a gap.
type Store interface {
	// Append adds records without a condition.
	Append(ctx context.Context, p Partition, records []KeyedRecord) error
	// AppendAt adds records if the partition ends at the offset, and returns
	// where it ends then.
	AppendAt(ctx context.Context, p Partition, at int64, records []KeyedRecord) (int64, error)
	// AppendAs adds records as a fenced writer and returns where the partition
	// ends then. Without records it raises the epoch.
	AppendAs(ctx context.Context, p Partition, w Writer, records []KeyedRecord) (int64, error)
	// Newest returns the newest record of every key, and the end of the partition
	// before the first page was read.
	Newest(ctx context.Context, p Partition) ([]KeyedRecord, int64, error)
	// Tail returns the records from an offset on, waiting until wait has passed for
	// the first one, and the offset to continue from. It returns KindExpired
	// if the records from that offset are gone: Newest has what remains.
	Tail(ctx context.Context, p Partition, from int64, wait time.Duration) ([]KeyedRecord, int64, error)
}
