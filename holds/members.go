package holds

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReplicaCount is the number of members that keep the hold of an id, if there are as many. All are asked, and
	// each that answers has to grant the id. Every further replica costs a call a job; three were too much for hosts
	// with an eighth of a core.
	ReplicaCount = 2
	// VoterCount is the number of members that are asked at most: the last one is a spare, asked only if a replica
	// does not answer, so that any two processes that hold the id have been granted it by a common member.
	VoterCount = ReplicaCount + 1
	// probeInterval is the time between two probes of a member that does not answer. It doubles once the
	// member is left out, up to maxProbeInterval: the record of a host that is gone for good stays.
	probeInterval    = 250 * time.Millisecond
	maxProbeInterval = 32 * time.Second
	// minWeight bounds the weight of a coordinator from below, in CPU cores.
	minWeight = 0.01
)

// Member is a coordinator.
type Member struct {
	Name string
	// Weight is its share of the ids relative to the others: the CPU cores that it may use.
	Weight float64
	// Domain is its failure domain; empty if that is not known.
	Domain string
}

// Timing holds the times after which a member that does not answer is no longer one of the replicas of any id.
// No run of its own is on by then.
type Timing struct {
	// Silent counts from the first call without an answer, Ended from a refused connection.
	Silent, Ended time.Duration
	// Forgotten is the time after which a member that may lack grants in force has been told of all of them.
	Forgotten time.Duration
}

// Members chooses the replicas of ids among the coordinators, and remembers which of them do not answer. Such a
// member is suspected at first: it stays a replica, but is probed instead of asked. After some time it is left out,
// and the next member takes its place.
type Members struct {
	timing Timing
	// began is the time at which this process began.
	began   time.Time
	list    []Member
	hashes  []uint64
	outages map[string]outage
	// heard holds the members that have ever answered this process, youngAt when each last said that it may lack
	// grants, if that was its latest answer.
	heard   map[string]bool
	youngAt map[string]time.Time
	// probed holds the members that were probed once.
	probed map[string]bool
	// returned holds the times at which members that had been left out answered again.
	returned map[string]time.Time
}

// outage is the time since which a member does not answer.
type outage struct {
	// outAt is the time from which the member is left out.
	outAt   time.Time
	probeAt time.Time
	pause   time.Duration
	// silence tells about the last failure.
	silence Silence
	// wasOut is set if the member was left out until Recheck.
	wasOut bool
}

// NewMembers returns Members without a coordinator, of a process that begins now.
func NewMembers(now time.Time, timing Timing) *Members {
	return &Members{
		timing: timing, began: now, outages: make(map[string]outage), heard: make(map[string]bool), youngAt: make(map[string]time.Time),
		probed: make(map[string]bool), returned: make(map[string]time.Time),
	}
}

// Set replaces the coordinators.
func (m *Members) Set(list []Member) {
	m.list = slices.Clone(list)
	m.hashes = make([]uint64, len(list))
	for n := range list {
		m.hashes[n] = xxhash.Sum64String(list[n].Name)
	}
}

// Len returns the number of coordinators.
func (m *Members) Len() int { return len(m.list) }

