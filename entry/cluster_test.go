package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/conf"
	"carobpulley/entry"
	"carobpulley/inner"
	"carobpulley/memlog"
	"carobpulley/memnet"
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

// Prefixes of payloads that make the endpoint fail the task at once, fail it after
// failDelay, or hold it until release is closed or its request is closed.
const (
	failPayload     = "fail:"
	slowFailPayload = "fail:slowly:"
	holdPayload     = "hold:"
)

const failDelay = 200 * time.Millisecond

// cluster is a test environment of three entries, the endpoints and their agents.
type cluster struct {
	t      testing.TB
	ctx    context.Context
	opts   options
	log    *memlog.Log
	net    network
	client *inner.Client
	// blockingLog wraps log for the entries.
	blockingLog *blockingLog
	starts      *startRecorder
	entries     map[string]*node
	addrs       map[string]netip.AddrPort
	servers     map[string]*server
	agents      []*testAgent
}

// options configures a cluster.
type options struct {
	runTime   time.Duration
	endpoints int
	tls       inner.TLS
	// net is the network in memory if it is not set.
	net network
	// table, if set, wraps the entries' job tables.
	table func(carobpulley.JobTable) carobpulley.JobTable
}

// network opens and accepts the connections of a cluster.
type network struct {
	listen func() net.Listener
	dial   inner.DialFunc
}

// networkDelay is the one-way delay of the network in memory.
const networkDelay = 100 * time.Microsecond

func inMemory() network {
	n := memnet.New(networkDelay)
	addr := netip.MustParseAddr("127.0.0.1")
	return network{
		listen: func() net.Listener { return n.Listen(netip.AddrPortFrom(addr, 0)) },
		dial:   n.Dialer(addr),
	}
}

// loopback is the network of benchmarks, which measure real time.
func loopback(tb testing.TB) network {
	return network{
		listen: func() net.Listener {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				tb.Fatal(err)
			}
			return l
		},
		dial: (&net.Dialer{Timeout: inner.DialTimeout}).DialContext,
	}
}

// inVirtualTime runs a test of a cluster in virtual time, so that a busy machine delays none of
// its messages past a limit.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// The clock stops at the end of the test: what is still on the way then must arrive before.
		t.Cleanup(func() { time.Sleep(time.Second) })
		f(t)
	})
}

// node is one running entry.
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
	if opts.net.dial == nil {
		opts.net = inMemory()
	}
	client, err := inner.NewClientWithDial(opts.tls, opts.net.dial)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	c := &cluster{
		t:      t,
		ctx:    ctx,
		log:    memlog.New(memlog.Retention{}, time.Now),
		opts:   opts,
		net:    opts.net,
		client: client,
		starts: &startRecorder{
			byTask:    make(map[string][]start),
			byPayload: make(map[string]int),
			closed:    make(map[string]int),
			answers:   make(map[string]error),
			release:   make(chan struct{}),
		},
		entries: make(map[string]*node),
		addrs:   make(map[string]netip.AddrPort),
		servers: make(map[string]*server),
	}
	c.blockingLog = &blockingLog{Log: c.log}
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

// blockingLog is a log that does not answer reads of journals while blocked is set.
// cancelled counts the reads that were cancelled.
type blockingLog struct {
	carobpulley.Log
	blocked   atomic.Bool
	cancelled atomic.Int64
}

func (l *blockingLog) Read(ctx context.Context, stream string, from uint64, limit int, waitUntil time.Time) (carobpulley.Page, error) {
	if l.blocked.Load() && strings.HasPrefix(stream, carobpulley.StreamJournalPrefix) {
		<-ctx.Done()
		l.cancelled.Add(1)
		return carobpulley.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, limit, waitUntil)
}

// listen opens an entry's server before the entry is created, since
// the entries are configured with each other's addresses.
func (c *cluster) listen(name string) {
	c.t.Helper()
	s := &server{mux: http.NewServeMux()}
	srv, err := inner.NewServerOn(c.net.listen(), c.opts.tls, s)
	if err != nil {
		c.t.Fatal(err)
	}
	srv.SetErrorLog(io.Discard)
	s.Server = srv
	c.servers[name] = s
	c.addrs[name] = srv.Addr()
}

// server is an entry's server, with a mux that the entry's handler is added to later.
type server struct {
	*inner.Server
	mux *http.ServeMux
	// dropWitness is the number of next Witness calls to drop without an answer and
	// without an effect.
	dropWitness atomic.Int32
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/Witness") && s.dropWitness.Add(-1) >= 0 {
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
	}, entry.Dependencies{
		Log:       c.blockingLog,
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
		// A stop with a cancelled context closes all connections, as a killed
		// process does.
		stopCtx, cancelStop := context.WithCancel(context.Background())
		cancelStop()
		_ = srv.Stop(stopCtx)
		wg.Wait()
	}
	c.t.Cleanup(kill)
	c.entries[name] = &node{Entry: e, kill: kill}
}

// publish makes a document the next version. It retries while the entries start.
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

// awaitReady waits until every entry is ready.
func (c *cluster) awaitReady() {
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
