package entry

import (
	"time"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/owner"
)

// departedAgents returns the agents that a claim made now names as departed.
func (e *Entry) departedAgents() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.departures.Announced(time.Now())
}

// holdForOwner stores a copy of another entry's claim. It returns false if that
// entry has lost the shard or the memory for copies is used up. For a forwarded
// submission the owner then requests another backup holder; for a claim that it
// sent to this entry as its witness it waits for the journal.
func (e *Entry) holdForOwner(c carobpulley.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.witness.Hold(time.Now(), c)
	if !held {
		e.counters.heldRefused.Add(1)
	}
	return held
}

// keep stores the owner's answer with the copy of the claim: that the job was
// accepted, its final answer, or a refusal as not run, which a new owner must not
// contradict. After a conflict the claim is dropped, so that its body does not
// compete with the body that the owner accepted. After any other error the claim
// stays pending.
func (e *Entry) keep(c carobpulley.Claim, a carobpulley.Answer, err error) {
	c.Digest = owner.Digest(c.Spec)
	if err != nil {
		e.holdRefusal(c, inner.AsError(err))
		return
	}
	c.Pending = false
	if a.Outcome != carobpulley.OutcomeRunning {
		c.Answer = &a
		c.Spec.Payloads = nil
	}
	e.holdForOwner(c)
}

// holdRefusal stores a refusal as not run as the job's final answer, and drops a
// claim that was in conflict.
func (e *Entry) holdRefusal(c carobpulley.Claim, err *carobpulley.Error) {
	switch {
	case err.NotRun:
		c.Pending = false
		c.Spec.Payloads = nil
		c.Answer = &carobpulley.Answer{
			ID:      c.Spec.ID,
			Service: c.Spec.Service,
			Outcome: carobpulley.OutcomeNotRun,
			Err:     err,
		}
		e.holdForOwner(c)
	case err.Kind == carobpulley.KindConflict:
		e.dropForOwner(c)
	}
}

func (e *Entry) dropForOwner(c carobpulley.Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.Drop(c)
}
