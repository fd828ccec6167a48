//go:build review

package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
)

var machineName = regexp.MustCompile(`(coordinator|agent)-[0-9]+`)

// link forwards the connections to one address.
//
// Machines name themselves in their messages to each other: coordinator-N or agent-N.
type link struct {
	at netip.AddrPort
	to string

	mu    sync.Mutex
	conns int
	// silent is the number up to which connections carry nothing any more, in either direction and
	// without a reset.
	silent int
	// cut is set while nothing passes, on new connections either.
	cut bool
	// wait blocks while bytes of a connection may not pass; nil stands for one that never does. The
	// argument names the machine that opened the connection, as far as it is known.
	wait func(ctx context.Context, from string)
}

func newLink(ctx context.Context, at netip.AddrPort, to string) (*link, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	k := &link{at: l.Addr().(*net.TCPAddr).AddrPort(), to: to}
	go func() { <-ctx.Done(); _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(ctx, c)
		}
	}()
	return k, nil
}

// silence makes the open connections silent for good. New ones work. It returns their number.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.conns - k.silent
	k.silent = k.conns
	return n
}

// setCut cuts the link off silently, or heals it. Connections that were open carry nothing from then on.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.silent = k.conns
}

func (k *link) isSilent(number int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut || number <= k.silent
}

func (k *link) forward(ctx context.Context, near net.Conn) {
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.to)
	if err != nil {
		// As a host does for a port without a listener.
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		_ = near.Close()
		return
	}
	k.mu.Lock()
	k.conns++
	number := k.conns
	k.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _, _ = near.Close(), far.Close() })
	defer stop()
	var wg sync.WaitGroup
	var from atomic.Pointer[string]
	unknown := ""
	from.Store(&unknown)
	wg.Go(func() { k.copy(ctx, far, near, number, &from, true) })
	wg.Go(func() { k.copy(ctx, near, far, number, &from, false) })
	wg.Wait()
}

func (k *link) copy(ctx context.Context, dst, src net.Conn, number int, from *atomic.Pointer[string], opener bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if k.wait != nil {
			if name := machineName.Find(buf[:n]); opener && name != nil && *from.Load() == "" {
				s := string(name)
				from.Store(&s)
			}
			k.wait(ctx, *from.Load())
		}
		if n > 0 && !k.isSilent(number) {
			_, _ = dst.Write(buf[:n]) // the next read shows the end
		}
		if err != nil {
			if err != io.EOF || !k.isSilent(number) {
				_ = dst.Close()
			}
			_ = src.Close()
			return
		}
	}
}
