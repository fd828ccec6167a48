package owner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

const (
	// DepartedFor is how long the starts of an agent that is gone may belong to
	// open jobs: the longest deadline.
	DepartedFor = MaxDeadline
	// goneFor is how long claims name a departure. It is longer than
	// DepartedFor, since entries learn of the same departure at different times.
	goneFor = DepartedFor + time.Minute
)

// Departures remembers the agents that are gone. One that announced its
// departure starts nothing from then on, so that a job whose claim was made
// later has no starts there. It is not safe for concurrent use.
type Departures struct {
	left []departure
	// known is what Known returns; it is replaced and never changed in place.
	known []uint64
	// lostAt is when an agent last went without announcing it.
	lostAt time.Time
}

// departure is an agent that announced that it leaves.
type departure struct {
	agent uint64
	at    time.Time
}

// AgentKey identifies the process of an agent.
func AgentKey(endpoint string, incarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(endpoint)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], incarnation)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}

// Left notes an agent that announced its departure.
func (d *Departures) Left(now time.Time, endpoint string, incarnation uint64) {
	d.left = append(d.left, departure{agent: AgentKey(endpoint, incarnation), at: now})
	d.update(now)
}

// Lost notes an agent that fell silent or was replaced. Its process may live on
// and start tasks, so that no claim can be later than its departure.
func (d *Departures) Lost(now time.Time) {
	d.lostAt = now
}

// Known returns the agents that a claim made now names as gone. The caller must
// not change the list.
func (d *Departures) Known(now time.Time) []uint64 {
	if len(d.left) > 0 && now.Sub(d.left[0].at) >= goneFor {
		d.update(now)
	}
	return d.known
}

// Since returns the agents that left in the last DepartedFor, and whether
// others were lost in that time.
func (d *Departures) Since(now time.Time) (left []uint64, lost bool) {
	for _, p := range d.left {
		if now.Sub(p.at) < DepartedFor {
			left = append(left, p.agent)
		}
	}
	return left, !d.lostAt.IsZero() && now.Sub(d.lostAt) < DepartedFor
}

// update drops old departures and lists the newest ones.
func (d *Departures) update(now time.Time) {
	d.left = slices.DeleteFunc(d.left, func(p departure) bool { return now.Sub(p.at) >= goneFor })
	first := max(0, len(d.left)-carobpulley.MaxGone)
	d.known = make([]uint64, 0, len(d.left)-first)
	for _, p := range d.left[first:] {
		d.known = append(d.known, p.agent)
	}
}

// common returns the agents that both lists name.
func common(a, b []uint64) []uint64 {
	if slices.Equal(a, b) {
		return a
	}
	var out []uint64
	for _, agent := range a {
		if slices.Contains(b, agent) {
			out = append(out, agent)
		}
	}
	return out
}

// containsAll reports whether a list names all of the agents.
func containsAll(list, agents []uint64) bool {
	for _, agent := range agents {
		if !slices.Contains(list, agent) {
			return false
		}
	}
	return true
}