// Digest returns a digest of the members' names, weights and failure domains, in whichever order they are.
func (m *Members) Digest() uint64 {
	sorted := slices.SortedFunc(slices.Values(m.list), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	d := xxhash.New()
	for _, member := range sorted {
		_, _ = d.WriteString(member.Name + "=" + strconv.FormatFloat(member.Weight, 'g', -1, 64) + "/" + member.Domain + ";")
	}
	return d.Sum64()
}

// Replicas returns the members that keep the hold of an id, by weighted rendezvous hashing among those that are
// not left out; each in another failure domain than the ones before it, if there is one. A member that joins or
// leaves changes the replicas of its own ids only.
func (m *Members) Replicas(now time.Time, id string) []string { return m.choose(now, id, ReplicaCount) }

// choose returns the replicas of an id and the members that would take their places, count in all.
func (m *Members) choose(now time.Time, id string, count int) []string {
	hash := xxhash.Sum64String(id)
	chosen := make([]int, 0, count)
	for range count {
		best, bestScore, bestApart := -1, 0.0, false
		for n, member := range m.list {
			if slices.Contains(chosen, n) || m.leftOut(now, member.Name) {
				continue
			}
			apart := !slices.ContainsFunc(chosen, func(k int) bool { return m.list[k].Domain == member.Domain })
			s := score(hash^m.hashes[n], member.Weight)
			if best < 0 || apart && !bestApart || apart == bestApart && (s > bestScore || s == bestScore && member.Name < m.list[best].Name) {
				best, bestScore, bestApart = n, s, apart
			}
		}
		if best >= 0 {
			chosen = append(chosen, best)
		}
	}
	names := make([]string, len(chosen))
	for k, n := range chosen {
		names[k] = m.list[n].Name
	}
	return names
}

// score is a draw from a distribution whose maximum over the members falls on each with a probability
// in proportion to its weight.
func score(hash uint64, weight float64) float64 {
	// The finalizer of MurmurHash3: the hash is the exclusive or of two others.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	hash ^= hash >> 33
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(u) / max(weight, minWeight)
}

func (m *Members) leftOut(now time.Time, name string) bool {
	o, out := m.outages[name]
	return out && !now.Before(o.outAt)
}

// Suspected reports whether the last call to a member had no answer.
func (m *Members) Suspected(name string) bool {
	_, out := m.outages[name]
	return out
}

// mayHaveMissed reports whether a member may not know of holds that are in force, since it was left out.
func (m *Members) mayHaveMissed(now time.Time, name string) bool {
	at, known := m.returned[name]
	return known && now.Sub(at) < m.timing.Forgotten
}

// allBegun reports whether every member but one has begun a moment ago or is gone, so that none holds an id from
// before.
func (m *Members) allBegun(now time.Time, self string) bool {
	for _, member := range m.list {
		at, young := m.youngAt[member.Name]
		young = young && now.Sub(at) < m.timing.Forgotten
		if member.Name != self && !young && !m.leftOut(now, member.Name) {
			return false
		}
	}
	return true
}

// Failed records that a member did not answer, as this process and another host have found; ended is set if
// nothing listens at its address.
func (m *Members) Failed(now time.Time, name string, ended bool) {
	limit := m.timing.Silent
	if ended {
		limit = m.timing.Ended
	}
	o, out := m.outages[name]
	switch {
	case !m.heard[name] && m.began.Add(m.timing.Forgotten).After(now):
		o.outAt = time.Time{} // gone before this process began
	case !out || now.Add(limit).Before(o.outAt):
		o.outAt = now.Add(limit)
	}
	if o.pause == 0 || now.Before(o.outAt) {
		o.pause = probeInterval
	} else {
		o.pause = min(2*o.pause, maxProbeInterval)
	}
	o.probeAt, o.silence = now.Add(o.pause), Told
	if ended {
		o.silence = Ended
	}
	m.outages[name] = o
}

// Unreached records that a call to a member failed while this process may be cut off itself: the member isn't
// left out for that.
func (m *Members) Unreached(now time.Time, name string) {
	o, out := m.outages[name]
	if !out || now.Before(o.outAt) {
		o.outAt = now.Add(m.timing.Silent)
	}
	o.pause, o.silence = probeInterval, Unreached
	o.probeAt = now.Add(o.pause)
	m.outages[name] = o
}

// Answered records that a member answered, and whether it said that it may lack grants in force.
func (m *Members) Answered(now time.Time, name string, young bool) {
	if (m.leftOut(now, name) || m.outages[name].wasOut) && m.heard[name] {
		m.returned[name] = now
	}
	m.heard[name] = true
	delete(m.outages, name)
	delete(m.youngAt, name)
	if young {
		m.youngAt[name] = now
	}
}

// Recheck makes the members that are left out replicas again until they have been found not to answer: they may
// have returned while this process was paused or cut off itself. All others are called once, so that those that
// have left this process out find it back.
func (m *Members) Recheck(now time.Time) {
	clear(m.probed)
	for name, o := range m.outages {
		if m.leftOut(now, name) {
			o.outAt, o.wasOut = now.Add(m.timing.Silent), true
		}
		o.pause, o.probeAt = probeInterval, now
		m.outages[name] = o
	}
}

// Other returns a random member but for one, if possible one that answers; empty if there is none.
func (m *Members) Other(than string) string {
	other := ""
	for _, n := range rand.Perm(len(m.list)) {
		if name := m.list[n].Name; name != than && (other == "" || !m.Suspected(name)) {
			other = name
		}
	}
	return other
}

// Called records a call from a member: if it does not answer, it is to be probed at once.
func (m *Members) Called(now time.Time, name string) {
	if o, out := m.outages[name]; out && now.Before(o.probeAt) {
		o.probeAt, o.pause = now, probeInterval
		m.outages[name] = o
	}
}

// Probes returns the members that are to be probed now: those without an answer, and once those that have not
// been called yet, so that a process that begins soon knows which of them are gone.
func (m *Members) Probes(now time.Time) []string {
	var names []string
	for _, member := range m.list {
		if !m.probed[member.Name] {
			m.probed[member.Name] = true
			names = append(names, member.Name)
			continue
		}
		o, out := m.outages[member.Name]
		if !out || now.Before(o.probeAt) {
			continue
		}
		o.probeAt = now.Add(max(o.pause, probeInterval))
		m.outages[member.Name] = o
		names = append(names, member.Name)
	}
	return names
}
