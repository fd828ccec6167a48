package roster

import (
	"slices"
	"time"

	"carobpulley"
)

const (
	// MaxEndpoints bounds memory. It is three times the design size of 2,600.
	// Announcements of further endpoints are ignored.
	MaxEndpoints = 7800
	// maxGap is the longest time between two events that counts in full. A longer
	// gap means that this process was paused while announcements were queued; it
	// must not remove all endpoints at once.
	maxGap = time.Second
	// tombstoneTTL is how long the tombstone of an endpoint remains that left or lost
	// its address to another ID, so that a delayed announcement does not add it again.
	tombstoneTTL = carobpulley.RemoveAfter
)

// clock converts the time of events to a time scale on which a pause of this
// process lasts maxGap.
type clock struct {
	last time.Time
	// paused is the total time by which gaps exceeded maxGap.
	paused time.Duration
}

// advance returns the adjusted time. It never goes back.
func (c *clock) advance(now time.Time) time.Time {
	if gap := now.Sub(c.last); !c.last.IsZero() && gap > maxGap {
		c.paused += gap - maxGap
	}
	if now.After(c.last) {
		c.last = now
	}
	return c.last.Add(-c.paused)
}

// node is an endpoint, or the tombstone of one that left or lost its address to
// another ID.
type node struct {
	carobpulley.RosterEntry
	agentTime int64
	tombstone bool
	// reportedAt is AnnouncedAt on the time scale of clock.
	reportedAt time.Time
	// timeoutAt is when the node becomes suspect or is removed, unless it announces
	// itself before.
	timeoutAt time.Time
	// heapIndex is the node's index in Roster.timeouts. Naive does not use it.
	heapIndex int
}

// isValid reports whether an announcement has an ID and a valid address.
func isValid(a carobpulley.Announced) bool {
	return a.Endpoint.ID != "" && a.Endpoint.Addr.IsValid()
}

// isStale reports whether an announcement is older than the state recorded for its
// ID.
func (n *node) isStale(a carobpulley.Announced) bool {
	if a.Endpoint.Incarnation != n.Endpoint.Incarnation {
		return a.Endpoint.Incarnation < n.Endpoint.Incarnation
	}
	return n.tombstone || a.AgentTime <= n.agentTime
}

// applyAnnouncement records an announcement that is not stale and returns the
// resulting actions.
func (n *node) applyAnnouncement(now, reportedAt time.Time, a carobpulley.Announced) []carobpulley.RosterAction {
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
	n.AnnouncedAt = now
	n.agentTime = a.AgentTime
	n.State = carobpulley.RosterAlive
	n.reportedAt = reportedAt
	n.timeoutAt = reportedAt.Add(carobpulley.SuspectAfter)
	n.tombstone = a.Leaving
	switch {
	case a.Leaving:
		n.timeoutAt = reportedAt.Add(tombstoneTTL)
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

// markSuspect makes a node suspect after a failed connection or a timeout. It
// returns nil if the node left or is suspect already.
func (n *node) markSuspect() []carobpulley.RosterAction {
	if n.tombstone || n.State == carobpulley.RosterSuspect {
		return nil
	}
	n.State = carobpulley.RosterSuspect
	n.timeoutAt = n.reportedAt.Add(carobpulley.RemoveAfter)
	return []carobpulley.RosterAction{carobpulley.EndpointSuspect{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation}}
}

// markReplaced turns the node into a tombstone because another ID has taken its
// address.
func (n *node) markReplaced(at time.Time) []carobpulley.RosterAction {
	n.tombstone = true
	n.timeoutAt = at.Add(tombstoneTTL)
	return []carobpulley.RosterAction{n.removedAction(carobpulley.RemovedReplaced)}
}

func (n *node) removedAction(reason carobpulley.RemovedReason) carobpulley.RosterAction {
	return carobpulley.EndpointRemoved{ID: n.Endpoint.ID, Incarnation: n.Endpoint.Incarnation, Reason: reason}
}

// handleTimeout makes the node suspect, or reports that it is to be removed if it is
// suspect or a tombstone.
func (n *node) handleTimeout() (out []carobpulley.RosterAction, gone bool) {
	switch {
	case n.tombstone:
		return nil, true
	case n.State == carobpulley.RosterSuspect:
		return []carobpulley.RosterAction{n.removedAction(carobpulley.RemovedUnresponsive)}, true
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
