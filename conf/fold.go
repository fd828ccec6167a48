package conf

import (
	"slices"
	"time"

	"carobpulley"
)

const (
	// FirstOffset is the offset of the first record ever appended to a stream.
	FirstOffset = 1
	// MaxHistory is the number of recent changes that a fold keeps.
	MaxHistory = 200
	// MaxHistoryBytes bounds the total size of the documents kept for History; the
	// oldest are dropped first. The current document is not counted.
	MaxHistoryBytes = 32 << 20
	// snapshotsPerRetention is the number of snapshots per retention time, each of
	// which writes the current document again before it expires.
	snapshotsPerRetention = 3
)

// Fold applies the records of the config stream. It is not safe for
// concurrent use.
//
// A change is accepted if its base version is the current one. The decision
// depends on the log alone, so all folds that have read up to the same offset
// agree. A fold that could not read from FirstOffset starts from a snapshot whose
// position is still retained and continues at that position, not at the
// snapshot's offset: records between the two may contain accepted changes.
type Fold struct {
	// next is the offset to read from.
	next uint64
	// oldest is the oldest offset known to be retained.
	oldest uint64
	// complete is set while state includes all records before next. Otherwise
	// changes cannot be decided.
	complete bool
	state    state
	newest   newestVersion
	// newerFormat is set once a record of a newer format was read.
	newerFormat bool
	// lastSnapshotAt is the time of the newest snapshot record by the log's clock.
	lastSnapshotAt time.Time
	// confirmed is the largest version that a record reports as confirmed.
	confirmed uint64
	// documents holds the documents of recent versions for History.
	documents     map[uint64][]byte
	documentBytes int
}

// state is the result of applying all records before an offset.
type state struct {
	version  uint64
	document []byte
	// recent holds the latest decisions in log order.
	recent []Result
}

// newestVersion is the newest version seen. It never decreases, even while the
// fold replays older records.
type newestVersion struct {
	version  uint64
	document []byte
	// parsedVersion is the version whose document gave cat or err.
	parsedVersion uint64
	cat           *carobpulley.Catalogue
	err           error
}

func (s *newestVersion) parse() {
	s.parsedVersion = s.version
	cat, err := Parse(s.document)
	s.err = err
	if err == nil {
		cat.Version = s.version
		s.cat = cat
	}
}

// NewFold returns a fold at version 0 that has read nothing.
func NewFold() *Fold {
	f := &Fold{next: FirstOffset, complete: true, documents: map[uint64][]byte{}}
	f.newest.cat = &carobpulley.Catalogue{}
	return f
}

// Next returns the offset to read from. It can move back after a snapshot.
func (f *Fold) Next() uint64 { return f.next }

// CanDecide reports whether the fold can decide on changes. If retention removed
// records before they were read, it cannot until it gets a snapshot from the log or
// a peer. Once it has read a record of a newer format, it never can again.
func (f *Fold) CanDecide() bool { return f.complete }

// Version returns the newest version seen.
func (f *Fold) Version() uint64 { return f.newest.version }

// Document returns the document of Version. Callers must not modify it.
func (f *Fold) Document() []byte { return f.newest.document }

// Catalogue returns Version in parsed form. If its document cannot be parsed, the
// result is the last one that a call of Catalogue parsed, with an error; the
// process then does not have Version in force and reports that to its peers.
//
// Parsing is deferred to the call: a reader that catches up on a day of changes
// would otherwise parse thousands of outdated documents.
func (f *Fold) Catalogue() (*carobpulley.Catalogue, error) {
	if f.newest.parsedVersion != f.newest.version {
		f.newest.parse()
	}
	return f.newest.cat, f.newest.err
}

// Apply folds the page that a read from an offset returned, and returns the new
// decisions. Pages that were read before have no effect, and neither has a page
// that starts after Next, which would leave a gap.
func (f *Fold) Apply(from uint64, page carobpulley.Page) []Result {
	if from > f.next || f.newerFormat {
		return nil
	}
	f.oldest = max(f.oldest, page.Oldest)
	if page.Oldest > f.next {
		f.complete = false
		f.next = page.Oldest
	}
	var out []Result
	for i := 0; i < len(page.Records); i++ {
		rec := page.Records[i]
		if rec.Offset < f.next {
			continue
		}
		f.next = rec.Offset + 1
		wasComplete := f.complete
		out = append(out, f.applyRecord(rec)...)
		if f.newerFormat {
			break
		}
		if f.complete && !wasComplete {
			// The snapshot's position may be earlier in this page, or before it.
			if f.next < max(from, page.Oldest) {
				break
			}
			i = -1
		}
	}
	return out
}

func (f *Fold) applyRecord(rec carobpulley.Record) []Result {
	r, err := decode(rec.Data)
	if err != nil || r.Format <= 0 {
		return nil
	}
	if r.Format > Format {
		// A newer program may accept changes that this one cannot read.
		f.complete, f.newerFormat = false, true
		f.next = rec.Offset
		return nil
	}
	f.confirmed = max(f.confirmed, r.Confirmed)
	switch r.Kind {
	case kindChange:
		return f.applyChange(rec, r.change())
	case kindSnapshot:
		f.applySnapshot(rec, r)
	}
	return nil
}

