package inner

import (
	"time"

	"carobpulley"
	"carobpulley/wire"
)

// Contact is the message that an entry sends to each peer every ContactInterval: its
// own state. The answer may renew the lease that the peer grants to the sender.
type Contact struct {
	Entry         string
	Incarnation   uint64
	ConfigVersion uint64
	OwnersOffset  uint64
	Draining      bool
}

// ContactAnswer is the answer to a Contact.
type ContactAnswer struct {
	// Contact is the state of the answering peer.
	Contact
	// Vouch is the peer's lease grant, which counts for the sender's majority for
	// VouchValidity. It is not set if the peer has yielded to a newer epoch of one of
	// the sender's shards whose ownership claim it has not read.
	Vouch bool
	// Config is the newest configuration record if the sender's is older; nil
	// otherwise.
	Config *ConfigRecord
	// Claims are the ownership claims after the sender's offset, in log order.
	Claims []OwnersRecord
}

// ConfigRecord is one accepted version of the configuration.
type ConfigRecord struct {
	Version  uint64
	ChangeID string
	Document []byte
	Offset   uint64
}

// OwnersRecord is an ownership claim in the log's owners stream.
type OwnersRecord struct {
	Offset      uint64
	ID          string
	Entry       string
	Incarnation uint64
	Shards      []carobpulley.Ownership
}

// JournalRecord is a record of an entry's journal: a group of claims, which carry the
// answers of ended jobs.
type JournalRecord struct {
	Entry       string
	Incarnation uint64
	Claims      []carobpulley.Claim
	// End lists the shards for which the entry's journal is complete with this record.
	End []carobpulley.Ownership
}

// Witnessing requests that another entry, the witness, is the backup holder of an
// owner's claims.
type Witnessing struct {
	Owner  string
	Claims []carobpulley.Claim
}

// Yielding is a new owner's request that a peer stops granting leases for older
// epochs of the shards and hands over the claims that it holds of them.
type Yielding struct {
	// Entry is the new owner.
	Entry  string
	Shards []carobpulley.Ownership
}

// YieldAnswer is the answer to a Yielding.
type YieldAnswer struct {
	// Yielded is set if the peer agreed to the request.
	Yielded     bool
	Claims      []carobpulley.Claim
	Incarnation uint64
	// Missing lists the shards of which the peer may have lost claims.
	Missing []int
	// Opened lists the epochs under which the peer last opened the shards.
	Opened []carobpulley.Ownership
	// Unknown lists the shards in which jobs of unknown keys may have been started
	// earlier.
	Unknown []UnknownShard
}

// UnknownShard is a shard of which claims were lost. Remaining is how long keys without
// a claim are still treated as unknown, in whole milliseconds.
type UnknownShard struct {
	Shard     int
	Remaining time.Duration
}

// ContactToWire converts a contact to its wire type.
func ContactToWire(v Contact) *wire.ContactRequest {
	return &wire.ContactRequest{
		Entry:         v.Entry,
		Incarnation:   v.Incarnation,
		ConfigVersion: v.ConfigVersion,
		OwnersOffset:  v.OwnersOffset,
		Draining:      v.Draining,
	}
}

// ContactFromWire converts a contact from its wire type and checks it.
func ContactFromWire(r *wire.ContactRequest) (Contact, error) {
	c := validator{op: "contact request"}
	out := Contact{
		Entry:         c.name("entry", r.GetEntry()),
		Incarnation:   c.positive("incarnation", r.GetIncarnation()),
		ConfigVersion: r.GetConfigVersion(),
		OwnersOffset:  r.GetOwnersOffset(),
		Draining:      r.GetDraining(),
	}
	return out, c.result()
}

// ContactAnswerToWire converts the answer to a contact to its wire type.
func ContactAnswerToWire(v ContactAnswer) *wire.ContactReply {
	out := &wire.ContactReply{
		Entry:         v.Entry,
		Incarnation:   v.Incarnation,
		ConfigVersion: v.ConfigVersion,
		OwnersOffset:  v.OwnersOffset,
		Vouch:         v.Vouch,
		Draining:      v.Draining,
		Claims:        make([]*wire.OwnersRecord, 0, len(v.Claims)),
	}
	if v.Config != nil {
		out.Config = ConfigRecordToWire(*v.Config)
	}
	for _, r := range v.Claims {
		out.Claims = append(out.Claims, OwnersRecordToWire(r))
	}
	return out
}

