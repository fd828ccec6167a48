package holds

import (
	"cmp"
	"math"
	"slices"
	"strconv"
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
}

type outage struct {
	until time.Time
	pause time.Duration
}

// NewHomes returns Homes without known outages.
func NewHomes() *Homes { return &Homes{down: make(map[string]outage)} }

// Of returns the home of an id among the members that are not passed over; empty if there is none. It
// chooses by weighted rendezvous hashing, so that a member that joins or leaves moves its own ids only.
func (h *Homes) Of(now time.Time, id string, members []Member) string {
	return best(id, members, func(name string) bool { return !h.Down(now, name) })
}

// Ask returns the member to ask for an id: its home, or else the next member other than the one that asks.
// That one may reach the home, and others may not have passed it over. It is empty if none is left.
func (h *Homes) Ask(now time.Time, id, self string, members []Member) string {
	first := best(id, members, func(string) bool { return true })
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

// Before returns the members that come before another one in the order for an id.
func Before(id, name string, members []Member) []string {
	n := slices.IndexFunc(members, func(m Member) bool { return m.Name == name })
	if n < 0 {
		return nil
	}
	var before []string
	for _, m := range members {
		if score(id, m) > score(id, members[n]) {
			before = append(before, m.Name)
		}
	}
	return before
}

// Digest returns a digest of the members' names and weights, in whichever order they are.
func Digest(members []Member) uint64 {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	d := xxhash.New()
	for _, m := range sorted {
		_, _ = d.WriteString(m.Name + "=" + strconv.FormatFloat(m.Weight, 'g', -1, 64) + ";")
	}
	return d.Sum64()
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
	pause := min(2*h.down[name].pause, maxDownTime)
	if pause == 0 {
		pause = downTime
	}
	h.down[name] = outage{until: now.Add(pause), pause: pause}
}

// Answered records that a coordinator answered.
func (h *Homes) Answered(name string) { delete(h.down, name) }
