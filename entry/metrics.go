package entry

import (
	"sync/atomic"

	"github.com/go-json-experiment/json"
)

// counters count events since the entry's start.
type counters struct {
	jobs           atomic.Int64
	dispatches     atomic.Int64
	refused        atomic.Int64
	lost           atomic.Int64
	queries        atomic.Int64
	retries        atomic.Int64
	contacts       atomic.Int64
	witness        atomic.Int64
	journalRefused atomic.Int64
	heldRefused    atomic.Int64
}

// metrics is the JSON document that expvar publishes.
type metrics struct {
	Jobs           int64  `json:"jobs_ended"`
	Dispatches     int64  `json:"dispatches"`
	Refused        int64  `json:"dispatches_refused"`
	Lost           int64  `json:"dispatches_lost"`
	Queries        int64  `json:"queries"`
	Retries        int64  `json:"retries"`
	Contacts       int64  `json:"contacts"`
	Witness        int64  `json:"witness_messages"`
	JournalRefused int64  `json:"journal_refused"`
	HeldRefused    int64  `json:"held_refused"`
	HeldBytes      int    `json:"held_bytes"`
	Queued         int    `json:"tasks_queued"`
	InFlight       int    `json:"tasks_in_flight"`
	Agents         int    `json:"agents"`
	ConfigVersion  uint64 `json:"config_version"`
}

// Metrics returns the entry's counters as JSON, for expvar.
func (e *Entry) Metrics() string {
	e.mu.Lock()
	m := metrics{
		Queued:        e.admitter.Len(),
		InFlight:      len(e.inFlight),
		Agents:        len(e.agents),
		ConfigVersion: e.cat.Version,
		HeldBytes:     e.witness.Bytes(),
	}
	e.mu.Unlock()
	m.Jobs = e.counters.jobs.Load()
	m.Dispatches = e.counters.dispatches.Load()
	m.Refused = e.counters.refused.Load()
	m.Lost = e.counters.lost.Load()
	m.Queries = e.counters.queries.Load()
	m.Retries = e.counters.retries.Load()
	m.Contacts = e.counters.contacts.Load()
	m.Witness = e.counters.witness.Load()
	m.JournalRefused = e.counters.journalRefused.Load()
	m.HeldRefused = e.counters.heldRefused.Load()
	b, err := json.Marshal(m)
	if err != nil {
		return "{}"
	}
	return string(b)
}
