package owner

import (
	"slices"
	"time"

	"carobpulley"
)

// claimRead folds a claim: the first one of an epoch in log order wins.
func (a *Authority) claimRead(now time.Time, ev carobpulley.ClaimRead) []carobpulley.AuthorityAction {
	var won, lost []carobpulley.Ownership
	for _, o := range ev.Shards {
		if o.Shard < 0 || o.Shard >= len(a.shards) || o.Epoch <= a.shards[o.Shard].epoch {
			continue
		}
		s := &a.shards[o.Shard]
		previous := *s
		if a.mine(s) {
			lost = append(lost, o)
		}
		s.owner, s.incarnation, s.epoch, s.readAt = ev.Entry, ev.Incarnation, o.Epoch, now
		s.orphanAt, s.claimedAt, s.take = time.Time{}, time.Time{}, nil
		if a.mine(s) {
			previous.take = nil
			s.take = &takeover{previous: previous, acks: map[string]bool{}, missing: a.missing(now, s)}
			won = append(won, carobpulley.Ownership{Shard: o.Shard, Owner: a.name, Epoch: o.Epoch})
		}
	}
	var out []carobpulley.AuthorityAction
	if len(lost) > 0 {
		out = append(out, carobpulley.CloseShards{Shards: lost})
	}
	if len(won) > 0 {
		out = append(out, carobpulley.SendFence{Shards: won})
		out = append(out, a.askYields(now)...)
	}
	return out
}

// missing reports whether this process may have lost claims that it held for
// the epoch before the shard's newest one.
func (a *Authority) missing(now time.Time, s *place) bool {
	if now.Sub(a.startedAt) >= MaxDeadline+KeyRetention {
		return false
	}
	return s.epoch > 1 && (!a.ready || s.born+1 >= s.epoch)
}

// yieldAsked gives way to a newer epoch.
func (a *Authority) yieldAsked(now time.Time, ev carobpulley.YieldAsked) []carobpulley.AuthorityAction {
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
		if a.mine(s) && o.Epoch > s.epoch && s.yielded <= s.epoch {
			lost = append(lost, o)
		}
		next := place{epoch: o.Epoch, born: s.born}
		if a.missing(now, &next) {
			answer.Missing = append(answer.Missing, o.Shard)
		}
		if s.opened > 0 {
			answer.Opened = append(answer.Opened, carobpulley.Ownership{Shard: o.Shard, Owner: a.name, Epoch: s.opened})
		}
		s.yielded = max(s.yielded, o.Epoch)
		answer.Shards = append(answer.Shards, o)
	}
	out := []carobpulley.AuthorityAction{answer}
	if len(lost) > 0 {
		out = slices.Insert(out, 0, carobpulley.AuthorityAction(carobpulley.CloseShards{Shards: lost}))
	}
	return out
}

// yieldAnswered counts a peer that gave way.
func (a *Authority) yieldAnswered(now time.Time, ev carobpulley.YieldAnswered) {
	for _, o := range ev.Shards {
		s := a.taking(o)
		if s == nil {
			continue
		}
		t := s.take
		t.acks[ev.Peer] = true
		if ev.Peer == t.previous.owner {
			// An owner that never opened the shard has no table to hand over, and
			// the owner before it may still have authority.
			opened := slices.ContainsFunc(ev.Opened, func(p carobpulley.Ownership) bool {
				return p.Shard == o.Shard && p.Epoch == t.previous.epoch
			})
			t.orderly = t.orderly || opened && ev.Incarnation == t.previous.incarnation
		} else {
			t.missing = t.missing || slices.Contains(ev.Missing, o.Shard)
		}
		if t.majorityAt.IsZero() && a.votes(t) >= a.majority() {
			t.majorityAt = now
		}
	}
}

// agentsFenced notes that no agent accepts the older epochs any more.
func (a *Authority) agentsFenced(shards []carobpulley.Ownership) {
	for _, o := range shards {
		if s := a.taking(o); s != nil {
			s.take.fenced = true
		}
	}
}

