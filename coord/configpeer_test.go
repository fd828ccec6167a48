package coord

import (
	"strconv"
	"testing"

	"carobpulley"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// versionSource decodes a record's value as the version of a configuration.
type versionSource struct{ carobpulley.ConfigSource }

func (versionSource) Decode(r carobpulley.KeyedRecord) (carobpulley.ConfigChange, error) {
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	return carobpulley.ConfigChange{Config: &work.RoutingConfig{Version: version}}, err
}

// Guards against a peer's answer that puts an older configuration in force, or that counts as known
// although it could not be decoded.
func TestPeersConfigIsChecked(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	c.configSource = versionSource{}
	c.lock()
	defer c.mu.Unlock()
	for _, step := range []struct {
		name            string
		reply           *relay.ConfigReply
		version, offset int64
		fails           bool
	}{
		{"newer", &relay.ConfigReply{Offset: 5, Key: "k", Value: []byte("7"), RecordOffset: 4}, 7, 5, false},
		{"malformed", &relay.ConfigReply{Offset: 6, Key: "k", Value: []byte("x"), RecordOffset: 5}, 7, 5, true},
		{"older version", &relay.ConfigReply{Offset: 7, Key: "k", Value: []byte("6"), RecordOffset: 6}, 7, 7, false},
		{"older answer", &relay.ConfigReply{Offset: 3, Key: "k", Value: []byte("8"), RecordOffset: 2}, 7, 7, false},
		{"no record", &relay.ConfigReply{Offset: 9}, 7, 9, false},
		{"empty", &relay.ConfigReply{}, 7, 9, false},
	} {
		err := c.handlePeerConfig("peer", step.reply)
		if (err != nil) != step.fails || c.routing.Version != step.version || c.configOffset() != step.offset {
			t.Errorf("%s: version %d, offset %d, error %v; want %d, %d, error %t", step.name, c.routing.Version, c.configOffset(), err, step.version, step.offset, step.fails)
		}
	}
	if got := c.configRecord.Offset; got != 4 {
		t.Errorf("record %d is passed on, want 4", got)
	}
}

// Guards against a coordinator that asks itself, or the same peer again and again, for a configuration.
func TestPeersAreAskedInTurn(t *testing.T) {
	c := newControlTest(t, &recordedStore{})
	if _, ok := c.nextPeer("self"); ok {
		t.Error("a peer without any")
	}
	for _, name := range []string{"a", "self", "z"} {
		c.coordinators[name] = work.Address{Name: name}
	}
	for after, want := range map[string]string{"self": "z", "z": "a", "a": "z", "gone": "z"} {
		if got, ok := c.nextPeer(after); !ok || got.Name != want {
			t.Errorf("after %s: %s, want %s", after, got.Name, want)
		}
	}
}
