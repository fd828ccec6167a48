package owner

import (
	"container/list"
	"time"

	"carobpulley"
)

// Approximate heap bytes, strings and payloads aside, of a copy, its answer, a payload and
// a task of an answer. They are set so that the sums are near the quantities
// "witnessed claim" and "receiver's copy" of `make slopes`, or above them.
const (
	claimOverhead   = 400
	answerOverhead  = 120
	payloadOverhead = 28
	taskOverhead    = 200
)

// resultDroppedText is the error text of a task whose result was dropped from a handed-over
// state.
const resultDroppedText = "the result of the task is no longer stored"

// heldClaim is a stored copy of a claim. The claim may be in use outside of the Witness:
// its parts are replaced and never changed in place.
type heldClaim struct {
	claim carobpulley.Claim
	// nextChangeAt is when a part of the copy next expires: the results AnswerRetention
	// after the answer, the payloads at the deadline, the key KeyRetention after the
	// deadline.
	nextChangeAt time.Time
	// answeredAt is when the final answer arrived.
	answeredAt time.Time
	size       int
	// resultsElement is the copy's element in the list of copies with results.
	resultsElement *list.Element
	heapIndex      int
}

// setClaim stores a claim without the parts that have expired.
func (h *heldClaim) setClaim(now time.Time, c carobpulley.Claim) {
	if isFinal(c) && h.answeredAt.IsZero() {
		h.answeredAt = now
	}
	deadline := c.Spec.Deadline
	h.nextChangeAt = deadline.Add(KeyRetention)
	if !now.Before(deadline) {
		c.Spec.Payloads = make([][]byte, len(c.Spec.Payloads))
	} else {
		h.nextChangeAt = deadline
	}
	if c.Answer != nil && len(c.Answer.Tasks) > 0 {
		switch dropAt := h.resultsUntil(c); {
		case !now.Before(dropAt):
			c = withoutResults(c)
		case dropAt.Before(h.nextChangeAt):
			h.nextChangeAt = dropAt
		}
	}
	h.claim = c
}

// resultsUntil returns when the results expire. A handed-over state is needed until its job
// has ended.
func (h *heldClaim) resultsUntil(c carobpulley.Claim) time.Time {
	if isFinal(c) {
		return h.answeredAt.Add(AnswerRetention)
	}
	return c.Spec.Deadline.Add(AnswerRetention)
}

// expired reports whether the key has passed its retention time.
func (h *heldClaim) expired(now time.Time) bool {
	return !now.Before(h.claim.Spec.Deadline.Add(KeyRetention))
}

func isFinal(c carobpulley.Claim) bool {
	return c.Answer != nil && c.Answer.Outcome != carobpulley.OutcomeRunning
}

func isComplete(c carobpulley.Claim) bool {
	return c.Answer != nil && c.Answer.Outcome == carobpulley.OutcomeComplete
}

// withoutResults returns a claim without results. A complete answer loses its tasks, by
// which a later owner sees that only the outcome is left. A task that is done in a
// handed-over state becomes unknown, since its job cannot complete.
func withoutResults(c carobpulley.Claim) carobpulley.Claim {
	a := *c.Answer
	c.Answer = &a
	if a.Outcome == carobpulley.OutcomeComplete {
		a.Tasks = nil
		c.Spec.Payloads = nil
		return c
	}
	a.Tasks = append([]carobpulley.Task(nil), a.Tasks...)
	for i := range a.Tasks {
		k := &a.Tasks[i]
		if len(k.Result) == 0 {
			continue
		}
		k.Result = nil
		if k.Phase == carobpulley.PhaseDone {
			k.Phase, k.Err = carobpulley.PhaseUnknown, resultDroppedText
		}
	}
	return c
}

// claimSize returns the approximate heap bytes of a copy.
func claimSize(c carobpulley.Claim) int {
	n := claimOverhead + 8*len(c.Gone) + len(c.Spec.ID.Member) + len(c.Spec.ID.Key) + len(c.Spec.Service)
	for _, p := range c.Spec.Payloads {
		n += payloadOverhead + len(p)
	}
	if c.Answer == nil {
		return n
	}
	n += answerOverhead
	if c.Answer.Err != nil {
		n += len(c.Answer.Err.Msg)
	}
	for _, k := range c.Answer.Tasks {
		n += taskOverhead + len(k.Endpoint) + len(k.Result) + len(k.Err)
	}
	return n
}

// expiryHeap is a heap of copies, earliest change first.
type expiryHeap []*heldClaim

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(a, b int) bool { return e[a].nextChangeAt.Before(e[b].nextChangeAt) }

func (e expiryHeap) Swap(a, b int) {
	e[a], e[b] = e[b], e[a]
	e[a].heapIndex, e[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	h := x.(*heldClaim)
	h.heapIndex = len(*e)
	*e = append(*e, h)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	old := *e
	n := len(old) - 1
	h := old[n]
	old[n] = nil
	*e = old[:n]
	return h
}
