package conf

import (
	"slices"
	"time"

	"carobpulley"
)

// Progress is how far a change has come, as one entry knows it.
type Progress string

// Progress of a change.
const (
	// ProgressUnknown may be in the log or not. Its id resolves it later.
	ProgressUnknown Progress = "unknown"
	// ProgressPublished made a version that is not confirmed.
	ProgressPublished Progress = "published"
	// ProgressAccepted is final: the version is confirmed.
	ProgressAccepted Progress = "accepted"
	// ProgressConflict is final: the change has no effect.
	ProgressConflict Progress = "conflict"
	// ProgressUnavailable is final: the change is not in the log.
	ProgressUnavailable Progress = "unavailable"
)

// maxDoubts bounds the ids of appends without a known result. The oldest are
// dropped first.
const maxDoubts = MaxHistory

// Spread decides how versions reach the entries, which version is in force at
// this one, and when a change is accepted. It is not safe for concurrent use.
//
// A version is confirmed once majorities of the entries before and after it
// have it in force, and the version before it is confirmed. Without the second
// condition, two changes of the list of entries in a row would leave entries
// of the first list acting without the newest version.
type Spread struct {
	name  string
	fold  *Fold
	cat   *carobpulley.Catalogue
	peers map[string]confirmation
	// confirmed is the largest version known to be confirmed. It never gets
	// smaller, so that an accepted change stays so when a peer restarts.
	confirmed uint64
	// lists are the entries of the versions from confirmed on that were parsed.
	lists map[uint64][]string
	// appending counts the appends of an id that are under way.
	appending map[string]int
	// doubts are ids whose append may have taken effect, oldest first.
	doubts []string
	// snapshotAt is the log's time of the newest snapshot record, snapshotReadAt
	// when it was read by this process's clock.
	snapshotAt, snapshotReadAt time.Time
}

// confirmation is the newest version that a process of a peer has in force.
type confirmation struct {
	incarnation uint64
	version     uint64
}

// LogRead is what a read of the config stream amounts to.
type LogRead struct {
	// Changed tells that another version is in force.
	Changed bool
	// AtEnd tells that this entry has all that was in the stream in force, so
	// that the read counts for the log's vote.
	AtEnd bool
}

// NewSpread returns the state of an entry that knows version 0 only. The fold
// belongs to the spread from then on; others only read it.
func NewSpread(name string, fold *Fold) *Spread {
	return &Spread{
		name:      name,
		fold:      fold,
		cat:       &carobpulley.Catalogue{},
		peers:     make(map[string]confirmation),
		lists:     make(map[uint64][]string),
		appending: make(map[string]int),
	}
}

// InForce returns the catalogue that this entry acts by. Its version never gets
// smaller.
func (s *Spread) InForce() *carobpulley.Catalogue { return s.cat }

// Confirmed is the largest version known to be confirmed.
func (s *Spread) Confirmed() uint64 { return s.confirmed }

// Read takes a page of the config stream. A read that leaves the fold unable to
// decide, or a version that cannot be parsed, is not at the end: newer changes
// may be accepted without this entry.
func (s *Spread) Read(now time.Time, from uint64, page carobpulley.Page) LogRead {
	s.decided(s.fold.Apply(from, page))
	if s.fold.lastAt != s.snapshotAt {
		s.snapshotAt, s.snapshotReadAt = s.fold.lastAt, now
	}
	out := LogRead{Changed: s.enforce()}
	out.AtEnd = s.fold.Known() && s.fold.Next() >= page.Next && s.current()
	s.settle()
	return out
}

// decided forgets doubts about ids that were read.
func (s *Spread) decided(results []Result) {
	for _, r := range results {
		s.doubts = slices.DeleteFunc(s.doubts, func(id string) bool { return id == r.ID })
	}
}

// Adopt takes the version of a peer and reports whether it is now in force.
func (s *Spread) Adopt(version uint64, document []byte) bool {
	if !s.fold.Adopt(Snapshot{Version: version, Document: document}) {
		return false
	}
	return s.enforce()
}

// enforce puts the newest version in force if it can be parsed.
func (s *Spread) enforce() bool {
	if s.fold.Version() <= s.cat.Version {
		return false
	}
	cat, err := s.fold.Catalogue()
	if err != nil || cat.Version <= s.cat.Version {
		return false
	}
	s.lists[s.cat.Version] = s.cat.Entries
	s.cat = cat
	s.settle()
	return true
}

// current reports whether the newest version seen is in force.
func (s *Spread) current() bool { return s.cat.Version >= s.fold.Version() }

// Lacks reports whether a peer at a version has to be given the newest one
// with a vouch.
func (s *Spread) Lacks(version uint64) bool { return version < s.cat.Version }

// Counts reports whether the vouch of a peer at a version counts here. It does
// not if this entry could not put that version, or the one attached, in force.
func (s *Spread) Counts(version uint64) bool {
	return version <= s.cat.Version && s.current()
}

// Heard takes the version that a process of a peer says to have in force, and
// reports whether that is news. A larger incarnation replaces a smaller one.
func (s *Spread) Heard(peer string, incarnation, version uint64) bool {
	p := s.peers[peer]
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p = confirmation{incarnation: incarnation}
	}
	news := version > p.version
	p.version = max(p.version, version)
	s.peers[peer] = p
	s.settle()
	return news
}

// Answered takes the version with which a peer answered a push, and reports
// whether that is news. The answer names no incarnation: the version counts for
// the newest one known, since a restarted peer gets no vote before it knows all
// that its predecessor confirmed.
func (s *Spread) Answered(peer string, version uint64) bool {
	return s.Heard(peer, s.peers[peer].incarnation, version)
}

