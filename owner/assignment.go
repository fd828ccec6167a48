package owner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

// tick requests yields and journals for pending takeovers. With authority it also opens,
// claims and hands over shards and repeats this entry's claims. An entry that is cut off from
// the others has no authority and so claims nothing.
func (a *Authority) tick(now time.Time) []carobpulley.AuthorityAction {
	out := append(a.requestYields(now), a.requestJournals(now)...)
	if !a.Has(now) {
		return out
	}
	out = append(out, a.openDue(now)...)
	out = append(out, a.claimOrphans(now)...)
	out = append(out, a.handOver(now)...)
	return append(out, a.refresh(now)...)
}

// PreferredOwner returns the entry that should own a shard: the first in rendezvous order.
// Names for which skip returns true are passed over.
func PreferredOwner(entries []string, shard int, skip func(string) bool) (best string) {
	var highest uint64
	for _, name := range entries {
		if skip != nil && skip(name) {
			continue
		}
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(name)
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], uint64(shard))
		_, _ = d.Write(buf[:])
		if n := d.Sum64(); best == "" || n > highest {
			best, highest = name, n
		}
	}
	return best
}

// targetOwner returns the preferred owner among the entries that have been live for at
// least the given time and are not draining.
func (a *Authority) targetOwner(now time.Time, shard int, stable time.Duration) string {
	return PreferredOwner(a.entries, shard, func(name string) bool {
		if name == a.name {
			return a.draining
		}
		p := a.peers[name]
		return p == nil || p.incarnation == 0 || !a.live(now, p) || p.draining || now.Sub(p.liveSince) < stable
	})
}

// orphaned reports whether a shard has no live owner.
func (a *Authority) orphaned(now time.Time, s *shardState) bool {
	if s.epoch == 0 {
		return true
	}
	if s.owner == a.name {
		return s.incarnation != a.incarnation
	}
	p := a.peers[s.owner]
	return p == nil || !a.live(now, p) || p.incarnation > s.incarnation
}

// claimOrphans claims the shards without a live owner for which this entry is the target
// owner, and those that no entry has claimed within orphanClaimDelay. A draining entry claims
// none.
func (a *Authority) claimOrphans(now time.Time) []carobpulley.AuthorityAction {
	var claims []carobpulley.Ownership
	for i := range a.shards {
		s := &a.shards[i]
		if !a.orphaned(now, s) {
			s.orphanAt = time.Time{}
			continue
		}
		if s.orphanAt.IsZero() {
			s.orphanAt = now
		}
		delayed := now.Sub(s.orphanAt) < orphanClaimDelay
		if a.draining || delayed && a.targetOwner(now, i, 0) != a.name || !a.mayClaim(now, s) {
			continue
		}
		s.claimedAt = now
		claims = append(claims, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: max(s.epoch, s.yieldedEpoch) + 1})
	}
	if len(claims) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{
		carobpulley.AppendClaim{Entry: a.name, Incarnation: a.incarnation, Shards: claims},
	}
}

// mayClaim reports whether no claim by this entry on the shard is pending.
func (a *Authority) mayClaim(now time.Time, s *shardState) bool {
	return s.claimedAt.IsZero() || now.Sub(s.claimedAt) >= claimRetryInterval
}

// handOver claims shards on behalf of the entries that should own them: all shards when
// this entry drains, otherwise at most rebalanceShards in each rebalanceInterval.
func (a *Authority) handOver(now time.Time) []carobpulley.AuthorityAction {
	stable, limit := time.Duration(0), len(a.shards)
	if !a.draining {
		if now.Before(a.nextRebalanceAt) {
			return nil
		}
		a.nextRebalanceAt = now.Add(rebalanceInterval)
		stable, limit = minLiveTime, rebalanceShards
	}
	handovers := map[string][]carobpulley.Ownership{}
	for i := range a.shards {
		s := &a.shards[i]
		if !a.isOwner(s) || s.takeover != nil || !a.mayClaim(now, s) {
			continue
		}
		to := a.targetOwner(now, i, stable)
		if to == "" || to == a.name || limit == 0 {
			continue
		}
		limit--
		s.claimedAt = now
		handovers[to] = append(handovers[to], carobpulley.Ownership{Shard: i, Owner: to, Epoch: s.epoch + 1})
	}
	var out []carobpulley.AuthorityAction
	for _, name := range a.entries {
		if len(handovers[name]) > 0 {
			out = append(out, carobpulley.AppendClaim{
				Entry: name, Incarnation: a.peers[name].incarnation, Shards: handovers[name],
			})
		}
	}
	return out
}

// refresh appends this entry's claims again, since the log drops old records.
func (a *Authority) refresh(now time.Time) []carobpulley.AuthorityAction {
	if now.Before(a.nextRefreshAt) {
		return nil
	}
	a.nextRefreshAt = now.Add(refreshInterval)
	var owned []carobpulley.Ownership
	for i := range a.shards {
		if s := &a.shards[i]; a.isOwner(s) {
			owned = append(owned, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
		}
	}
	if len(owned) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{
		carobpulley.AppendClaim{Entry: a.name, Incarnation: a.incarnation, Shards: owned},
	}
}
