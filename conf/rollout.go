package conf

import (
	"slices"
	"time"

	"carobpulley"
)

// Progress is the state of a change as seen by one entry.
type Progress string

// Progress of a change.
const (
	// ProgressUnknown means that the change may or may not be in the log. A later
	// query by its id resolves it.
	ProgressUnknown Progress = "unknown"
	// ProgressPublished means that the change made a version that is not confirmed.
	ProgressPublished Progress = "published"
	// ProgressAccepted is final: the version of the change is confirmed.
	ProgressAccepted Progress = "accepted"
	// ProgressConflict is final: the change has no effect.
	ProgressConflict Progress = "conflict"
	// ProgressUnavailable is final: the change is not in the log.
	ProgressUnavailable Progress = "unavailable"
)

// maxUnresolved bounds the number of ids in Rollout.unresolved. The oldest are dropped
// first.
const maxUnresolved = MaxHistory

// Rollout decides which version must be sent to a peer, which version is in
// force at this entry, and when a change is accepted. It is not safe for
// concurrent use.
//
// A version is confirmed once a majority of the entries listed by the version
// before it and a majority of the entries that it lists itself have it in force,
// and the version before it is confirmed. Without the last condition, two
// consecutive changes of the list of entries would leave entries of the first
// list acting without the newest version.
type Rollout struct {
	name  string
	fold  *Fold
	cat   *carobpulley.Catalogue
	peers map[string]peerState
	// confirmed is the largest version known to be confirmed. It never decreases,
	// so that an accepted change stays accepted when a peer restarts.
	confirmed uint64
	// entryLists holds the entries of each parsed version from confirmed on.
	entryLists map[uint64][]string
	// appending counts the appends in flight per change id.
	appending map[string]int
	// unresolved holds the ids whose append may have taken effect, oldest first.
	unresolved []string
	// snapshotAt is the time of the newest snapshot record by the log's clock,
	// snapshotReadAt the time by this process's clock at which it was read.
	snapshotAt, snapshotReadAt time.Time
}

// peerState is the newest version that one incarnation of a peer has in force.
type peerState struct {
	incarnation uint64
	version     uint64
}

// PageResult is the effect of a page of the config stream.
type PageResult struct {
	// Changed is set if a different version is now in force.
	Changed bool
	// AtEnd is set if this entry has read the stream to its end and the newest
	// version is in force, so that the read counts for the log's vote.
	AtEnd bool
}

// NewRollout returns the state at version 0 of the entry with the given name. The
// Rollout owns the fold from then on; other code only reads the fold.
func NewRollout(name string, fold *Fold) *Rollout {
	return &Rollout{
		name:       name,
		fold:       fold,
		cat:        &carobpulley.Catalogue{},
		peers:      make(map[string]peerState),
		entryLists: make(map[uint64][]string),
		appending:  make(map[string]int),
	}
}

// InForce returns the catalogue in force at this entry. Its version never
// decreases.
func (r *Rollout) InForce() *carobpulley.Catalogue { return r.cat }

// Confirmed returns the largest version known to be confirmed.
func (r *Rollout) Confirmed() uint64 { return r.confirmed }

// HandlePage applies a page of the config stream that was read from an offset.
// AtEnd is not set if the fold cannot decide on changes or the newest version
// cannot be parsed: newer changes may be accepted without this entry.
func (r *Rollout) HandlePage(now time.Time, from uint64, page carobpulley.Page) PageResult {
	r.clearUnresolved(r.fold.Apply(from, page))
	if r.fold.lastSnapshotAt != r.snapshotAt {
		r.snapshotAt, r.snapshotReadAt = r.fold.lastSnapshotAt, now
	}
	out := PageResult{Changed: r.activate()}
	out.AtEnd = r.fold.CanDecide() && r.fold.Next() >= page.Next && r.upToDate()
	r.updateConfirmed()
	return out
}

// clearUnresolved removes the ids of decided changes from the unresolved ones.
func (r *Rollout) clearUnresolved(results []Result) {
	for _, res := range results {
		r.unresolved = slices.DeleteFunc(r.unresolved, func(id string) bool { return id == res.ID })
	}
}

