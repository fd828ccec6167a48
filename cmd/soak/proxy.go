package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// mode is what a proxy does to the connections through it.
type mode int

const (
	modePass mode = iota
	// modeDelay holds each piece of data back for a while.
	modeDelay
	// modeSilent loses all data, of open and new connections.
	modeSilent
	// modeDeaf loses the data that goes to the process behind the proxy.
	modeDeaf
	// modeStale loses the data of the connections that were open when it began;
	// new ones work.
	modeStale
)

const (
	// pieceBytes is the most that is forwarded at a time.
	pieceBytes = 32 << 10
	// pieceDelay is how long modeDelay holds a piece back.
	pieceDelay = 40 * time.Millisecond
	// acceptPause follows a failure to accept, such as a lack of descriptors.
	acceptPause = 50 * time.Millisecond
)

// proxy stands before one process.
type proxy struct {
	to netip.AddrPort
	ln net.Listener

	mu    sync.Mutex
	mode  mode
	born  int
	stale int
	conns map[net.Conn]bool
}

// newProxy forwards what comes to addr.
func newProxy(addr, to netip.AddrPort) (*proxy, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, ln: ln, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.to))
	if err != nil {
		reset(near) // as the process's own host answers
		return
	}
	p.mu.Lock()
	p.born++
	number := p.born
	p.conns[near] = true
	p.conns[far] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(far, near, number, true) })
	both.Go(func() { p.pump(near, far, number, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// pump moves data until one side ends, and closes both then.
func (p *proxy) pump(dst, src net.Conn, number int, inbound bool) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.lost(number, inbound) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(dst)
			}
			_ = dst.Close() // both directions end together
			_ = src.Close()
			return
		}
	}
}

// lost reports whether a piece of data is to be lost, after its delay.
func (p *proxy) lost(number int, inbound bool) bool {
	p.mu.Lock()
	m, stale := p.mode, p.stale
	p.mu.Unlock()
	switch m {
	case modeDelay:
		time.Sleep(pieceDelay)
	case modeSilent:
		return true
	case modeDeaf:
		return inbound
	case modeStale, modePass:
		return number <= stale
	}
	return false
}

// set changes the mode. Connections that went silent stay so.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modePass && m != modeDelay {
		p.stale = p.born
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.ln.Close() // nothing is accepted from then on
	p.resetAll()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a closed connection needs no reset
	}
	_ = c.Close()
}
