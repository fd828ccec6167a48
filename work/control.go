package work

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
)

// Prefixes of the keys in the control topic.
const (
	agentPrefix       = "agent/"
	coordinatorPrefix = "coordinator/"
	shardPrefix       = "shard/"
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

// DecodeControl decodes a record of the control topic.
func DecodeControl(key string, value []byte) (ControlRecord, error) {
	if name, ok := strings.CutPrefix(key, agentPrefix); ok {
		if value == nil {
			return ControlRecord{DeletedAgent: name}, nil
		}
		a, err := decodeAddress(value)
		return ControlRecord{Agent: a}, err
	}
	if value == nil {
		return ControlRecord{}, nil
	}
	if strings.HasPrefix(key, coordinatorPrefix) {
		a, err := decodeAddress(value)
		return ControlRecord{Coordinator: a}, err
	}
	if strings.HasPrefix(key, shardPrefix) {
		var c Claim
		if err := json.Unmarshal(value, &c); err != nil {
			return ControlRecord{}, invalidf("decode claim", "%v", err)
		}
		return ControlRecord{Claim: &c}, nil
	}
	return ControlRecord{}, nil
}

func decodeAddress(value []byte) (*Address, error) {
	var a Address
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, invalidf("decode address", "%v", err)
	}
	if a.Name == "" || !a.Addr.IsValid() {
		return nil, invalidf("decode address", "name or address is missing")
	}
	return &a, nil
}

// EncodeControl returns the value of the record for an Address or a Claim.
func EncodeControl(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, invalidf("encode control", "%v", err)
	}
	return b, nil
}
