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
	// tombstoneTTL is how long an endpoint that left or lost its address is
	// remembered, so that a late announcement does not bring it back.
	tombstoneTTL = carobpulley.RemoveAfter
)

// clock converts the time of events to a time in which pauses of this process
// count as maxGap.
type clock struct {
	last   time.Time
	paused time.Duration
}

func (c *clock) advance(now time.Time) time.Time {
	if gap := now.Sub(c.last); !c.last.IsZero() && gap > maxGap {
		c.paused += gap - maxGap
	}
	if now.After(c.last) {
		c.last = now
	}
	return c.last.Add(-c.paused)
}

// node is an endpoint or the memory of one that left.
type node struct {
	carobpulley.RosterEntry
	agentTime int64
	tombstone bool
	// reportedAt is HeardAt in the time of clock.
	reportedAt time.Time
	// timeoutAt is when silence has its next effect.
	timeoutAt time.Time
	// heapIndex is the node's place in the heap of Roster.
	heapIndex int
}

// isValid reports whether an announcement can be recorded at all.
func isValid(a carobpulley.Announced) bool {
	return a.Endpoint.ID != "" && a.Endpoint.Addr.IsValid()
}

// isStale reports whether an announcement is older than what is known of its ID.
func (n *node) isStale(a carobpulley.Announced) bool {
	if a.Endpoint.Incarnation != n.Endpoint.Incarnation {
		return a.Endpoint.Incarnation < n.Endpoint.Incarnation
	}
	return n.tombstone || a.AgentTime <= n.agentTime
}

// applyAnnouncement takes an announcement that is not stale and returns what has changed.
func (n *node) applyAnnouncement(now, heard time.Time, a carobpulley.Announced) []carobpulley.RosterAction {
	var out []carobpulley.RosterAction
	known := n.Endpoint.ID != "" && !n.tombstone
	replaced := known && a.Endpoint.Incarnation > n.Endpoint.Incarnation
	if replaced {
		out = append(out, n.removedAction(carobpulley.RemovedReplaced))
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
	n.reportedAt = heard
	n.timeoutAt = heard.Add(carobpulley.SuspectAfter)
	n.tombstone = a.Leaving
	switch {
	case a.Leaving:
		n.timeoutAt = heard.Add(tombstoneTTL)
		if known && !replaced {
			out = append(out, n.removedAction(carobpulley.RemovedLeft))
		}
	case same:
		out = append(out, carobpulley.EndpointLoad{ID: n.Endpoint.ID, Load: n.Load})
	default:
		out = append(out, carobpulley.EndpointUp{Endpoint: n.Endpoint, Load: n.Load})
	}
	return out
}

// markSuspect marks a node after a failed connection or a silence. It returns nil
// if that changes nothing.
func (n *node) markSuspect() []carobpulley.RosterAction {
	if n.tombstone || n.State == carobpulley.RosterSuspect {
		return nil
	}
	n.State = carobpulley.RosterSuspect
	n.timeoutAt = n.reportedAt.Add(carobpulley.RemoveAfter)
	return []carobpulley.RosterAction{carobpulley.EndpointSuspect{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation}}
}

// markReplaced gives the node's address to another ID.
func (n *node) markReplaced(at time.Time) []carobpulley.RosterAction {
	n.tombstone = true
	n.timeoutAt = at.Add(tombstoneTTL)
	return []carobpulley.RosterAction{n.removedAction(carobpulley.RemovedReplaced)}
}

func (n *node) removedAction(reason carobpulley.RemovedReason) carobpulley.RosterAction {
	return carobpulley.EndpointRemoved{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation, Reason: reason}
}

// handleTimeout applies a silence that is due. It reports whether the node is gone.
func (n *node) handleTimeout() (out []carobpulley.RosterAction, gone bool) {
	switch {
	case n.tombstone:
		return nil, true
	case n.State == carobpulley.RosterSuspect:
		return []carobpulley.RosterAction{n.removedAction(carobpulley.RemovedSilent)}, true
	default:
		return n.markSuspect(), false
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