// taking returns the shard if this entry is taking it over at the epoch, or nil.
func (a *Authority) taking(o carobpulley.Ownership) *place {
	if o.Shard < 0 || o.Shard >= len(a.shards) {
		return nil
	}
	s := &a.shards[o.Shard]
	if s.take == nil || s.epoch != o.Epoch {
		return nil
	}
	return s
}

// votes returns the votes for a takeover: this entry, the peers that gave way,
// and the log, which has the claim.
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
	if a.logVotes() {
		n++
	}
	return n
}

// openAt returns when a takeover may open its shard; zero if not yet known.
func (a *Authority) openAt(t *takeover) time.Time {
	switch {
	case t.majorityAt.IsZero():
		return time.Time{}
	case t.previous.epoch == 0 && t.previous.yielded == 0, t.orderly && t.fenced:
		return t.majorityAt
	case t.orderly:
		return t.majorityAt.Add(carobpulley.HandoverDelay)
	default:
		return t.majorityAt.Add(carobpulley.TakeoverDelay)
	}
}

// complete reports whether all claims of earlier epochs are known: the previous
// owner handed its table over, or every other entry gave way and has lost none.
func (a *Authority) complete(t *takeover) bool {
	if t.orderly || t.previous.epoch == 0 {
		return true
	}
	for _, name := range a.entries {
		if name != a.name && name != t.previous.owner && !t.acks[name] {
			return false
		}
	}
	return !t.missing
}

// openReady opens the shards whose takeover is due.
func (a *Authority) openReady(now time.Time) []carobpulley.AuthorityAction {
	var open carobpulley.OpenShards
	for i := range a.shards {
		s := &a.shards[i]
		if s.take == nil || s.yielded > s.epoch {
			continue
		}
		if at := a.openAt(s.take); at.IsZero() || now.Before(at) {
			continue
		}
		open.Shards = append(open.Shards, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
		// A previous owner that was new itself may have been the only holder.
		young := s.take.previous.epoch > 1 && s.readAt.Sub(s.take.previous.readAt) < rehold
		if !a.complete(s.take) || young && !s.take.orderly {
			open.Missing = append(open.Missing, i)
		}
		if s.take.orderly || s.take.previous.epoch == 0 {
			open.HandedOver = append(open.HandedOver, i)
		}
		s.opened, s.take = s.epoch, nil
	}
	if len(open.Shards) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{open}
}

// readJournals asks for the journals of shards whose previous owner has not
// answered in the time in which one that hands over does.
func (a *Authority) readJournals(now time.Time) []carobpulley.AuthorityAction {
	var read carobpulley.ReadJournals
	for i := range a.shards {
		s := &a.shards[i]
		if s.take == nil || s.take.orderly || s.take.journals || s.take.previous.epoch == 0 || now.Sub(s.readAt) < yieldRepeat {
			continue
		}
		s.take.journals = true
		read.Shards = append(read.Shards, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
	}
	if len(read.Shards) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{read}
}

// askYields asks the peers that have not given way, one request each.
func (a *Authority) askYields(now time.Time) []carobpulley.AuthorityAction {
	ask := map[string][]carobpulley.Ownership{}
	for i := range a.shards {
		s := &a.shards[i]
		if s.take == nil || now.Sub(s.take.askedAt) < yieldRepeat {
			continue
		}
		s.take.askedAt = now
		if s.take.majorityAt.IsZero() && a.votes(s.take) >= a.majority() {
			s.take.majorityAt = now
		}
		for _, name := range a.entries {
			if name != a.name && !s.take.acks[name] {
				ask[name] = append(ask[name], carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
			}
		}
	}
	var out []carobpulley.AuthorityAction
	for _, name := range a.entries {
		if len(ask[name]) > 0 {
			out = append(out, carobpulley.SendYield{Peer: name, Shards: ask[name]})
		}
	}
	return out
}
