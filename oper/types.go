package oper

import (
	"context"
	"time"

	"carobpulley"
	"carobpulley/conf"
)

// PublishTimeout is how long an entry tries to publish a change before it
// answers that the outcome is open. It leaves an operator's command, with 30 s
// by default, time to ask again.
const PublishTimeout = 10 * time.Second

// Backend is what an entry provides to the handler. Its methods are safe for
// concurrent use.
type Backend interface {
	// Catalogue returns the newest version known.
	Catalogue() Current
	// Version returns a recent version, or false if its document is not kept.
	Version(version uint64) (Current, bool)
	// Publish appends a change whose document is valid, and waits until a
	// majority of the entries has confirmed its version or ctx ends, which is
	// after PublishTimeout at most. A change whose id is among the recent ones
	// is not appended again; its outcome is returned. Nothing is appended while
	// the log is known to be down or the entry has no authority.
	Publish(ctx context.Context, c conf.Change) Answer
	// Change returns the state of a change. The outcome is OutcomeUnknown if
	// the id is not among the recent ones.
	Change(ctx context.Context, id string) Answer
	// History returns the recent changes, oldest first.
	History() []conf.Result
	// Status returns the state of the whole service as this entry sees it.
	Status() Status
}

// Outcome is the state of a change as an operator sees it.
type Outcome string

// Outcomes of a change.
const (
	// OutcomeAccepted is final: the version is never reverted.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict is final: the base version was not the current one, and
	// nothing has changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomePublished is a change that made a version in the log, which a
	// majority of the entries has not confirmed yet. Ask again by its id.
	OutcomePublished Outcome = "published"
	// OutcomeUnknown is a change that may or may not be in the log. Ask again
	// by its id; sending it again with the same id is safe.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnavailable is a change that was not accepted and never will be,
	// since the log is down or the entry has no authority.
	OutcomeUnavailable Outcome = "unavailable"
)

// Answer is the state of a change.
type Answer struct {
	Outcome  Outcome `json:"outcome"`
	ChangeID string  `json:"change_id"`
	// Version is the new version of a change that is accepted or published,
	// and the current version otherwise.
	Version uint64 `json:"version"`
	// Document is the current document after a conflict.
	Document string `json:"document,omitempty"`
	// Message is a sentence for a person.
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

// Current is a version with its document.
type Current struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
	// Error tells why the entry cannot read the document; it is then not in
	// force there.
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
	// StateMissing is a configured entry that was not heard of.
	StateMissing carobpulley.RosterState = "missing"
	// StateDraining finishes its running work and takes no new work.
	StateDraining carobpulley.RosterState = "draining"
)

// Status is the state of the service as one entry sees it.
type Status struct {
	// Entry is the name of the entry that answers.
	Entry string `json:"entry"`
	// Version is the version in force at this entry.
	Version uint64 `json:"version"`
	// Authority tells whether this entry may start tasks.
	Authority bool      `json:"authority"`
	Log       LogState  `json:"log"`
	Processes []Process `json:"processes"`
	Shards    []Shard   `json:"shards"`
}

// LogState is the state of the platform's log.
type LogState struct {
	Up bool `json:"up"`
	// Since is the time of the last change of Up.
	Since time.Time `json:"since"`
	// Position is the offset of the config stream up to which it was read.
	Position uint64 `json:"position"`
	// JournalBytes is what waits for the log in the entry's memory.
	JournalBytes int64 `json:"journal_bytes"`
	// Error is the last failure while the log is down.
	Error string `json:"error,omitempty"`
}

// Process is an entry or an agent. The answering entry lists itself too.
type Process struct {
	Role        Role                    `json:"role"`
	Name        string                  `json:"name"`
	Incarnation uint64                  `json:"incarnation"`
	Domain      string                  `json:"domain"`
	State       carobpulley.RosterState `json:"state"`
	// Version is the newest version that the process is known to have.
	Version uint64 `json:"version"`
	// Running is the number of tasks that run at an agent.
	Running int `json:"running"`
	// LagMillis is the time since the process was heard of, in milliseconds.
	LagMillis int64 `json:"lag_ms"`
}

// Shard is the owner of a shard.
type Shard struct {
	Shard  int    `json:"shard"`
	Owner  string `json:"owner"`
	Epoch  uint64 `json:"epoch"`
	Active bool   `json:"active"`
}

// Behind returns the processes that are not known to have a version.
func (s Status) Behind(version uint64) []Process {
	var out []Process
	for _, p := range s.Processes {
		if p.Version < version {
			out = append(out, p)
		}
	}
	return out
}
