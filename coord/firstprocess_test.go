package coord

import (
	"net/netip"
	"testing"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// Guards against a process that takes itself for the first with its name, since it has announced its address before
// it reads the store, which keeps the newest record only.
func TestRestartedProcessThatHasAnnouncedItselfIsNotTheFirst(t *testing.T) {
	self := work.Address{Name: "self", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	value, err := work.EncodeControl(self)
	if err != nil {
		t.Fatal(err)
	}
	s := &recordedStore{newest: []carobpulley.KeyedRecord{{Key: work.CoordinatorKey("self"), Value: value}}}
	c := newControlTest(t, s)
	if err := c.readControlSnapshot(t.Context(), c.clock.Now()); err != nil {
		t.Fatal(err)
	}
	peer, err := work.EncodeControl(work.Address{Name: "peer", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.Handler().Held(t.Context(), connect.NewRequest(&relay.HeldRequest{Key: work.CoordinatorKey("peer"), Value: peer, Home: "peer"}))
	if err != nil {
		t.Fatal(err)
	}
	if !r.Msg.GetRestarted() {
		t.Error("told that no process with its name was there before")
	}
}
