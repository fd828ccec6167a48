package inner

import (
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/types/known/timestamppb"

	"carobpulley"
	"carobpulley/wire"
)

// Limits of messages between processes, beyond those of a submission.
const (
	// MaxNameBytes bounds names of members, services, entries, endpoints,
	// domains and racks.
	MaxNameBytes = 128
	// MaxShards is an upper bound of shard numbers; the design size is 512 shards.
	MaxShards = 4096
	// MaxServices bounds the services of one endpoint.
	MaxServices = 1024
	// MaxSlots bounds the slots of one endpoint.
	MaxSlots = 4096
	// MaxTextBytes bounds error texts.
	MaxTextBytes = 1024
)

// validator checks the fields of a message and records the first error.
type validator struct {
	op  string
	err *carobpulley.Error
}

// failf records an error, unless there is one already.
func (c *validator) failf(format string, args ...any) {
	if c.err != nil {
		return
	}
	c.err = &carobpulley.Error{
		Op:     c.op,
		Kind:   carobpulley.KindInvalid,
		Msg:    fmt.Sprintf(format, args...),
		NotRun: true,
	}
}

// addError records the error of a nested message, if there is one.
func (c *validator) addError(err error) {
	if err != nil {
		c.failf("%s", err.Error())
	}
}

// result returns the first error, or nil.
func (c *validator) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

func (c *validator) text(field, v string, minBytes, maxBytes int) string {
	if len(v) < minBytes || len(v) > maxBytes {
		c.failf("%s has %d bytes, want %d to %d", field, len(v), minBytes, maxBytes)
	}
	if !utf8.ValidString(v) {
		c.failf("%s is not valid UTF-8", field)
	}
	return v
}

func (c *validator) name(field, v string) string {
	return c.text(field, v, 1, MaxNameBytes)
}

func (c *validator) bytes(field string, v []byte, limit int) []byte {
	if len(v) > limit {
		c.failf("%s has %d bytes, the limit is %d", field, len(v), limit)
	}
	return v
}

// number checks that an unsigned number is within bounds and returns it as an int.
func (c *validator) number(field string, v, lower, upper uint32) int {
	if v < lower || v > upper {
		c.failf("%s is %d, want %d to %d", field, v, lower, upper)
	}
	return int(v)
}

func (c *validator) positive(field string, v uint64) uint64 {
	if v == 0 {
		c.failf("%s is missing", field)
	}
	return v
}

func (c *validator) id(v *wire.JobKey) carobpulley.JobID {
	return carobpulley.JobID{
		Member: c.name("member", v.GetMember()),
		Key:    c.text("key", v.GetKey(), 1, carobpulley.MaxKeyBytes),
	}
}

// task checks a task id. The index of a request is 0 on the wire.
func (c *validator) task(id *wire.JobKey, index uint32, request bool) carobpulley.TaskID {
	out := carobpulley.TaskID{Job: c.id(id), Index: c.index(index)}
	if !request {
		return out
	}
	if index != 0 {
		c.failf("index is %d, want 0 for a request", index)
	}
	out.Index = carobpulley.RequestIndex
	return out
}

func (c *validator) index(v uint32) int {
	return c.number("index", v, 0, carobpulley.MaxTasks-1)
}

// shard checks a shard and its epoch. A request has neither.
func (c *validator) shard(shard uint32, epoch uint64, request bool) (int, uint64) {
	if request {
		if shard != 0 || epoch != 0 {
			c.failf("a request has a shard or an epoch")
		}
		return 0, 0
	}
	return c.number("shard", shard, 0, MaxShards-1), c.positive("epoch", epoch)
}

// attempt checks the number of an attempt, which is a decimal string from "1" on
// the wire.
func (c *validator) attempt(v string) int {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 1 || v != strconv.FormatInt(n, 10) {
		c.failf("attempt is not a number from 1")
	}
	return int(n)
}

// time checks a timestamp that must be set.
func (c *validator) time(field string, v *timestamppb.Timestamp) time.Time {
	if v == nil {
		c.failf("%s is missing", field)
		return time.Time{}
	}
	return c.timeIfSet(field, v)
}

// timeIfSet checks a timestamp and returns the zero time if it is not set.
func (c *validator) timeIfSet(field string, v *timestamppb.Timestamp) time.Time {
	if v == nil {
		return time.Time{}
	}
	if err := v.CheckValid(); err != nil {
		c.failf("%s: %s", field, err.Error())
		return time.Time{}
	}
	return v.AsTime()
}

func (c *validator) phase(v string) carobpulley.Phase {
	p := carobpulley.Phase(v)
	switch p {
	case carobpulley.PhaseWaiting, carobpulley.PhaseDispatched, carobpulley.PhaseRunning:
	default:
		if !p.Ended() {
			c.failf("phase is not known")
		}
	}
	return p
}

// shards checks a list of shards with their epochs under the given owner.
func (c *validator) shards(owner string, list []*wire.ShardEpoch) []carobpulley.Ownership {
	if len(list) > MaxShards {
		c.failf("%d shards, the limit is %d", len(list), MaxShards)
		return nil
	}
	out := make([]carobpulley.Ownership, 0, len(list))
	for _, s := range list {
		n, epoch := c.shard(s.GetShard(), s.GetEpoch(), false)
		out = append(out, carobpulley.Ownership{Shard: n, Owner: owner, Epoch: epoch})
	}
	return out
}

func shardsToWire(list []carobpulley.Ownership) []*wire.ShardEpoch {
	out := make([]*wire.ShardEpoch, 0, len(list))
	for _, s := range list {
		out = append(out, &wire.ShardEpoch{Shard: uint32(s.Shard), Epoch: s.Epoch})
	}
	return out
}

func idToWire(id carobpulley.JobID) *wire.JobKey {
	return &wire.JobKey{Member: id.Member, Key: id.Key}
}

// indexToWire returns 0 for a request.
func indexToWire(index int) uint32 {
	return uint32(max(index, 0))
}

// timeToWire returns nil for the zero time.
func timeToWire(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// truncateText shortens a text to MaxTextBytes without splitting a rune.
func truncateText(v string) string {
	if len(v) <= MaxTextBytes {
		return v
	}
	n := MaxTextBytes
	for n > 0 && !utf8.RuneStart(v[n]) {
		n--
	}
	return v[:n]
}
