package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/wire/relay"
)

const (
	// dialTimeout bounds opening a connection to another process.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one peer.
	maxIdleConns = 8
	// bufferBytes is the size of a connection's read and write buffers; messages are
	// small.
	bufferBytes = 4 << 10
)

// Peer holds the clients for one coordinator or agent process.
type Peer struct {
	Coordinator relay.CoordinatorServiceClient
	Agent       relay.AgentServiceClient
	transport   *http.Transport
}

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Peers holds one Peer per address and creates it on first use.
type Peers struct {
	dial  DialFunc
	mu    sync.Mutex
	peers map[netip.AddrPort]*Peer
}

// NewPeers returns an empty set whose connections use the host's network.
func NewPeers() *Peers {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return NewPeersWithDial(dialer.DialContext)
}

// NewPeersWithDial returns an empty set whose connections are opened by dial.
func NewPeersWithDial(dial DialFunc) *Peers {
	return &Peers{dial: dial, peers: make(map[netip.AddrPort]*Peer)}
}

// Close closes all idle connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.CloseIdleConnections()
	}
}

// At returns the Peer for an address.
func (p *Peers) At(addr netip.AddrPort) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.peers[addr]; peer != nil {
		return peer
	}
	peer := newPeer(addr, p.dial)
	p.peers[addr] = peer
	return peer
}

func newPeer(addr netip.AddrPort, dial DialFunc) *Peer {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	client := &http.Client{Transport: transport}
	base := "http://" + addr.String()
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	return &Peer{
		Coordinator: relay.NewCoordinatorServiceClient(client, base, noCompression),
		Agent:       relay.NewAgentServiceClient(client, base, noCompression),
		transport:   transport,
	}
}

// CloseIdleConnections closes idle connections, which may be broken without notice, so
// that the next call opens a new one.
func (p *Peer) CloseIdleConnections() { p.transport.CloseIdleConnections() }

// CallError converts the error of a call: its kind is KindUnavailable if the call was not
// sent and KindUnknown if it may have been executed. After a call that timed out it
// closes the idle connections.
func (p *Peer) CallError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind := carobpulley.KindUnknown
	var opErr *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		kind = carobpulley.KindUnavailable
	case errors.As(err, &opErr) && opErr.Op == "dial":
		kind = carobpulley.KindUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		p.CloseIdleConnections()
	}
	return &carobpulley.Error{Op: op, Kind: kind, Msg: err.Error()}
}

// WithReuseTrace returns a context for one call, and a function that reports whether the call was sent over
// a connection that was open before. Such a one may have gone silent, so a time-out of the call tells
// nothing about the peer.
func WithReuseTrace(ctx context.Context) (context.Context, func() bool) {
	var reused atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
	}), reused.Load
}

// ConnectionRefused reports whether the error shows that nothing listens at the peer's
// address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
