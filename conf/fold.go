package conf

import (
	"slices"
	"time"

	"carobpulley"
)

const (
	// FirstOffset is the offset of the first record ever appended to a stream.
	FirstOffset = 1
	// MaxHistory is the number of recent changes that a fold remembers.
	MaxHistory = 200
	// MaxHistoryBytes bounds the documents kept for History; the oldest are
	// dropped first. The current document is not counted.
	MaxHistoryBytes = 32 << 20
	// snapshotParts is the part of the retention time after which the current
	// document is carried forward.
	snapshotParts = 3
)

// Fold applies the records of the config stream. It is not safe for
// concurrent use.
//
// A change is accepted if its base version is the current one. Only the log
// decides, so all folds that have read up to the same offset agree. A fold
// that did not read from FirstOffset starts from a snapshot whose position is
// still retained and reads on from that position; records between the position
// and the snapshot itself may hold accepted changes.
type Fold struct {
	next uint64
	// oldest is the oldest offset known to be retained.
	oldest uint64
	// known is set while the state below is what all records before next
	// amount to. Without it no change can be decided on.
	known  bool
	state  state
	serve  served
	newer  bool
	lastAt time.Time
	// confirmed is the largest version that a record tells to be confirmed.
	confirmed uint64
	// documents holds those of recent versions for History.
	documents     map[uint64][]byte
	documentBytes int
}

// state is what the records before an offset amount to.
type state struct {
	version  uint64
	document []byte
	// recent are the last decisions in log order.
	recent []Result
}

// served is the newest version ever seen; it never gets smaller, even while
// the fold replays older records.
type served struct {
	version  uint64
	document []byte
	// parsed is the version that cat and err are about.
	parsed uint64
	cat    *carobpulley.Catalogue
	err    error
}

func (s *served) parse() {
	s.parsed = s.version
	cat, err := Parse(s.document)
	s.err = err
	if err == nil {
		cat.Version = s.version
		s.cat = cat
	}
}

// NewFold returns a fold at version 0 that has read nothing.
func NewFold() *Fold {
	f := &Fold{next: FirstOffset, known: true, documents: map[uint64][]byte{}}
	f.serve.cat = &carobpulley.Catalogue{}
	return f
}

// Next is the offset to read from. It can move back after a snapshot.
func (f *Fold) Next() uint64 { return f.next }

// Known reports whether the fold can decide on changes. It is false after
// retention has overtaken the reader, until a snapshot or a peer helps, and
// for good once a record of a newer format was read.
func (f *Fold) Known() bool { return f.known }

// Version is the newest version seen.
func (f *Fold) Version() uint64 { return f.serve.version }

// Document is the document of Version. Callers don't change it.
func (f *Fold) Document() []byte { return f.serve.document }

// Catalogue returns Version in parsed form. If its document cannot be read, the
// result is the last one that a call of Catalogue could read, with an error; the
// process then does not have Version in force and says so to its peers.
//
// Parsing waits for the call: a reader that catches up on a day of changes would
// otherwise parse thousands of documents that are out of date.
func (f *Fold) Catalogue() (*carobpulley.Catalogue, error) {
	if f.serve.parsed != f.serve.version {
		f.serve.parse()
	}
	return f.serve.cat, f.serve.err
}

// Apply folds the page that a read from an offset returned and returns the new
// decisions. Pages that were read before are skipped without effect, and so is
// a page that starts after Next, which would leave a gap.
func (f *Fold) Apply(from uint64, page carobpulley.Page) []Result {
	if from > f.next || f.newer {
		return nil
	}
	f.oldest = max(f.oldest, page.Oldest)
	if page.Oldest > f.next {
		f.known = false
		f.next = page.Oldest
	}
	var out []Result
	for i := 0; i < len(page.Records); i++ {
		rec := page.Records[i]
		if rec.Offset < f.next {
			continue
		}
		f.next = rec.Offset + 1
		was := f.known
		out = append(out, f.record(rec)...)
		if f.newer {
			break
		}
		if f.known && !was {
			// The snapshot's position may be earlier in this page, or before it.
			if f.next < max(from, page.Oldest) {
				break
			}
			i = -1
		}
	}
	return out
}