// Adopt applies a version received from a peer and reports whether a newer
// version is now in force.
func (r *Rollout) Adopt(version uint64, document []byte) bool {
	if !r.fold.Adopt(Snapshot{Version: version, Document: document}) {
		return false
	}
	return r.activate()
}

// activate puts the newest version in force if it can be parsed, and reports
// whether the version in force changed.
func (r *Rollout) activate() bool {
	if r.fold.Version() <= r.cat.Version {
		return false
	}
	cat, err := r.fold.Catalogue()
	if err != nil || cat.Version <= r.cat.Version {
		return false
	}
	r.entryLists[r.cat.Version] = r.cat.Entries
	r.cat = cat
	r.updateConfirmed()
	return true
}

// upToDate reports whether the newest version seen is in force.
func (r *Rollout) upToDate() bool { return r.cat.Version >= r.fold.Version() }

// IsOutdated reports whether a peer at a version must be sent the newest one
// together with a vouch, which is the lease grant of one entry to another.
func (r *Rollout) IsOutdated(version uint64) bool { return version < r.cat.Version }

// VouchCounts reports whether a vouch from a peer at a version counts at this
// entry. It does not count if this entry could not put that version, or the one
// sent with the vouch, in force.
func (r *Rollout) VouchCounts(version uint64) bool {
	return version <= r.cat.Version && r.upToDate()
}

// HandlePeerVersion records the version that an incarnation of a peer reports as
// in force, and reports whether it is newer than the one recorded before. A
// larger incarnation replaces a smaller one.
func (r *Rollout) HandlePeerVersion(peer string, incarnation, version uint64) bool {
	p := r.peers[peer]
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		p = peerState{incarnation: incarnation}
	}
	newer := version > p.version
	p.version = max(p.version, version)
	r.peers[peer] = p
	r.updateConfirmed()
	return newer
}

// HandlePushReply records the version in a peer's reply to a push, and reports
// whether it is newer than the one recorded before. The reply has no
// incarnation: the version counts for the newest incarnation recorded, since a
// restarted peer has no vote before it has all versions that its predecessor
// confirmed.
func (r *Rollout) HandlePushReply(peer string, version uint64) bool {
	return r.HandlePeerVersion(peer, r.peers[peer].incarnation, version)
}

// PeerVersion returns the newest version that a peer is known to have in force.
func (r *Rollout) PeerVersion(peer string) uint64 { return r.peers[peer].version }

// updateConfirmed sets confirmed to the newest version that is confirmed.
func (r *Rollout) updateConfirmed() {
	r.confirmed = max(r.confirmed, r.fold.confirmed)
	for r.confirmed < r.cat.Version && r.canConfirm(r.confirmed+1) {
		r.confirmed++
	}
	for v := range r.entryLists {
		if v < r.confirmed {
			delete(r.entryLists, v)
		}
	}
}

// canConfirm reports whether a version is confirmed, given that the version
// before it is.
func (r *Rollout) canConfirm(version uint64) bool {
	return r.majorityInForce(version, version-1) && r.majorityInForce(version, version)
}

// majorityInForce reports whether a version is in force at a majority of the entries
// in the list of the version given as listed. Version 0 lists no entries, which counts
// as a majority. If the list is not known, there is no majority.
func (r *Rollout) majorityInForce(version, listed uint64) bool {
	if listed == 0 {
		return true
	}
	entries, ok := r.entriesAt(listed)
	if !ok {
		return false
	}
	votes := 0
	if len(entries)%2 == 0 {
		// With an even number of entries the log has the tie-breaking vote, and
		// the record is in the log.
		votes++
	}
	for _, name := range entries {
		if name == r.name && r.cat.Version >= version || r.peers[name].version >= version {
			votes++
		}
	}
	return votes >= len(entries)/2+1
}

// entriesAt returns the entries that a version lists. It returns false if the
// document is not known or cannot be parsed.
func (r *Rollout) entriesAt(version uint64) ([]string, bool) {
	if version == r.cat.Version {
		return r.cat.Entries, true
	}
	if list, ok := r.entryLists[version]; ok {
		return list, true
	}
	doc, ok := r.fold.DocumentAt(version)
	if !ok {
		return nil, false
	}
	cat, err := Parse(doc)
	if err != nil {
		return nil, false
	}
	r.entryLists[version] = cat.Entries
	return cat.Entries, true
}

