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

// loopback is a loopback address on which the system chooses the port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// innerServer is a running server of the inner protocol. done is closed when it has
// stopped.
type innerServer struct {
	*inner.Server
	done chan struct{}
}

// serveInner serves a handler on a loopback address without TLS.
func serveInner(ctx context.Context, pattern string, h http.Handler) (*innerServer, error) {
	return serveInnerAt(ctx, loopback, inner.TLS{}, pattern, h)
}

func serveInnerAt(ctx context.Context, addr netip.AddrPort, t inner.TLS, pattern string, h http.Handler) (*innerServer, error) {
	mux := http.NewServeMux()
	mux.Handle(pattern, h)
	s, err := inner.NewServer(ctx, addr, t, mux)
	if err != nil {
		return nil, err
	}
	server := &innerServer{Server: s, done: make(chan struct{})}
	go func() {
		defer close(server.done)
		_ = s.Serve()
	}()
	return server, nil
}

func (s *innerServer) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = s.Stop(ctx)
	<-s.done
}

// countingProxy forwards connections to a server and counts the bytes in both directions.
type countingProxy struct {
	listener net.Listener
	target   netip.AddrPort
	bytes    atomic.Int64
}

func newCountingProxy(ctx context.Context, target netip.AddrPort) (*countingProxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: l, target: target}
	go p.accept(ctx)
	return p, nil
}

func (p *countingProxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *countingProxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		server, err := d.DialContext(ctx, "tcp", p.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		go p.forward(server, client)
		go p.forward(client, server)
	}
}

func (p *countingProxy) forward(to, from net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, countingWriter{&p.bytes}), from)
	_ = to.Close()
	_ = from.Close()
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n *atomic.Int64 }

// Write implements io.Writer.
func (c countingWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
