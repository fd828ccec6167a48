package memnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is the number of bytes on the way in one direction of a connection, beyond which a
// writer waits for the reader.
const windowBytes = 1 << 20

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	chunks []chunk
	bytes  int
	// ended is set by the writer's close, broken by the reader's.
	ended, broken bool
	// muted and unread are set instead if the other side can't learn of the close.
	muted, unread bool
	// readBy and writeBy are the deadlines of the reader and the writer, if set.
	readBy, writeBy time.Time
	// changed is closed and replaced at every change of the fields above and of a deadline.
	changed chan struct{}
}

// chunk is the data of one write, which arrives at a time.
type chunk struct {
	at   time.Time
	data []byte
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// notify must be called with mu held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// end closes the stream for the writer, and for the reader too if seen is set.
func (s *stream) end(seen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen {
		s.ended = true
	} else {
		s.muted = true
	}
	s.notify()
}

// abandon closes the stream for the reader, and for the writer too if seen is set.
func (s *stream) abandon(seen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen {
		s.broken = true
	} else {
		s.unread = true
	}
	s.chunks, s.bytes = nil, 0
	s.notify()
}

// wait waits for a change until the time given, if there is one.
func wait(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// errWait reports that an operation has to wait.
var errWait = errors.New("wait")

// take moves data that has arrived to p. With errWait it returns the time until which to wait, if
// there is one.
func (s *stream) take(p []byte) (n int, until time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.broken, s.unread:
		return 0, time.Time{}, nil, net.ErrClosed
	case !s.readBy.IsZero() && !now.Before(s.readBy):
		return 0, time.Time{}, nil, os.ErrDeadlineExceeded
	case len(s.chunks) == 0 && s.ended:
		return 0, time.Time{}, nil, io.EOF
	case len(s.chunks) == 0, now.Before(s.chunks[0].at):
		until = s.readBy
		if len(s.chunks) > 0 && (until.IsZero() || s.chunks[0].at.Before(until)) {
			until = s.chunks[0].at
		}
		return 0, until, s.changed, errWait
	}
	for n < len(p) && len(s.chunks) > 0 && !now.Before(s.chunks[0].at) {
		c := &s.chunks[0]
		k := copy(p[n:], c.data)
		n, s.bytes = n+k, s.bytes-k
		if c.data = c.data[k:]; len(c.data) == 0 {
			s.chunks = s.chunks[1:]
		}
	}
	s.notify()
	return n, time.Time{}, nil, nil
}

// put appends data that arrives at a time, or after the data before it.
func (s *stream) put(p []byte, at time.Time) (until time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended, s.muted:
		return time.Time{}, nil, net.ErrClosed
	case s.broken:
		return time.Time{}, nil, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case !s.writeBy.IsZero() && !time.Now().Before(s.writeBy):
		return time.Time{}, nil, os.ErrDeadlineExceeded
	case s.unread:
		return time.Time{}, nil, nil
	case s.bytes > 0 && s.bytes+len(p) > windowBytes:
		return s.writeBy, s.changed, errWait
	}
	if n := len(s.chunks); n > 0 && at.Before(s.chunks[n-1].at) {
		at = s.chunks[n-1].at
	}
	s.chunks = append(s.chunks, chunk{at: at, data: append([]byte(nil), p...)})
	s.bytes += len(p)
	s.notify()
	return time.Time{}, nil, nil
}

// writable returns the error of a write whose data is lost: only this side's close shows.
func (s *stream) writable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.muted {
		return net.ErrClosed
	}
	return nil
}

// conn is one side of a connection. Data written while its direction is blocked is lost.
type conn struct {
	net           *Net
	number        uint64
	accepted      bool
	local, remote netip.AddrPort
	in, out       *stream
}

func (n *Net) connect(from, to netip.AddrPort) (near, far *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastConn++
	there, back := newStream(), newStream()
	near = &conn{net: n, number: n.lastConn, local: from, remote: to, in: back, out: there}
	far = &conn{net: n, number: n.lastConn, accepted: true, local: to, remote: from, in: there, out: back}
	n.open[n.lastConn] = [2]*conn{near, far}
	return near, far
}

// forget removes a connection that one side has closed.
func (n *Net) forget(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, number)
}

// silent reports whether what this side sends is lost because the connection has gone silent.
func (c *conn) silent() bool { return c.net.isSilent(c.number, c.local.Addr(), c.remote.Addr()) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, until, changed, err := c.in.take(p)
		if !errors.Is(err, errWait) {
			if c.accepted {
				c.net.AwaitTurn(c.local.Addr())
			}
			if n > 0 {
				c.net.Handle(c.local.Addr())
			}
			return n, err
		}
		wait(changed, until)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.accepted {
		c.net.AwaitTurn(c.local.Addr())
	}
	if c.silent() {
		return len(p), c.out.writable()
	}
	if c.net.isBlocked(c.local.Addr(), c.remote.Addr()) {
		return len(p), nil
	}
	for {
		until, changed, err := c.out.put(p, time.Now().Add(c.net.delayBetween(c.local.Addr(), c.remote.Addr())))
		if err == nil {
			return len(p), nil
		}
		if !errors.Is(err, errWait) {
			return 0, err
		}
		wait(changed, until)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.forget(c.number)
	seen := !c.silent()
	c.out.end(seen)
	c.in.abandon(seen)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.readBy = t
	c.in.notify()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.writeBy = t
	c.out.notify()
	return nil
}
