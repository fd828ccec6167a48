package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// firstPort is the first of the ports that are given to listeners without one.
	firstPort = 20000
	// quotaPeriod is the period over which a host's quota is counted.
	quotaPeriod = 100 * time.Millisecond
	// quotaStagger is the step between the beginnings of successive hosts' periods.
	quotaStagger = 37 * time.Millisecond
)

// Net is a network between processes. Each host has one address.
type Net struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	blocked   map[[2]netip.Addr]bool
	delays    map[[2]netip.Addr]time.Duration
	// silent holds the number of the last connection over which data from one host to another is lost.
	silent   map[[2]netip.Addr]uint64
	lastConn uint64
	// open holds the connections that neither side has closed, by number.
	open map[uint64][2]*conn
	// quotas holds the share of each quotaPeriod in which a host runs, for hosts that have one.
	quotas map[netip.Addr]float64
	// processors holds the hosts whose messages have a cost.
	processors map[netip.Addr]*processor
	nextPort   uint16
}

// New returns a network with a one-way delay.
func New(delay time.Duration) *Net {
	return &Net{
		delay:      delay,
		listeners:  make(map[netip.AddrPort]*listener),
		blocked:    make(map[[2]netip.Addr]bool),
		delays:     make(map[[2]netip.Addr]time.Duration),
		silent:     make(map[[2]netip.Addr]uint64),
		quotas:     make(map[netip.Addr]float64),
		processors: make(map[netip.Addr]*processor),
		open:       make(map[uint64][2]*conn),
		nextPort:   firstPort,
	}
}

// SetBlocked starts or stops the loss of all data sent from one host to another.
func (n *Net) SetBlocked(from, to netip.Addr, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]netip.Addr{from, to}] = blocked
}

func (n *Net) isBlocked(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]netip.Addr{from, to}]
}

// Silence loses all data that one host sends to another over the connections that are open now, for good:
// the receiver does not learn of a close either. New connections work.
func (n *Net) Silence(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[[2]netip.Addr{from, to}] = n.lastConn
}

func (n *Net) isSilent(number uint64, from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return number <= n.silent[[2]netip.Addr{from, to}]
}

// Reset ends all connections that are open between two hosts.
func (n *Net) Reset(a, b netip.Addr) {
	n.mu.Lock()
	var ended []*conn
	for _, sides := range n.open {
		near, far := sides[0].local.Addr(), sides[0].remote.Addr()
		if near == a && far == b || near == b && far == a {
			ended = append(ended, sides[0], sides[1])
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		_ = c.Close() // it reports no error
	}
}

// SetQuota lets a host's servers read and write in a share of each tenth of a second only, at its beginning;
// 1 ends this. The host's own calls and timers are not affected: a process whose timers are late too
// allows for that.
func (n *Net) SetQuota(host netip.Addr, share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quotas[host] = share
}

// AwaitTurn waits until a host runs.
func (n *Net) AwaitTurn(host netip.Addr) {
	n.mu.Lock()
	share, limited := n.quotas[host]
	n.mu.Unlock()
	if !limited {
		return
	}
	offset := time.Duration(host.As4()[3]) * quotaStagger
	phase := time.Duration(time.Now().Add(offset).UnixNano()) % quotaPeriod
	if float64(phase) >= share*float64(quotaPeriod) {
		time.Sleep(quotaPeriod - phase)
	}
}

// SetDelay adds a delay to all data sent from one host to another. Data on the way is not affected.
func (n *Net) SetDelay(from, to netip.Addr, added time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]netip.Addr{from, to}] = added
}

func (n *Net) delayBetween(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.delays[[2]netip.Addr{from, to}]
}

type listener struct {
	net   *Net
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen returns a listener on an address. With port 0 the network selects a free port.
func (n *Net) Listen(addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr.Port() == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), n.nextPort)
		n.nextPort++
	}
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
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
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
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
		fail := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fail(err)
		}
		if n.isBlocked(from, to.Addr()) || n.isBlocked(to.Addr(), from) {
			<-ctx.Done()
			return nil, fail(ctx.Err())
		}
		select {
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		case <-time.After(n.delayBetween(from, to.Addr()) + n.delayBetween(to.Addr(), from)):
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, fail(syscall.ECONNREFUSED)
		}
		near, far := n.connect(netip.AddrPortFrom(from, 0), to)
		select {
		case l.conns <- far:
			return near, nil
		case <-l.done:
			return nil, fail(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		}
	}
}