// ChangeProgress returns the progress of a change and the version that it made.
// For a change that is unknown or in conflict it returns the newest version.
func (r *Rollout) ChangeProgress(id string) (Progress, uint64) {
	res, ok := r.fold.Outcome(id)
	switch {
	case !ok:
		return ProgressUnknown, r.fold.Version()
	case res.Outcome == Conflict:
		return ProgressConflict, r.fold.Version()
	case res.Version <= r.confirmed:
		return ProgressAccepted, res.Version
	default:
		return ProgressPublished, res.Version
	}
}

// BeginAppend registers the append of a change. A non-empty reason says why the
// change must not be appended; progress is then the result to return to the
// caller. With an empty reason, EndAppend must follow.
func (r *Rollout) BeginAppend(c Change, logUp bool) (progress Progress, reason string) {
	if p, _ := r.ChangeProgress(c.ID); p != ProgressUnknown {
		return p, "the change is decided already"
	}
	if !logUp {
		return r.notAppended(c.ID), "the log is down; the change was not accepted"
	}
	if !r.majorityReachable(c) {
		return r.notAppended(c.ID), "this entry never heard of a majority of the new entries; start them first"
	}
	r.appending[c.ID]++
	return ProgressUnknown, ""
}

// majorityReachable reports whether a majority of the entries in a change are
// known to run. Otherwise neither the change nor a later one could be confirmed,
// and the entries of the current version would stop. The first version is made
// before entries are in contact and is not checked.
func (r *Rollout) majorityReachable(c Change) bool {
	if c.Base == 0 || c.Base != r.cat.Version {
		return true
	}
	cat, err := Parse(c.Document)
	if err != nil || slices.Equal(cat.Entries, r.cat.Entries) {
		return true
	}
	reachable := 0
	for _, name := range cat.Entries {
		if name == r.name || r.peers[name].incarnation > 0 {
			reachable++
		}
	}
	return reachable >= len(cat.Entries)/2+1
}

// EndAppend handles the result of an append. notStored is set if the record is
// certainly not in the log. EndAppend returns ProgressUnavailable if no other
// attempt can have put the change into the log either.
func (r *Rollout) EndAppend(id string, notStored bool) Progress {
	r.appending[id]--
	if r.appending[id] <= 0 {
		delete(r.appending, id)
	}
	if p, _ := r.ChangeProgress(id); p != ProgressUnknown {
		return p
	}
	if notStored {
		return r.notAppended(id)
	}
	if !slices.Contains(r.unresolved, id) {
		r.unresolved = append(r.unresolved, id)
	}
	if len(r.unresolved) > maxUnresolved {
		r.unresolved = slices.Delete(r.unresolved, 0, 1)
	}
	return ProgressUnknown
}

// notAppended returns the progress after an attempt that appended nothing. It is
// unknown if an earlier or concurrent attempt with the same id may have appended
// the change.
func (r *Rollout) notAppended(id string) Progress {
	if r.appending[id] > 0 || slices.Contains(r.unresolved, id) {
		return ProgressUnknown
	}
	return ProgressUnavailable
}

// Snapshot returns the snapshot record to write, if one is due. Two entries may
// write one at the same time; readers that can decide on changes skip both.
//
// A snapshot is due when a third of the retention time has passed since the
// newest one, either by the log's clock since it was written or by this process's
// clock since it was read: a host whose clock is behind would otherwise never
// write one, and the configuration would expire from the log. An entry for which
// first is not set waits 1.5 times as long; it takes over if the first writer
// cannot write because it missed records.
func (r *Rollout) Snapshot(now time.Time, retention time.Duration, first bool) (Snapshot, bool) {
	if !first {
		retention += retention / 2
	}
	dueByRead := !r.snapshotReadAt.IsZero() && now.Sub(r.snapshotReadAt) >= retention/snapshotsPerRetention
	if !dueByRead && !r.fold.SnapshotDue(now, retention) {
		return Snapshot{}, false
	}
	out, ok := r.fold.Snapshot()
	out.Confirmed = r.confirmed
	return out, ok && out.Version > 0
}
