package owner

import (
	"slices"
	"time"

	"carobpulley"
)

// handleClaim applies an ownership claim: the first one of an epoch in log order wins.
func (a *Authority) handleClaim(now time.Time, ev carobpulley.ClaimRead) []carobpulley.AuthorityAction {
	var won, lost []carobpulley.Ownership
	for _, o := range ev.Shards {
		if o.Shard < 0 || o.Shard >= len(a.shards) || o.Epoch <= a.shards[o.Shard].epoch {
			continue
		}
		s := &a.shards[o.Shard]
		previous := *s
		if a.isOwner(s) {
			lost = append(lost, o)
		}
		s.owner, s.incarnation, s.epoch, s.readAt = ev.Entry, ev.Incarnation, o.Epoch, now
		s.orphanAt, s.claimedAt, s.takeover = time.Time{}, time.Time{}, nil
		if a.isOwner(s) {
			previous.takeover = nil
			s.takeover = &takeover{previous: previous, acks: map[string]bool{}, claimsMissing: a.mayLackClaims(now, s)}
			won = append(won, carobpulley.Ownership{Shard: o.Shard, Owner: a.name, Epoch: o.Epoch})
		}
	}
	var out []carobpulley.AuthorityAction
	if len(lost) > 0 {
		out = append(out, carobpulley.CloseShards{Shards: lost})
	}
	if len(won) > 0 {
		out = append(out, carobpulley.SendFence{Shards: won})
		out = append(out, a.requestYields(now)...)
	}
	return out
}

// mayLackClaims reports whether this process may have lost job claims that an earlier
// process held for the epoch before the shard's newest one.
func (a *Authority) mayLackClaims(now time.Time, s *shardState) bool {
	if now.Sub(a.startedAt) >= MaxDeadline+KeyRetention {
		return false
	}
	return s.epoch > 1 && (!a.ready || s.startEpoch+1 >= s.epoch)
}

// handleYieldRequest yields shards to newer epochs, and to the newest epoch that it has read
// if the request is from the owner at that epoch.
func (a *Authority) handleYieldRequest(now time.Time, ev carobpulley.YieldAsked) []carobpulley.AuthorityAction {
	answer := carobpulley.YieldFor{Entry: ev.Entry}
	var lost []carobpulley.Ownership
	for _, o := range ev.Shards {
		if o.Shard < 0 || o.Shard >= len(a.shards) {
			continue
		}
		s := &a.shards[o.Shard]
		if o.Epoch < s.epoch || o.Epoch == s.epoch && s.owner != ev.Entry {
			continue
		}
		if a.isOwner(s) && o.Epoch > s.epoch && s.yieldedEpoch <= s.epoch {
			lost = append(lost, o)
		}
		next := shardState{epoch: o.Epoch, startEpoch: s.startEpoch}
		if a.mayLackClaims(now, &next) {
			answer.Missing = append(answer.Missing, o.Shard)
		}
		if s.openedEpoch > 0 {
			answer.Opened = append(answer.Opened, carobpulley.Ownership{Shard: o.Shard, Owner: a.name, Epoch: s.openedEpoch})
		}
		s.yieldedEpoch = max(s.yieldedEpoch, o.Epoch)
		answer.Shards = append(answer.Shards, o)
	}
	out := []carobpulley.AuthorityAction{answer}
	if len(lost) > 0 {
		out = slices.Insert(out, 0, carobpulley.AuthorityAction(carobpulley.CloseShards{Shards: lost}))
	}
	return out
}

// handleYieldAnswer counts a peer that yielded.
func (a *Authority) handleYieldAnswer(now time.Time, ev carobpulley.YieldAnswered) {
	for _, o := range ev.Shards {
		s := a.takingOver(o)
		if s == nil {
			continue
		}
		t := s.takeover
		t.acks[ev.Peer] = true
		if ev.Peer == t.previous.owner {
			// An owner that never opened the shard has no job table to hand over, and the
			// owner before it may still have authority.
			opened := slices.ContainsFunc(ev.Opened, func(p carobpulley.Ownership) bool {
				return p.Shard == o.Shard && p.Epoch == t.previous.epoch
			})
			t.handedOver = t.handedOver || opened && ev.Incarnation == t.previous.incarnation
		} else {
			t.claimsMissing = t.claimsMissing || slices.Contains(ev.Missing, o.Shard)
		}
		if t.majorityAt.IsZero() && a.votes(t) >= a.majority() {
			t.majorityAt = now
		}
	}
}

