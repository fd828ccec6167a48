// Package owner holds the state machines of an entry that owns shards of the key space: the
// authority, the map of shards to owners and the job table.
//
// The package is pure: it takes events and times and returns actions. It holds no
// goroutine, clock or I/O.
package owner
