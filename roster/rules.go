package roster

import (
	"slices"
	"time"

	"carobpulley"
)

const (
	// MaxEndpoints bounds the memory: three times the design size of 2,600.
	// Announcements of further endpoints are ignored.
	MaxEndpoints = 7800
	// maxGap is the longest time between two events that counts in full. A
	// longer one means that this process was paused while announcements
	// waited, and must not remove all endpoints at once.
	maxGap = time.Second
	// tombstone is how long an endpoint that left or lost its address is
	// remembered, so that a late announcement does not bring it back.
	tombstone = carobpulley.RemoveAfter
)

// clock converts the time of events to a time in which pauses of this process
// count as maxGap.
type clock struct {
	last time.Time
	skew time.Duration
}

func (c *clock) at(now time.Time) time.Time {
	if gap := now.Sub(c.last); !c.last.IsZero() && gap > maxGap {
		c.skew += gap - maxGap
	}
	if now.After(c.last) {
		c.last = now
	}
	return c.last.Add(-c.skew)
}

// node is an endpoint or the memory of one that left.
type node struct {
	carobpulley.RosterEntry
	agentTime int64
	left      bool
	// heard is HeardAt in the time of clock.
	heard time.Time
	// due is when silence has its next effect.
	due time.Time
	// index is the node's place in the heap of Roster.
	index int
}

// usable reports whether an announcement can be recorded at all.
func usable(a carobpulley.Announced) bool {
	return a.Endpoint.ID != "" && a.Endpoint.Addr.IsValid()
}

// stale reports whether an announcement is older than what is known of its ID.
func (n *node) stale(a carobpulley.Announced) bool {
	if a.Endpoint.Incarnation != n.Endpoint.Incarnation {
		return a.Endpoint.Incarnation < n.Endpoint.Incarnation
	}
	return n.left || a.AgentTime <= n.agentTime
}

// update takes an announcement that is not stale and returns what has changed.
func (n *node) update(now, heard time.Time, a carobpulley.Announced) []carobpulley.RosterAction {
	var out []carobpulley.RosterAction
	known := n.Endpoint.ID != "" && !n.left
	replaced := known && a.Endpoint.Incarnation > n.Endpoint.Incarnation
	if replaced {
		out = append(out, n.removed(carobpulley.RemovedReplaced))
	}
	same := known && !replaced && n.State == carobpulley.RosterAlive && sameEndpoint(n.Endpoint, a.Endpoint)
	if !same {
		n.Endpoint = a.Endpoint
		n.Endpoint.Services = slices.Clone(a.Endpoint.Services)
	}
	n.Load = a.Load
	n.HeardAt = now
	n.agentTime = a.AgentTime
	n.State = carobpulley.RosterAlive
	n.heard = heard
	n.due = heard.Add(carobpulley.SuspectAfter)
	n.left = a.Leaving
	switch {
	case a.Leaving:
		n.due = heard.Add(tombstone)
		if known && !replaced {
			out = append(out, n.removed(carobpulley.RemovedLeft))
		}
	case same:
		out = append(out, carobpulley.EndpointLoad{ID: n.Endpoint.ID, Load: n.Load})
	default:
		out = append(out, carobpulley.EndpointUp{Endpoint: n.Endpoint, Load: n.Load})
	}
	return out
}

// suspect marks a node after a failed connection or a silence. It returns nil
// if that changes nothing.
func (n *node) suspect() []carobpulley.RosterAction {
	if n.left || n.State == carobpulley.RosterSuspect {
		return nil
	}
	n.State = carobpulley.RosterSuspect
	n.due = n.heard.Add(carobpulley.RemoveAfter)
	return []carobpulley.RosterAction{carobpulley.EndpointSuspect{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation}}
}

// replace gives the node's address to another ID.
func (n *node) replace(at time.Time) []carobpulley.RosterAction {
	n.left = true
	n.due = at.Add(tombstone)
	return []carobpulley.RosterAction{n.removed(carobpulley.RemovedReplaced)}
}

func (n *node) removed(reason carobpulley.RemovedReason) carobpulley.RosterAction {
	return carobpulley.EndpointRemoved{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation, Reason: reason}
}

// expire applies a silence that is due. It reports whether the node is gone.
func (n *node) expire() (out []carobpulley.RosterAction, gone bool) {
	switch {
	case n.left:
		return nil, true
	case n.State == carobpulley.RosterSuspect:
		return []carobpulley.RosterAction{n.removed(carobpulley.RemovedSilent)}, true
	default:
		return n.suspect(), false
	}
}

func sameEndpoint(a, b carobpulley.Endpoint) bool {
	return a.Addr == b.Addr &&
		a.Domain == b.Domain &&
		a.Rack == b.Rack &&
		a.Slots == b.Slots &&
		a.Draining == b.Draining &&
		slices.Equal(a.Services, b.Services)
}