// PeerVersion is the newest version that a peer is known to have in force.
func (s *Spread) PeerVersion(peer string) uint64 { return s.peers[peer].version }

// settle moves confirmed to the newest version that is confirmed.
func (s *Spread) settle() {
	s.confirmed = max(s.confirmed, s.fold.confirmed)
	for s.confirmed < s.cat.Version && s.confirmedNext(s.confirmed+1) {
		s.confirmed++
	}
	for v := range s.lists {
		if v < s.confirmed {
			delete(s.lists, v)
		}
	}
}

func (s *Spread) confirmedNext(version uint64) bool {
	return s.majorityHas(version, version-1) && s.majorityHas(version, version)
}

// majorityHas reports whether a majority of the entries of a version, which
// version 0 has none of, have another one in force. A list that is not known
// has no majority.
func (s *Spread) majorityHas(version, listed uint64) bool {
	if listed == 0 {
		return true
	}
	entries, ok := s.entriesAt(listed)
	if !ok {
		return false
	}
	votes := 0
	if len(entries)%2 == 0 {
		// The record is in the log, which has the tie-breaking vote.
		votes++
	}
	for _, name := range entries {
		if name == s.name && s.cat.Version >= version || s.peers[name].version >= version {
			votes++
		}
	}
	return votes >= len(entries)/2+1
}

// entriesAt returns the entries of a version. It returns false if its document
// is not known or cannot be parsed.
func (s *Spread) entriesAt(version uint64) ([]string, bool) {
	if version == s.cat.Version {
		return s.cat.Entries, true
	}
	if list, ok := s.lists[version]; ok {
		return list, true
	}
	doc, ok := s.fold.DocumentAt(version)
	if !ok {
		return nil, false
	}
	cat, err := Parse(doc)
	if err != nil {
		return nil, false
	}
	s.lists[version] = cat.Entries
	return cat.Entries, true
}

// Change returns how far a change has come and the version that it made, or
// for other changes the newest version.
func (s *Spread) Change(id string) (Progress, uint64) {
	r, ok := s.fold.Outcome(id)
	switch {
	case !ok:
		return ProgressUnknown, s.fold.Version()
	case r.Outcome == Conflict:
		return ProgressConflict, s.fold.Version()
	case r.Version <= s.confirmed:
		return ProgressAccepted, r.Version
	default:
		return ProgressPublished, r.Version
	}
}

// Begin starts the append of a change. A reason tells why it is not to be
// appended, and the progress is the answer then. Without a reason End must
// follow.
func (s *Spread) Begin(c Change, logUp bool) (progress Progress, reason string) {
	if p, _ := s.Change(c.ID); p != ProgressUnknown {
		return p, "the change is decided already"
	}
	if !logUp {
		return s.refused(c.ID), "the log is down; the change was not accepted"
	}
	if !s.reachable(c) {
		return s.refused(c.ID), "this entry never heard of a majority of the new entries; start them first"
	}
	s.appending[c.ID]++
	return ProgressUnknown, ""
}

// reachable reports whether a majority of a change's entries are known to run.
// The change could not be confirmed otherwise, nor could a later one, and the
// entries of before would stop. The first version is made before entries are
// in contact.
func (s *Spread) reachable(c Change) bool {
	if c.Base == 0 || c.Base != s.cat.Version {
		return true
	}
	cat, err := Parse(c.Document)
	if err != nil || slices.Equal(cat.Entries, s.cat.Entries) {
		return true
	}
	heard := 0
	for _, name := range cat.Entries {
		if name == s.name || s.peers[name].incarnation > 0 {
			heard++
		}
	}
	return heard >= len(cat.Entries)/2+1
}

// End takes the result of an append: whether the log certainly did not take
// the record. It returns ProgressUnavailable if the change is in the log by no
// other attempt either.
func (s *Spread) End(id string, untaken bool) Progress {
	s.appending[id]--
	if s.appending[id] <= 0 {
		delete(s.appending, id)
	}
	if p, _ := s.Change(id); p != ProgressUnknown {
		return p
	}
	if untaken {
		return s.refused(id)
	}
	if !slices.Contains(s.doubts, id) {
		s.doubts = append(s.doubts, id)
	}
	if len(s.doubts) > maxDoubts {
		s.doubts = slices.Delete(s.doubts, 0, 1)
	}
	return ProgressUnknown
}

// refused is the answer to an attempt that appended nothing. An earlier or
// concurrent attempt with the same id may have: then the id is not decided.
func (s *Spread) refused(id string) Progress {
	if s.appending[id] > 0 || slices.Contains(s.doubts, id) {
		return ProgressUnknown
	}
	return ProgressUnavailable
}

// Snapshot returns the snapshot record to write, if one is due. Two entries may
// write one for the same time; readers that can decide on changes skip both.
//
// It is due a third of the retention time after the newest one by the log's
// clock, or after that one was read by this process's: a host whose clock is
// behind would otherwise never carry the configuration forward. Entries that
// are not the first to write leave half as much time more, since the first one
// may be unable to: it may have missed records.
func (s *Spread) Snapshot(now time.Time, retention time.Duration, first bool) (Snapshot, bool) {
	if !first {
		retention += retention / 2
	}
	long := !s.snapshotReadAt.IsZero() && now.Sub(s.snapshotReadAt) >= retention/snapshotParts
	if !long && !s.fold.SnapshotDue(now, retention) {
		return Snapshot{}, false
	}
	out, ok := s.fold.Snapshot()
	out.Confirmed = s.confirmed
	return out, ok && out.Version > 0
}
