package conf

import (
	"encoding/json"
	"time"

	"carobpulley"
)

// Kinds of records in the config stream.
const (
	kindChange   = "change"
	kindSnapshot = "snapshot"
)

// Change is a change of the configuration by an operator: a complete new document
// and the version that it replaces.
type Change struct {
	// ID is a unique id of at most 128 bytes, chosen by the writer.
	ID string
	// Base is the version on which the document is based.
	Base   uint64
	Author string
	// Time is the time by the writer's clock, for display only.
	Time     time.Time
	Document []byte
	// Confirmed is the writer's Rollout.Confirmed.
	Confirmed uint64
}

// Outcome is the fold's decision on a change.
type Outcome string

// Outcomes of a change.
const (
	// Accepted means that the change made a new version.
	Accepted Outcome = "accepted"
	// Conflict means that the change's base version was not the current one.
	Conflict Outcome = "conflict"
)

// Result is a change with its outcome.
type Result struct {
	ID      string    `json:"change_id"`
	Outcome Outcome   `json:"outcome"`
	Base    uint64    `json:"base_version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	// Version is the new version of an accepted change; for a conflict it is
	// the version that was current.
	Version uint64 `json:"version"`
	// Offset is the record's offset in the config stream.
	Offset uint64 `json:"offset"`
}

// Snapshot is the complete state of a fold after all records before Position. It
// is written to the stream as a snapshot record and sent to peers that are
// behind.
type Snapshot struct {
	// Position is the offset of the first record that is not included.
	Position uint64
	Version  uint64
	// Document is the document of Version.
	Document []byte
	// Recent holds the latest decisions in log order, at most MaxHistory. They are
	// part of the state, since a second record with the same id is dropped.
	Recent []Result
	// Confirmed is the writer's Rollout.Confirmed.
	Confirmed uint64
}

// record is the JSON form of both kinds of records.
type record struct {
	Format   int       `json:"format"`
	Kind     string    `json:"kind"`
	ChangeID string    `json:"change_id,omitempty"`
	Base     uint64    `json:"base_version,omitempty"`
	Author   string    `json:"author,omitempty"`
	Time     time.Time `json:"time,omitzero"`
	Position uint64    `json:"position,omitempty"`
	Version  uint64    `json:"version,omitempty"`
	Recent   []Result  `json:"recent,omitempty"`
	Document string    `json:"document"`
	// Confirmed is the writer's Rollout.Confirmed. With it, a reader that starts at
	// this record needs no lists of entries of earlier versions.
	Confirmed uint64 `json:"confirmed_version,omitempty"`
}

// Encode encodes the change as a record. An error of kind KindInvalid means that a
// field is missing or too long. The document is not parsed.
func (c Change) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return encode(record{
		Format:   Format,
		Kind:     kindChange,
		ChangeID: c.ID,
		Base:     c.Base,
		Author:   c.Author,
		Time:     c.Time.UTC(),
		Document: string(c.Document),

		Confirmed: c.Confirmed,
	})
}

// Validate returns an error if a field is missing or too long. It does not parse
// the document.
func (c Change) Validate() error {
	const op = "Change"
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDBytes:
		return invalid(op, "the change id must have 1 to %d bytes", maxChangeIDBytes)
	case len(c.Author) > maxAuthorBytes:
		return invalid(op, "the author must have at most %d bytes", maxAuthorBytes)
	case len(c.Document) > MaxDocumentBytes:
		return invalid(op, "the document must have at most %d bytes", MaxDocumentBytes)
	default:
		return nil
	}
}

// Encode encodes the snapshot as a record.
func (s Snapshot) Encode() ([]byte, error) {
	return encode(record{
		Format:   Format,
		Kind:     kindSnapshot,
		Position: s.Position,
		Version:  s.Version,
		Recent:   s.Recent,
		Document: string(s.Document),

		Confirmed: s.Confirmed,
	})
}

// DecodeSnapshot decodes a record written by Snapshot.Encode.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	const op = "DecodeSnapshot"
	r, err := decode(data)
	if err != nil {
		return Snapshot{}, err
	}
	if r.Format != Format || r.Kind != kindSnapshot {
		return Snapshot{}, invalid(op, "the record is a %q of format %d", clip(r.Kind), r.Format)
	}
	return r.snapshot()
}

func (r record) snapshot() (Snapshot, error) {
	if len(r.Recent) > MaxHistory || len(r.Document) > MaxDocumentBytes {
		return Snapshot{}, invalid("DecodeSnapshot", "the snapshot is too large")
	}
	return Snapshot{Position: r.Position, Version: r.Version, Document: []byte(r.Document), Recent: r.Recent, Confirmed: r.Confirmed}, nil
}

func (r record) change() Change {
	return Change{ID: r.ChangeID, Base: r.Base, Author: r.Author, Time: r.Time, Document: []byte(r.Document)}
}

func encode(r record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "Encode", Kind: carobpulley.KindInternal, Msg: err.Error()}
	}
	return data, nil
}

// decode decodes a record. Unknown fields are ignored, so that a later version of
// the program can add fields without a new format number.
func decode(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, invalid("decode", "the record is not JSON: %v", err)
	}
	return r, nil
}
