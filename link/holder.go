package link

import (
	"net/netip"
	"time"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/wire/relay"
)

// maxHoldAge bounds the age of a hold that a peer tells; holds are kept for a shorter time.
const maxHoldAge = time.Minute

// HolderToWire converts the holder of a job's id; nil if there is none.
func HolderToWire(h holds.Holder) *relay.Holder {
	if h.Coordinator == "" {
		return nil
	}
	return &relay.Holder{Coordinator: h.Coordinator, Incarnation: h.Incarnation, Addr: h.Addr.String()}
}

// HolderFromWire converts the holder of a job's id. It returns an error for one that can't be called.
func HolderFromWire(m *relay.Holder) (holds.Holder, error) {
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil || addr.Port() == 0 || m.GetCoordinator() == "" {
		return holds.Holder{}, &carobpulley.Error{Op: "holder", Kind: carobpulley.KindInvalid, Msg: "no name, or an address that can't be called"}
	}
	return holds.Holder{Coordinator: m.GetCoordinator(), Incarnation: m.GetIncarnation(), Addr: addr}, nil
}

// HoldAge returns the age of a hold that a peer tells.
func HoldAge(m *relay.Hold) time.Duration {
	return time.Duration(min(max(m.GetAgeMs(), 0), maxHoldAge.Milliseconds())) * time.Millisecond
}