// handleAgentsFenced records that no agent accepts the older epochs any more.
func (a *Authority) handleAgentsFenced(shards []carobpulley.Ownership) {
	for _, o := range shards {
		if s := a.takingOver(o); s != nil {
			s.takeover.fenced = true
		}
	}
}

// takingOver returns the state of a shard if this entry is taking it over at the given
// epoch, or nil.
func (a *Authority) takingOver(o carobpulley.Ownership) *shardState {
	if o.Shard < 0 || o.Shard >= len(a.shards) {
		return nil
	}
	s := &a.shards[o.Shard]
	if s.takeover == nil || s.epoch != o.Epoch {
		return nil
	}
	return s
}

// votes returns the number of votes for a takeover: this entry, the peers that yielded, and
// the log, which has the claim.
func (a *Authority) votes(t *takeover) int {
	n := 0
	if a.ready {
		n++
	}
	for _, name := range a.entries {
		if t.acks[name] {
			n++
		}
	}
	if a.logHasVote() {
		n++
	}
	return n
}

// openAt returns the time from which a takeover may open its shard; zero if it is not yet
// known.
func (a *Authority) openAt(t *takeover) time.Time {
	switch {
	case t.majorityAt.IsZero():
		return time.Time{}
	case t.previous.epoch == 0 && t.previous.yieldedEpoch == 0, t.handedOver && t.fenced:
		return t.majorityAt
	case t.handedOver:
		return t.majorityAt.Add(carobpulley.HandoverDelay)
	default:
		return t.majorityAt.Add(carobpulley.TakeoverDelay)
	}
}

// claimsComplete reports whether all job claims of earlier epochs are known: the previous
// owner handed its table over, or every other entry yielded and has lost none.
func (a *Authority) claimsComplete(t *takeover) bool {
	if t.handedOver || t.previous.epoch == 0 {
		return true
	}
	for _, name := range a.entries {
		if name != a.name && name != t.previous.owner && !t.acks[name] {
			return false
		}
	}
	return !t.claimsMissing
}

// openDue opens the shards whose takeover is due.
func (a *Authority) openDue(now time.Time) []carobpulley.AuthorityAction {
	var open carobpulley.OpenShards
	for i := range a.shards {
		s := &a.shards[i]
		if s.takeover == nil || s.yieldedEpoch > s.epoch {
			continue
		}
		if at := a.openAt(s.takeover); at.IsZero() || now.Before(at) {
			continue
		}
		open.Shards = append(open.Shards, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
		// If the previous owner was new itself, it may have been the only holder of job
		// claims.
		previousNew := s.takeover.previous.epoch > 1 && s.readAt.Sub(s.takeover.previous.readAt) < backupTime
		if !a.claimsComplete(s.takeover) || previousNew && !s.takeover.handedOver {
			open.Missing = append(open.Missing, i)
		}
		if s.takeover.handedOver || s.takeover.previous.epoch == 0 {
			open.HandedOver = append(open.HandedOver, i)
		}
		s.openedEpoch, s.takeover = s.epoch, nil
	}
	if len(open.Shards) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{open}
}

// requestJournals requests the journals of shards whose previous owner did not hand over
// within yieldRetryInterval, the time in which an owner that hands over answers.
func (a *Authority) requestJournals(now time.Time) []carobpulley.AuthorityAction {
	var read carobpulley.ReadJournals
	for i := range a.shards {
		s := &a.shards[i]
		if s.takeover == nil || s.takeover.handedOver || s.takeover.journalsRequested || s.takeover.previous.epoch == 0 || now.Sub(s.readAt) < yieldRetryInterval {
			continue
		}
		s.takeover.journalsRequested = true
		read.Shards = append(read.Shards, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
	}
	if len(read.Shards) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{read}
}

// requestYields sends one request to each peer for the shards that it has not yielded.
func (a *Authority) requestYields(now time.Time) []carobpulley.AuthorityAction {
	requests := map[string][]carobpulley.Ownership{}
	for i := range a.shards {
		s := &a.shards[i]
		if s.takeover == nil || now.Sub(s.takeover.requestedAt) < yieldRetryInterval {
			continue
		}
		s.takeover.requestedAt = now
		if s.takeover.majorityAt.IsZero() && a.votes(s.takeover) >= a.majority() {
			s.takeover.majorityAt = now
		}
		for _, name := range a.entries {
			if name != a.name && !s.takeover.acks[name] {
				requests[name] = append(requests[name], carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
			}
		}
	}
	var out []carobpulley.AuthorityAction
	for _, name := range a.entries {
		if len(requests[name]) > 0 {
			out = append(out, carobpulley.SendYield{Peer: name, Shards: requests[name]})
		}
	}
	return out
}
