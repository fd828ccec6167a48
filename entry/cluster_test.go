package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/agent"
	"carobpulley/conf"
	"carobpulley/entry"
	"carobpulley/inner"
	"carobpulley/memlog"
	"carobpulley/oper"
	"carobpulley/owner"
	"carobpulley/place"
	"carobpulley/roster"
	"carobpulley/stats"
)

const document = `format: 1
members:
  - name: depots
    token_sha256: ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
    quota: {starts_per_second: 100000, max_concurrent: 10000, weight: 1}
services:
  - {name: check, member: depots, class: normal, run_time: 20ms, idempotent: true}
  - {name: confirm, member: depots, class: urgent, run_time: 20ms, idempotent: false}
domains:
  - {name: d1, region: r, in_service: %t}
  - {name: d2, region: r, in_service: true}
  - {name: d3, region: r, in_service: true}
entries: [entry-1, entry-2, entry-3]
`

// starts is the endpoints' own record: when each task started, by job and task.
type starts struct {
	mu sync.Mutex
	at map[string][]start
}

type start struct {
	domain string
	at     time.Time
}

func (s *starts) add(r *http.Request, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("X-Carob-Job") + "#" + r.Header.Get("X-Carob-Task")
	s.at[id] = append(s.at[id], start{domain: domain, at: time.Now()})
}

// of returns how often a task started.
func (s *starts) of(key string, task int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at[fmt.Sprintf("depots/%s#%d", key, task)])
}

// checkOnce reports every task that started twice.
func (s *starts) checkOnce(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, list := range s.at {
		if len(list) > 1 {
			t.Errorf("%s started %d times", id, len(list))
		}
	}
}

// cluster is three entries and six endpoints with their agents on loopback.
type cluster struct {
	t   *testing.T
	ctx context.Context
	log *memlog.Log
	// journals stands before log at the entries.
	journals *journalReads
	client   *inner.Client
	starts   *starts
	entries  map[string]*node
	agents   []*agent.Agent
	addrs    map[string]netip.AddrPort
}

// node is one entry process.
type node struct {
	*entry.Entry
	kill func()
}