// ContactAnswerFromWire converts the answer to a contact from its wire type and checks
// it.
func ContactAnswerFromWire(r *wire.ContactReply) (ContactAnswer, error) {
	c := validator{op: "contact reply"}
	out := ContactAnswer{
		Contact: Contact{
			Entry:         c.name("entry", r.GetEntry()),
			Incarnation:   c.positive("incarnation", r.GetIncarnation()),
			ConfigVersion: r.GetConfigVersion(),
			OwnersOffset:  r.GetOwnersOffset(),
			Draining:      r.GetDraining(),
		},
		Vouch:  r.GetVouch(),
		Claims: make([]OwnersRecord, 0, len(r.GetClaims())),
	}
	if r.GetConfig() != nil {
		record := c.configRecord(r.GetConfig())
		out.Config = &record
	}
	for _, v := range r.GetClaims() {
		out.Claims = append(out.Claims, c.ownersRecord(v))
	}
	return out, c.result()
}

// ConfigRecordToWire converts a configuration record to its wire type.
func ConfigRecordToWire(v ConfigRecord) *wire.ConfigRecord {
	return &wire.ConfigRecord{
		Version:  v.Version,
		ChangeId: v.ChangeID,
		Document: v.Document,
		Offset:   v.Offset,
	}
}

// ConfigRecordFromWire converts a configuration record from its wire type and checks
// it.
func ConfigRecordFromWire(v *wire.ConfigRecord) (ConfigRecord, error) {
	c := validator{op: "config record"}
	out := c.configRecord(v)
	return out, c.result()
}

func (c *validator) configRecord(v *wire.ConfigRecord) ConfigRecord {
	out := ConfigRecord{
		Version:  c.positive("version", v.GetVersion()),
		ChangeID: c.name("change_id", v.GetChangeId()),
		Document: c.bytes("document", v.GetDocument(), MaxMessageBytes),
		Offset:   v.GetOffset(),
	}
	if len(out.Document) == 0 {
		c.failf("document is missing")
	}
	return out
}

// OwnersRecordToWire converts an ownership claim to its wire type.
func OwnersRecordToWire(v OwnersRecord) *wire.OwnersRecord {
	return &wire.OwnersRecord{
		Offset:      v.Offset,
		Id:          v.ID,
		Entry:       v.Entry,
		Incarnation: v.Incarnation,
		Shards:      shardsToWire(v.Shards),
	}
}

// OwnersRecordFromWire converts an ownership claim from its wire type and checks it.
func OwnersRecordFromWire(v *wire.OwnersRecord) (OwnersRecord, error) {
	c := validator{op: "owners record"}
	out := c.ownersRecord(v)
	return out, c.result()
}

func (c *validator) ownersRecord(v *wire.OwnersRecord) OwnersRecord {
	return OwnersRecord{
		Offset:      v.GetOffset(),
		ID:          c.name("id", v.GetId()),
		Entry:       c.name("entry", v.GetEntry()),
		Incarnation: c.positive("incarnation", v.GetIncarnation()),
		Shards:      c.shards(v.GetEntry(), v.GetShards()),
	}
}

// JournalRecordToWire converts a journal record to its wire type.
func JournalRecordToWire(v JournalRecord) *wire.JournalRecord {
	return &wire.JournalRecord{
		Entry:       v.Entry,
		Incarnation: v.Incarnation,
		Claims:      claimsToWire(v.Claims),
		End:         shardsToWire(v.End),
	}
}

// JournalRecordFromWire converts a journal record from its wire type and checks it.
func JournalRecordFromWire(v *wire.JournalRecord) (JournalRecord, error) {
	c := validator{op: "journal record"}
	out := JournalRecord{
		Entry:       c.name("entry", v.GetEntry()),
		Incarnation: c.positive("incarnation", v.GetIncarnation()),
		Claims:      c.claims(v.GetClaims()),
		End:         c.shards(v.GetEntry(), v.GetEnd()),
	}
	return out, c.result()
}

// WitnessingToWire converts a request to a witness to its wire type.
func WitnessingToWire(v Witnessing) *wire.WitnessRequest {
	return &wire.WitnessRequest{Owner: v.Owner, Claims: claimsToWire(v.Claims)}
}

