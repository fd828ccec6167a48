package owner

import (
	"container/list"
	"time"

	"carobpulley"
)

// Heap bytes of a copy without its texts, of its answer, of a payload and of a
// task of an answer. They are set so that the sums are near the quantities
// "witnessed claim" and "receiver's copy" of `make slopes`, or above them.
const (
	heldBytes    = 400
	answerBytes  = 120
	payloadBytes = 28
	taskBytes    = 200
)

// resultLost is the error text of a task whose result a handed-over state no
// longer has.
const resultLost = "the result of the task is no longer stored"

// held is a stored copy. Its claim may be in use outside of the Witness: parts
// are replaced and never changed in place.
type held struct {
	claim carobpulley.Claim
	// at is the time of the next change: the results go AnswerRetention after the
	// answer, the payloads at the deadline, the key a retention time later.
	at time.Time
	// answeredAt is the time at which the final answer came.
	answeredAt time.Time
	size       int
	// listed is the place in the list of copies with results.
	listed *list.Element
	index  int
}

// assign stores a claim without the parts whose time has passed.
func (h *held) assign(now time.Time, c carobpulley.Claim) {
	if isFinal(c) && h.answeredAt.IsZero() {
		h.answeredAt = now
	}
	deadline := c.Spec.Deadline
	h.at = deadline.Add(KeyRetention)
	if !now.Before(deadline) {
		c.Spec.Payloads = make([][]byte, len(c.Spec.Payloads))
	} else {
		h.at = deadline
	}
	if c.Answer != nil && len(c.Answer.Tasks) > 0 {
		switch dropAt := h.resultsUntil(c); {
		case !now.Before(dropAt):
			c = withoutResults(c)
		case dropAt.Before(h.at):
			h.at = dropAt
		}
	}
	h.claim = c
}

// resultsUntil returns when the results go. A state handed over is needed until
// its job has ended.
func (h *held) resultsUntil(c carobpulley.Claim) time.Time {
	if isFinal(c) {
		return h.answeredAt.Add(AnswerRetention)
	}
	return c.Spec.Deadline.Add(AnswerRetention)
}

// expired reports whether the key has passed its retention time.
func (h *held) expired(now time.Time) bool {
	return !now.Before(h.claim.Spec.Deadline.Add(KeyRetention))
}

func isFinal(c carobpulley.Claim) bool {
	return c.Answer != nil && c.Answer.Outcome != carobpulley.OutcomeRunning
}

func isComplete(c carobpulley.Claim) bool {
	return c.Answer != nil && c.Answer.Outcome == carobpulley.OutcomeComplete
}

// withoutResults returns a claim without results. A complete answer loses its
// tasks, which tells a later owner that only the outcome is left. A task that is
// done in a state handed over becomes unknown, since its job cannot complete.
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
			k.Phase, k.Err = carobpulley.PhaseUnknown, resultLost
		}
	}
	return c
}

// heldSize returns the approximate heap bytes of a copy.
func heldSize(c carobpulley.Claim) int {
	n := heldBytes + 8*len(c.Gone) + len(c.Spec.ID.Member) + len(c.Spec.ID.Key) + len(c.Spec.Service)
	for _, p := range c.Spec.Payloads {
		n += payloadBytes + len(p)
	}
	if c.Answer == nil {
		return n
	}
	n += answerBytes
	if c.Answer.Err != nil {
		n += len(c.Answer.Err.Msg)
	}
	for _, k := range c.Answer.Tasks {
		n += taskBytes + len(k.Endpoint) + len(k.Result) + len(k.Err)
	}
	return n
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
