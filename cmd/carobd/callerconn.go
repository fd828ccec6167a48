package main

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"carobpulley/intake"
)

const (
	// maxAheadBytes bounds what is read ahead on a connection. The end of a connection with more bytes
	// waiting, or for whose bytes there is no memory, is not noticed.
	maxAheadBytes = 64 << 10
	// aheadChunkBytes is the most that is read ahead at once.
	aheadChunkBytes = 512
)

// callerListener accepts connections whose end is noticed while a handler runs.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if counted, ok := c.(*intake.Conn); ok {
		return &callerConn{Conn: counted}, err
	}
	return c, err
}

// callerConn is a connection of a caller. While a handler runs, http.Server reads one byte to learn of
// the connection's end, and reads no further once a byte has come. callerConn then goes on reading, so
// that the contexts of requests end with the connection also if another request waits on it.
type callerConn struct {
	*intake.Conn
	// left ends the contexts of the connection's requests.
	left context.CancelFunc
	// ahead is what was read ahead, and aheadErr the error after it. The goroutine that reads ahead
	// has both until done is closed.
	ahead    []byte
	aheadErr error

	mu sync.Mutex
	// done is nil unless reading ahead has begun and the server has not read since.
	done chan struct{}
	// deadline is the server's read deadline.
	deadline time.Time
}

// watchCaller is an http.Server's ConnContext.
func watchCaller(ctx context.Context, c net.Conn) context.Context {
	caller, ok := c.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, caller.left = context.WithCancel(ctx)
	return ctx
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if err := c.stopReadingAhead(); err != nil {
		return 0, err
	}
	n, err := 0, c.aheadErr
	switch {
	case len(c.ahead) > 0:
		n = copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		c.Ahead(-n)
		err = c.Took(n)
	case err == nil:
		n, err = c.Conn.Read(b)
	}
	if n == 1 && len(b) == 1 {
		c.beginReadingAhead()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.done != nil {
		return nil // set when reading ahead has stopped
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) beginReadingAhead() {
	done := make(chan struct{})
	c.mu.Lock()
	c.done = done
	err := c.Conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if err != nil {
		close(done) // the connection is closed
		return
	}
	go func() {
		defer close(done)
		c.readAhead()
	}()
}

// readAhead reads until the connection ends, maxAheadBytes wait, there is no memory for more, or it is
// stopped by a deadline.
func (c *callerConn) readAhead() {
	chunk := make([]byte, aheadChunkBytes)
	for len(c.ahead) < maxAheadBytes && c.aheadErr == nil && c.Ahead(len(chunk)) {
		n, err := c.Conn.Read(chunk)
		c.Ahead(n - len(chunk))
		c.ahead = append(c.ahead, chunk[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.aheadErr = err
	}
	if c.aheadErr != nil {
		c.left()
	}
}

func (c *callerConn) stopReadingAhead() error {
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	// An error means that the connection is closed, which ends reading ahead too.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = nil
	return c.Conn.SetReadDeadline(c.deadline)
}
