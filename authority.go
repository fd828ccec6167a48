package carobpulley

import (
	"time"
)

// Intervals and timeouts of the authority protocol. A vouch is a lease that a peer
// grants, a contact is the exchange that renews it, and by a yield the peer revokes it
// for older epochs. VouchValidity + EchoValidity bounds how long a removed failure
// domain can still start tasks: less than 3 s.
const (
	// ContactInterval is the time between two contacts between a pair of entries.
	ContactInterval = 250 * time.Millisecond
	// VouchValidity is how long a vouch is valid, from the time at which the
	// requesting entry sent the contact.
	VouchValidity = 800 * time.Millisecond
	// EchoValidity is how long an agent accepts an echoed reading of its own clock.
	EchoValidity = 1500 * time.Millisecond
	// ContactTimeout is how long a peer may be unresponsive before its shards are
	// claimed.
	ContactTimeout = 2 * time.Second
	// TakeoverDelay is the wait in which the old owner's vouches and echoes expire,
	// with a margin for differing clock rates.
	TakeoverDelay = 3 * time.Second
	// HandoverDelay replaces TakeoverDelay if the old owner itself has yielded,
	// so that only echoes have to expire. It ends early once all agents are fenced.
	HandoverDelay = EchoValidity + 100*time.Millisecond
)

// Authority decides whether this entry may act and which shards it owns. It is
// a state machine without I/O and not safe for concurrent use.
type Authority interface {
	// Step handles an event and returns the actions to execute, in order.
	Step(now time.Time, ev AuthorityEvent) []AuthorityAction
	// Has reports whether a majority of votes is valid: this entry's own, the vouches of
	// its peers and, if that makes the number of votes odd, a recent read of the log.
	// Callers check it again right before each dispatch.
	Has(now time.Time) bool
	// Owner returns the owner of a shard by the newest claim known.
	Owner(shard int) (Ownership, bool)
	// Active reports whether this entry owns the shard, has opened it, and has
	// authority.
	Active(now time.Time, shard int) bool
}

// AuthorityEvent is an input of an Authority. The types below implement it.
type AuthorityEvent interface{ authorityEvent() }

// AuthorityAction is an output of an Authority. The types below implement it.
type AuthorityAction interface{ authorityAction() }

// Events of an Authority.
type (
	// Configured sets the names of all entries, including this one.
	Configured struct{ Entries []string }
	// ContactAnswered is a peer's answer to a contact. SentAt is when the
	// contact was sent.
	ContactAnswered struct {
		Peer        string
		Incarnation uint64
		SentAt      time.Time
		Vouch       bool
		Draining    bool
	}
	// LogRead reports that the tail of the owners stream was read.
	LogRead struct{ SentAt time.Time }
	// ClaimRead is an ownership claim read from the log, in log order.
	ClaimRead struct {
		Entry       string
		Incarnation uint64
		Shards      []Ownership
	}
	// ContactAsked is a contact from a peer; the answer is a VouchFor action.
	ContactAsked struct {
		Peer        string
		Incarnation uint64
		Draining    bool
	}
	// YieldAsked is a new owner's request to revoke vouches for older epochs; the answer
	// is a YieldFor action.
	YieldAsked struct {
		Entry  string
		Shards []Ownership
	}
	// YieldAnswered is a peer's answer to a yield request.
	YieldAnswered struct {
		Peer        string
		Incarnation uint64
		Shards      []Ownership
		// Missing lists shards for which the peer may have lost claims.
		Missing []int
		// Opened lists the epochs under which the peer last opened shards.
		Opened []Ownership
	}
	// AgentsFenced reports that every agent answered the fence of the shards.
	AgentsFenced struct{ Shards []Ownership }
	// DrainStarted reports that this entry is shutting down.
	DrainStarted struct{}
	// AuthorityTick triggers the work that is due at the time of the step.
	AuthorityTick struct{}
)

// Actions of an Authority.
type (
	// AppendClaim appends a claim to the owners stream. Entry is the new owner: this
	// entry, or the target of a handover.
	AppendClaim struct {
		Entry       string
		Incarnation uint64
		Shards      []Ownership
	}
	// SendYield asks a peer to revoke its vouches for older epochs.
	SendYield struct {
		Peer   string
		Shards []Ownership
	}
	// SendFence raises the epochs at all agents and collects the tasks that they
	// started.
	SendFence struct{ Shards []Ownership }
	// ReadJournals collects the claims of shards from the journals, since their
	// previous owner has not handed its table over.
	ReadJournals struct{ Shards []Ownership }
	// OpenShards opens shards with everything that was collected.
	OpenShards struct {
		Shards []Ownership
		// Missing lists shards for which some claims may be lost, unless the old
		// owner's journal is known to be complete.
		Missing []int
		// HandedOver lists shards whose previous owner handed its table over, so
		// that no journal is needed.
		HandedOver []int
	}
	// CloseShards closes shards that another entry claimed.
	CloseShards struct{ Shards []Ownership }
	// YieldFor is the answer to YieldAsked. The code that executes it adds the
	// claims that it holds for the shards, including those of CloseShards.
	YieldFor struct {
		Entry   string
		Shards  []Ownership
		Missing []int
		// Opened lists the epochs under which this entry last opened shards.
		Opened []Ownership
	}
	// VouchFor is the answer to ContactAsked. Vouch is set if this entry grants the
	// vouch.
	VouchFor struct {
		Peer  string
		Vouch bool
	}
)

func (Configured) authorityEvent()      {}
func (ContactAnswered) authorityEvent() {}
func (LogRead) authorityEvent()         {}
func (ClaimRead) authorityEvent()       {}
func (ContactAsked) authorityEvent()    {}
func (YieldAsked) authorityEvent()      {}
func (YieldAnswered) authorityEvent()   {}
func (AgentsFenced) authorityEvent()    {}
func (DrainStarted) authorityEvent()    {}
func (AuthorityTick) authorityEvent()   {}

func (AppendClaim) authorityAction()  {}
func (SendYield) authorityAction()    {}
func (SendFence) authorityAction()    {}
func (ReadJournals) authorityAction() {}
func (OpenShards) authorityAction()   {}
func (CloseShards) authorityAction()  {}
func (YieldFor) authorityAction()     {}
func (VouchFor) authorityAction()     {}
