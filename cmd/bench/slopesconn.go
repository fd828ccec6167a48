package main

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"carobpulley/inner"
)

// connectionSlopes measures open connections without calls: both ends of each
// are in this process. One client opens a connection per address, as an entry
// does per agent.
func connectionSlopes(ctx context.Context) ([]slope, error) {
	const fixed = "both ends, no calls"
	size := slope{Quantity: "open connection", Unit: unitBytes, Per: "connection", Code: "inner.Client, inner.Server", Fixed: fixed}
	idle := slope{Quantity: "second of idle connections", Unit: unitNanos, Per: "connection", Code: "inner.PingInterval", Fixed: fixed}
	for _, n := range []int{25, 100, 300} {
		c, err := openConnections(ctx, n)
		if err != nil {
			return nil, err
		}
		size.add(n, c.bytes)
		idle.add(n, c.total)
	}
	return []slope{size, idle}, nil
}

func openConnections(ctx context.Context, n int) (cost, error) {
	var out cost
	pattern, h := inner.EntryHandler(peerEntry{})
	any4 := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	s, err := serveInnerAt(ctx, any4, inner.TLS{AllowPlain: true}, pattern, h)
	if err != nil {
		return out, err
	}
	defer s.stop(ctx)
	c, err := inner.NewClient(inner.TLS{})
	if err != nil {
		return out, err
	}
	defer c.Close()
	out.bytes = heapBytes(func() any {
		for i := range n {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1 + byte(i>>8), byte(i)}), s.Addr().Port())
			err = errors.Join(err, repeat(ctx, contactCall(c, addr, 0), 1, 1))
		}
		return c
	})
	// Connections that were in use just now are pinged from the next second on.
	time.Sleep(inner.PingInterval)
	out.used = cpuParts(1, func() { time.Sleep(time.Second) })
	return out, err
}
