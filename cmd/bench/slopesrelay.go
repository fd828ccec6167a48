package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"carobpulley/inner"
)

// loopback lets the system pick a port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// server is a running inner server.
type server struct {
	*inner.Server
	done chan struct{}
}

func serveInner(ctx context.Context, pattern string, h http.Handler) (*server, error) {
	return serveInnerAt(ctx, loopback, inner.TLS{}, pattern, h)
}

func serveInnerAt(ctx context.Context, addr netip.AddrPort, t inner.TLS, pattern string, h http.Handler) (*server, error) {
	mux := http.NewServeMux()
	mux.Handle(pattern, h)
	s, err := inner.NewServer(ctx, addr, t, mux)
	if err != nil {
		return nil, err
	}
	out := &server{Server: s, done: make(chan struct{})}
	go func() {
		defer close(out.done)
		_ = s.Serve()
	}()
	return out, nil
}

func (s *server) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = s.Stop(ctx)
	<-s.done
}

// relay passes connections on to a server and counts their bytes.
type relay struct {
	listener net.Listener
	to       netip.AddrPort
	bytes    atomic.Int64
}

func newRelay(ctx context.Context, to netip.AddrPort) (*relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to}
	go r.accept(ctx)
	return r, nil
}

func (r *relay) addr() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) accept(ctx context.Context) {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		out, err := d.DialContext(ctx, "tcp", r.to.String())
		if err != nil {
			_ = in.Close()
			continue
		}
		go r.copy(out, in)
		go r.copy(in, out)
	}
}

func (r *relay) copy(to, from net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, counter{&r.bytes}), from)
	_ = to.Close()
	_ = from.Close()
}

// counter counts what is written.
type counter struct{ n *atomic.Int64 }

// Write implements io.Writer.
func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
