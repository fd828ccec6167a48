package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/admit"
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
  - name: rentals
    token_sha256: ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
    quota: {starts_per_second: 100000, max_concurrent: 10000, weight: 1}
  - name: others
    token_sha256: ["d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"]
    quota: {starts_per_second: 100000, max_concurrent: 10000, weight: 1}
services:
  - {name: check, member: rentals, class: normal, run_time: 20ms, idempotent: true}
  - {name: confirm, member: rentals, class: urgent, run_time: 20ms, idempotent: false}
  - {name: single, member: rentals, class: normal, run_time: 20ms, idempotent: true, limits: {max_concurrent: 1}}
domains:
  - {name: d1, region: r, in_service: %t}
  - {name: d2, region: r, in_service: true}
  - {name: d3, region: r, in_service: true}
entries: [entry-1, entry-2, entry-3]
`

// Payloads that start with one of these make the endpoint fail the task at
// once, fail it after failTime, or hold it until it is released or its request
// is closed.
const (
	failing = "fail:"
	slowly  = "fail:slowly:"
	holding = "hold:"
)

const failTime = 200 * time.Millisecond

// starts is the endpoints' own record: when each task started, by job and task,
// and how often each payload did.
type starts struct {
	mu       sync.Mutex
	at       map[string][]start
	payloads map[string]int
	// closed counts the requests that were closed before their end, by job and task.
	closed  map[string]int
	release chan struct{}
}

type start struct {
	domain string
	at     time.Time
}

func (s *starts) add(r *http.Request, domain, payload string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.payloads[payload]++
	id := r.Header.Get("X-Carob-Job") + "#" + r.Header.Get("X-Carob-Task")
	s.at[id] = append(s.at[id], start{domain: domain, at: time.Now()})
	return id
}

func (s *starts) close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed[id]++
}

// of returns how often a task started.
func (s *starts) of(key string, task int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at[fmt.Sprintf("rentals/%s#%d", key, task)])
}

// serve runs a task as its payload says.
func (s *starts) serve(w http.ResponseWriter, r *http.Request, domain string, runTime time.Duration) {
	body, err := io.ReadAll(r.Body)
	payload := string(body)
	id := s.add(r, domain, payload)
	switch {
	case err != nil:
		s.close(id)
		return
	case strings.HasPrefix(payload, failing):
		if strings.HasPrefix(payload, slowly) {
			time.Sleep(failTime)
		}
		http.Error(w, "no van", http.StatusInternalServerError)
		return
	case strings.HasPrefix(payload, holding):
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.close(id)
			return
		}
	default:
		time.Sleep(runTime)
	}
	_, _ = w.Write(body)
}

// with returns how often a payload started.
func (s *starts) with(payload string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.payloads[payload]
}

// checkOnce reports every task that started twice.
func (s *starts) checkOnce(t testing.TB) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, list := range s.at {
		if len(list) > 1 {
			t.Errorf("%s started %d times", id, len(list))
		}
	}
}

// cluster is three entries and the endpoints with their agents on loopback.
type cluster struct {
	t      testing.TB
	ctx    context.Context
	opts   options
	log    *memlog.Log
	client *inner.Client
	// journals stands before log at the entries.
	journals *journalReads
	starts   *starts
	entries  map[string]*node
	addrs    map[string]netip.AddrPort
	servers  map[string]*server
	hosts    []*host
}

// options of a cluster.
type options struct {
	runTime   time.Duration
	endpoints int
	tls       inner.TLS
	// table wraps the entries' job tables if it is set.
	table func(carobpulley.JobTable) carobpulley.JobTable
}

// node is one entry process.
type node struct {
	*entry.Entry
	kill func()
}

func newCluster(t testing.TB, runTime time.Duration) *cluster {
	t.Helper()
	return newClusterWith(t, options{runTime: runTime, endpoints: 6})
}

func newClusterWith(t testing.TB, opts options) *cluster {
	t.Helper()
	client, err := inner.NewClient(opts.tls)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	c := &cluster{
		t:      t,
		ctx:    ctx,
		log:    memlog.New(memlog.Retention{}, time.Now),
		opts:   opts,
		client: client,
		starts: &starts{
			at:       make(map[string][]start),
			payloads: make(map[string]int),
			closed:   make(map[string]int),
			release:  make(chan struct{}),
		},
		entries: make(map[string]*node),
		addrs:   make(map[string]netip.AddrPort),
		servers: make(map[string]*server),
	}
	c.journals = &journalReads{Log: c.log}
	c.log.SetFaults(memlog.Faults{Delay: 3 * time.Millisecond})
	for i := range 3 {
		c.listen(fmt.Sprintf("entry-%d", i+1))
	}
	for name := range c.addrs {
		c.startEntry(name)
	}
	for i := range opts.endpoints {
		c.startEndpoint(i)
	}
	c.publish("first", 0, fmt.Sprintf(document, true))
	for name, n := range c.entries {
		for n.Ready() != nil {
			if c.ctx.Err() != nil {
				t.Fatalf("%s is not ready: %v", name, n.Ready())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
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

// listen opens an entry's server on a free port before the entry exists, since
// the entries must know each other's addresses.
func (c *cluster) listen(name string) {
	c.t.Helper()
	s := &server{mux: http.NewServeMux()}
	srv, err := inner.NewServer(c.ctx, netip.MustParseAddrPort("127.0.0.1:0"), c.opts.tls, s)
	if err != nil {
		c.t.Fatal(err)
	}
	srv.SetErrorLog(io.Discard)
	s.Server = srv
	c.servers[name] = s
	c.addrs[name] = srv.Addr()
}

// server is an entry's server with the handler that the entry mounts.
type server struct {
	*inner.Server
	mux *http.ServeMux
	// lostWitness is the number of next Witness calls that get no answer and
	// have no effect.
	lostWitness atomic.Int32
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/Witness") && s.lostWitness.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
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
	var table carobpulley.JobTable = owner.NewTable(name, carobpulley.Shards)
	if c.opts.table != nil {
		table = c.opts.table(table)
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
		Table:     table,
		Placer:    placer,
		Admitter:  admit.New(placer),
		Roster:    roster.New(),
		Retry:     place.NewBudget(rand.NewPCG(2, incarnation)),
		Stats:     stats.New(),
		Logger:    zerolog.Nop(),
	})
	srv := c.servers[name]
	srv.mux.Handle(inner.EntryHandler(e.Service()))
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
		ID:       carobpulley.JobID{Member: "rentals", Key: key},
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
	shard := carobpulley.ShardOf(carobpulley.JobID{Member: "rentals", Key: key}, carobpulley.Shards)
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