func (f *Fold) record(rec carobpulley.Record) []Result {
	r, err := decode(rec.Data)
	if err != nil || r.Format <= 0 {
		return nil
	}
	if r.Format > Format {
		// A newer program may accept what this one cannot read.
		f.known, f.newer = false, true
		f.next = rec.Offset
		return nil
	}
	f.confirmed = max(f.confirmed, r.Confirmed)
	switch r.Kind {
	case kindChange:
		return f.change(rec, r.change())
	case kindSnapshot:
		f.snapshot(rec, r)
	}
	return nil
}

func (f *Fold) change(rec carobpulley.Record, c Change) []Result {
	if !f.known || c.Check() != nil {
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
	f.publish()
	return []Result{res}
}

func (f *Fold) snapshot(rec carobpulley.Record, r record) {
	s, err := r.snapshot()
	if err != nil || s.Position > rec.Offset || s.Position < f.oldest {
		return
	}
	f.lastAt = rec.Time
	if !f.known {
		f.load(s)
	}
}

// load sets the state and moves to its position.
func (f *Fold) load(s Snapshot) {
	f.state = state{version: s.Version, document: s.Document, recent: slices.Clone(s.Recent)}
	f.next = s.Position
	f.known = true
	f.publish()
}

// Adopt takes the state of a peer. It serves the peer's version if that is
// newer, and reads on from the peer's position if the fold is behind it or
// cannot decide. It reports whether the served version grew.
func (f *Fold) Adopt(s Snapshot) bool {
	before := f.serve.version
	ahead := f.known && s.Position > f.next
	lost := !f.known && s.Position >= f.oldest
	if (ahead || lost) && !f.newer {
		f.load(s)
	}
	f.serveIfNewer(s.Version, s.Document)
	return f.serve.version > before
}

// Snapshot returns the state for a snapshot record or a peer. It returns false
// while the fold cannot decide or is still at a version older than the served
// one.
func (f *Fold) Snapshot() (Snapshot, bool) {
	if !f.known || f.state.version < f.serve.version {
		return Snapshot{}, false
	}
	return Snapshot{
		Position: f.next,
		Version:  f.state.version,
		Document: f.state.document,
		Recent:   slices.Clone(f.state.recent),
	}, true
}

// SnapshotDue reports whether a snapshot record should be written, which is
// when a third of the retention time has passed since the newest one. The
// comparison of clocks only schedules the record; nothing else depends on it.
func (f *Fold) SnapshotDue(now time.Time, retention time.Duration) bool {
	if _, ok := f.Snapshot(); !ok || f.state.version == 0 {
		return false
	}
	return now.Sub(f.lastAt) >= retention/snapshotParts
}

// Outcome returns the decision on a change id. It returns false if the id is
// not among the recent ones: then it was not read yet, or too long ago.
func (f *Fold) Outcome(id string) (Result, bool) {
	i := slices.IndexFunc(f.state.recent, func(r Result) bool { return r.ID == id })
	if !f.known || i < 0 {
		return Result{}, false
	}
	return f.state.recent[i], true
}

// History returns the recent changes in log order, at most MaxHistory.
func (f *Fold) History() []Result { return slices.Clone(f.state.recent) }

// DocumentAt returns the document of a recent version. It returns false if the
// document was never read here or has been dropped.
func (f *Fold) DocumentAt(version uint64) ([]byte, bool) {
	if version == f.serve.version && version > 0 {
		return f.serve.document, true
	}
	doc, ok := f.documents[version]
	return doc, ok
}

// publish serves the state if it is newer than what is served.
func (f *Fold) publish() {
	f.serveIfNewer(f.state.version, f.state.document)
	if f.state.version < f.serve.version {
		// A peer served a newer version first. The document read here is still
		// needed for rollbacks and for the list of entries.
		f.keep(f.state.version, f.state.document)
	}
}

func (f *Fold) serveIfNewer(version uint64, document []byte) {
	if version <= f.serve.version {
		return
	}
	f.keep(f.serve.version, f.serve.document)
	f.serve.version = version
	f.serve.document = document
}

// keep stores a document for History within the bounds.
func (f *Fold) keep(version uint64, document []byte) {
	if _, kept := f.documents[version]; kept || version == 0 {
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
