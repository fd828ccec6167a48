package oper

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/conf"
)

// PublishTimeout is how long an entry tries to publish a change before it
// returns an undecided outcome. It is shorter than the default timeout of an
// operator's command, 30 s, which leaves the command time to query the outcome.
const PublishTimeout = 10 * time.Second

// Backend is the interface of an entry to the handler. Its methods are safe for
// concurrent use.
type Backend interface {
	// Catalogue returns the newest version that the entry has.
	Catalogue() DocumentVersion
	// Version returns a recent version, or false if the entry does not keep its document.
	Version(version uint64) (DocumentVersion, bool)
	// Publish appends a change whose document is valid, and waits until a
	// majority of the entries has confirmed its version or ctx ends, which is
	// after PublishTimeout at most. A change whose id is among the recent ones
	// is not appended again; its outcome is returned. Nothing is appended while
	// the entry has no authority or has detected that the log is down.
	Publish(ctx context.Context, c conf.Change) ChangeState
	// Change returns the state of a change. The outcome is OutcomeUnknown if
	// the id is not among the recent ones.
	Change(ctx context.Context, id string) ChangeState
	// History returns the recent changes, oldest first.
	History() []conf.Result
	// Status returns the state of the whole service from the view of this entry.
	Status() Status
}

// Outcome is the state of a change as reported to operators.
type Outcome string

// Outcomes of a change.
const (
	// OutcomeAccepted is final: the version is never reverted.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict is final: the base version was not the current one, and
	// nothing has changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomePublished means that the change made a version in the log, which a
	// majority of the entries has not confirmed yet. Query it by its id.
	OutcomePublished Outcome = "published"
	// OutcomeUnknown means that the change may or may not be in the log. Query
	// it by its id; sending it again with the same id is safe.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnavailable means that the change was not accepted and never will
	// be, since the log is down or the entry has no authority.
	OutcomeUnavailable Outcome = "unavailable"
)

// ChangeState is the state of a change.
type ChangeState struct {
	Outcome  Outcome `json:"outcome"`
	ChangeID string  `json:"change_id"`
	// Version is the new version of a change that is accepted or published,
	// and the current version otherwise.
	Version uint64 `json:"version"`
	// Document is the current document after a conflict.
	Document string `json:"document,omitempty"`
	// Message explains the outcome to an operator.
	Message string `json:"message,omitempty"`
}

// ChangeRequest is the body of a change.
type ChangeRequest struct {
	ChangeID string `json:"change_id"`
	// BaseVersion is the version that the document was made from.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author"`
	Document    string `json:"document"`
}

// DocumentVersion is a version of the catalogue with its document.
type DocumentVersion struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
	// Error is the reason why the entry cannot parse the document, which is then
	// not in force at this entry.
	Error string `json:"error,omitempty"`
}

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// States of a process in a Status, besides carobpulley.RosterAlive and
// carobpulley.RosterSuspect.
const (
	// StateMissing is the state of a configured entry from which no response has
	// been received.
	StateMissing carobpulley.RosterState = "missing"
	// StateDraining is the state of a process that finishes its running work and
	// takes no new work.
	StateDraining carobpulley.RosterState = "draining"
)

// Status is the state of the service from the view of one entry.
type Status struct {
	// Entry is the name of the responding entry.
	Entry string `json:"entry"`
	// Version is the version in force at this entry.
	Version uint64 `json:"version"`
	// Authority reports whether this entry may start tasks.
	Authority bool      `json:"authority"`
	Log       LogState  `json:"log"`
	Processes []Process `json:"processes"`
	Shards    []Shard   `json:"shards"`
}

// LogState is the state of the platform's log.
type LogState struct {
	Up bool `json:"up"`
	// Since is the time at which Up last changed.
	Since time.Time `json:"since"`
	// Position is the offset up to which the config stream has been read.
	Position uint64 `json:"position"`
	// JournalBytes is the size of what the entry holds in memory until the log
	// takes it.
	JournalBytes int64 `json:"journal_bytes"`
	// Error is the latest failure while the log is down.
	Error string `json:"error,omitempty"`
}

// Process is an entry or an agent. The responding entry is listed too.
type Process struct {
	Role        Role                    `json:"role"`
	Name        string                  `json:"name"`
	Incarnation uint64                  `json:"incarnation"`
	Domain      string                  `json:"domain"`
	State       carobpulley.RosterState `json:"state"`
	// Version is the newest version that the responding entry has recorded as in force
	// at the process.
	Version uint64 `json:"version"`
	// Running is the number of tasks that run at an agent.
	Running int `json:"running"`
	// LagMillis is the time since an entry's last answer or an agent's last
	// announcement, in milliseconds. It is 0 for the responding entry and for a missing one.
	LagMillis int64 `json:"lag_ms"`
}

// Shard is the owner of a shard.
type Shard struct {
	Shard  int    `json:"shard"`
	Owner  string `json:"owner"`
	Epoch  uint64 `json:"epoch"`
	Active bool   `json:"active"`
}

// Behind returns the processes whose recorded version is older than a version.
func (s Status) Behind(version uint64) []Process {
	var out []Process
	for _, p := range s.Processes {
		if p.Version < version {
			out = append(out, p)
		}
	}
	return out
}
