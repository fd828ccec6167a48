package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// mode is how a proxy treats its connections.
type mode int

const (
	modePass mode = iota
	// modeDelay delays each chunk of data by chunkDelay.
	modeDelay
	// modeDropAll drops all data of open and new connections.
	modeDropAll
	// modeDropInbound drops the data that is sent to the process behind the proxy.
	modeDropInbound
	// modeDropExisting drops the data of the connections that are open when it is set; new
	// connections work.
	modeDropExisting
)

const (
	// chunkBytes is the maximum size of a chunk, which is forwarded at once.
	chunkBytes = 32 << 10
	// chunkDelay is the delay of a chunk in modeDelay.
	chunkDelay = 40 * time.Millisecond
	// acceptRetryDelay is the pause after a failure to accept, such as a lack of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// proxy forwards the connections to one process and injects faults into them.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu        sync.Mutex
	mode      mode
	connCount int
	dropUpTo  int
	conns     map[net.Conn]bool
}

// newProxy forwards connections from addr to another address.
func newProxy(addr, target netip.AddrPort) (*proxy, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.target))
	if err != nil {
		reset(near) // as a host does for a port without a listener
		return
	}
	p.mu.Lock()
	p.connCount++
	number := p.connCount
	p.conns[near] = true
	p.conns[far] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyData(far, near, number, true) })
	copies.Go(func() { p.copyData(near, far, number, false) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copyData copies data in one direction until an end or an error, then closes both connections.
func (p *proxy) copyData(dst, src net.Conn, number int, inbound bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.dropChunk(number, inbound) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(dst)
			}
			_ = dst.Close() // the other direction ends with it
			_ = src.Close()
			return
		}
	}
}

// dropChunk reports whether a chunk is to be dropped. It sleeps for chunkDelay in modeDelay.
func (p *proxy) dropChunk(number int, inbound bool) bool {
	p.mu.Lock()
	current, dropUpTo := p.mode, p.dropUpTo
	p.mu.Unlock()
	switch current {
	case modeDelay:
		time.Sleep(chunkDelay)
	case modeDropAll:
		return true
	case modeDropInbound:
		return inbound
	case modeDropExisting, modePass:
		return number <= dropUpTo
	}
	return false
}

// setMode changes the mode. Connections that were open when a dropping mode was set also drop all
// their data in a later modePass.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modePass && m != modeDelay {
		p.dropUpTo = p.connCount
	}
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // stops accept
	p.resetConns()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}
