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
	// other one doesn't answer, by the word of another host too, or may have forgotten grants.
	GrantedByOne
	// Elsewhere means that another process holds the id: no replica has granted it to this one.
	Elsewhere
	// Contested means that replicas have granted the id to different processes.
	Contested
	// NoAnswer means that no replica answers that knows all grants. Another process may hold the id.
	NoAnswer
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
	// told is set if a replica that has no vote does not answer by the word of another host too.
	told bool
	// missed is set if the replica may not know of holds that are in force.
	missed bool
	open   bool
	vote   *Vote
}

// Ballot returns a ballot on an id among its replicas.
func (m *Members) Ballot(now time.Time, id string, by Holder) *Ballot {
	b := &Ballot{by: by, allBegun: m.allBegun(now, by.Coordinator)}
	before := m.Replicas(now.Add(-m.timing.Forgotten), id)
	for _, name := range m.Replicas(now, id) {
		o, out := m.outages[name]
		missed := m.mayHaveMissed(now, name) || !slices.Contains(before, name)
		b.replicas = append(b.replicas, replica{name: name, open: !out, told: o.told, missed: missed})
	}
	return b
}

// Open returns the replicas whose answers are missing, at first those that are to be asked: all that are not
// known not to answer.
func (b *Ballot) Open() []string { return b.names(func(r replica) bool { return r.open }) }

// Silent returns the replicas that have not answered.
func (b *Ballot) Silent() []string { return b.names(func(r replica) bool { return r.vote == nil }) }

func (b *Ballot) names(matches func(r replica) bool) []string {
	var names []string
	for _, r := range b.replicas {
		if matches(r) {
			names = append(names, r.name)
		}
	}
	return names
}

// Record adds the answer of a replica; nil if it gave none, by the word of another host too if told is set.
func (b *Ballot) Record(name string, v *Vote, told bool) {
	for n := range b.replicas {
		if r := &b.replicas[n]; r.name == name {
			r.open, r.vote, r.told = false, v, told
		}
	}
}

// Outcome returns what the answers so far come to, with the hold in force: that of the process itself, or
// that of another one.
func (b *Ballot) Outcome() (Outcome, Hold) {
	own := b.votesFor(b.by)
	switch {
	case len(b.replicas) == 0:
		return NoAnswer, Hold{} // the members are not known yet
	case len(b.Open()) > 0:
		return Pending, Hold{}
	case b.grants() == len(b.replicas), b.allBegun && own == len(b.replicas):
		return Granted, b.holdOf(b.by)
	}
	for _, r := range b.replicas {
		switch other := r.other(b.by); {
		case other == nil:
		case own == 0 && b.votesFor(other.Holder) == len(b.replicas)-len(b.Silent()):
			return Elsewhere, b.holdOf(other.Holder)
		default:
			return Contested, b.holdOf(other.Holder)
		}
	}
	if b.grants() > 0 && b.othersTold() {
		return GrantedByOne, b.holdOf(b.by)
	}
	return NoAnswer, Hold{}
}

// othersTold reports whether each replica without a vote is out by the word of another host too.
func (b *Ballot) othersTold() bool {
	return !slices.ContainsFunc(b.replicas, func(r replica) bool { return r.vote == nil && !r.told })
}

// Granting returns the replicas that have granted the id to the process.
func (b *Ballot) Granting() []string {
	return b.names(func(r replica) bool { return r.vote != nil && r.vote.Hold.Holder.Same(b.by) })
}

// grants returns the number of replicas that have granted the id and know of all holds in force.
func (b *Ballot) grants() int {
	n := 0
	for _, r := range b.replicas {
		if r.vote != nil && r.vote.Hold.Holder.Same(b.by) && !r.vote.Young && !r.missed {
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
