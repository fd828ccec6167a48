package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/entry"
	"carobpulley/inner"
	"carobpulley/memlog"
	"carobpulley/owner"
	"carobpulley/place"
	"carobpulley/roster"
	"carobpulley/stats"
	"carobpulley/wire"
)

const (
	// fakeAgents and fakeSlots provide more slots than the open jobs of a measurement
	// need.
	fakeAgents = 16
	fakeSlots  = 64
	// openJobLimit is the number of jobs that are open at the same time.
	openJobLimit = 32
	// settleTimeout bounds the time until the entries accept jobs.
	settleTimeout = 20 * time.Second
)

// cluster is a set of entries and fake agents in this process.
type cluster struct {
	log       *memlog.Log
	client    *inner.Client
	entries   []*entry.Entry
	servers   []*innerServer
	agents    []carobpulley.Endpoint
	startedAt time.Time
	cancel    context.CancelFunc
	running   sync.WaitGroup
	keys      atomic.Int64
}

func newCluster(ctx context.Context, entries, shards int) (*cluster, error) {
	c := &cluster{log: memlog.New(memlog.Retention{}, time.Now), startedAt: time.Now()}
	var err error
	if c.client, err = inner.NewClient(inner.TLS{}); err != nil {
		return nil, err
	}
	ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startAgents(ctx); err != nil {
		return nil, err
	}
	if err := c.startEntries(ctx, entries, shards); err != nil {
		return nil, err
	}
	c.running.Go(func() { c.announce(ctx) })
	return c, c.waitReady(ctx)
}

func (c *cluster) startAgents(ctx context.Context) error {
	for i := range fakeAgents {
		pattern, h := inner.AgentHandler(&fakeAgent{startedAt: c.startedAt})
		s, err := serveInner(ctx, pattern, h)
		if err != nil {
			return err
		}
		c.servers = append(c.servers, s)
		ep := newEndpoint(i, designMembers*servicesPerMember, designMembers*servicesPerMember)
		ep.Addr, ep.Slots = s.Addr(), fakeSlots
		c.agents = append(c.agents, ep)
	}
	return nil
}

// startEntries opens the listeners of all entries before it creates the first entry,
// since each needs the addresses of the others.
func (c *cluster) startEntries(ctx context.Context, n, shards int) error {
	names := newEntryNames(n)
	muxes := make([]*http.ServeMux, n)
	addrs := map[string]netip.AddrPort{}
	for i, name := range names {
		muxes[i] = http.NewServeMux()
		s, err := serveInner(ctx, "/", muxes[i])
		if err != nil {
			return err
		}
		c.servers = append(c.servers, s)
		addrs[name] = s.Addr()
	}
	for i, name := range names {
		peers := map[string]netip.AddrPort{}
		for _, other := range names {
			if other != name {
				peers[other] = addrs[other]
			}
		}
		placer := place.New(rand.NewPCG(1, uint64(i)), nil, domainName(i))
		e := entry.New(entry.Settings{Name: name, Incarnation: 1, Domain: domainName(i), Peers: peers, Shards: shards}, entry.Dependencies{
			Log: c.log, Client: c.client, Authority: owner.NewAuthority(time.Now(), name, 1, shards),
			Table: owner.NewTable(name, shards), Placer: placer, Admitter: admit.New(placer), Roster: roster.New(),
			Retry: place.NewBudget(rand.NewPCG(1, 1)), Stats: stats.New(), Logger: zerolog.Nop(),
		})
		muxes[i].Handle(inner.EntryHandler(e.Service()))
		c.entries = append(c.entries, e)
		c.running.Go(func() { _ = e.Run(ctx) })
		record := &wire.PublishRequest{Record: &wire.ConfigRecord{
			Version: 1, ChangeId: "change-1", Document: catalogueDocument(names, designMembers), Offset: 1,
		}}
		if _, err := e.Service().Publish(ctx, connect.NewRequest(record)); err != nil {
			return err
		}
	}
	return nil
}

