package owner

import (
	"container/heap"
	"container/list"
	"math"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// MaxHeldBytes is the size of all copies of claims that a Witness holds. A claim
// beyond it is not held; its owner waits for the journal.
const MaxHeldBytes = 64 << 20

// Witness holds copies of claims for the owners of shards: those that this
// entry forwarded as receiver, those that owners sent to it, and those of
// shards that it handed over. It is not safe for concurrent use.
type Witness struct {
	// yielded is the highest epoch of each shard that this entry gave way to.
	yielded []uint64
	shards  []map[heldKey]*held
	expiry  expiries
	// results lists the copies with the results of a complete answer, oldest
	// first.
	results *list.List
	bytes   int
	// limit is MaxHeldBytes; tests set a smaller one.
	limit int
}

// heldKey tells copies with different bodies apart, since a receiver may have
// forwarded both before it learns which one the owner took.
type heldKey struct {
	id     carobpulley.JobID
	digest uint64
}

// NewWitness returns a store without claims.
func NewWitness(shards int) *Witness {
	w := &Witness{
		yielded: make([]uint64, shards),
		shards:  make([]map[heldKey]*held, shards),
		results: list.New(),
		limit:   MaxHeldBytes,
	}
	for i := range w.shards {
		w.shards[i] = map[heldKey]*held{}
	}
	return w
}

// Bytes returns the approximate size of all copies.
func (w *Witness) Bytes() int {
	return w.bytes
}

// Hold stores a copy of a claim. It returns false if this entry gave way to a
// newer epoch of the shard, since the new owner would not learn of the copy, or
// if there is no room for it. Results of complete answers make room for claims,
// the oldest first. A receiver holds the claim as pending before it forwards
// the submission, and again without the mark once the owner has taken the job.
func (w *Witness) Hold(now time.Time, c carobpulley.Claim) bool {
	return w.hold(now, c, w.limit)
}

// HandOver stores a claim of a shard that this entry gives up, whatever its
// size: the new owner takes the table handed over as complete.
func (w *Witness) HandOver(now time.Time, c carobpulley.Claim) {
	w.hold(now, c, math.MaxInt)
}

func (w *Witness) hold(now time.Time, c carobpulley.Claim, limit int) bool {
	if c.Shard < 0 || c.Shard >= len(w.shards) || c.Epoch < w.yielded[c.Shard] {
		return false
	}
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := heldKey{id: c.Spec.ID, digest: c.Digest}
	h := w.shards[c.Shard][key]
	if h == nil {
		if !w.makeRoom(heldSize(c), limit) {
			return false
		}
		h = &held{index: -1}
		w.shards[c.Shard][key] = h
		w.set(now, h, c)
		return true
	}
	if c.Pending && !h.claim.Pending {
		return true
	}
	if c.Answer == nil && h.claim.Answer != nil && c.Epoch <= h.claim.Epoch {
		return true
	}
	if c.Epoch < h.claim.Epoch {
		return true
	}
	c.Spec.Deadline = earlier(c.Spec.Deadline, h.claim.Spec.Deadline)
	c.Gone = common(h.claim.Gone, c.Gone)
	return w.replace(now, h, c, limit)
}

// replace sets a held copy to a newer one. If there is no room for the results
// of a complete answer, its outcome is held. The outcome takes no more than the
// claim, and a refusal must be held since its owner counts on the receiver.
func (w *Witness) replace(now time.Time, h *held, c carobpulley.Claim, limit int) bool {
	grows := heldSize(c) - h.size
	if grows > 0 && !w.makeRoom(grows, limit) {
		switch {
		case isComplete(c):
			c = withoutResults(c)
		case c.Answer == nil || len(c.Answer.Tasks) > 0:
			return false
		}
	}
	w.set(now, h, c)
	return true
}

// makeRoom drops results until a number of bytes fits under the limit. It
// returns false if it does not.
func (w *Witness) makeRoom(need, limit int) bool {
	for w.bytes > limit-need && w.results.Len() > 0 {
		h := w.results.Front().Value.(*held)
		w.set(h.answeredAt, h, withoutResults(h.claim))
	}
	return w.bytes <= limit-need
}

// set stores a claim in a copy and brings the lists and sums up to date.
func (w *Witness) set(now time.Time, h *held, c carobpulley.Claim) {
	h.assign(now, c)
	w.bytes -= h.size
	h.size = heldSize(h.claim)
	w.bytes += h.size
	switch hasResults := isComplete(h.claim) && len(h.claim.Answer.Tasks) > 0; {
	case hasResults && h.listed == nil:
		h.listed = w.results.PushBack(h)
	case !hasResults && h.listed != nil:
		w.results.Remove(h.listed)
		h.listed = nil
	}
	if h.index < 0 {
		heap.Push(&w.expiry, h)
		return
	}
	heap.Fix(&w.expiry, h.index)
}

// remove forgets a copy.
func (w *Witness) remove(h *held) {
	heap.Remove(&w.expiry, h.index)
	if h.listed != nil {
		w.results.Remove(h.listed)
	}
	w.bytes -= h.size
	delete(w.shards[h.claim.Shard], heldKey{id: h.claim.Spec.ID, digest: h.claim.Digest})
}

// Drop removes the copy of a submission that the owner did not take.
func (w *Witness) Drop(c carobpulley.Claim) {
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := heldKey{id: c.Spec.ID, digest: c.Digest}
	if h := w.shards[c.Shard][key]; h != nil && h.claim.Answer == nil {
		w.remove(h)
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
		if h.expired(now) {
			w.remove(h)
			continue
		}
		w.set(now, h, h.claim)
	}
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
