package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/agent"
	"carobpulley/inner"
)

// testAgent is an endpoint with its agent. The entries reach the agent through a
// relay.
type testAgent struct {
	base   *url.URL
	domain string
	id     string
	relay  *relay
	agent  *agent.Agent
	// dropCancels is the number of next CancelTask calls to drop without an answer
	// and without an effect.
	dropCancels atomic.Int32
	// kill stops the agent without a drain and without announcing its departure.
	kill func()
	// stopAnnouncing stops the announcements and waits for the last one to end.
	stopAnnouncing func()
}

// leave shuts the agent down as agentd does on SIGTERM. The departure is announced
// after the last announcement has ended, since a message that is older than one
// already received is ignored.
func (ag *testAgent) leave(ctx context.Context) {
	ag.agent.Drain(ctx)
	ag.stopAnnouncing()
	ag.agent.Leave(ctx)
}

func (c *cluster) startEndpoint(i int) {
	c.t.Helper()
	domain := fmt.Sprintf("d%d", i%3+1)
	l := c.net.listen()
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.starts.serve(w, r, domain, c.opts.runTime)
	})}
	go func() { _ = srv.Serve(l) }()
	c.t.Cleanup(func() { _ = srv.Close() })
	base := &url.URL{Scheme: "http", Host: l.Addr().String()}
	ag := &testAgent{base: base, domain: domain, id: fmt.Sprintf("ep-%d", i+1), relay: newRelay(c)}
	c.agents = append(c.agents, ag)
	c.startAgent(ag)
}

// startAgent starts the agent of an endpoint. It can be called again after a kill.
func (c *cluster) startAgent(ag *testAgent) {
	c.t.Helper()
	cfg := agent.Config{
		Endpoint: carobpulley.Endpoint{
			ID:       ag.id,
			Addr:     ag.relay.addr,
			Domain:   ag.domain,
			Services: []string{"check", "confirm", "single"},
			Slots:    8,
		},
		BaseURL:    ag.base,
		QueueLimit: 4,
		RunLimit:   time.Minute,
	}
	for _, a := range c.addrs {
		cfg.Entries = append(cfg.Entries, a)
	}
	client, err := inner.NewClientWithDial(c.opts.tls, c.net.dial)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(client.Close)
	transport := agent.NewTransport(8)
	transport.DialContext = c.net.dial
	c.t.Cleanup(transport.CloseIdleConnections)
	ag.agent = agent.New(cfg, agent.NewEntryClients(client), transport, zerolog.Nop())
	mux := http.NewServeMux()
	mux.Handle(inner.AgentHandler(ag.agent))
	lossy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/CancelTask") && ag.dropCancels.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
	srv, err := inner.NewServerOn(c.net.listen(), c.opts.tls, lossy)
	if err != nil {
		c.t.Fatal(err)
	}
	srv.SetErrorLog(io.Discard)
	ag.relay.setTarget(srv.Addr())
	ctx, cancel := context.WithCancel(c.ctx)
	var announcing, wg sync.WaitGroup
	announcing.Go(func() { ag.agent.Announce(ctx) })
	wg.Go(func() { _ = srv.Serve() })
	ag.stopAnnouncing = func() {
		cancel()
		announcing.Wait()
	}
	ag.kill = func() {
		ag.stopAnnouncing()
		stopCtx, cancelStop := context.WithCancel(context.Background())
		cancelStop()
		_ = srv.Stop(stopCtx)
		wg.Wait()
	}
	c.t.Cleanup(ag.kill)
}

// relay is a TCP proxy to an agent that can close its connections.
type relay struct {
	dial inner.DialFunc
	addr netip.AddrPort

	mu      sync.Mutex
	target  netip.AddrPort
	blocked bool
	conns   map[net.Conn]struct{}
}

func newRelay(c *cluster) *relay {
	c.t.Helper()
	l := c.net.listen()
	r := &relay{dial: c.net.dial, addr: netip.MustParseAddrPort(l.Addr().String()), conns: make(map[net.Conn]struct{})}
	c.t.Cleanup(func() {
		_ = l.Close()
		r.closeConnections(true)
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(in)
		}
	}()
	return r
}

func (r *relay) setTarget(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// closeConnections closes all connections. With block, it also refuses new ones.
func (r *relay) closeConnections(block bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = block
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	r.mu.Lock()
	target, blocked := r.target, r.blocked
	r.mu.Unlock()
	if blocked {
		return
	}
	out, err := r.dial(context.Background(), "tcp", target.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	r.mu.Lock()
	blocked = r.blocked
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	r.mu.Unlock()
	if blocked {
		return
	}
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}
