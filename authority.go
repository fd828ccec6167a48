package carobpulley

import (
	"time"
)

// Times of the authority protocol. Their sum bounds how long a removed failure
// domain can still start tasks: VouchValidity + EchoValidity < 3 s.
const (
	// ContactInterval is the time between two contacts of a pair of entries.
	ContactInterval = 250 * time.Millisecond
	// VouchValidity is how long a vouch counts from the time the asker sent.
	VouchValidity = 800 * time.Millisecond
	// EchoValidity is how long an agent accepts a reading of its own clock.
	EchoValidity = 1500 * time.Millisecond
	// ContactTimeout is how long a peer may be silent before its shards are claimed.
	ContactTimeout = 2 * time.Second
	// TakeoverDelay lets vouches and echoes of the old owner run out, with a
	// margin for clock rates.
	TakeoverDelay = 3 * time.Second
	// HandoverDelay replaces TakeoverDelay if the old owner itself has yielded,
	// so that only echoes have to run out. It ends early once all agents are fenced.
	HandoverDelay = EchoValidity + 100*time.Millisecond
)

// Authority decides whether this entry may act and which shards it owns. It is
// a state machine without I/O and not safe for concurrent use.
type Authority interface {
	// Step takes an event and returns what is to be done, in order.
	Step(now time.Time, ev AuthorityEvent) []AuthorityAction
	// Has reports whether a majority of votes is valid. Callers check it again
	// right before each dispatch.
	Has(now time.Time) bool
	// Owner returns the owner of a shard by the newest claim known.
	Owner(shard int) (Ownership, bool)
	// Active reports whether this entry owns the shard, has opened it, and has authority.
	Active(now time.Time, shard int) bool
}

// AuthorityEvent is an input of an Authority. The types below implement it.
type AuthorityEvent interface{ authorityEvent() }

// AuthorityAction is an output of an Authority. The types below implement it.
type AuthorityAction interface{ authorityAction() }

// Events of an Authority.
type (
	// Configured gives the names of all entries, this one included.
	Configured struct{ Entries []string }
	// ContactAnswered is a peer's answer to a contact.
	ContactAnswered struct {
		Peer        string
		Incarnation uint64
		SentAt      time.Time
		Vouch       bool
		Draining    bool
	}
	// LogRead tells that the tail of the owners stream was read.
	LogRead struct{ SentAt time.Time }
	// ClaimRead is an ownership claim read from the log, in log order.
	ClaimRead struct {
		Entry       string
		Incarnation uint64
		Shards      []Ownership
	}
	// ContactAsked is a peer's contact; the answer is a VouchFor action.
	ContactAsked struct {
		Peer        string
		Incarnation uint64
		Draining    bool
	}
	// YieldAsked is a new owner's request to stop vouching for older epochs.
	YieldAsked struct {
		Entry  string
		Shards []Ownership
	}
	// YieldAnswered is a peer's answer to a yield request.
	YieldAnswered struct {
		Peer        string
		Incarnation uint64
		Shards      []Ownership
		// Missing lists shards of which the peer may have lost claims.
		Missing []int
		// Opened lists the epochs under which the peer last opened shards.
		Opened []Ownership
	}
	// AgentsFenced tells that every agent answered the fence of the shards.
	AgentsFenced struct{ Shards []Ownership }
	// DrainStarted tells that this entry is stopping.
	DrainStarted struct{}
	// AuthorityTick lets time pass.
	AuthorityTick struct{}
)

// Actions of an Authority.
type (
	// AppendClaim asks to append a claim to the owners stream. Entry is the new
	// owner: this entry, or the one that a handover names.
	AppendClaim struct {
		Entry       string
		Incarnation uint64
		Shards      []Ownership
	}
	// SendYield asks a peer to stop vouching for older epochs.
	SendYield struct {
		Peer   string
		Shards []Ownership
	}
	// SendFence asks to raise the epochs at all agents and collect what they started.
	SendFence struct{ Shards []Ownership }
	// ReadJournals asks to collect the claims of shards from the journals, since
	// their previous owner has not handed its table over.
	ReadJournals struct{ Shards []Ownership }
	// OpenShards asks to open shards with all that was collected.
	OpenShards struct {
		Shards []Ownership
		// Missing lists shards of which some claims may be lost, unless the old
		// owner's journal is known to be complete.
		Missing []int
		// HandedOver lists shards whose previous owner handed its table over, so
		// that no journal is needed.
		HandedOver []int
	}
	// CloseShards asks to close shards that another entry claimed.
	CloseShards struct{ Shards []Ownership }
	// YieldFor is the answer to YieldAsked. The shell adds the claims it holds of
	// the shards, those of CloseShards included.
	YieldFor struct {
		Entry   string
		Shards  []Ownership
		Missing []int
		// Opened lists the epochs under which this entry last opened shards.
		Opened []Ownership
	}
	// VouchFor is the answer to ContactAsked.
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