// announce announces all agents to all entries once a second.
func (c *cluster) announce(ctx context.Context) {
	ticker := time.NewTicker(carobpulley.AnnounceInterval)
	defer ticker.Stop()
	for {
		for _, ep := range c.agents {
			msg := inner.AnnouncementToWire(inner.Announcement{Endpoint: ep, AgentTime: int64(time.Since(c.startedAt)) + 1})
			for _, e := range c.entries {
				_, _ = e.Service().Announce(ctx, connect.NewRequest(msg))
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// waitReady waits until a long series of jobs completes without an error, which shows
// that all shards are served.
func (c *cluster) waitReady(ctx context.Context) error {
	const enough = 640
	deadline := time.Now().Add(settleTimeout)
	for {
		var next atomic.Int64
		err := repeatCalls(ctx, func(ctx context.Context) error {
			return c.runJob(ctx, int(next.Add(1)), 1)
		}, enough, openJobLimit)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(err, errors.New("the entries did not accept jobs in time"))
		}
		time.Sleep(time.Second)
	}
}

// runJob runs one job through an entry and checks that it is complete.
func (c *cluster) runJob(ctx context.Context, i, tasks int) error {
	s := newJobSpec(i, tasks)
	s.ID.Key = fmt.Sprintf("key-%032d", c.keys.Add(1))
	s.Deadline = time.Now().Add(time.Minute)
	a, err := c.entries[i%len(c.entries)].Submit(ctx, s, true)
	if err != nil {
		return err
	}
	if a.Outcome != carobpulley.OutcomeComplete {
		return fmt.Errorf("job %s is %s", s.ID.Key, a.Outcome)
	}
	return nil
}

func (c *cluster) stop(ctx context.Context) {
	c.cancel()
	c.running.Wait()
	c.client.Close()
	for _, s := range c.servers {
		s.stop(ctx)
	}
}

// jobCPU returns the processor time of a job in the whole cluster.
func (c *cluster) jobCPU(ctx context.Context, tasks int) (cpuTime, error) {
	n := openJobLimit * max(2, 600/tasks/openJobLimit)
	var err error
	t := measureCPU(1, func() {
		var next atomic.Int64
		err = errors.Join(err, repeatCalls(ctx, func(ctx context.Context) error {
			return c.runJob(ctx, int(next.Add(1)), tasks)
		}, n, openJobLimit))
	})
	return cpuTime{total: t.total / float64(n), system: t.system / float64(n)}, err
}

func measureEntries(ctx context.Context) ([]measurement, error) {
	var out []measurement
	for _, n := range []int{1, 3} {
		c, err := newCluster(ctx, n, carobpulley.Shards)
		if err != nil {
			return nil, err
		}
		s := measurement{
			Quantity: fmt.Sprintf("job end to end, entries: %d", n), Unit: unitNanos, Per: perTaskOfJob, Code: "entry.Entry.Submit",
			Fixed: "16 agents that answer at once, 32 jobs open, all in one process, without the callers' HTTP",
		}
		system := s
		system.Quantity += ", system time"
		for _, tasks := range taskSizes {
			v, err := c.jobCPU(ctx, tasks)
			if err != nil {
				c.stop(ctx)
				return nil, err
			}
			s.add(tasks, v.total)
			system.add(tasks, v.system)
		}
		c.stop(ctx)
		out = append(out, s, system)
	}
	idle, err := measureIdleEntry(ctx)
	return append(out, idle), err
}

// measureIdleEntry measures an entry without jobs, which only runs its ticks and reads
// the log.
func measureIdleEntry(ctx context.Context) (measurement, error) {
	s := measurement{
		Quantity: "second of an idle entry", Unit: unitNanos, Per: "shard", Code: "entry.Entry.tick, configLoop, ownersLoop",
		Fixed: "1 entry, 16 agents that announce themselves in the process",
	}
	for _, shards := range []int{64, 256, designShards} {
		c, err := newCluster(ctx, 1, shards)
		if err != nil {
			return s, err
		}
		v := cpuNanos(1, func() { time.Sleep(time.Second) })
		c.stop(ctx)
		s.add(shards, v)
	}
	return s, nil
}
