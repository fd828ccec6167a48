package owner

import (
	"slices"
	"time"

	"carobpulley"
)

// Times of the authority's own choices.
const (
	// yieldRepeat is the time between two yield requests to the same peer.
	yieldRepeat = 500 * time.Millisecond
	// claimRepeat is the time after which a claim that was not read back is
	// appended again.
	claimRepeat = 2 * time.Second
	// orphanPatience is how long an entry leaves an orphaned shard to the entry
	// that the spreading prefers.
	orphanPatience = 4 * time.Second
	// stableTime is how long an entry must be live before shards move to it.
	stableTime = 10 * time.Second
	// rebalanceInterval and rebalanceShards bound the shards that move to an
	// entry that came back.
	rebalanceInterval = 2 * time.Second
	rebalanceShards   = 4
	// refreshInterval is the time between two repetitions of an entry's claims,
	// since the log's retention is limited.
	refreshInterval = 10 * time.Minute
	// rehold is the time in which a new owner finds second holders for the
	// claims it took over. Until then they may be lost with it.
	rehold = 10 * time.Second
)

var _ carobpulley.Authority = (*Authority)(nil)

// Authority implements carobpulley.Authority.
type Authority struct {
	name        string
	incarnation uint64
	startedAt   time.Time
	entries     []string
	peers       map[string]*peer
	shards      []place
	// logAt is when the newest successful tail read was sent.
	logAt time.Time
	// ready is set once this process knows what its name may have promised
	// before a restart. Until then it has no vote.
	ready     bool
	draining  bool
	refreshAt time.Time
	moveAt    time.Time
}

// peer is another entry.
type peer struct {
	incarnation uint64
	// vouchAt is when the contact was sent that the newest vouch answers.
	vouchAt time.Time
	// heardAt is when anything was last heard, liveSince the start of an
	// unbroken time of being heard.
	heardAt, liveSince time.Time
	// taught is set once the peer answered with a vote of its own.
	taught   bool
	draining bool
}

// place is one shard as this entry knows it.
type place struct {
	owner       string
	incarnation uint64
	epoch       uint64
	// readAt is when the newest claim was read.
	readAt time.Time
	// yielded is the highest epoch that this entry gave way to.
	yielded uint64
	// born is the epoch at the start of this process. Claims that it held for
	// that epoch may be lost.
	born uint64
	// claimedAt is when this entry last asked to append a claim.
	claimedAt time.Time
	// orphanAt is when the shard was first seen without a live owner.
	orphanAt time.Time
	// opened is the epoch under which this entry opened the shard.
	opened uint64
	take   *takeover
}

// takeover is a claim that this entry won and has not opened.
type takeover struct {
	previous place
	acks     map[string]bool
	missing  bool
	// orderly is set once the previous owner itself has yielded.
	orderly bool
	fenced  bool
	// journals is set once the journals were asked for.
	journals bool
	// majorityAt is when a majority had yielded; askedAt is the newest request.
	majorityAt, askedAt time.Time
}

// NewAuthority returns the authority of an entry process. The incarnation is
// larger than that of any earlier process of the same name.
func NewAuthority(now time.Time, name string, incarnation uint64, shards int) *Authority {
	return &Authority{
		name: name, incarnation: incarnation, startedAt: now,
		peers: map[string]*peer{}, shards: make([]place, shards), refreshAt: now.Add(refreshInterval),
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
		a.logRead(ev.SentAt)
	case carobpulley.ClaimRead:
		return a.claimRead(now, ev)
	case carobpulley.ContactAsked:
		return a.contactAsked(now, ev)
	case carobpulley.YieldAsked:
		return a.yieldAsked(now, ev)
	case carobpulley.YieldAnswered:
		a.yieldAnswered(now, ev)
	case carobpulley.AgentsFenced:
		a.agentsFenced(ev.Shards)
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
		if p := a.peers[name]; p != nil && valid(now, p.vouchAt) {
			votes++
		}
	}
	if a.logVotes() && valid(now, a.logAt) {
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
	return a.mine(s) && s.opened == s.epoch && s.yielded <= s.epoch && a.Has(now)
}

// valid reports whether a vouch for a contact sent at the given time counts.
func valid(now, sentAt time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < carobpulley.VouchValidity
}

// logVotes reports whether the log has a vote.
func (a *Authority) logVotes() bool {
	return len(a.entries)%2 == 0
}

// majority returns the number of votes that make a majority.
func (a *Authority) majority() int {
	return len(a.entries)/2 + 1
}

// mine reports whether this process is the shard's owner by the newest claim.
func (a *Authority) mine(s *place) bool {
	return s.epoch > 0 && s.owner == a.name && s.incarnation == a.incarnation
}

// configure takes the names of the entries.
func (a *Authority) configure(now time.Time, entries []string) {
	a.entries = slices.Clone(entries)
	for name := range a.peers {
		if !slices.Contains(entries, name) {
			delete(a.peers, name)
		}
	}
	for _, name := range entries {
		if name != a.name && a.peers[name] == nil {
			a.peers[name] = &peer{heardAt: now, liveSince: now}
		}
	}
}

// heard notes a sign of life and returns the peer, or nil if it is unknown or
// a process that a newer one has replaced.
func (a *Authority) heard(now time.Time, name string, incarnation uint64, draining bool) *peer {
	p := a.peers[name]
	if p == nil || incarnation < p.incarnation {
		return nil
	}
	if incarnation > p.incarnation || !a.live(now, p) {
		p.liveSince = now
	}
	if incarnation > p.incarnation {
		p.vouchAt, p.taught = time.Time{}, false
	}
	p.incarnation, p.heardAt, p.draining = incarnation, now, draining
	return p
}

// live reports whether the peer was heard recently.
func (a *Authority) live(now time.Time, p *peer) bool {
	return now.Sub(p.heardAt) < carobpulley.ContactTimeout
}

// contactAnswered counts a peer's vouch from the time of the question.
func (a *Authority) contactAnswered(now time.Time, ev carobpulley.ContactAnswered) {
	p := a.heard(now, ev.Peer, ev.Incarnation, ev.Draining)
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
	p.taught = true
	a.learn()
}

// logRead counts the log's vote. The first read after the start also makes
// this process ready, since every promise concerns a record of the log.
func (a *Authority) logRead(sentAt time.Time) {
	if sentAt.After(a.logAt) {
		a.logAt = sentAt
	}
	if !sentAt.Before(a.startedAt) {
		a.becomeReady()
	}
}

// learn makes this process ready without the log, once so many peers have
// answered that every majority of which its name may have been a part has
// another member among them.
func (a *Authority) learn() {
	votes := len(a.entries)
	if a.logVotes() {
		votes++
	}
	n := 0
	for _, p := range a.peers {
		if p.taught {
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
		a.shards[i].born = a.shards[i].epoch
	}
}

// contactAsked vouches for a peer unless this entry gave way to a claim on one
// of its shards that it cannot attach to the answer yet.
func (a *Authority) contactAsked(now time.Time, ev carobpulley.ContactAsked) []carobpulley.AuthorityAction {
	p := a.heard(now, ev.Peer, ev.Incarnation, ev.Draining)
	vouch := p != nil && a.ready
	for i := range a.shards {
		s := &a.shards[i]
		if s.owner == ev.Peer && s.yielded > s.epoch {
			vouch = false
		}
	}
	return []carobpulley.AuthorityAction{carobpulley.VouchFor{Peer: ev.Peer, Vouch: vouch}}
}
