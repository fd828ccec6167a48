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
	// Granted means that the process holds the id: most replicas have granted it.
	Granted
	// GrantedByFew means that a replica has granted the id that is told of all grants, and the others, which
	// are told of them too, don't answer or may have forgotten them.
	GrantedByFew
	// Elsewhere means that another process holds the id.
	Elsewhere
	// Contested means that a replica has granted the id to another process, and no majority can be asked.
	Contested
	// NoAnswer means that no replica answers that knows all grants. Another process may hold the id.
	NoAnswer
)

// Vote is the answer of a replica.
type Vote struct {
	Hold Hold
	// Young is set if the replica may have forgotten holds that are in force, since its process has begun
	// after they were granted.
	Young bool
}

// Ballot collects the answers of an id's replicas for one process.
type Ballot struct {
	by       Holder
	replicas []replica
}

type replica struct {
	name      string
	suspected bool
	// missed is set if the replica may not know of holds that are in force.
	missed bool
	asked  bool
	closed bool
	vote   *Vote
}

// Ballot returns a ballot on an id among its replicas, none of which has been asked.
func (m *Members) Ballot(now time.Time, id string, by Holder) *Ballot {
	b := &Ballot{by: by}
	for _, name := range m.Replicas(now, id) {
		b.replicas = append(b.replicas, replica{name: name, suspected: m.Suspected(name), missed: m.mayHaveMissed(now, name)})
	}
	// A process that is a replica itself saves a call.
	if self := slices.IndexFunc(b.replicas, func(r replica) bool { return r.name == by.Coordinator }); self > 0 {
		own := b.replicas[self]
		copy(b.replicas[1:self+1], b.replicas[:self])
		b.replicas[0] = own
	}
	return b
}

// quorum is the number of replicas that have to grant the id.
func (b *Ballot) quorum() int { return len(b.replicas)/2 + 1 }

// Ask returns the replicas that are to be asked now. They count as asked.
func (b *Ballot) Ask() []string {
	var names []string
	for b.open()+b.grants() < b.quorum() {
		name := b.AskAnother()
		if name == "" {
			break
		}
		names = append(names, name)
	}
	return names
}

// AskAnother returns a replica that has not been asked yet and is not known to be out; empty if there is none.
// It counts as asked.
func (b *Ballot) AskAnother() string {
	for n := range b.replicas {
		if r := &b.replicas[n]; !r.asked && !r.suspected {
			r.asked = true
			return r.name
		}
	}
	return ""
}

// Copies returns the replicas that are to be told of a grant although their answers don't count any more. They
// count as asked.
func (b *Ballot) Copies() []string {
	var names []string
	for name := b.AskAnother(); name != ""; name = b.AskAnother() {
		names = append(names, name)
	}
	return names
}

// Record adds the answer of a replica; nil if it gave none.
func (b *Ballot) Record(name string, v *Vote) {
	for n := range b.replicas {
		if r := &b.replicas[n]; r.name == name {
			r.closed, r.vote = true, v
		}
	}
}

// Outcome returns what the answers so far come to, with the hold in force: that of the process itself, or
// that of another one.
func (b *Ballot) Outcome() (Outcome, Hold) {
	if len(b.replicas) == 0 {
		return Granted, Hold{Holder: b.by}
	}
	if b.grants() >= b.quorum() {
		return Granted, b.holdOf(b.by)
	}
	for _, r := range b.replicas {
		if other := r.other(b.by); other != nil && b.votesFor(other.Holder) >= b.quorum() {
			return Elsewhere, b.holdOf(other.Holder)
		}
	}
	if b.open() > 0 || slices.ContainsFunc(b.replicas, func(r replica) bool { return !r.asked && !r.suspected }) {
		return Pending, Hold{}
	}
	for _, r := range b.replicas {
		if other := r.other(b.by); other != nil {
			return Contested, b.holdOf(other.Holder)
		}
	}
	switch {
	case b.grants() > 0:
		return GrantedByFew, b.holdOf(b.by)
	case b.votesFor(b.by) >= b.quorum():
		return Granted, b.holdOf(b.by) // all have begun anew, and with them the holders
	}
	return NoAnswer, Hold{}
}

// Granting returns the replicas that have granted the id to the process.
func (b *Ballot) Granting() []string {
	var names []string
	for _, r := range b.replicas {
		if r.vote != nil && r.vote.Hold.Holder.Same(b.by) {
			names = append(names, r.name)
		}
	}
	return names
}

// Suspected returns the replicas that were not asked since they are known not to answer.
func (b *Ballot) Suspected() []string {
	var names []string
	for _, r := range b.replicas {
		if r.suspected {
			names = append(names, r.name)
		}
	}
	return names
}

// open returns the number of replicas whose answers are missing.
func (b *Ballot) open() int {
	n := 0
	for _, r := range b.replicas {
		if r.asked && !r.closed {
			n++
		}
	}
	return n
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
