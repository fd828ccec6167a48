package owner

import (
	"slices"
	"time"

	"carobpulley"
)

// Intervals and limits of the authority that are not part of the protocol.
const (
	// yieldRetryInterval is the time between two yield requests to the same peer.
	yieldRetryInterval = 500 * time.Millisecond
	// claimRetryInterval is the time after which an ownership claim that was not read back
	// from the log is appended again.
	claimRetryInterval = 2 * time.Second
	// orphanClaimDelay is how long an entry leaves an orphaned shard to the shard's
	// preferred owner.
	orphanClaimDelay = 4 * time.Second
	// minLiveTime is how long an entry must be live before shards move to it.
	minLiveTime = 10 * time.Second
	// rebalanceInterval and rebalanceShards bound the rate at which shards move to an entry
	// that came back.
	rebalanceInterval = 2 * time.Second
	rebalanceShards   = 4
	// refreshInterval is the time between two repetitions of an entry's ownership claims,
	// since the log's retention is limited.
	refreshInterval = 10 * time.Minute
	// backupTime is the time in which a new owner finds backup holders for the job claims
	// that it took over. If the owner fails before that, the claims may be lost.
	backupTime = 10 * time.Second
)

var _ carobpulley.Authority = (*Authority)(nil)

// Authority implements carobpulley.Authority. An entry has authority while a majority of
// votes is valid: its own, the leases (vouches) that its peers grant when contacted, and
// for an even number of entries a recent read of the log.
type Authority struct {
	name        string
	incarnation uint64
	startedAt   time.Time
	entries     []string
	peers       map[string]*peer
	shards      []shardState
	// logReadAt is when the request of the newest successful tail read was sent.
	logReadAt time.Time
	// ready is set once this process has read, or received from its peers, every claim to
	// which an earlier process of its name may have yielded. Until then it has no vote.
	ready           bool
	draining        bool
	nextRefreshAt   time.Time
	nextRebalanceAt time.Time
}

// peer is the state of another entry.
type peer struct {
	incarnation uint64
	// vouchAt is when the contact was sent that the newest vouch answers.
	vouchAt time.Time
	// lastContactAt is when the last contact or answer of the peer arrived, liveSince the
	// time from which these came without a gap of ContactTimeout or a restart of the peer.
	lastContactAt, liveSince time.Time
	// vouched is set once this process of the peer has vouched, which shows that it has a
	// vote.
	vouched  bool
	draining bool
}

// shardState is the state of one shard by the newest claim read.
type shardState struct {
	owner       string
	incarnation uint64
	epoch       uint64
	// readAt is when the newest claim was read.
	readAt time.Time
	// yieldedEpoch is the highest epoch to which this entry yielded.
	yieldedEpoch uint64
	// startEpoch is the epoch when this process became ready. Job claims held by an earlier
	// process for that epoch may be lost.
	startEpoch uint64
	// claimedAt is when this entry last asked to append a claim.
	claimedAt time.Time
	// orphanAt is when the shard was first seen without a live owner.
	orphanAt time.Time
	// openedEpoch is the epoch under which this entry last opened the shard.
	openedEpoch uint64
	takeover    *takeover
}

// takeover is the state of a shard that this entry has claimed successfully and not yet
// opened.
type takeover struct {
	previous      shardState
	acks          map[string]bool
	claimsMissing bool
	// handedOver is set once the previous owner itself has yielded and had opened the
	// shard.
	handedOver bool
	fenced     bool
	// journalsRequested is set once the journals were requested.
	journalsRequested bool
	// majorityAt is when a majority had yielded, requestedAt the time of the newest yield
	// request.
	majorityAt, requestedAt time.Time
}

// NewAuthority returns the authority of an entry process. The incarnation must be larger
// than that of any earlier process of the same name.
func NewAuthority(now time.Time, name string, incarnation uint64, shards int) *Authority {
	return &Authority{
		name: name, incarnation: incarnation, startedAt: now,
		peers: map[string]*peer{}, shards: make([]shardState, shards), nextRefreshAt: now.Add(refreshInterval),
	}
}

// Step implements carobpulley.Authority.
func (a *Authority) Step(now time.Time, ev carobpulley.AuthorityEvent) []carobpulley.AuthorityAction {
	switch ev := ev.(type) {
	case carobpulley.Configured:
		a.configure(now, ev.Entries)
	case carobpulley.ContactAnswered:
		a.contactAnswered(now, ev)
	case carobpulley.LogRead:
		a.handleLogRead(ev.SentAt)
	case carobpulley.ClaimRead:
		return a.handleClaim(now, ev)
	case carobpulley.ContactAsked:
		return a.contactAsked(now, ev)
	case carobpulley.YieldAsked:
		return a.handleYieldRequest(now, ev)
	case carobpulley.YieldAnswered:
		a.handleYieldAnswer(now, ev)
	case carobpulley.AgentsFenced:
		a.handleAgentsFenced(ev.Shards)
	case carobpulley.DrainStarted:
		a.draining = true
	case carobpulley.AuthorityTick:
		return a.tick(now)
	}
	return nil
}

