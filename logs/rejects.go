package logs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/meter"
)

// rejectLogInterval is the least time between two lines on entries of one source: an endpoint's list
// is read many times a second.
const rejectLogInterval = time.Second

// Rejects counts and logs entries that a reader leaves out since they can't be read or can't be true.
// Its methods may be called concurrently, and on nil, which does nothing.
type Rejects struct {
	log   zerolog.Logger
	meter *meter.Set

	mu sync.Mutex
	// silentUntil and unlogged hold, by source, the time before which nothing is logged and the
	// number of entries without a line.
	silentUntil map[string]time.Time
	unlogged    map[string]int
}

// NewRejects returns a Rejects that counts in m and writes to log.
func NewRejects(log zerolog.Logger, m *meter.Set) *Rejects {
	return &Rejects{log: log, meter: m, silentUntil: make(map[string]time.Time), unlogged: make(map[string]int)}
}

// Add records n entries that were left out. entry names the entry, or the first of them, and err is
// what is wrong with it.
func (r *Rejects) Add(now time.Time, source string, n int, entry string, err error) {
	if r == nil {
		return
	}
	r.meter.Add(meter.Name("entries_rejected", source), int64(n))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[source] += n
	if now.Before(r.silentUntil[source]) {
		return
	}
	r.log.Warn().Err(err).Str("source", source).Str("entry", entry).Int("entries", r.unlogged[source]).Msg("entry left out")
	r.silentUntil[source] = now.Add(rejectLogInterval)
	delete(r.unlogged, source)
}
