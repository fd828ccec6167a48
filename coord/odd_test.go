package coord

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// Guards against a record of another writer among those of the agents that hides the others, takes the
// place of one, or keeps a corrected one from being taken up.
func TestOddRecordsAmongGoodOnes(t *testing.T) {
	good := announced(t, 0, "a")
	rename := func(key, from, to string) carobpulley.KeyedRecord {
		return carobpulley.KeyedRecord{Key: key, Value: []byte(strings.Replace(string(good.Value), from, to, 1))}
	}
	c := newControlTest(t, &recordedStore{})
	c.lock()
	c.applyControlRecords([]carobpulley.KeyedRecord{
		good,
		rename(work.AgentKey("b"), "127.0.0.1:2", "10.9.9.9:1"), // says that it is "a"
		rename(work.AgentKey("d"), "127.0.0.1:2", "127.0.0.1:65536"),
		{Key: work.AgentKey("e"), Value: []byte(strings.Repeat("[", 100_000))},
		{Key: work.ClaimKey(0), Value: []byte(`{"shard":0,"epoch":18446744073709551615,"owner":{"name":"x","addr":"127.0.0.1:3"}}`)},
		announced(t, 5, "c"),
	})
	c.mu.Unlock()
	if diff := cmp.Diff([]string{"a", "c"}, c.agentNames()); diff != "" {
		t.Errorf("agents (-want +got):\n%s", diff)
	}
	if got := c.agents["a"].Addr.String(); got != "127.0.0.1:2" {
		t.Errorf("the agent's address is %s now", got)
	}
	if claim, taken := c.claims[0]; taken {
		t.Errorf("claim %+v", claim)
	}
	if got := string(c.cfg.Meter.Text()); !strings.Contains(got, "entries_rejected{control} 4") {
		t.Errorf("4 records left out, figures:\n%s", got)
	}
	c.lock()
	c.applyControlRecords([]carobpulley.KeyedRecord{
		announced(t, 6, "d"),
		{Key: work.ClaimKey(0), Value: []byte(`{"shard":0,"epoch":1,"owner":{"name":"x","addr":"127.0.0.1:3"}}`)},
	})
	c.mu.Unlock()
	if diff := cmp.Diff([]string{"a", "c", "d"}, c.agentNames()); diff != "" || c.claims[0].Epoch != 1 {
		t.Errorf("corrected records: claim %+v, agents (-want +got):\n%s", c.claims[0], diff)
	}
}

// Guards against a peer's answer with an offset that no record has: this coordinator would never ask for
// a newer configuration.
func TestPeersOffsetIsBounded(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	c.configSource = versionSource{}
	c.lock()
	defer c.mu.Unlock()
	for _, m := range []*relay.ConfigReply{
		{Offset: math.MaxInt64},
		{Offset: math.MaxInt64, Key: "k", Value: []byte("9")},
		{Offset: 3, Key: "k", Value: []byte("9"), RecordOffset: -1},
		{Offset: 3, Key: "k", Value: []byte("9"), RecordOffset: math.MaxInt64},
	} {
		if err := c.handlePeerConfig("peer", m); err == nil || c.configOffset() != 0 {
			t.Errorf("%v: offset %d, error %v", m, c.configOffset(), err)
		}
	}
	good := &relay.ConfigReply{Offset: 5, Key: "k", Value: []byte("7"), RecordOffset: 4}
	if err := c.handlePeerConfig("peer", good); err != nil || c.configOffset() != 5 || c.routing.Version != 7 {
		t.Errorf("good answer: offset %d, error %v", c.configOffset(), err)
	}
}
