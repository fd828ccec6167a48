package main

import (
	"io"
	"math/rand/v2"
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
	// modeDelay delays each chunk of data, and the end of a connection, by chunkDelay.
	modeDelay
	// modeDropAll drops all data of open and new connections.
	modeDropAll
	// modeDropInbound drops the data that is sent to the process behind the proxy.
	modeDropInbound
	// modeDropExisting drops the data of the connections that are open when it is set; new
	// connections work.
	modeDropExisting
	// modeCut closes connections after a random part of a chunk that the process sends; modeCutReset
	// resets them.
	modeCut
	modeCutReset
	// modeFreeze holds all data back until the mode changes.
	modeFreeze
)

const (
	// chunkBytes is the maximum size of a chunk, which is forwarded at once.
	chunkBytes = 32 << 10
	// chunkDelay is the delay of a chunk in modeDelay.
	chunkDelay = 40 * time.Millisecond
	// freezePollInterval is the pause between two looks at the mode in modeFreeze.
	freezePollInterval = 5 * time.Millisecond
	// cutShare is the share of chunks that are cut in modeCut and modeCutReset.
	cutShare = 0.5
	// tailBytes is the end of a chunk into which every second cut falls, so that bodies are cut too.
	tailBytes = 32
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
	// conns are the connections with whoever opened them.
	conns map[net.Conn]bool
	// rng draws what is cut.
	rng *rand.Rand
}

// errCut ends a connection by a reset.
var errCut = errors.New("connection cut")

// newProxy forwards connections from addr to another address.
func newProxy(addr, target netip.AddrPort) (*proxy, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool), rng: rand.New(rand.NewPCG(0, 0))}
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
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyData(far, near, number, true) })
	copies.Go(func() { p.copyData(near, far, number, false) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	p.mu.Unlock()
}

// copyData copies data in one direction until an end or an error, then closes both connections.
func (p *proxy) copyData(dst, src net.Conn, number int, inbound bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			part, end := p.passChunk(number, inbound, n)
			if _, werr := dst.Write(buf[:part]); werr != nil {
				err = werr
			}
			if end != nil {
				err = end
			}
		}
		if err != nil {
			p.passEnd()
			if !errors.Is(err, io.EOF) {
				reset(dst)
			}
			_ = dst.Close() // the other direction ends with it
			_ = src.Close()
			return
		}
	}
}

// passChunk returns how many of a chunk's n bytes are forwarded, and the error with which the
// connection ends after them. It waits in modeDelay and modeFreeze.
func (p *proxy) passChunk(number int, inbound bool, n int) (part int, end error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == modeFreeze {
		p.sleep(freezePollInterval)
	}
	switch p.mode {
	case modeDelay:
		p.sleep(chunkDelay)
	case modeDropAll:
		return 0, nil
	case modeDropInbound:
		if inbound {
			return 0, nil
		}
	case modeCut, modeCutReset:
		if inbound || p.rng.Float64() >= cutShare {
			break
		}
		part = p.rng.IntN(n + 1)
		if p.rng.IntN(2) == 0 {
			part = n - p.rng.IntN(min(n, tailBytes)+1)
		}
		if p.mode == modeCut {
			return part, io.EOF
		}
		return part, errCut
	case modeDropExisting, modePass, modeFreeze:
		if number <= p.dropUpTo {
			return 0, nil
		}
	}
	return n, nil
}

// passEnd waits in modeDelay before the end of a connection is passed on.
func (p *proxy) passEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeDelay {
		p.sleep(chunkDelay)
	}
}

// sleep waits without the lock, which the caller holds.
func (p *proxy) sleep(d time.Duration) {
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
}

// setMode changes the mode. Connections that were open when a dropping mode was set also drop all
// their data in a later modePass.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	switch m {
	case modeDropAll, modeDropInbound, modeDropExisting:
		p.dropUpTo = p.connCount
	default:
	}
}

// seedCuts sets the random stream from which cuts are drawn.
func (p *proxy) seedCuts(seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rng = rand.New(rand.NewPCG(seed, 0))
}

// resetConns resets all open connections. Whoever opened them learns of it first.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // stops accept
	p.setMode(modePass)
	p.resetConns()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}