func newCluster(t *testing.T, runTime time.Duration) *cluster {
	t.Helper()
	client, err := inner.NewClient(inner.TLS{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	c := &cluster{
		t:       t,
		ctx:     ctx,
		log:     memlog.New(memlog.Retention{}, time.Now),
		client:  client,
		starts:  &starts{at: make(map[string][]start)},
		entries: make(map[string]*node),
		addrs:   make(map[string]netip.AddrPort),
	}
	c.journals = &journalReads{Log: c.log}
	c.log.SetFaults(memlog.Faults{Delay: 3 * time.Millisecond})
	for i := range 3 {
		c.addrs[fmt.Sprintf("entry-%d", i+1)] = freeAddr(t)
	}
	for name := range c.addrs {
		c.startEntry(name)
	}
	for i := range 6 {
		c.startEndpoint(i, runTime)
	}
	c.publish("first", 0, fmt.Sprintf(document, true))
	return c
}

// journalReads is a log that answers no read of a journal while blocked is set.
// ended counts the reads that were given up.
type journalReads struct {
	carobpulley.Log
	blocked atomic.Bool
	ended   atomic.Int64
}

func (l *journalReads) Read(ctx context.Context, stream string, from uint64, limit int, waitUntil time.Time) (carobpulley.Page, error) {
	if l.blocked.Load() && strings.HasPrefix(stream, carobpulley.StreamJournalPrefix) {
		<-ctx.Done()
		l.ended.Add(1)
		return carobpulley.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, limit, waitUntil)
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (c *cluster) startEntry(name string) {
	c.t.Helper()
	now := time.Now()
	incarnation := uint64(now.UnixNano())
	peers := make(map[string]netip.AddrPort)
	for other, addr := range c.addrs {
		if other != name {
			peers[other] = addr
		}
	}
	placer := place.New(rand.NewPCG(1, incarnation), nil, "d1")
	e := entry.New(entry.Settings{
		Name:         name,
		Incarnation:  incarnation,
		Domain:       "d1",
		Peers:        peers,
		Shards:       carobpulley.Shards,
		LogRetention: time.Hour,
	}, entry.Parts{
		Log:       c.journals,
		Client:    c.client,
		Authority: owner.NewAuthority(now, name, incarnation, carobpulley.Shards),
		Table:     owner.NewTable(name, carobpulley.Shards),
		Placer:    placer,
		Admitter:  admit.New(placer),
		Roster:    roster.New(),
		Retry:     place.NewBudget(rand.NewPCG(2, incarnation)),
		Stats:     stats.New(),
		Logger:    zerolog.Nop(),
	})
	mux := http.NewServeMux()
	mux.Handle(inner.EntryHandler(e.Service()))
	srv, err := inner.NewServer(c.ctx, c.addrs[name], inner.TLS{}, mux)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.Run(ctx) })
	wg.Go(func() { _ = srv.Serve() })
	kill := func() {
		cancel()
		// A stop without time closes all connections, as a killed process does.
		done, now := context.WithCancel(context.Background())
		now()
		_ = srv.Stop(done)
		wg.Wait()
	}
	c.t.Cleanup(kill)
	c.entries[name] = &node{Entry: e, kill: kill}
}

func (c *cluster) startEndpoint(i int, runTime time.Duration) {
	c.t.Helper()
	domain := fmt.Sprintf("d%d", i%3+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.starts.add(r, domain)
		body, _ := io.ReadAll(r.Body)
		time.Sleep(runTime)
		_, _ = w.Write(body)
	}))
	c.t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	if err != nil {
		c.t.Fatal(err)
	}
	addr := freeAddr(c.t)
	cfg := agent.Config{
		Endpoint: carobpulley.Endpoint{
			ID:       fmt.Sprintf("ep-%d", i+1),
			Addr:     addr,
			Domain:   domain,
			Services: []string{"check", "confirm"},
			Slots:    8,
		},
		Base:       base,
		LookAhead:  4,
		RunLimit:   time.Minute,
		DrainLimit: 5 * time.Second,
	}
	for _, a := range c.addrs {
		cfg.Entries = append(cfg.Entries, a)
	}
	a := agent.New(cfg, agent.ClientEntries(c.client), agent.NewTransport(8), zerolog.Nop())
	c.agents = append(c.agents, a)
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = a.Run(ctx, addr, inner.TLS{}) })
	c.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// publish makes a document the next version, with tries while entries start.
func (c *cluster) publish(id string, base uint64, doc string) {
	c.t.Helper()
	for c.ctx.Err() == nil {
		for _, n := range c.entries {
			a := n.Publish(c.ctx, conf.Change{ID: id, Base: base, Author: "test", Time: time.Now(), Document: []byte(doc)})
			if a.Outcome == oper.OutcomeAccepted {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("the change was not accepted")
}

func spec(key string, tasks int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID:       carobpulley.JobID{Member: "depots", Key: key},
		Service:  "check",
		Deadline: time.Now().Add(30 * time.Second),
	}
	for i := range tasks {
		s.Payloads = append(s.Payloads, []byte(fmt.Sprintf("%s/%d", key, i)))
	}
	return s
}

// ready waits until every entry serves callers.
func (c *cluster) ready() {
	c.t.Helper()
	for name, n := range c.entries {
		for n.Ready() != nil {
			if c.ctx.Err() != nil {
				c.t.Fatalf("%s is not ready: %v", name, n.Ready())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// ownerOf waits until a key's shard has an owner and returns its name.
func (c *cluster) ownerOf(key string) string {
	c.t.Helper()
	shard := carobpulley.ShardOf(carobpulley.JobID{Member: "depots", Key: key}, carobpulley.Shards)
	for c.ctx.Err() == nil {
		for _, n := range c.entries {
			for _, s := range n.Status().Shards {
				if s.Shard == shard && s.Active {
					return s.Owner
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("the shard has no owner")
	return ""
}
