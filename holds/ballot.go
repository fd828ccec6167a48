package holds

import (
	"slices"
	"time"
)

// Outcome is what the replicas of an id let a process do.
type Outcome int

// Outcomes of a ballot.
const (
	// Pending means that answers are missing.
	Pending Outcome = iota
	// Granted means that the process holds the id: all replicas have granted it.
	Granted
	// GrantedByOne means that the process holds the id by the word of one replica that knows all grants. The
	// other one has granted it too but may have forgotten grants, or has ended, or it doesn't answer and the spare
	// has granted it. Without a spare it is enough that the other one doesn't answer by the word of another host too.
	GrantedByOne
	// Elsewhere means that another process holds the id: no replica has granted it to this one.
	Elsewhere
	// Contested means that replicas have granted the id to different processes.
	Contested
	// NoAnswer means that no replica answers that knows all grants. Another process may hold the id.
	NoAnswer
)

// Silence is what is known of a replica that does not answer.
type Silence int

// Silences of a replica.
const (
	// Unreached means that only this process has found that the replica does not answer. It may be cut off itself.
	Unreached Silence = iota
	// Told means that another host has found the same. The replica may be up, and slow.
	Told
	// Ended means that nothing listens at the replica's address. Its successor's grants don't count for a while.
	Ended
)

// Vote is the answer of a replica.
type Vote struct {
	Hold Hold
	// Young is set if the replica may lack holds that are in force, since its process has begun, or was paused
	// or cut off, after they were granted.
	Young bool
}

// Ballot collects the answers of an id's replicas for one process.
type Ballot struct {
	by       Holder
	replicas []replica
	// allBegun is set if no process holds an id from before the replicas began.
	allBegun bool
}

type replica struct {
	name string
	// silence tells about a replica that has no vote.
	silence Silence
	// missed is set if the replica may not know of holds that are in force.
	missed bool
	// spare is set for the member that is asked only if a replica has no vote.
	spare bool
	// asked is set once the replica is to be asked, open until it has answered or not.
	asked, open bool
	vote        *Vote
}

// Ballot returns a ballot on an id among its replicas.
func (m *Members) Ballot(now time.Time, id string, by Holder) *Ballot {
	b := &Ballot{by: by, allBegun: m.allBegun(now, by.Coordinator)}
	before := m.Replicas(now.Add(-m.timing.Forgotten), id)
	for n, name := range m.choose(now, id, VoterCount) {
		o, out := m.outages[name]
		missed := m.mayHaveMissed(now, name) || !slices.Contains(before, name)
		b.replicas = append(b.replicas, replica{name: name, open: !out, silence: o.silence, missed: missed, spare: n >= ReplicaCount})
	}
	return b
}

// Open returns the replicas whose answers are missing, of those that are to be asked: all that are not known not to
// answer, the spare once another one that has not ended has no vote, and none knows of another holder.
func (b *Ballot) Open() []string {
	needed := slices.ContainsFunc(b.replicas, func(r replica) bool { return !r.open && r.vote == nil && r.silence != Ended }) &&
		!slices.ContainsFunc(b.replicas, func(r replica) bool { return r.other(b.by) != nil })
	return b.names(func(r replica) bool { return r.open && (!r.spare || needed) })
}

// Next returns the open replicas that it has not returned before: they are to be asked.
func (b *Ballot) Next() []string {
	var next []string
	open := b.Open()
	for n := range b.replicas {
		if r := &b.replicas[n]; !r.asked && slices.Contains(open, r.name) {
			r.asked = true
			next = append(next, r.name)
		}
	}
	return next
}

// Silent returns the replicas that have not answered, without a spare that was not asked.
func (b *Ballot) Silent() []string {
	return b.names(func(r replica) bool { return r.vote == nil && (!r.spare || !r.open) })
}

func (b *Ballot) names(matches func(r replica) bool) []string {
	var names []string
	for _, r := range b.replicas {
		if matches(r) {
			names = append(names, r.name)
		}
	}
	return names
}

// Record adds the answer of a replica; nil if it gave none.
func (b *Ballot) Record(name string, v *Vote, silence Silence) {
	for n := range b.replicas {
		if r := &b.replicas[n]; r.name == name {
			r.open, r.vote, r.silence = false, v, silence
		}
	}
}

// Outcome returns what the answers so far come to, with the hold in force: that of the process itself, or
// that of another one.
func (b *Ballot) Outcome() (Outcome, Hold) {
	own, replicas, voters := b.votesFor(b.by), min(len(b.replicas), ReplicaCount), b.voters()
	switch {
	case len(b.replicas) == 0:
		return NoAnswer, Hold{} // the members are not known yet
	case len(b.Open()) > 0:
		return Pending, Hold{}
	case b.grants() == replicas, b.allBegun && own == replicas && own == voters:
		return Granted, b.holdOf(b.by)
	}
	for _, r := range b.replicas {
		switch other := r.other(b.by); {
		case other == nil:
		case own == 0 && b.votesFor(other.Holder) == voters:
			return Elsewhere, b.holdOf(other.Holder)
		default:
			return Contested, b.holdOf(other.Holder)
		}
	}
	if b.grants() > 0 && (own >= ReplicaCount || b.othersOut()) {
		return GrantedByOne, b.holdOf(b.by)
	}
	return NoAnswer, Hold{}
}

// voters returns the number of replicas that have answered.
func (b *Ballot) voters() int {
	return len(b.names(func(r replica) bool { return r.vote != nil }))
}

// othersOut reports whether no replica without a vote can let another process have the id. Without a spare one that
// doesn't answer another host either is taken for out.
func (b *Ballot) othersOut() bool {
	out := Ended
	if len(b.replicas) < VoterCount {
		out = Told
	}
	return !slices.ContainsFunc(b.replicas, func(r replica) bool { return !r.spare && r.vote == nil && r.silence < out })
}

// Granting returns the replicas that have granted the id to the process.
func (b *Ballot) Granting() []string {
	return b.names(func(r replica) bool { return r.vote != nil && r.vote.Hold.Holder.Same(b.by) })
}

// grants returns the number of replicas, without the spare, that have granted the id and know of all holds in force.
func (b *Ballot) grants() int {
	n := 0
	for _, r := range b.replicas {
		if !r.spare && r.vote != nil && r.vote.Hold.Holder.Same(b.by) && !r.vote.Young && !r.missed {
			n++
		}
	}
	return n
}

func (b *Ballot) votesFor(h Holder) int {
	n := 0
	for _, r := range b.replicas {
		if r.vote != nil && r.vote.Hold.Holder.Same(h) {
			n++
		}
	}
	return n
}

// holdOf returns the latest hold of a process, with its latest sign of life.
func (b *Ballot) holdOf(h Holder) Hold {
	var latest Hold
	for _, r := range b.replicas {
		if r.vote == nil || !r.vote.Hold.Holder.Same(h) {
			continue
		}
		seen := latest.Seen
		if r.vote.Hold.Number >= latest.Number {
			latest = r.vote.Hold
		}
		if seen.After(latest.Seen) {
			latest.Seen = seen
		}
	}
	return latest
}

// other returns the hold of another process that the replica knows; nil if there is none.
func (r *replica) other(by Holder) *Hold {
	if r.vote == nil || r.vote.Hold.Holder.Same(by) {
		return nil
	}
	return &r.vote.Hold
}
