//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// apartStore is the store as one front sees it: the addresses of the other machines are those of the links that
// lead from this front to them, so that a partition can hold up what passes between the two.
type apartStore struct {
	carobpulley.Store
	g *rig
	h *host
}

// Newest implements carobpulley.Store.
func (s apartStore) Newest(ctx context.Context, p carobpulley.Partition) ([]carobpulley.KeyedRecord, int64, error) {
	records, end, err := s.Store.Newest(ctx, p)
	return s.through(p, records), end, err
}

// Tail implements carobpulley.Store.
func (s apartStore) Tail(ctx context.Context, p carobpulley.Partition, from int64, wait time.Duration) ([]carobpulley.KeyedRecord, int64, error) {
	records, next, err := s.Store.Tail(ctx, p, from, wait)
	return s.through(p, records), next, err
}

func (s apartStore) through(p carobpulley.Partition, records []carobpulley.KeyedRecord) []carobpulley.KeyedRecord {
	if p.Topic != carobpulley.TopicControl {
		return records
	}
	out := make([]carobpulley.KeyedRecord, 0, len(records))
	for _, r := range records {
		c, err := work.DecodeControl(r.Key, r.Value)
		var v any
		switch {
		case err != nil:
		case c.Agent != nil && c.Agent.Name != s.h.name:
			c.Agent.Addr = s.h.linkTo(s.g, c.Agent.Addr)
			v = c.Agent
		case c.Coordinator != nil && c.Coordinator.Name != s.h.name:
			c.Coordinator.Addr = s.h.linkTo(s.g, c.Coordinator.Addr)
			v = c.Coordinator
		case c.Claim != nil && c.Claim.Owner.Name != s.h.name:
			c.Claim.Owner.Addr = s.h.linkTo(s.g, c.Claim.Owner.Addr)
			v = c.Claim
		}
		if v != nil {
			if value, err := work.EncodeControl(v); err == nil {
				r.Value = value
			}
		}
		out = append(out, r)
	}
	return out
}

// linkTo returns the address of this front's link to another machine.
func (h *host) linkTo(g *rig, to netip.AddrPort) netip.AddrPort {
	h.outMu.Lock()
	defer h.outMu.Unlock()
	if h.out == nil {
		h.out = make(map[netip.AddrPort]*link)
	}
	k := h.out[to]
	if k == nil {
		var err error
		if k, err = newLink(g.ctx, netip.MustParseAddrPort("127.0.0.1:0"), to.String()); err != nil {
			return to
		}
		k.wait = func(ctx context.Context, _ string) { g.awaitPath(ctx, h.zone, g.zoneAt(to.Addr())) }
		h.out[to] = k
	}
	return k.at
}

// zoneCut is a partition of a zone from the others.
type zoneCut struct {
	mu   sync.Mutex
	zone string
	over chan struct{}
}

// cutZone partitions a zone from the others and from the store; clients still reach it. An empty zone heals the
// partition.
func (g *rig) cutZone(zone string) {
	g.cut.mu.Lock()
	defer g.cut.mu.Unlock()
	if g.cut.over != nil {
		close(g.cut.over)
		g.cut.over = nil
	}
	g.cut.zone = zone
	if zone != "" {
		g.cut.over = make(chan struct{})
	}
}

// maxResend bounds the time from the end of a partition to the next retransmission of bytes that it held up.
const maxResend = 400 * time.Millisecond

// awaitPath waits until there is a path between two zones.
func (g *rig) awaitPath(ctx context.Context, a, b string) {
	g.cut.mu.Lock()
	over := g.cut.over
	apart := over != nil && (a == g.cut.zone) != (b == g.cut.zone)
	g.cut.mu.Unlock()
	if !apart {
		return
	}
	select {
	case <-over:
		time.Sleep(time.Duration(rand.Int64N(int64(maxResend))))
	case <-ctx.Done():
	}
}

// zoneAt returns the zone of the machine with an address, and zoneNamed that of one with a name.
func (g *rig) zoneAt(a netip.Addr) string { return zoneOf(int(a.As4()[3]) - 1) }

func zoneNamed(name string) string {
	_, number, _ := strings.Cut(name, "-")
	n, err := strconv.Atoi(number)
	if err != nil {
		return ""
	}
	return zoneOf(n)
}
