package intake

import (
	"context"
	"net"
	"sync"
	"time"
)

// Conn is a connection of a Gate.
type Conn struct {
	net.Conn
	gate  *Gate
	entry *Entry
	// cancel ends the context of the newest request; nil if there was none. The gate's lock guards it.
	cancel context.CancelFunc

	mu sync.Mutex
	// ended is set once the connection is being ended: its read deadline then stays in the past.
	ended bool
}

func (c *Conn) intake() *Conn { return c }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if failure := c.Took(n); failure != nil {
			return 0, failure
		}
	}
	return n, err
}

// Took records n bytes that the server got, of a head unless the handler is running.
func (c *Conn) Took(n int) error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.end(now, g.ledger.Head(now, c.entry, n))
	if c.entry.phase == phaseHead {
		return c.awaitMemory()
	}
	return nil
}

// body records n bytes of the body that the handler got.
func (c *Conn) body(n int) error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.end(now, g.ledger.Body(now, c.entry, n))
	return c.awaitMemory()
}

// awaitMemory waits until the memory of requests that are being aborted is free, so that the budget holds
// also while they end. The caller holds the gate's lock.
func (c *Conn) awaitMemory() error {
	for c.entry.aborted == "" && c.gate.ledger.Full() {
		c.gate.freed.Wait()
	}
	return c.failure()
}

// failure returns the error of a connection that is being ended. The caller holds the gate's lock.
func (c *Conn) failure() error {
	if r := c.entry.aborted; r != "" {
		return &Error{Op: "receive", Kind: KindAborted, Msg: string(r)}
	}
	return nil
}

// Ahead reserves memory for n bytes that are read ahead of a request, or frees that of -n. It returns
// false if there is none.
func (c *Conn) Ahead(n int) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.ledger.Ahead(c.entry, n)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite shuts down the sending side, so that a response arrives although bytes of the request are
// left unread.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.gate
	g.mu.Lock()
	g.ledger.Close(c.entry)
	delete(g.conns, c.entry)
	g.freed.Broadcast()
	g.mu.Unlock()
	return c.Conn.Close()
}

// end ends reading, so that the handler can still respond, or closes the connection. The caller holds the
// gate's lock.
func (c *Conn) end(respond bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.gate.freed.Broadcast()
	if c.cancel != nil {
		c.cancel()
	}
	if respond {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		return
	}
	_ = c.Conn.Close() // nothing is waiting for the result
}
