package holds

import (
	"net/netip"
	"time"
)

// retention is how long a hold is kept: as long as a coordinator keeps the outcome of a best-effort job.
const retention = 12 * time.Second

// Holder is the process of a coordinator that holds a job.
type Holder struct {
	Coordinator string
	Incarnation uint64
	Addr        netip.AddrPort
}

// Same reports whether two holders are one process.
func (h Holder) Same(other Holder) bool {
	return h.Coordinator == other.Coordinator && h.Incarnation == other.Incarnation
}

// Hold is the grant of an id to a holder.
type Hold struct {
	Holder Holder
	// Number tells the grants of an id apart, also those of one holder, who chooses it.
	Number uint64
	At     time.Time
	// Seen is the time of the latest sign of life of the holder.
	Seen time.Time
}

// Table holds what a replica knows. The zero value is not usable; see New.
type Table struct {
	holds map[string]Hold
	// seen holds, by the names of coordinators, the latest processes that have asked, and when.
	seen map[string]sign
	// order holds the grants from the oldest on. An id that was granted again has several.
	order []grant
}

type sign struct {
	incarnation uint64
	at          time.Time
}

type grant struct {
	id string
	at time.Time
}

// New returns an empty table.
func New() *Table { return &Table{holds: make(map[string]Hold), seen: make(map[string]sign)} }

// Take gives the id to a holder under a number, unless another one has it by another grant than the replaced
// one: a grant whose holder was found not to have the job. It returns the grant in force.
func (t *Table) Take(now time.Time, id string, by Holder, number, replaced uint64) Hold {
	t.expire(now)
	t.Heard(now, by)
	old, held := t.holds[id]
	if held && !old.Holder.Same(by) && old.Number != replaced {
		if s := t.seen[old.Holder.Coordinator]; s.incarnation == old.Holder.Incarnation && s.at.After(old.Seen) {
			old.Seen = s.at
		}
		return old
	}
	if held && old.Holder.Same(by) {
		number = max(number, old.Number) // an earlier ask may come later
	}
	h := Hold{Holder: by, Number: number, At: now, Seen: now}
	t.holds[id] = h
	t.order = append(t.order, grant{id, now})
	return h
}

// Heard records a sign of life of a process.
func (t *Table) Heard(now time.Time, h Holder) {
	if h.Incarnation >= t.seen[h.Coordinator].incarnation {
		t.seen[h.Coordinator] = sign{h.Incarnation, now}
	}
}

// Len returns the number of ids that are held.
func (t *Table) Len() int { return len(t.holds) }

func (t *Table) expire(now time.Time) {
	n := 0
	for ; n < len(t.order) && now.Sub(t.order[n].at) > retention; n++ {
		if g := t.order[n]; t.holds[g.id].At.Equal(g.at) {
			delete(t.holds, g.id)
		}
	}
	t.order = t.order[n:]
}
