package roster

import (
	"slices"
	"time"

	"carobpulley"
)

// Naive implements carobpulley.Roster with a list. Each event scans the whole list.
type Naive struct {
	clock clock
	nodes []*node
}

var _ carobpulley.Roster = (*Naive)(nil)

// NewNaive returns an empty roster.
func NewNaive() *Naive { return &Naive{} }

// Step implements carobpulley.Roster.
func (r *Naive) Step(now time.Time, ev carobpulley.RosterEvent) []carobpulley.RosterAction {
	at := r.clock.advance(now)
	out := r.expire(at)
	switch e := ev.(type) {
	case carobpulley.Announced:
		return append(out, r.announced(now, at, e)...)
	case carobpulley.ConnectFailed:
		if n := r.find(e.ID); n != nil && n.Endpoint.Incarnation == e.Incarnation {
			return append(out, n.markSuspect()...)
		}
	}
	return out
}

// expire handles the timeouts that are due, the earliest first.
func (r *Naive) expire(at time.Time) []carobpulley.RosterAction {
	var out []carobpulley.RosterAction
	for {
		var first *node
		for _, n := range r.nodes {
			if first == nil || n.timeoutAt.Before(first.timeoutAt) || n.timeoutAt.Equal(first.timeoutAt) && n.Endpoint.ID < first.Endpoint.ID {
				first = n
			}
		}
		if first == nil || first.timeoutAt.After(at) {
			return out
		}
		actions, gone := first.handleTimeout()
		out = append(out, actions...)
		if gone {
			r.remove(first)
		}
	}
}

func (r *Naive) announced(now, at time.Time, a carobpulley.Announced) []carobpulley.RosterAction {
	n := r.find(a.Endpoint.ID)
	if !isValid(a) || n != nil && n.isStale(a) || n == nil && len(r.nodes) >= MaxEndpoints {
		return nil
	}
	var out []carobpulley.RosterAction
	for _, other := range r.nodes {
		if other == n || other.tombstone || a.Leaving || other.Endpoint.Addr != a.Endpoint.Addr {
			continue
		}
		if other.Endpoint.Incarnation >= a.Endpoint.Incarnation {
			return nil
		}
		out = append(out, other.markReplaced(at)...)
	}
	if n == nil {
		n = &node{}
		r.nodes = append(r.nodes, n)
	}
	return append(out, n.applyAnnouncement(now, at, a)...)
}

func (r *Naive) find(id string) *node {
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return n.Endpoint.ID == id })
	if i < 0 {
		return nil
	}
	return r.nodes[i]
}

func (r *Naive) remove(n *node) {
	r.nodes = slices.DeleteFunc(r.nodes, func(m *node) bool { return m == n })
}

// Get implements carobpulley.Roster.
func (r *Naive) Get(id string) (carobpulley.RosterEntry, bool) {
	n := r.find(id)
	if n == nil || n.tombstone {
		return carobpulley.RosterEntry{}, false
	}
	return n.RosterEntry, true
}

// All implements carobpulley.Roster.
func (r *Naive) All() []carobpulley.RosterEntry {
	out := make([]carobpulley.RosterEntry, 0, len(r.nodes))
	for _, n := range r.nodes {
		if !n.tombstone {
			out = append(out, n.RosterEntry)
		}
	}
	slices.SortFunc(out, byID)
	return out
}
