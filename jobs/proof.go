package jobs

import (
	"time"

	"carobpulley/work"
)

// proof is the latest read of the store that showed no newer owner of the owned shards.
type proof struct {
	sentAt time.Time
	// awaited is set while a task that could start otherwise waits for a later proof.
	awaited bool
}

// validUntil returns the time from which ownership is no longer proved.
func (p proof) validUntil(ttl time.Duration) time.Time { return p.sentAt.Add(ttl) }

// covers reports whether the read was sent after a time, so that a newer owner can only have come
// later still.
func (p proof) covers(at time.Time) bool { return p.sentAt.After(at) }

// requireProof keeps a durable task from starting until ownership is proved by a read that was sent
// after the given time.
//
// Answers the pattern of an owner that is cut off and takes runs for over: its authority outlasts the
// wait after which it is replaced, and a newer owner may have taken over the runs, or stored their ends.
func (tk *task) requireProof(at time.Time) {
	if at.After(tk.proofAfter) {
		tk.proofAfter = at
	}
}

// provenFor reports whether ownership is proved recently enough for a start of the task.
func (t *Table) provenFor(tk *task) bool {
	return !tk.job.durable() || t.proof.covers(tk.proofAfter)
}

// provenAt reports whether ownership is proved recently enough for a start of the task at the agent. An
// agent refuses starts of an owner once a newer one has attached, but has forgotten that after a restart.
func (t *Table) provenAt(tk *task, a *agentState) bool {
	return !tk.job.durable() || t.proof.covers(a.attachedAt)
}

// AwaitsProof reports whether an end or a task waits for a proof of the ownership.
func (t *Table) AwaitsProof() bool { return t.proof.awaited || t.HasUnconfirmedEnds() }

// ConfirmOwnership handles a read of the store that shows no newer owner of the owned
// shards. It acknowledges the unconfirmed ends received before the read was sent.
func (t *Table) ConfirmOwnership(sent time.Time) {
	if sent.After(t.proof.sentAt) {
		t.proof.sentAt = sent
	}
	for _, a := range t.active {
		for number, u := range a.unconfirmedEnds {
			if !u.receivedAt.Before(sent) {
				continue
			}
			delete(a.unconfirmedEnds, number)
			if s := t.shards[u.shard]; s != nil && s.epoch == u.epoch {
				a.acked = append(a.acked, number)
				// The endpoint takes no starts until the end is acknowledged.
				t.pendingDispatch(a)
			}
		}
	}
}

// HasUnconfirmedEnds reports whether an end waits for a confirmation of the ownership.
func (t *Table) HasUnconfirmedEnds() bool {
	for _, a := range t.active {
		if len(a.unconfirmedEnds) > 0 {
			return true
		}
	}
	return false
}

// ackAfterConfirmation acknowledges an end that changes nothing here once it is
// confirmed that this coordinator owned the shard when it received the end. Otherwise
// the shard's owner, or this coordinator once it has acquired the shard, may still need
// the end; the agent reports it again.
func (t *Table) ackAfterConfirmation(now time.Time, a *agentState, e *work.End) {
	number := work.ShardOf(work.JobOfTask(e.Run.Task), t.cfg.Shards)
	s := t.shards[number]
	if e.Sequence <= 0 || s == nil {
		return
	}
	if u, known := a.unconfirmedEnds[e.Sequence]; !known || u.epoch != s.epoch {
		a.unconfirmedEnds[e.Sequence] = unconfirmedEnd{shard: number, epoch: s.epoch, receivedAt: now}
	}
}
