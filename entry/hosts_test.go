package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// host is an endpoint with its agent, which the entries reach through a relay.
type host struct {
	base   *url.URL
	domain string
	id     string
	relay  *relay
	agent  *agent.Agent
	// lostCancels is the number of next CancelTask calls that get no answer and
	// have no effect.
	lostCancels atomic.Int32
	// kill ends the agent without a drain or a farewell.
	kill func()
	// stopAnnouncing ends the announcements and waits for the last one.
	stopAnnouncing func()
}

// leave announces the agent's departure as agentd does on SIGTERM: after the
// last announcement, since an older one that comes later is ignored.
func (h *host) leave(ctx context.Context) {
	h.agent.Drain(ctx)
	h.stopAnnouncing()
	h.agent.Leave(ctx)
}

func (c *cluster) startEndpoint(i int) {
	c.t.Helper()
	domain := fmt.Sprintf("d%d", i%3+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.starts.serve(w, r, domain, c.opts.runTime)
	}))
	c.t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	if err != nil {
		c.t.Fatal(err)
	}
	h := &host{base: base, domain: domain, id: fmt.Sprintf("ep-%d", i+1), relay: newRelay(c)}
	c.hosts = append(c.hosts, h)
	c.startAgent(h)
}

// startAgent starts the agent of a host, again after a kill.
func (c *cluster) startAgent(h *host) {
	c.t.Helper()
	cfg := agent.Config{
		Endpoint: carobpulley.Endpoint{
			ID:       h.id,
			Addr:     h.relay.addr,
			Domain:   h.domain,
			Services: []string{"check", "confirm", "single"},
			Slots:    8,
		},
		BaseURL:    h.base,
		QueueLimit: 4,
		RunLimit:   time.Minute,
	}
	for _, a := range c.addrs {
		cfg.Entries = append(cfg.Entries, a)
	}
	client, err := inner.NewClient(c.opts.tls)
	if err != nil {
		c.t.Fatal(err)
	}
	h.agent = agent.New(cfg, agent.NewEntryClients(client), agent.NewTransport(8), zerolog.Nop())
	mux := http.NewServeMux()
	mux.Handle(inner.AgentHandler(h.agent))
	lossy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/CancelTask") && h.lostCancels.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
	srv, err := inner.NewServer(c.ctx, netip.MustParseAddrPort("127.0.0.1:0"), c.opts.tls, lossy)
	if err != nil {
		c.t.Fatal(err)
	}
	srv.SetErrorLog(io.Discard)
	h.relay.to(srv.Addr())
	ctx, cancel := context.WithCancel(c.ctx)
	var announcing, wg sync.WaitGroup
	announcing.Go(func() { h.agent.Announce(ctx) })
	wg.Go(func() { _ = srv.Serve() })
	h.stopAnnouncing = func() {
		cancel()
		announcing.Wait()
	}
	h.kill = func() {
		h.stopAnnouncing()
		done, now := context.WithCancel(context.Background())
		now()
		_ = srv.Stop(done)
		wg.Wait()
	}
	c.t.Cleanup(h.kill)
}

// relay carries connections to an agent until it is told to break them.
type relay struct {
	addr netip.AddrPort

	mu      sync.Mutex
	target  netip.AddrPort
	blocked bool
	conns   map[net.Conn]struct{}
}

func newRelay(c *cluster) *relay {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	r := &relay{addr: netip.MustParseAddrPort(l.Addr().String()), conns: make(map[net.Conn]struct{})}
	c.t.Cleanup(func() {
		_ = l.Close()
		r.cut(true)
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go r.carry(in)
		}
	}()
	return r
}

func (r *relay) to(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// cut closes all connections; with block, also those that are opened from now on.
func (r *relay) cut(block bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = block
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) carry(in net.Conn) {
	defer func() { _ = in.Close() }()
	r.mu.Lock()
	target, blocked := r.target, r.blocked
	r.mu.Unlock()
	if blocked {
		return
	}
	out, err := net.Dial("tcp", target.String())
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
