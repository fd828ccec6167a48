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

// MaxHeldBytes limits the size of all copies of claims that a Witness holds. A claim beyond
// it is not held; its owner waits for the journal.
const MaxHeldBytes = 64 << 20

// Witness is the backup holder of job claims for the owners of shards. It holds the claims
// that this entry forwarded as receiver, those that owners sent to it, and those of shards
// that it handed over. It is not safe for concurrent use.
type Witness struct {
	// yieldedEpochs is, by shard, the highest epoch to which this entry yielded.
	yieldedEpochs []uint64
	shards        []map[claimKey]*heldClaim
	expiry        expiryHeap
	// results lists the copies with the results of a complete answer, oldest first.
	results *list.List
	bytes   int
	// limit is MaxHeldBytes; tests set a smaller one.
	limit int
}

// claimKey identifies a copy by job and body, since a receiver may have forwarded two
// bodies of a job before it learns which one the owner accepted.
type claimKey struct {
	id     carobpulley.JobID
	digest uint64
}

// NewWitness returns a Witness without claims.
func NewWitness(shards int) *Witness {
	w := &Witness{
		yieldedEpochs: make([]uint64, shards),
		shards:        make([]map[claimKey]*heldClaim, shards),
		results:       list.New(),
		limit:         MaxHeldBytes,
	}
	for i := range w.shards {
		w.shards[i] = map[claimKey]*heldClaim{}
	}
	return w
}

// Bytes returns the approximate size of all copies.
func (w *Witness) Bytes() int {
	return w.bytes
}

// Hold stores a copy of a claim. It returns false if this entry yielded to a newer epoch of
// the shard, since the new owner would not receive the copy, or if the copy does not fit.
// Results of complete answers are dropped in favour of claims, oldest first. A receiver
// holds the claim as pending before it forwards the submission, and again without the mark
// once the owner has accepted the job.
func (w *Witness) Hold(now time.Time, c carobpulley.Claim) bool {
	return w.hold(now, c, w.limit)
}

// HandOver stores a claim of a shard that this entry releases, whatever its size: the new
// owner treats the handed-over table as complete.
func (w *Witness) HandOver(now time.Time, c carobpulley.Claim) {
	w.hold(now, c, math.MaxInt)
}

func (w *Witness) hold(now time.Time, c carobpulley.Claim, limit int) bool {
	if c.Shard < 0 || c.Shard >= len(w.shards) || c.Epoch < w.yieldedEpochs[c.Shard] {
		return false
	}
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := claimKey{id: c.Spec.ID, digest: c.Digest}
	h := w.shards[c.Shard][key]
	if h == nil {
		if !w.freeSpace(claimSize(c), limit) {
			return false
		}
		h = &heldClaim{heapIndex: -1}
		w.shards[c.Shard][key] = h
		w.update(now, h, c)
		return true
	}
	if !supersedes(c, h.claim) {
		return true
	}
	c.Spec.Deadline = earlier(c.Spec.Deadline, h.claim.Spec.Deadline)
	c.Gone = intersect(h.claim.Gone, c.Gone)
	return w.replace(now, h, c, limit)
}

// replace sets a copy to a newer claim. If the results of a complete answer do not fit,
// only its outcome is held: it takes no more than the claim. A refusal is always held,
// since its owner relies on the receiver.
func (w *Witness) replace(now time.Time, h *heldClaim, c carobpulley.Claim, limit int) bool {
	growth := claimSize(c) - h.size
	if growth > 0 && !w.freeSpace(growth, limit) {
		switch {
		case isComplete(c):
			c = withoutResults(c)
		case c.Answer == nil || len(c.Answer.Tasks) > 0:
			return false
		}
	}
	w.update(now, h, c)
	return true
}

// freeSpace drops results until the given number of bytes fits under the limit. It returns
// false if they cannot fit.
func (w *Witness) freeSpace(size, limit int) bool {
	for w.bytes > limit-size && w.results.Len() > 0 {
		h := w.results.Front().Value.(*heldClaim)
		w.update(h.answeredAt, h, withoutResults(h.claim))
	}
	return w.bytes <= limit-size
}

// update stores a claim in a copy and updates the list of results, the size and the expiry
// heap.
func (w *Witness) update(now time.Time, h *heldClaim, c carobpulley.Claim) {
	h.setClaim(now, c)
	w.bytes -= h.size
	h.size = claimSize(h.claim)
	w.bytes += h.size
	switch hasResults := isComplete(h.claim) && len(h.claim.Answer.Tasks) > 0; {
	case hasResults && h.resultsElement == nil:
		h.resultsElement = w.results.PushBack(h)
	case !hasResults && h.resultsElement != nil:
		w.results.Remove(h.resultsElement)
		h.resultsElement = nil
	}
	if h.heapIndex < 0 {
		heap.Push(&w.expiry, h)
		return
	}
	heap.Fix(&w.expiry, h.heapIndex)
}

// remove deletes a copy.
func (w *Witness) remove(h *heldClaim) {
	heap.Remove(&w.expiry, h.heapIndex)
	if h.resultsElement != nil {
		w.results.Remove(h.resultsElement)
	}
	w.bytes -= h.size
	delete(w.shards[h.claim.Shard], claimKey{id: h.claim.Spec.ID, digest: h.claim.Digest})
}

// supersedes reports whether a new copy replaces the stored one. An answer takes precedence
// over a plain copy, unless a later owner resumed the job without that answer; the mark
// that an owner resumed the job takes precedence over a plain copy as well.
func supersedes(c, stored carobpulley.Claim) bool {
	resumed := c.Resumed || c.Answer != nil && !c.Ended()
	switch {
	case c.Epoch < stored.Epoch, c.Pending && !stored.Pending:
		return false
	case stored.Ended() && !c.Ended():
		return resumed && c.Epoch > stored.Epoch
	case stored.Resumed:
		return c.Ended() || resumed
	default:
		return true
	}
}

// Drop removes the copy of a submission that the owner did not accept.
func (w *Witness) Drop(c carobpulley.Claim) {
	if c.Digest == 0 {
		c.Digest = Digest(c.Spec)
	}
	key := claimKey{id: c.Spec.ID, digest: c.Digest}
	if h := w.shards[c.Shard][key]; h != nil && h.claim.Answer == nil {
		w.remove(h)
	}
}

// Yield records newer epochs of shards, so that Hold refuses claims of older ones, and returns
// the claims held for the shards. They stay stored, since the next owner may fail too.
func (w *Witness) Yield(shards []carobpulley.Ownership) []carobpulley.Claim {
	var out []carobpulley.Claim
	for _, o := range shards {
		if o.Shard < 0 || o.Shard >= len(w.shards) {
			continue
		}
		w.yieldedEpochs[o.Shard] = max(w.yieldedEpochs[o.Shard], o.Epoch)
		out = append(out, w.list(o.Shard)...)
	}
	return out
}

// list returns the claims held for a shard in the order of their jobs.
func (w *Witness) list(shard int) []carobpulley.Claim {
	out := make([]carobpulley.Claim, 0, len(w.shards[shard]))
	for _, h := range w.shards[shard] {
		out = append(out, h.claim)
	}
	slices.SortFunc(out, compareClaims)
	return out
}

// Expire drops the parts of copies that have expired.
func (w *Witness) Expire(now time.Time) {
	for len(w.expiry) > 0 && !now.Before(w.expiry[0].nextChangeAt) {
		h := w.expiry[0]
		if h.expired(now) {
			w.remove(h)
			continue
		}
		w.update(now, h, h.claim)
	}
}

// earlier returns the earlier of two deadlines. A resubmission may carry a later one than
// the job that it joins.
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
