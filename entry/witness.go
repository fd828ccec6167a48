package entry

import (
	"container/list"
	"time"

	"carobpulley"
)

const (
	// witnessRetention covers the longest deadline (10 min) and the retention
	// of keys after the end of a job (15 min).
	witnessRetention = 25 * time.Minute
	// maxWitnessBytes bounds the copies held for other entries. Beyond it a
	// claim is not held, and its owner waits for the journal instead.
	maxWitnessBytes = 64 << 20
	// claimOverhead is the memory of a claim beside its payloads, in bytes.
	claimOverhead = 512
)

// witness holds claims for other entries.
type witness struct {
	claims map[carobpulley.JobID]*list.Element
	// byAge lists the claims, oldest first.
	byAge *list.List
	bytes int
	// yielded is the newest epoch that this entry yielded a shard to.
	yielded map[int]uint64
}

type heldClaim struct {
	claim carobpulley.Claim
	bytes int
	until time.Time
}

func newWitness() *witness {
	return &witness{
		claims:  make(map[carobpulley.JobID]*list.Element),
		byAge:   list.New(),
		yielded: make(map[int]uint64),
	}
}

// hold keeps a claim and reports whether it did. It refuses claims of an epoch
// older than the one yielded to, since the new owner has read the claims.
func (w *witness) hold(now time.Time, c carobpulley.Claim) bool {
	if c.Epoch < w.yielded[c.Shard] {
		return false
	}
	w.expire(now)
	size := claimBytes(c)
	old := w.claims[c.Spec.ID]
	if old != nil {
		h, ok := old.Value.(*heldClaim)
		if ok && h.claim.Answer != nil && c.Answer == nil && h.claim.Epoch >= c.Epoch {
			return true
		}
	}
	if old == nil && w.bytes+size > maxWitnessBytes {
		return false
	}
	w.remove(old)
	w.bytes += size
	w.claims[c.Spec.ID] = w.byAge.PushBack(&heldClaim{
		claim: c,
		bytes: size,
		until: now.Add(witnessRetention),
	})
	return true
}

// yield returns the claims held for the shards and refuses older epochs from now on.
func (w *witness) yield(shards []carobpulley.Ownership) []carobpulley.Claim {
	asked := make(map[int]bool, len(shards))
	for _, s := range shards {
		asked[s.Shard] = true
		w.yielded[s.Shard] = max(w.yielded[s.Shard], s.Epoch)
	}
	var out []carobpulley.Claim
	for e := w.byAge.Front(); e != nil; e = e.Next() {
		h, ok := e.Value.(*heldClaim)
		if ok && asked[h.claim.Shard] {
			out = append(out, h.claim)
		}
	}
	return out
}

func (w *witness) expire(now time.Time) {
	for e := w.byAge.Front(); e != nil; e = w.byAge.Front() {
		h, ok := e.Value.(*heldClaim)
		if ok && now.Before(h.until) {
			return
		}
		w.remove(e)
	}
}

func (w *witness) remove(e *list.Element) {
	if e == nil {
		return
	}
	h, ok := w.byAge.Remove(e).(*heldClaim)
	if !ok {
		return
	}
	w.bytes -= h.bytes
	delete(w.claims, h.claim.Spec.ID)
}

func claimBytes(c carobpulley.Claim) int {
	n := claimOverhead + len(c.Spec.ID.Key)
	for _, p := range c.Spec.Payloads {
		n += len(p)
	}
	if c.Answer == nil {
		return n
	}
	for _, t := range c.Answer.Tasks {
		n += len(t.Result)
	}
	return n
}