// Has implements carobpulley.Authority.
func (a *Authority) Has(now time.Time) bool {
	if !a.ready || !slices.Contains(a.entries, a.name) {
		return false
	}
	votes := 1
	for _, name := range a.entries {
		if p := a.peers[name]; p != nil && vouchValid(now, p.vouchAt) {
			votes++
		}
	}
	if a.logHasVote() && vouchValid(now, a.logReadAt) {
		votes++
	}
	return votes >= a.majority()
}

// Owner implements carobpulley.Authority.
func (a *Authority) Owner(shard int) (carobpulley.Ownership, bool) {
	s := &a.shards[shard]
	return carobpulley.Ownership{Shard: shard, Owner: s.owner, Epoch: s.epoch}, s.epoch > 0
}

// Active implements carobpulley.Authority.
func (a *Authority) Active(now time.Time, shard int) bool {
	s := &a.shards[shard]
	return a.isOwner(s) && s.openedEpoch == s.epoch && s.yieldedEpoch <= s.epoch && a.Has(now)
}

// vouchValid reports whether a vote counts whose request was sent at the given time.
func vouchValid(now, sentAt time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < carobpulley.VouchValidity
}

// logHasVote reports whether the log has a vote, which makes the number of votes odd.
func (a *Authority) logHasVote() bool {
	return len(a.entries)%2 == 0
}

// majority returns the number of votes that make a majority.
func (a *Authority) majority() int {
	return len(a.entries)/2 + 1
}

// isOwner reports whether this process is the shard's owner by the newest claim.
func (a *Authority) isOwner(s *shardState) bool {
	return s.epoch > 0 && s.owner == a.name && s.incarnation == a.incarnation
}

// configure sets the names of the entries.
func (a *Authority) configure(now time.Time, entries []string) {
	a.entries = slices.Clone(entries)
	for name := range a.peers {
		if !slices.Contains(entries, name) {
			delete(a.peers, name)
		}
	}
	for _, name := range entries {
		if name != a.name && a.peers[name] == nil {
			a.peers[name] = &peer{lastContactAt: now, liveSince: now}
		}
	}
}

// recordContact records a message from a peer and returns the peer. It returns nil if the
// peer is not configured or the message is from a process that a newer one has replaced.
func (a *Authority) recordContact(now time.Time, name string, incarnation uint64, draining bool) *peer {
	p := a.peers[name]
	if p == nil || incarnation < p.incarnation {
		return nil
	}
	if incarnation > p.incarnation || !a.live(now, p) {
		p.liveSince = now
	}
	if incarnation > p.incarnation {
		p.vouchAt, p.vouched = time.Time{}, false
	}
	p.incarnation, p.lastContactAt, p.draining = incarnation, now, draining
	return p
}

// live reports whether the peer sent a message within ContactTimeout.
func (a *Authority) live(now time.Time, p *peer) bool {
	return now.Sub(p.lastContactAt) < carobpulley.ContactTimeout
}

// contactAnswered records a peer's vouch, valid from the time at which the contact was
// sent.
func (a *Authority) contactAnswered(now time.Time, ev carobpulley.ContactAnswered) {
	p := a.recordContact(now, ev.Peer, ev.Incarnation, ev.Draining)
	if p == nil {
		return
	}
	if !ev.Vouch {
		p.vouchAt = time.Time{}
		return
	}
	if ev.SentAt.After(p.vouchAt) {
		p.vouchAt = ev.SentAt
	}
	p.vouched = true
	a.checkReady()
}

// handleLogRead records the log's vote. The first read that was sent after the start also
// makes this process ready, since an entry yields only to claims that are in the log.
func (a *Authority) handleLogRead(sentAt time.Time) {
	if sentAt.After(a.logReadAt) {
		a.logReadAt = sentAt
	}
	if !sentAt.Before(a.startedAt) {
		a.becomeReady()
	}
}

// checkReady makes this process ready without the log once so many peers have vouched that
// they include another member of every majority to which this entry's name may have
// belonged.
func (a *Authority) checkReady() {
	votes := len(a.entries)
	if a.logHasVote() {
		votes++
	}
	n := 0
	for _, p := range a.peers {
		if p.vouched {
			n++
		}
	}
	if n > votes-a.majority() {
		a.becomeReady()
	}
}

// becomeReady gives this process its vote.
func (a *Authority) becomeReady() {
	if a.ready {
		return
	}
	a.ready = true
	for i := range a.shards {
		a.shards[i].startEpoch = a.shards[i].epoch
	}
}

// contactAsked answers a peer's contact. This entry vouches for the peer if it has a vote and
// the message is from the newest process of a configured entry. It does not vouch if it has
// yielded to a claim on one of the peer's shards that it has not read and so cannot send with
// the answer.
func (a *Authority) contactAsked(now time.Time, ev carobpulley.ContactAsked) []carobpulley.AuthorityAction {
	p := a.recordContact(now, ev.Peer, ev.Incarnation, ev.Draining)
	vouch := p != nil && a.ready
	for i := range a.shards {
		s := &a.shards[i]
		if s.owner == ev.Peer && s.yieldedEpoch > s.epoch {
			vouch = false
		}
	}
	return []carobpulley.AuthorityAction{carobpulley.VouchFor{Peer: ev.Peer, Vouch: vouch}}
}
