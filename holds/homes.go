package holds

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// downTime is how long a coordinator that did not answer is passed over at first. It doubles with
	// each further failure up to maxDownTime: the record of a host that is gone for good stays.
	downTime    = time.Second
	maxDownTime = 32 * time.Second
	// probeTime is how long a coordinator is passed over further while one ask finds out whether it
	// answers again.
	probeTime = 200 * time.Millisecond
	// minWeight bounds the weight of a coordinator from below, in CPU cores.
	minWeight = 0.01
)

// Member is a coordinator.
type Member struct {
	Name string
	// Weight is its share of the ids relative to the others: the CPU cores that it may use.
	Weight float64
}

// Homes chooses the homes of ids. It remembers the coordinators that did not answer.
type Homes struct {
	down map[string]outage
	// heard holds the times of the latest signs of life.
	heard map[string]time.Time
}

type outage struct {
	// since is the time of the first failure.
	since time.Time
	until time.Time
	pause time.Duration
	// replacedAt is the time at which another process was known to stand in for the coordinator; zero if none was.
	replacedAt time.Time
}

// NewHomes returns Homes without known outages.
func NewHomes() *Homes {
	return &Homes{down: make(map[string]outage), heard: make(map[string]time.Time)}
}

// Of returns the home of an id among the members that are not passed over; empty if there is none. It
// chooses by weighted rendezvous hashing, so that a member that joins or leaves moves its own ids only.
func (h *Homes) Of(now time.Time, id string, members []Member) string {
	return best(id, members, func(name string) bool { return !h.Down(now, name) })
}

// First returns the home of an id if no member is passed over; empty if there is none.
func First(id string, members []Member) string {
	return best(id, members, func(string) bool { return true })
}

// FirstAnswering returns the home of an id among the members that have answered or were not asked lately.
func (h *Homes) FirstAnswering(id string, members []Member) string {
	return best(id, members, func(name string) bool { _, out := h.down[name]; return !out })
}

// Ask returns the member to ask for an id: its home, or else the next member other than the one that asks.
// That one may reach the home, and others may not have passed it over. It is empty if none is left.
func (h *Homes) Ask(now time.Time, id, self string, members []Member) string {
	first := First(id, members)
	o, out := h.down[first]
	if first == self || !out {
		return first
	}
	if !now.Before(o.until) {
		o.until = now.Add(probeTime)
		h.down[first] = o
		return first
	}
	return h.Next(now, id, self, members)
}

// Next returns the home of an id after one of the members; empty if there is none.
func (h *Homes) Next(now time.Time, id, after string, members []Member) string {
	return best(id, members, func(name string) bool { return name != after && !h.Down(now, name) })
}

func best(id string, members []Member, eligible func(name string) bool) string {
	name, highest := "", math.Inf(-1)
	for _, m := range members {
		if !eligible(m.Name) {
			continue
		}
		if score := score(id, m); score > highest || score == highest && m.Name < name {
			name, highest = m.Name, score
		}
	}
	return name
}

// score is a draw from a distribution whose maximum over the members falls on each with a probability
// in proportion to its weight.
func score(id string, m Member) float64 {
	u := (float64(xxhash.Sum64String(id+"/"+m.Name)>>11) + 0.5) / (1 << 53)
	return math.Log(u) / max(m.Weight, minWeight)
}

// Down reports whether a coordinator is passed over.
func (h *Homes) Down(now time.Time, name string) bool { return now.Before(h.down[name].until) }

// Failed records that a coordinator did not answer, once for the calls that were under way at a time.
func (h *Homes) Failed(now time.Time, name string) {
	o, out := h.down[name]
	if !out {
		o = outage{since: now, pause: downTime / 2}
	}
	o.pause = min(2*o.pause, maxDownTime)
	o.until = now.Add(o.pause)
	h.down[name] = o
}

// StoodIn records that a process stands in for a coordinator. It is passed over for a while also by those
// that reach it, so that all ask the same process.
func (h *Homes) StoodIn(now time.Time, name string) {
	o, out := h.down[name]
	if !out {
		o = outage{since: now, pause: downTime, until: now.Add(downTime)}
	}
	o.replacedAt = now
	h.down[name] = o
}

// Out returns the time since which a coordinator has not answered.
func (h *Homes) Out(name string) (since time.Time, is bool) {
	o, is := h.down[name]
	return o.since, is
}

// Replaced returns the time at which another process was known to stand in for a coordinator that has not
// answered since.
func (h *Homes) Replaced(name string) (at time.Time, is bool) {
	at = h.down[name].replacedAt
	return at, !at.IsZero()
}

// Answered records that a coordinator answered.
func (h *Homes) Answered(name string) { delete(h.down, name) }

// Heard records a sign of life of a coordinator.
func (h *Homes) Heard(now time.Time, name string) {
	h.heard[name] = now
	h.Answered(name)
}

// HeardSince reports whether a coordinator gave a sign of life after a time: a call from before that it did not
// answer tells nothing.
func (h *Homes) HeardSince(name string, at time.Time) bool { return h.heard[name].After(at) }
