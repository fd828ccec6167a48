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

type hold struct {
	holder Holder
	at     time.Time
}

// Table holds what the home of some ids knows. The zero value is not usable; see New.
type Table struct {
	holds map[string]hold
	// order holds the grants from the oldest on. An id that was granted again has several.
	order []grant
}

type grant struct {
	id string
	at time.Time
}

// New returns an empty table.
func New() *Table { return &Table{holds: make(map[string]hold)} }

// Take gives the id to a holder, unless another one has it that is not the replaced one: a holder that
// was found not to have the job. It returns who holds the id now, and since when.
func (t *Table) Take(now time.Time, id string, by, replaced Holder) (holder Holder, since time.Time) {
	t.expire(now)
	if h, held := t.holds[id]; held && !h.holder.Same(by) && !h.holder.Same(replaced) {
		return h.holder, h.at
	}
	t.holds[id] = hold{holder: by, at: now}
	t.order = append(t.order, grant{id, now})
	return by, now
}

// Len returns the number of ids that are held.
func (t *Table) Len() int { return len(t.holds) }

func (t *Table) expire(now time.Time) {
	n := 0
	for ; n < len(t.order) && now.Sub(t.order[n].at) > retention; n++ {
		if g := t.order[n]; !t.holds[g.id].at.After(g.at) {
			delete(t.holds, g.id)
		}
	}
	t.order = t.order[n:]
}
