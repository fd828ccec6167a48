package owner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

const (
	// DepartureWindow is how long tasks started at an agent that is gone may belong to open
	// jobs: the longest deadline.
	DepartureWindow = MaxDeadline
	// departureRetention is how long new claims name a departure. It is longer than
	// DepartureWindow, since entries learn of the same departure at different times.
	departureRetention = DepartureWindow + time.Minute
)

// Departures records the agents that are gone. An agent that announced its departure starts
// no task afterwards, so that a job whose claim was made later has no starts there. It is
// not safe for concurrent use.
type Departures struct {
	announced []departure
	// agents is the list that Announced returns; it is replaced and never changed in place.
	agents []uint64
	// lostAt is when an agent was last lost without an announcement.
	lostAt time.Time
}

// departure is an agent that announced its departure.
type departure struct {
	agent uint64
	at    time.Time
}

// AgentKey returns a hash that identifies the process of an agent.
func AgentKey(endpoint string, incarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(endpoint)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], incarnation)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}

// AddAnnounced records an agent that announced its departure.
func (d *Departures) AddAnnounced(now time.Time, endpoint string, incarnation uint64) {
	d.announced = append(d.announced, departure{agent: AgentKey(endpoint, incarnation), at: now})
	d.update(now)
}

// AddLost records that an agent became unresponsive or was replaced. Its process may still
// run and start tasks, so that no claim can be known to be later than its departure.
func (d *Departures) AddLost(now time.Time) {
	d.lostAt = now
}

// Announced returns the agents that a claim made now names as gone: the newest MaxGone
// announced departures. The caller must not change the list.
func (d *Departures) Announced(now time.Time) []uint64 {
	if len(d.announced) > 0 && now.Sub(d.announced[0].at) >= departureRetention {
		d.update(now)
	}
	return d.agents
}

// Recent returns the agents that announced their departure within DepartureWindow, and
// whether others were lost in that time.
func (d *Departures) Recent(now time.Time) (announced []uint64, lost bool) {
	for _, p := range d.announced {
		if now.Sub(p.at) < DepartureWindow {
			announced = append(announced, p.agent)
		}
	}
	return announced, !d.lostAt.IsZero() && now.Sub(d.lostAt) < DepartureWindow
}

// update removes expired departures and rebuilds the list of agents.
func (d *Departures) update(now time.Time) {
	d.announced = slices.DeleteFunc(d.announced, func(p departure) bool { return now.Sub(p.at) >= departureRetention })
	first := max(0, len(d.announced)-carobpulley.MaxGone)
	d.agents = make([]uint64, 0, len(d.announced)-first)
	for _, p := range d.announced[first:] {
		d.agents = append(d.agents, p.agent)
	}
}

// intersect returns the agents that are in both lists.
func intersect(a, b []uint64) []uint64 {
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

// containsAll reports whether a list contains all of the agents.
func containsAll(list, agents []uint64) bool {
	for _, agent := range agents {
		if !slices.Contains(list, agent) {
			return false
		}
	}
	return true
}