func (f *Fold) applyChange(rec carobpulley.Record, c Change) []Result {
	if !f.complete || c.Validate() != nil {
		return nil
	}
	if slices.ContainsFunc(f.state.recent, func(r Result) bool { return r.ID == c.ID }) {
		return nil
	}
	res := Result{ID: c.ID, Base: c.Base, Author: c.Author, Time: c.Time, Offset: rec.Offset}
	if c.Base == f.state.version {
		f.state.version++
		f.state.document = c.Document
		res.Outcome = Accepted
	} else {
		res.Outcome = Conflict
	}
	res.Version = f.state.version
	f.state.recent = appendRecent(f.state.recent, res)
	f.updateNewest()
	return []Result{res}
}

func (f *Fold) applySnapshot(rec carobpulley.Record, r record) {
	s, err := r.snapshot()
	if err != nil || s.Position > rec.Offset || s.Position < f.oldest {
		return
	}
	f.lastSnapshotAt = rec.Time
	if !f.complete {
		f.restore(s)
	}
}

// restore replaces the state by a snapshot's and moves to its position.
func (f *Fold) restore(s Snapshot) {
	f.state = state{version: s.Version, document: s.Document, recent: slices.Clone(s.Recent)}
	f.next = s.Position
	f.complete = true
	f.updateNewest()
}

// Adopt applies a snapshot received from a peer. The peer's version becomes the
// newest one if it is larger. The fold continues at the peer's position if it is
// behind that position or cannot decide on changes. Adopt reports whether
// Version increased.
func (f *Fold) Adopt(s Snapshot) bool {
	before := f.newest.version
	ahead := f.complete && s.Position > f.next
	restorable := !f.complete && s.Position >= f.oldest
	if (ahead || restorable) && !f.newerFormat {
		f.restore(s)
	}
	f.setNewest(s.Version, s.Document)
	return f.newest.version > before
}

// Snapshot returns the state for a snapshot record or a peer. It returns false
// while the fold cannot decide on changes or its state is older than Version.
func (f *Fold) Snapshot() (Snapshot, bool) {
	if !f.complete || f.state.version < f.newest.version {
		return Snapshot{}, false
	}
	return Snapshot{
		Position: f.next,
		Version:  f.state.version,
		Document: f.state.document,
		Recent:   slices.Clone(f.state.recent),
	}, true
}

// SnapshotDue reports whether a snapshot record should be written: a third of
// the retention time has passed since the newest one. The comparison of this
// process's clock with the log's only schedules the record; nothing else depends
// on it.
func (f *Fold) SnapshotDue(now time.Time, retention time.Duration) bool {
	if _, ok := f.Snapshot(); !ok || f.state.version == 0 {
		return false
	}
	return now.Sub(f.lastSnapshotAt) >= retention/snapshotsPerRetention
}

// Outcome returns the decision on a change id. It returns false if the id is not
// among the recent ones, because it was not read yet or too long ago, or if the
// fold cannot decide on changes.
func (f *Fold) Outcome(id string) (Result, bool) {
	i := slices.IndexFunc(f.state.recent, func(r Result) bool { return r.ID == id })
	if !f.complete || i < 0 {
		return Result{}, false
	}
	return f.state.recent[i], true
}

// History returns the recent changes in log order, at most MaxHistory.
func (f *Fold) History() []Result { return slices.Clone(f.state.recent) }

// DocumentAt returns the document of a recent version. It returns false if this
// fold never read the document or has dropped it.
func (f *Fold) DocumentAt(version uint64) ([]byte, bool) {
	if version == f.newest.version && version > 0 {
		return f.newest.document, true
	}
	doc, ok := f.documents[version]
	return doc, ok
}

// updateNewest sets the newest version from the state if that is larger.
func (f *Fold) updateNewest() {
	f.setNewest(f.state.version, f.state.document)
	if f.state.version < f.newest.version {
		// The fold got a newer version from a peer before. The document read from
		// the log is still needed for rollbacks and for its list of entries.
		f.keep(f.state.version, f.state.document)
	}
}

func (f *Fold) setNewest(version uint64, document []byte) {
	if version <= f.newest.version {
		return
	}
	f.keep(f.newest.version, f.newest.document)
	f.newest.version = version
	f.newest.document = document
}

// keep stores the document of an earlier version, and drops the oldest documents
// beyond MaxHistory and MaxHistoryBytes.
func (f *Fold) keep(version uint64, document []byte) {
	if _, stored := f.documents[version]; stored || version == 0 {
		return
	}
	f.documents[version] = document
	f.documentBytes += len(document)
	for len(f.documents) > MaxHistory || f.documentBytes > MaxHistoryBytes {
		oldest := version
		for v := range f.documents {
			oldest = min(oldest, v)
		}
		f.documentBytes -= len(f.documents[oldest])
		delete(f.documents, oldest)
	}
}

func appendRecent(recent []Result, r Result) []Result {
	recent = append(recent, r)
	if len(recent) > MaxHistory {
		recent = slices.Delete(recent, 0, len(recent)-MaxHistory)
	}
	return recent
}
