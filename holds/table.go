package holds

import (
	"math"
	"net/netip"
	"time"
)

// AnyHold as the replaced hold stands for whichever is in force.
const AnyHold = math.MaxUint64

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
	// Number tells the grants of an id apart, also those of one holder.
	Number uint64
	At     time.Time
	// Seen is the time of the latest sign of life of the holder.
	Seen time.Time
}

// Table holds what the home of some ids knows. The zero value is not usable; see New.
type Table struct {
	holds map[string]Hold
	// last is the number of the latest grant.
	last uint64
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
	id     string
	number uint64
	at     time.Time
}

// New returns an empty table.
func New() *Table { return &Table{holds: make(map[string]Hold), seen: make(map[string]sign)} }

// Take gives the id to a holder, unless another one has it by another grant than the replaced one: a grant
// whose holder was found not to have the job. It returns the grant in force.
func (t *Table) Take(now time.Time, id string, by Holder, replaced uint64) Hold {
	t.expire(now)
	if by.Incarnation >= t.seen[by.Coordinator].incarnation {
		t.seen[by.Coordinator] = sign{by.Incarnation, now}
	}
	if h, held := t.holds[id]; held && !h.Holder.Same(by) && h.Number != replaced && replaced != AnyHold {
		if s := t.seen[h.Holder.Coordinator]; s.incarnation == h.Holder.Incarnation && s.at.After(h.Seen) {
			h.Seen = s.at
		}
		return h
	}
	// Numbers of an earlier process of the home are smaller.
	t.last = max(t.last+1, uint64(now.UnixNano()))
	h := Hold{Holder: by, Number: t.last, At: now, Seen: now}
	t.holds[id] = h
	t.order = append(t.order, grant{id, t.last, now})
	return h
}

// Len returns the number of ids that are held.
func (t *Table) Len() int { return len(t.holds) }

func (t *Table) expire(now time.Time) {
	n := 0
	for ; n < len(t.order) && now.Sub(t.order[n].at) > retention; n++ {
		if g := t.order[n]; t.holds[g.id].Number == g.number {
			delete(t.holds, g.id)
		}
	}
	t.order = t.order[n:]
}
