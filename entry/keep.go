package entry

import (
	"time"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/owner"
)

// gone names the agents known to have left.
func (e *Entry) gone() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.departures.Announced(time.Now())
}

// holdFor holds a claim for another entry, unless that entry has lost the shard
// or the copies take up all their memory. The owner then waits for another
// holder or the journal.
func (e *Entry) holdFor(c carobpulley.Claim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.witness.Hold(time.Now(), c)
	if !held {
		e.counters.heldRefused.Add(1)
	}
	return held
}

// keep stores what the owner answered beside the claim: that it took the job, a
// final answer, or a refusal as not run, which a new owner must not contradict.
// The claim of a body that is in conflict is dropped, so that it does not stand
// against the one that the owner took. After any other error the claim stays
// pending.
func (e *Entry) keep(c carobpulley.Claim, a carobpulley.Answer, err error) {
	c.Digest = owner.Digest(c.Spec)
	if err != nil {
		e.keepRefusal(c, inner.AsError(err))
		return
	}
	c.Pending = false
	if a.Outcome != carobpulley.OutcomeRunning {
		c.Answer = &a
		c.Spec.Payloads = nil
	}
	e.holdFor(c)
}

func (e *Entry) keepRefusal(c carobpulley.Claim, err *carobpulley.Error) {
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
		e.holdFor(c)
	case err.Kind == carobpulley.KindConflict:
		e.dropFor(c)
	}
}

func (e *Entry) dropFor(c carobpulley.Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.witness.Drop(c)
}
