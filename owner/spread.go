package owner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley"
)

// tick claims, hands over and opens shards. Claims need authority, so that an
// entry cut off from the others takes nothing.
func (a *Authority) tick(now time.Time) []carobpulley.AuthorityAction {
	out := append(a.askYields(now), a.readJournals(now)...)
	if !a.Has(now) {
		return out
	}
	out = append(out, a.openReady(now)...)
	out = append(out, a.claimOrphans(now)...)
	out = append(out, a.handOver(now)...)
	return append(out, a.refresh(now)...)
}

// Prefer returns the entry that the spreading prefers for a shard: the first
// in rendezvous order. Names for which skip returns true are passed over.
func Prefer(entries []string, shard int, skip func(string) bool) (best string) {
	var most uint64
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
		if n := d.Sum64(); best == "" || n > most {
			best, most = name, n
		}
	}
	return best
}

// target returns the entry that should own a shard: of those that are live and
// not draining, for at least the given time.
func (a *Authority) target(now time.Time, shard int, stable time.Duration) string {
	return Prefer(a.entries, shard, func(name string) bool {
		if name == a.name {
			return a.draining
		}
		p := a.peers[name]
		return p == nil || p.incarnation == 0 || !a.live(now, p) || p.draining || now.Sub(p.liveSince) < stable
	})
}

// orphaned reports whether a shard has no owner that is alive.
func (a *Authority) orphaned(now time.Time, s *place) bool {
	if s.epoch == 0 {
		return true
	}
	if s.owner == a.name {
		return s.incarnation != a.incarnation
	}
	p := a.peers[s.owner]
	return p == nil || !a.live(now, p) || p.incarnation > s.incarnation
}

// claimOrphans claims the shards without a live owner that this entry should
// own, or that nobody has claimed in time.
func (a *Authority) claimOrphans(now time.Time) []carobpulley.AuthorityAction {
	var claim []carobpulley.Ownership
	for i := range a.shards {
		s := &a.shards[i]
		if !a.orphaned(now, s) {
			s.orphanAt = time.Time{}
			continue
		}
		if s.orphanAt.IsZero() {
			s.orphanAt = now
		}
		patient := now.Sub(s.orphanAt) < orphanPatience
		if a.draining || patient && a.target(now, i, 0) != a.name || !a.mayClaim(now, s) {
			continue
		}
		s.claimedAt = now
		claim = append(claim, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: max(s.epoch, s.yielded) + 1})
	}
	if len(claim) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{
		carobpulley.AppendClaim{Entry: a.name, Incarnation: a.incarnation, Shards: claim},
	}
}

// mayClaim reports whether no claim of this entry on the shard is under way.
func (a *Authority) mayClaim(now time.Time, s *place) bool {
	return s.claimedAt.IsZero() || now.Sub(s.claimedAt) >= claimRepeat
}

// handOver gives shards to the entries that should own them: all when this
// entry drains, else a few at a time.
func (a *Authority) handOver(now time.Time) []carobpulley.AuthorityAction {
	stable, limit := time.Duration(0), len(a.shards)
	if !a.draining {
		if now.Before(a.moveAt) {
			return nil
		}
		a.moveAt = now.Add(rebalanceInterval)
		stable, limit = stableTime, rebalanceShards
	}
	give := map[string][]carobpulley.Ownership{}
	for i := range a.shards {
		s := &a.shards[i]
		if !a.mine(s) || s.take != nil || !a.mayClaim(now, s) {
			continue
		}
		to := a.target(now, i, stable)
		if to == "" || to == a.name || limit == 0 {
			continue
		}
		limit--
		s.claimedAt = now
		give[to] = append(give[to], carobpulley.Ownership{Shard: i, Owner: to, Epoch: s.epoch + 1})
	}
	var out []carobpulley.AuthorityAction
	for _, name := range a.entries {
		if len(give[name]) > 0 {
			out = append(out, carobpulley.AppendClaim{
				Entry: name, Incarnation: a.peers[name].incarnation, Shards: give[name],
			})
		}
	}
	return out
}

// refresh repeats this entry's claims, since the log forgets old records.
func (a *Authority) refresh(now time.Time) []carobpulley.AuthorityAction {
	if now.Before(a.refreshAt) {
		return nil
	}
	a.refreshAt = now.Add(refreshInterval)
	var own []carobpulley.Ownership
	for i := range a.shards {
		if s := &a.shards[i]; a.mine(s) {
			own = append(own, carobpulley.Ownership{Shard: i, Owner: a.name, Epoch: s.epoch})
		}
	}
	if len(own) == 0 {
		return nil
	}
	return []carobpulley.AuthorityAction{
		carobpulley.AppendClaim{Entry: a.name, Incarnation: a.incarnation, Shards: own},
	}
}
