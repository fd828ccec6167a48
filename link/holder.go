package link

import (
	"net/netip"
	"time"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// maxHoldAge bounds the age of a hold that a peer tells; holds are kept for a shorter time.
const maxHoldAge = time.Minute

// HolderToWire converts the holder of a job's id.
func HolderToWire(h holds.Holder) *relay.Holder {
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

// HoldToWire converts a hold for its answer to a holder.
func HoldToWire(now time.Time, to holds.Holder, h holds.Hold) *relay.Hold {
	m := &relay.Hold{AgeMs: now.Sub(h.At).Milliseconds(), SeenMs: now.Sub(h.Seen).Milliseconds(), Number: h.Number}
	if !h.Holder.Same(to) {
		m.Holder = HolderToWire(h.Holder)
	}
	return m
}

// HoldFromWire converts the answer to a holder. It returns an error for a holder that can't be called.
func HoldFromWire(now time.Time, to holds.Holder, m *relay.Hold) (holds.Hold, error) {
	h := holds.Hold{Holder: to, Number: m.GetNumber(), At: now.Add(-holdAge(m.GetAgeMs())), Seen: now.Add(-holdAge(m.GetSeenMs()))}
	if m.GetHolder() == nil {
		return h, nil
	}
	var err error
	h.Holder, err = HolderFromWire(m.GetHolder())
	return h, err
}

func holdAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxHoldAge.Milliseconds())) * time.Millisecond
}

// CoordinatorsToWire converts the addresses of coordinators.
func CoordinatorsToWire(coordinators map[string]work.Address) []*relay.Member {
	members := make([]*relay.Member, 0, len(coordinators))
	for _, a := range coordinators {
		members = append(members, &relay.Member{Name: a.Name, Addr: a.Addr.String(), Incarnation: a.Incarnation, Domain: a.Domain, Share: a.Share})
	}
	return members
}

// CoordinatorsFromWire converts the addresses of coordinators. It leaves out those that can't be called.
func CoordinatorsFromWire(members []*relay.Member) []work.Address {
	var coordinators []work.Address
	for _, m := range members {
		addr, err := netip.ParseAddrPort(m.GetAddr())
		if err != nil || addr.Port() == 0 || m.GetName() == "" {
			continue
		}
		coordinators = append(coordinators, work.Address{Name: m.GetName(), Addr: addr, Incarnation: m.GetIncarnation(), Domain: m.GetDomain(), Share: m.GetShare()})
	}
	return coordinators
}
