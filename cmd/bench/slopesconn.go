package main

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"carobpulley/inner"
)

// measureConnections measures open connections without calls. Both ends of each are in
// this process. One client opens one connection per address, as an entry does per agent.
func measureConnections(ctx context.Context) ([]measurement, error) {
	const fixed = "both ends, no calls"
	size := measurement{Quantity: "open connection", Unit: unitBytes, Per: "connection", Code: "inner.Client, inner.Server", Fixed: fixed}
	idle := measurement{Quantity: "second of idle connections", Unit: unitNanos, Per: "connection", Code: "inner.PingInterval", Fixed: fixed}
	for _, n := range []int{25, 100, 300} {
		c, err := measureOpenConnections(ctx, n)
		if err != nil {
			return nil, err
		}
		size.add(n, c.bytes)
		idle.add(n, c.total)
	}
	return []measurement{size, idle}, nil
}

// measureOpenConnections measures the memory of n open connections and their processor
// time in one second.
func measureOpenConnections(ctx context.Context, n int) (exchangeCost, error) {
	var out exchangeCost
	pattern, h := inner.EntryHandler(fakeEntry{})
	anyIPv4 := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	s, err := serveInnerAt(ctx, anyIPv4, inner.TLS{AllowPlain: true}, pattern, h)
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
			err = errors.Join(err, repeatCalls(ctx, contactCall(c, addr, 0), 1, 1))
		}
		return c
	})
	// A connection that has just been used is not pinged until the next second.
	time.Sleep(inner.PingInterval)
	out.cpuTime = measureCPU(1, func() { time.Sleep(time.Second) })
	return out, err
}
