package work

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Prefixes of the keys in the control topic.
const (
	agentPrefix       = "agent/"
	coordinatorPrefix = "coordinator/"
	shardPrefix       = "shard/"
)

// Bounds of the numbers in control records.
const (
	// MaxEpoch bounds the epoch of a claim: each claim adds one.
	MaxEpoch = 1 << 40
	// MaxShare bounds Address.Share, in CPU cores.
	MaxShare = 1 << 16
)

// Address identifies a process and the address at which it listens.
type Address struct {
	Name        string         `json:"name"`
	Addr        netip.AddrPort `json:"addr"`
	Incarnation uint64         `json:"incarnation"`
	Domain      string         `json:"domain,omitempty"`
	// Share is the fraction of a CPU core that a coordinator may use.
	Share float64 `json:"share,omitempty"`
	// Endpoint is what an agent knows of its endpoint; nil before the first heartbeat.
	Endpoint *EndpointCapacity `json:"endpoint,omitempty"`
}

// EndpointCapacity is what an endpoint can run. Coordinators that are not attached to its agent
// decide with it whether any endpoint can run a job.
type EndpointCapacity struct {
	Service  string    `json:"service"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"capacity"`
}

// Claim records the owner of a shard.
type Claim struct {
	Shard int `json:"shard"`
	// Epoch grows with each claim of the shard.
	Epoch uint64  `json:"epoch"`
	Owner Address `json:"owner"`
}

// ControlRecord is a decoded record of the control topic. At most one of the
// pointers is set; all are nil for a record of another kind.
type ControlRecord struct {
	Agent       *Address
	Coordinator *Address
	Claim       *Claim
	// DeletedAgent is the name of an agent whose record was deleted.
	DeletedAgent string
}

// AgentKey returns the key of an agent's address.
func AgentKey(name string) string { return agentPrefix + name }

// CoordinatorKey returns the key of a coordinator's address.
func CoordinatorKey(name string) string { return coordinatorPrefix + name }

// ClaimKey returns the key of a shard's claim.
func ClaimKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// DecodeControl decodes a record of the control topic. A record that names another process or shard
// than its key is refused: it would replace what that one's own record says.
func DecodeControl(key string, value []byte) (ControlRecord, error) {
	if name, ok := strings.CutPrefix(key, agentPrefix); ok {
		if value == nil {
			return ControlRecord{DeletedAgent: name}, nil
		}
		a, err := decodeAddress(name, value)
		return ControlRecord{Agent: a}, err
	}
	if value == nil {
		return ControlRecord{}, nil
	}
	if name, ok := strings.CutPrefix(key, coordinatorPrefix); ok {
		a, err := decodeAddress(name, value)
		return ControlRecord{Coordinator: a}, err
	}
	if strings.HasPrefix(key, shardPrefix) {
		c, err := decodeClaim(key, value)
		return ControlRecord{Claim: c}, err
	}
	return ControlRecord{}, nil
}

func decodeClaim(key string, value []byte) (*Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, invalidf("decode claim", "%v", err)
	}
	if c.Shard < 0 || c.Shard >= MaxShards || ClaimKey(c.Shard) != key {
		return nil, invalidf("decode claim", "shard %d under the key %q", c.Shard, key)
	}
	if c.Epoch > MaxEpoch {
		return nil, invalidf("decode claim", "epoch %d is out of range", c.Epoch)
	}
	if err := c.Owner.check(c.Owner.Name); err != nil {
		return nil, err
	}
	return &c, nil
}

func decodeAddress(name string, value []byte) (*Address, error) {
	var a Address
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, invalidf("decode address", "%v", err)
	}
	if err := a.check(name); err != nil {
		return nil, err
	}
	return &a, nil
}

// check returns an error unless the address is that of a process with a name.
func (a *Address) check(name string) error {
	switch {
	case a.Name == "" || a.Name != name || !utf8.ValidString(name):
		return invalidf("decode address", "name %q under the key of %q", a.Name, name)
	case !a.Addr.IsValid() || a.Addr.Port() == 0:
		return invalidf("decode address", "address %s can't be called", a.Addr)
	case a.Share < 0 || a.Share > MaxShare:
		return invalidf("decode address", "share %g is out of range", a.Share)
	case a.Endpoint != nil:
		return a.Endpoint.Capacity.Check()
	}
	return nil
}

// EncodeControl returns the value of the record for an Address or a Claim.
func EncodeControl(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, invalidf("encode control", "%v", err)
	}
	return b, nil
}
