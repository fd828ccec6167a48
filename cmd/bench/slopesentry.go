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
	shell "carobpulley/entry"
	"carobpulley/inner"
	"carobpulley/memlog"
	"carobpulley/owner"
	"carobpulley/place"
	"carobpulley/roster"
	"carobpulley/stats"
	"carobpulley/wire"
)

const (
	// fakeAgents and fakeSlots are more than the callers of a measurement need.
	fakeAgents = 16
	fakeSlots  = 64
	// callers is the number of jobs that are open at the same time.
	callers = 32
	// settleLimit bounds the time until the entries serve.
	settleLimit = 20 * time.Second
)

// cluster is a set of entries and agents in this process.
type cluster struct {
	log     *memlog.Log
	client  *inner.Client
	entries []*shell.Entry
	servers []*server
	agents  []carobpulley.Endpoint
	began   time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup
	keys    atomic.Int64
}

func newCluster(ctx context.Context, entries, shards int) (*cluster, error) {
	c := &cluster{log: memlog.New(memlog.Retention{}, time.Now), began: time.Now()}
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
	return c, c.ready(ctx)
}

func (c *cluster) startAgents(ctx context.Context) error {
	for i := range fakeAgents {
		pattern, h := inner.AgentHandler(&fakeAgent{began: c.began})
		s, err := serveInner(ctx, pattern, h)
		if err != nil {
			return err
		}
		c.servers = append(c.servers, s)
		ep := endpointAt(i, designMembers*servicesPerMember, designMembers*servicesPerMember)
		ep.Addr, ep.Slots = s.Addr(), fakeSlots
		c.agents = append(c.agents, ep)
	}
	return nil
}

// startEntries listens for all entries before it makes the first, since each
// needs the addresses of the others.
func (c *cluster) startEntries(ctx context.Context, n, shards int) error {
	names := entryNames(n)
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
		e := shell.New(shell.Settings{Name: name, Incarnation: 1, Domain: domainName(i), Peers: peers, Shards: shards}, shell.Dependencies{
			Log: c.log, Client: c.client, Authority: owner.NewAuthority(time.Now(), name, 1, shards),
			Table: owner.NewTable(name, shards), Placer: placer, Admitter: admit.New(placer), Roster: roster.New(),
			Retry: place.NewBudget(rand.NewPCG(1, 1)), Stats: stats.New(), Logger: zerolog.Nop(),
		})
		muxes[i].Handle(inner.EntryHandler(e.Service()))
		c.entries = append(c.entries, e)
		c.running.Go(func() { _ = e.Run(ctx) })
		record := &wire.PublishRequest{Record: &wire.ConfigRecord{
			Version: 1, ChangeId: "change-1", Document: document(names, designMembers), Offset: 1,
		}}
		if _, err := e.Service().Publish(ctx, connect.NewRequest(record)); err != nil {
			return err
		}
	}
	return nil
}

// announce announces all agents to all entries each second.
func (c *cluster) announce(ctx context.Context) {
	ticker := time.NewTicker(carobpulley.AnnounceInterval)
	defer ticker.Stop()
	for {
		for _, ep := range c.agents {
			msg := inner.AnnouncementToWire(inner.Announcement{Endpoint: ep, AgentTime: int64(time.Since(c.began)) + 1})
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

// ready waits until many jobs in a row, and so all shards, are served.
func (c *cluster) ready(ctx context.Context) error {
	const enough = 640
	limit := time.Now().Add(settleLimit)
	for {
		var next atomic.Int64
		err := repeat(ctx, func(ctx context.Context) error {
			return c.job(ctx, int(next.Add(1)), 1)
		}, enough, callers)
		if err == nil {
			return nil
		}
		if time.Now().After(limit) {
			return errors.Join(err, errors.New("the entries do not serve"))
		}
		time.Sleep(time.Second)
	}
}

// job runs one job through an entry and checks that it is complete.
func (c *cluster) job(ctx context.Context, i, tasks int) error {
	s := specAt(i, tasks)
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

// jobTime returns the processor time of a job in all of the cluster.
func (c *cluster) jobTime(ctx context.Context, tasks int) (used, error) {
	n := callers * max(2, 600/tasks/callers)
	var err error
	t := cpuParts(1, func() {
		var next atomic.Int64
		err = errors.Join(err, repeat(ctx, func(ctx context.Context) error {
			return c.job(ctx, int(next.Add(1)), tasks)
		}, n, callers))
	})
	return used{total: t.total / float64(n), system: t.system / float64(n)}, err
}

func entrySlopes(ctx context.Context) ([]slope, error) {
	var out []slope
	for _, n := range []int{1, 3} {
		c, err := newCluster(ctx, n, carobpulley.Shards)
		if err != nil {
			return nil, err
		}
		s := slope{
			Quantity: fmt.Sprintf("job end to end, entries: %d", n), Unit: unitNanos, Per: perTask, Code: "entry.Entry.Submit",
			Fixed: "16 agents that answer at once, 32 jobs open, all in one process, without the callers' HTTP",
		}
		system := s
		system.Quantity += ", system time"
		for _, tasks := range taskSizes {
			v, err := c.jobTime(ctx, tasks)
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
	idle, err := idleEntry(ctx)
	return append(out, idle), err
}

// idleEntry measures an entry that only keeps time and reads the log.
func idleEntry(ctx context.Context) (slope, error) {
	s := slope{
		Quantity: "second of an idle entry", Unit: unitNanos, Per: "shard", Code: "entry.Entry.tick, configLoop, ownersLoop",
		Fixed: "1 entry, 16 agents that announce themselves in the process",
	}
	for _, shards := range []int{64, 256, designShards} {
		c, err := newCluster(ctx, 1, shards)
		if err != nil {
			return s, err
		}
		v := cpu(1, func() { time.Sleep(time.Second) })
		c.stop(ctx)
		s.add(shards, v)
	}
	return s, nil
}
