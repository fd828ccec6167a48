package carobpulley

import (
	"time"
)

// Intervals and timeouts of the endpoint membership.
const (
	// AnnounceInterval is the time between two announcements of an agent.
	AnnounceInterval = time.Second
	// SuspectAfter is the time without an announcement after which an endpoint gets
	// no new work.
	SuspectAfter = 2 * time.Second
	// RemoveAfter is the time without an announcement after which an endpoint is
	// removed.
	RemoveAfter = 10 * time.Second
)

// Roster maintains the list of endpoints from their announcements. An entry has a
// second roster for the other entries, with the entry's name as ID and its contacts
// as announcements. A roster is a state machine without I/O and not safe for
// concurrent use.
type Roster interface {
	// Step handles an event and returns the changes, in order. The caller sends a
	// RosterTick at least every 500 ms.
	Step(now time.Time, ev RosterEvent) []RosterAction
	// Get returns an endpoint that is alive or suspect.
	Get(id string) (RosterEntry, bool)
	// All returns the endpoints that are alive or suspect, ordered by ID.
	All() []RosterEntry
}

// RosterState is the state of an endpoint.
type RosterState string

// States of an endpoint. A draining endpoint is alive with Endpoint.Draining set.
const (
	RosterAlive   RosterState = "alive"
	RosterSuspect RosterState = "suspect"
)

// RosterEntry is an endpoint with its state.
type RosterEntry struct {
	Endpoint Endpoint
	Load     Load
	State    RosterState
	// AnnouncedAt is the time of the last announcement.
	AnnouncedAt time.Time
}

// RosterEvent is an input of a Roster. The types below implement it.
type RosterEvent interface{ rosterEvent() }

// RosterAction is an output of a Roster. The types below implement it.
type RosterAction interface{ rosterAction() }

// Events of a Roster.
type (
	// Announced is an announcement of an endpoint.
	Announced struct {
		Endpoint Endpoint
		Load     Load
		// AgentTime is the agent's own clock in nanoseconds. It orders the
		// announcements of an incarnation.
		AgentTime int64
		// Leaving is set in the last announcement of an incarnation.
		Leaving bool
	}
	// ConnectFailed reports that a dispatch could not be sent.
	ConnectFailed struct {
		ID          string
		Incarnation uint64
	}
	// RosterTick triggers the changes that are due at the time of the step.
	RosterTick struct{}
)

// RemovedReason is the reason why an endpoint was removed.
type RemovedReason string

// Reasons of a removal.
const (
	// RemovedUnresponsive means that no announcement arrived for RemoveAfter. The agent may
	// still run.
	RemovedUnresponsive RemovedReason = "silent"
	// RemovedLeft means that the endpoint announced its departure after its last task.
	RemovedLeft RemovedReason = "left"
	// RemovedReplaced means that a larger incarnation with the same ID or address
	// replaced the endpoint.
	RemovedReplaced RemovedReason = "replaced"
)

// Actions of a Roster.
type (
	// EndpointUp reports that an endpoint is new, changed, or no longer suspect.
	EndpointUp struct {
		Endpoint Endpoint
		Load     Load
	}
	// EndpointLoad reports the load of an endpoint that is up and otherwise
	// unchanged.
	EndpointLoad struct {
		ID   string
		Load Load
	}
	// EndpointSuspect reports that an endpoint became suspect and gets no new work.
	EndpointSuspect struct {
		ID          string
		Incarnation uint64
	}
	// EndpointRemoved reports that an endpoint was removed.
	EndpointRemoved struct {
		ID          string
		Incarnation uint64
		Reason      RemovedReason
	}
)

func (Announced) rosterEvent()     {}
func (ConnectFailed) rosterEvent() {}
func (RosterTick) rosterEvent()    {}

func (EndpointUp) rosterAction()      {}
func (EndpointLoad) rosterAction()    {}
func (EndpointSuspect) rosterAction() {}
func (EndpointRemoved) rosterAction() {}
