package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/meter"
)

const (
	// sweepInterval is the time between two checks of deadlines.
	sweepInterval = 100 * time.Millisecond
	// writeTimeout bounds one write of a response: a client that does not read for so long has left.
	writeTimeout = 10 * time.Second
	// RetryDelay is when a refused client may come back: what was aborted is free by then.
	RetryDelay = time.Second
)

// Default timeouts, where the configuration has none.
const (
	// DefaultHeadTimeout bounds the time to read a request's head.
	DefaultHeadTimeout = 3 * time.Second
	// BodyTimeout bounds the time to read a body. The largest submission of the deployments, 262,144 bytes,
	// arrives within it at 210 kbit/s.
	BodyTimeout = 10 * time.Second
	// DefaultIdleTimeout is above the time for which clients of net/http keep connections, 90 s, so that
	// the client closes first.
	DefaultIdleTimeout = 2 * time.Minute
)

// DefaultTimeouts returns the timeouts of a role whose settings have none. Idle connections of other
// processes stay open: a call on one that is just being closed would have an unknown outcome.
func DefaultTimeouts(r Role) Timeouts {
	t := Timeouts{Head: DefaultHeadTimeout, Body: BodyTimeout, Idle: DefaultIdleTimeout}
	if r == RoleInner {
		t.Idle = 0
	}
	return t
}

// Gate applies a Ledger to the connections of net/http servers. Its methods may be called concurrently.
type Gate struct {
	report *report

	mu     sync.Mutex
	ledger *Ledger
	conns  map[*Entry]*Conn
	// freed is signalled when memory or a connection is free.
	freed *sync.Cond
	// sources hold the timeouts that may change, by role.
	sources map[Role]func() Timeouts
	budget  int64
}

// NewGate returns a Gate with the limits that counts in m and logs to log.
func NewGate(l Limits, log zerolog.Logger, m *meter.Set) *Gate {
	g := &Gate{
		report: newReport(log, m), ledger: NewLedger(l), budget: l.BudgetBytes,
		conns: make(map[*Entry]*Conn), sources: make(map[Role]func() Timeouts),
	}
	g.freed = sync.NewCond(&g.mu)
	for r := range shares {
		g.ledger.SetTimeouts(r, DefaultTimeouts(r))
	}
	return g
}

// SetLimits changes the limits.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetLimits(l)
	g.budget = l.BudgetBytes
}

// SetTimeouts makes source, which is called now and then several times a second, give the timeouts of a role.
func (g *Gate) SetTimeouts(r Role, source func() Timeouts) {
	t := source()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sources[r] = source
	g.ledger.SetTimeouts(r, t)
}

// Run ends connections whose deadline has passed, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.sweep(now)
		}
	}
}

func (g *Gate) sweep(now time.Time) {
	g.mu.Lock()
	sources := make(map[Role]func() Timeouts, len(g.sources))
	for r, source := range g.sources {
		sources[r] = source
	}
	g.mu.Unlock()
	for r, source := range sources {
		t := source() // may wait for a lock of its own
		g.mu.Lock()
		g.ledger.SetTimeouts(r, t)
		g.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(now, g.ledger.Expired(now))
	g.report.gauges(g.ledger, g.budget)
	g.report.flush(now)
}

// end ends the connections of aborted entries. The caller holds the lock.
func (g *Gate) end(now time.Time, aborted []*Entry) {
	for _, e := range aborted {
		g.report.aborted(now, e, g.conns[e].RemoteAddr().String())
		g.conns[e].end(e.phase == phaseBody)
	}
}

// Listener returns a listener whose connections count for a role.
func (g *Gate) Listener(ln net.Listener, r Role) net.Listener {
	return &gateListener{Listener: ln, gate: g, role: r}
}

type gateListener struct {
	net.Listener
	gate *Gate
	role Role
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return c, err
		}
		if admitted := l.gate.admit(c, l.role); admitted != nil {
			return admitted, nil
		}
	}
}

// refusal is the response to a connection for which there is no place. No request of it has been read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 50\r\n\r\n" + `{"reason":"not run: too many connections are open"}`

// admit adds a connection, or refuses it and returns nil.
func (g *Gate) admit(c net.Conn, r Role) *Conn {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, victim := g.ledger.Open(now, r)
	if victim != nil {
		g.report.aborted(now, victim, g.conns[victim].RemoteAddr().String())
		g.conns[victim].end(false)
		delete(g.conns, victim)
	}
	if e == nil {
		g.report.refused(now, r, ReasonConnections, c.RemoteAddr().String())
		// The response fits into the empty buffer of the socket. The client may have left.
		_, _ = c.Write([]byte(refusal))
		_ = c.Close()
		return nil
	}
	conn := &Conn{Conn: c, gate: g, entry: e}
	g.conns[e] = conn
	return conn
}

// ConnState is an http.Server's ConnState.
func (g *Gate) ConnState(c net.Conn, s http.ConnState) {
	conn := connOf(c)
	if conn == nil || s != http.StateIdle {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Idle(time.Now(), conn.entry)
	g.freed.Broadcast()
}

// connOf returns the Conn below a connection; nil if there is none.
func connOf(c net.Conn) *Conn {
	if i, ok := c.(interface{ intake() *Conn }); ok {
		return i.intake()
	}
	return nil
}