// WitnessingFromWire converts a request to a witness from its wire type and checks it.
func WitnessingFromWire(r *wire.WitnessRequest) (Witnessing, error) {
	c := validator{op: "witness request"}
	out := Witnessing{Owner: c.name("owner", r.GetOwner()), Claims: c.claims(r.GetClaims())}
	return out, c.result()
}

// WitnessAnswerToWire converts a witness's answer to its wire type: for each claim of
// the request, in order, whether the witness holds it.
func WitnessAnswerToWire(held []bool) *wire.WitnessReply {
	return &wire.WitnessReply{Held: held}
}

// WitnessAnswerFromWire returns for each of the n claims of a request whether the
// witness holds it.
func WitnessAnswerFromWire(n int, r *wire.WitnessReply) ([]bool, error) {
	c := validator{op: "witness reply"}
	if len(r.GetHeld()) != n {
		c.failf("%d answers to %d claims", len(r.GetHeld()), n)
	}
	return r.GetHeld(), c.result()
}

// YieldingToWire converts a yield request to its wire type.
func YieldingToWire(v Yielding) *wire.YieldRequest {
	return &wire.YieldRequest{Entry: v.Entry, Shards: shardsToWire(v.Shards)}
}

// YieldingFromWire converts a yield request from its wire type and checks it. The
// shards get the requesting entry as their owner.
func YieldingFromWire(r *wire.YieldRequest) (Yielding, error) {
	c := validator{op: "yield request"}
	out := Yielding{
		Entry:  c.name("entry", r.GetEntry()),
		Shards: c.shards(r.GetEntry(), r.GetShards()),
	}
	return out, c.result()
}

// YieldAnswerToWire converts the answer to a yield request to its wire type.
func YieldAnswerToWire(v YieldAnswer) *wire.YieldReply {
	out := &wire.YieldReply{
		Yielded:     v.Yielded,
		Claims:      claimsToWire(v.Claims),
		Incarnation: v.Incarnation,
		Opened:      shardsToWire(v.Opened),
	}
	for _, s := range v.Missing {
		out.Missing = append(out.Missing, uint32(s))
	}
	for _, u := range v.Unknown {
		out.Unknown = append(out.Unknown, &wire.UnknownShard{
			Shard:           uint32(u.Shard),
			RemainingMillis: uint32(u.Remaining.Milliseconds()),
		})
	}
	return out
}

// YieldAnswerFromWire converts the answer to a yield request from its wire type and
// checks it.
func YieldAnswerFromWire(r *wire.YieldReply) (YieldAnswer, error) {
	c := validator{op: "yield reply"}
	out := YieldAnswer{
		Yielded:     r.GetYielded(),
		Claims:      c.claims(r.GetClaims()),
		Incarnation: r.GetIncarnation(),
		Opened:      c.shards("", r.GetOpened()),
	}
	for _, s := range r.GetMissing() {
		out.Missing = append(out.Missing, c.number("missing", s, 0, MaxShards-1))
	}
	for _, u := range r.GetUnknown() {
		out.Unknown = append(out.Unknown, UnknownShard{
			Shard:     c.number("unknown", u.GetShard(), 0, MaxShards-1),
			Remaining: time.Duration(u.GetRemainingMillis()) * time.Millisecond,
		})
	}
	return out, c.result()
}

// PublishToWire converts a configuration record sent to a peer to a publish request.
func PublishToWire(v ConfigRecord) *wire.PublishRequest {
	return &wire.PublishRequest{Record: ConfigRecordToWire(v)}
}

// PublishFromWire returns the configuration record in a peer's publish request and
// checks it.
func PublishFromWire(r *wire.PublishRequest) (ConfigRecord, error) {
	return ConfigRecordFromWire(r.GetRecord())
}

// PublishAnswerToWire converts the configuration version that a peer has after a
// Publish to its wire type.
func PublishAnswerToWire(version uint64) *wire.PublishReply {
	return &wire.PublishReply{ConfigVersion: version}
}

// PublishAnswerFromWire returns the configuration version that a peer has after a
// Publish.
func PublishAnswerFromWire(r *wire.PublishReply) uint64 {
	return r.GetConfigVersion()
}
