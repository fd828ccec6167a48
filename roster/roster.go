package roster

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"carobpulley"
)

// Roster implements carobpulley.Roster.
//
// A larger incarnation of an ID replaces a smaller one. If two IDs announce the
// same address, one has replaced the other there: the ID with the larger
// incarnation stays. Announcements of the other ID are ignored until the one that
// stays has not announced itself for RemoveAfter, because incarnations from
// different hosts may be based on clocks that differ.
type Roster struct {
	clock    clock
	nodes    map[string]*node
	byAddr   map[netip.AddrPort]*node
	timeouts timeoutHeap
}

var _ carobpulley.Roster = (*Roster)(nil)

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		nodes:  map[string]*node{},
		byAddr: map[netip.AddrPort]*node{},
	}
}

// Step implements carobpulley.Roster.
func (r *Roster) Step(now time.Time, ev carobpulley.RosterEvent) []carobpulley.RosterAction {
	at := r.clock.advance(now)
	out := r.expire(at)
	switch e := ev.(type) {
	case carobpulley.Announced:
		return append(out, r.announced(now, at, e)...)
	case carobpulley.ConnectFailed:
		return append(out, r.connectFailed(e)...)
	}
	return out
}

// expire handles the timeouts that are due, the earliest first.
func (r *Roster) expire(at time.Time) []carobpulley.RosterAction {
	var out []carobpulley.RosterAction
	for len(r.timeouts) > 0 && !r.timeouts[0].timeoutAt.After(at) {
		n := r.timeouts[0]
		actions, gone := n.handleTimeout()
		out = append(out, actions...)
		if gone {
			r.remove(n)
		} else {
			heap.Fix(&r.timeouts, n.heapIndex)
		}
	}
	return out
}

func (r *Roster) announced(now, at time.Time, a carobpulley.Announced) []carobpulley.RosterAction {
	if !isValid(a) {
		return nil
	}
	n := r.nodes[a.Endpoint.ID]
	if n != nil && n.isStale(a) {
		return nil
	}
	if n == nil && len(r.nodes) >= MaxEndpoints {
		return nil
	}
	out, ok := r.evictFromAddr(n, at, a)
	if !ok {
		return nil
	}
	if n == nil {
		n = &node{heapIndex: -1}
		r.nodes[a.Endpoint.ID] = n
	}
	r.releaseAddr(n)
	out = append(out, n.applyAnnouncement(now, at, a)...)
	if !n.tombstone {
		r.byAddr[n.Endpoint.Addr] = n
	}
	if n.heapIndex < 0 {
		heap.Push(&r.timeouts, n)
	} else {
		heap.Fix(&r.timeouts, n.heapIndex)
	}
	return out
}

// evictFromAddr removes another ID with a smaller incarnation from the announced
// address. It returns false if the other ID stays there. The announcement of a
// departure does not claim the address.
func (r *Roster) evictFromAddr(n *node, at time.Time, a carobpulley.Announced) ([]carobpulley.RosterAction, bool) {
	other := r.byAddr[a.Endpoint.Addr]
	if other == nil || other == n || a.Leaving {
		return nil, true
	}
	if other.Endpoint.Incarnation >= a.Endpoint.Incarnation {
		return nil, false
	}
	r.releaseAddr(other)
	out := other.markReplaced(at)
	heap.Fix(&r.timeouts, other.heapIndex)
	return out, true
}

func (r *Roster) connectFailed(e carobpulley.ConnectFailed) []carobpulley.RosterAction {
	n := r.nodes[e.ID]
	if n == nil || n.Endpoint.Incarnation != e.Incarnation {
		return nil
	}
	out := n.markSuspect()
	heap.Fix(&r.timeouts, n.heapIndex)
	return out
}

func (r *Roster) remove(n *node) {
	r.releaseAddr(n)
	delete(r.nodes, n.Endpoint.ID)
	heap.Remove(&r.timeouts, n.heapIndex)
}

// releaseAddr makes the node's address available to other IDs.
func (r *Roster) releaseAddr(n *node) {
	if r.byAddr[n.Endpoint.Addr] == n {
		delete(r.byAddr, n.Endpoint.Addr)
	}
}

// Get implements carobpulley.Roster.
func (r *Roster) Get(id string) (carobpulley.RosterEntry, bool) {
	n := r.nodes[id]
	if n == nil || n.tombstone {
		return carobpulley.RosterEntry{}, false
	}
	return n.RosterEntry, true
}

// All implements carobpulley.Roster.
func (r *Roster) All() []carobpulley.RosterEntry {
	out := make([]carobpulley.RosterEntry, 0, len(r.nodes))
	for _, n := range r.nodes {
		if !n.tombstone {
			out = append(out, n.RosterEntry)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b carobpulley.RosterEntry) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) }

// timeoutHeap orders nodes by timeout, then by ID, so that the order of actions
// does not depend on the order of events.
type timeoutHeap []*node

func (h timeoutHeap) Len() int { return len(h) }

func (h timeoutHeap) Less(i, j int) bool {
	if c := h[i].timeoutAt.Compare(h[j].timeoutAt); c != 0 {
		return c < 0
	}
	return h[i].Endpoint.ID < h[j].Endpoint.ID
}

func (h timeoutHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timeoutHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *timeoutHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
