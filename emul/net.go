package emul

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 300 * time.Millisecond

// Net emulates the network between processes. Each host has one address.
type Net struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	blocked   map[[2]string]bool
}

// NewNet returns a network with a one-way delay.
func NewNet(delay time.Duration) *Net {
	return &Net{delay: delay, listeners: make(map[string]*listener), blocked: make(map[[2]string]bool)}
}

// SetBlocked starts or stops the loss of all data sent from one host to another.
func (n *Net) SetBlocked(from, to netip.Addr, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from.String(), to.String()}] = blocked
}

func (n *Net) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}]
}

type listener struct {
	net   *Net
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen returns a listener on an address.
func (n *Net) Listen(addr netip.AddrPort) net.Listener {
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr.String()] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr.String()] == l {
			delete(l.net.listeners, l.addr.String())
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// Dialer returns the function by which a host opens connections.
func (n *Net) Dialer(from netip.Addr) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		to := netip.MustParseAddrPort(addr)
		fail := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }
		if n.isBlocked(from.String(), to.Addr().String()) || n.isBlocked(to.Addr().String(), from.String()) {
			<-ctx.Done()
			return nil, fail(ctx.Err())
		}
		select {
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		case <-time.After(2 * n.delay):
		}
		n.mu.Lock()
		l := n.listeners[to.String()]
		n.mu.Unlock()
		if l == nil {
			return nil, fail(syscall.ECONNREFUSED)
		}
		near, far := net.Pipe()
		select {
		case l.conns <- &conn{Conn: far, net: n, from: to.Addr().String(), to: from.String()}:
		case <-l.done:
			return nil, fail(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		}
		return &conn{Conn: near, net: n, from: from.String(), to: to.Addr().String()}, nil
	}
}

// conn is one side of a connection. Data written while its direction is blocked is lost.
type conn struct {
	net.Conn
	net      *Net
	from, to string
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.net.isBlocked(c.from, c.to) {
		return len(p), nil
	}
	time.Sleep(c.net.delay)
	return c.Conn.Write(p)
}
