package owner

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// Witness holds copies of claims for the owners of shards: those that this
// entry forwarded as receiver, those that owners sent to it, and those of
// shards that it handed over. It is not safe for concurrent use.
type Witness struct {
	// yielded is the highest epoch of each shard that this entry gave way to.
	yielded []uint64
	shards  []map[heldKey]*held
	expiry  expiries
}

// heldKey tells copies with different bodies apart, since a receiver may have
// forwarded both before it learns which one the owner took.
type heldKey struct {
	id     carobpulley.JobID
	digest uint64
}

// held is a stored copy.
type held struct {
	claim carobpulley.Claim
	// at is the time of the next change: at the deadline the payloads go, a
	// retention time later the key.
	at       time.Time
	stripped bool
	index    int
}

// NewWitness returns a store without claims.
func NewWitness(shards int) *Witness {
	w := &Witness{yielded: make([]uint64, shards), shards: make([]map[heldKey]*held, shards)}
	for i := range w.shards {
		w.shards[i] = map[heldKey]*held{}
	}
	return w
}

// Hold stores a copy of a claim. It returns false if this entry gave way to a
// newer epoch of the shard: the new owner would not learn of the copy. A
// receiver holds the claim as pending before it forwards the submission, and
// again without the mark once the owner has taken the job.
func (w *Witness) Hold(now time.Time, c carobpulley.Claim) bool {
	if c.Shard < 0 || c.Shard >= len(w.shards) || c.Epoch < w.yielded[c.Shard] {
		return false
	}
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := heldKey{id: c.Spec.ID, digest: c.Digest}
	h := w.shards[c.Shard][key]
	if h == nil {
		h = &held{claim: c, at: c.Spec.Deadline}
		w.shards[c.Shard][key] = h
		heap.Push(&w.expiry, h)
		return true
	}
	if !replaces(c, h.claim) {
		return true
	}
	c.Spec.Deadline = earlier(c.Spec.Deadline, h.claim.Spec.Deadline)
	h.claim = c
	if !now.Before(c.Spec.Deadline) {
		h.strip()
	}
	return true
}

// replaces reports whether a newer copy says more than the stored one. A plain
// copy says less than an answer, unless the owner went on without that answer,
// and less than the mark that it did.
func replaces(c, stored carobpulley.Claim) bool {
	wentOn := c.Resumed || c.Answer != nil && !c.Ended()
	switch {
	case c.Epoch < stored.Epoch, c.Pending && !stored.Pending:
		return false
	case stored.Ended() && !c.Ended():
		return wentOn && c.Epoch > stored.Epoch
	case stored.Resumed:
		return c.Ended() || wentOn
	default:
		return true
	}
}

// Drop removes the copy of a submission that the owner did not take.
func (w *Witness) Drop(c carobpulley.Claim) {
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := heldKey{id: c.Spec.ID, digest: c.Digest}
	if h := w.shards[c.Shard][key]; h != nil && h.claim.Answer == nil {
		heap.Remove(&w.expiry, h.index)
		delete(w.shards[c.Shard], key)
	}
}

// Yield gives way to newer epochs and returns the claims held of the shards.
// They stay held, since the next owner may be lost too.
func (w *Witness) Yield(shards []carobpulley.Ownership) []carobpulley.Claim {
	var out []carobpulley.Claim
	for _, o := range shards {
		if o.Shard < 0 || o.Shard >= len(w.shards) {
			continue
		}
		w.yielded[o.Shard] = max(w.yielded[o.Shard], o.Epoch)
		out = append(out, w.list(o.Shard)...)
	}
	return out
}

// list returns the claims held of a shard in the order of their jobs.
func (w *Witness) list(shard int) []carobpulley.Claim {
	out := make([]carobpulley.Claim, 0, len(w.shards[shard]))
	for _, h := range w.shards[shard] {
		out = append(out, h.claim)
	}
	slices.SortFunc(out, compareClaims)
	return out
}

// Expire drops what has passed its time.
func (w *Witness) Expire(now time.Time) {
	for len(w.expiry) > 0 && !now.Before(w.expiry[0].at) {
		h := w.expiry[0]
		c := &h.claim
		if !h.stripped {
			h.strip()
			h.at = h.at.Add(KeyRetention)
			heap.Fix(&w.expiry, 0)
			continue
		}
		heap.Pop(&w.expiry)
		delete(w.shards[c.Shard], heldKey{id: c.Spec.ID, digest: c.Digest})
	}
}

// strip drops the payloads and keeps their number.
func (h *held) strip() {
	h.stripped = true
	h.claim.Spec.Payloads = make([][]byte, len(h.claim.Spec.Payloads))
}

// earlier returns the earlier of two deadlines. A resubmission may carry a later
// one than the job that it joins.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compareClaims orders claims by job and body.
func compareClaims(a, b carobpulley.Claim) int {
	if n := strings.Compare(a.Spec.ID.Member, b.Spec.ID.Member); n != 0 {
		return n
	}
	if n := strings.Compare(a.Spec.ID.Key, b.Spec.ID.Key); n != 0 {
		return n
	}
	if a.Digest < b.Digest {
		return -1
	}
	return 1
}

// expiries is a heap of copies, earliest change first.
type expiries []*held

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(a, b int) bool { return e[a].at.Before(e[b].at) }

func (e expiries) Swap(a, b int) {
	e[a], e[b] = e[b], e[a]
	e[a].index, e[b].index = a, b
}

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	h := x.(*held)
	h.index = len(*e)
	*e = append(*e, h)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	old := *e
	n := len(old) - 1
	h := old[n]
	old[n] = nil
	*e = old[:n]
	return h
}
