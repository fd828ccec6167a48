package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// ConnContext is an http.Server's ConnContext.
func (g *Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn := connOf(c); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// Handler returns a handler that accounts for the bodies of the requests of h.
func (g *Gate) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		c.begin(cancel, r.ContentLength != 0)
		defer c.done()
		// net/http looks at the body of its own request, so that one stays as it is.
		own := r.WithContext(ctx)
		own.Body = &body{ReadCloser: r.Body, conn: c}
		h.ServeHTTP(w, own)
	})
}

func (c *Conn) begin(cancel context.CancelFunc, hasBody bool) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.cancel = cancel
	c.gate.ledger.Begin(time.Now(), c.entry, hasBody)
}

func (c *Conn) done() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Done(c.entry)
	c.gate.freed.Broadcast()
}

// whole records the end of a body. The error says that the request must not be carried out.
func (c *Conn) whole() error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.Whole(time.Now(), c.entry) {
		return nil
	}
	if err := c.failure(); err != nil {
		return err
	}
	g.report.refused(time.Now(), c.entry.role, ReasonBudget, c.RemoteAddr().String())
	return &Error{Op: "receive", Kind: KindFull, Msg: string(ReasonBudget)}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. The error is an *Error if the request was aborted or there is no memory for it.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if failure := b.conn.body(n); failure != nil {
			return 0, failure
		}
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if failure := b.conn.whole(); failure != nil {
			return 0, failure
		}
		return n, err
	}
	b.conn.gate.mu.Lock()
	defer b.conn.gate.mu.Unlock()
	if failure := b.conn.failure(); failure != nil {
		return 0, failure
	}
	return n, err
}
