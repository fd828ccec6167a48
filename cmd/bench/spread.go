package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/fence"
)

const spreadUsage = `Runs conf.Fold, conf.Spread and fence.Gate of all nodes in virtual time and
measures the time from a change being accepted until it is in force at every
entry and every agent. No task is dispatched, so that agents learn of it from
announcements only. Processor time and message sizes are measured by running
the same code and encoding the messages; HTTP headers are not counted.`

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:        "spread",
		Usage:       "measure how fast a configuration change spreads and what it costs",
		Description: spreadUsage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "changes", Value: 300, Usage: "changes per size"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return writeSpread(os.Stdout, c.Int("changes"))
		},
	}
}

// spreadSize is an installation.
type spreadSize struct {
	nodes, entries, members int
	// near and far bound the one-way time of a message.
	near, far time.Duration
}

var spreadSizes = []spreadSize{
	{nodes: 30, entries: 3, members: 3, near: 500 * time.Microsecond, far: 1500 * time.Microsecond},
	{nodes: 2600, entries: 9, members: designMembers, near: 500 * time.Microsecond, far: 15 * time.Millisecond},
}

// spreadResult is one line of output.
type spreadResult struct {
	Nodes   int `json:"nodes"`
	Entries int `json:"entries"`
	// LogDown is set if the log answers only one entry's read of the change.
	LogDown bool `json:"log_down"`
	Changes int  `json:"changes"`
	// Accepted is the time from the append until the change is accepted, the
	// others from then until it is in force at all nodes.
	AcceptedP50 float64 `json:"accepted_p50_ms"`
	AcceptedMax float64 `json:"accepted_max_ms"`
	EntriesMax  float64 `json:"entries_in_force_max_ms"`
	ForceP50    float64 `json:"in_force_p50_ms"`
	ForceMax    float64 `json:"in_force_max_ms"`
	spreadCost
}

// spreadCost is what a node sends and receives, and its processor time.
type spreadCost struct {
	DocumentBytes    int     `json:"document_bytes"`
	EntryChangeBytes int     `json:"entry_bytes_per_change"`
	EntryRestBytes   int     `json:"entry_bytes_per_s"`
	AgentRestBytes   int     `json:"agent_bytes_per_s"`
	EntryChangeNanos float64 `json:"entry_ns_per_change"`
	EntryRestNanos   float64 `json:"entry_ns_per_s"`
	AgentChangeNanos float64 `json:"agent_ns_per_change"`
	AgentRestNanos   float64 `json:"agent_ns_per_s"`
}

func writeSpread(w io.Writer, changes int) error {
	out := json.NewEncoder(w)
	for _, size := range spreadSizes {
		cost := size.cost()
		for _, down := range []bool{false, true} {
			r := size.measure(changes, down)
			r.spreadCost = cost
			if err := out.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s spreadSize) names() []string {
	names := make([]string, s.entries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i+1)
	}
	return names
}

func (s spreadSize) measure(changes int, down bool) spreadResult {
	rng := rand.New(rand.NewPCG(uint64(s.nodes), 1))
	r := spreadResult{Nodes: s.nodes, Entries: s.entries, LogDown: down, Changes: changes}
	accepted := make([]float64, 0, changes)
	entries, all := make([]float64, 0, changes), make([]float64, 0, changes)
	page, doc := spreadChanges(s)
	for range changes {
		c := newSpreadRun(s, rng, page, doc)
		c.run(down)
		last := slices.Max(c.inForce)
		accepted = append(accepted, millis(c.accepted))
		entries = append(entries, millis(max(0, last-c.accepted)))
		all = append(all, millis(max(0, last-c.accepted, c.agents()-c.accepted)))
	}
	r.AcceptedP50, r.AcceptedMax = quantile(accepted, 0.5), slices.Max(accepted)
	r.EntriesMax = slices.Max(entries)
	r.ForceP50, r.ForceMax = quantile(all, 0.5), slices.Max(all)
	return r
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// spreadChanges returns a stream of two versions that differ in a domain, and
// the document of the second one.
func spreadChanges(s spreadSize) (carobpulley.Page, []byte) {
	page := carobpulley.Page{Oldest: conf.FirstOffset, Next: conf.FirstOffset}
	doc := document(s.names(), s.members)
	for i := range 2 {
		if i > 0 {
			out, err := conf.SetDomain(doc, domainName(0), false)
			if err != nil {
				panic(err)
			}
			doc = out
		}
		data, err := conf.Change{
			ID: fmt.Sprintf("change-%032d", i), Base: uint64(i), Author: "operator", Time: origin, Document: doc,
		}.Encode()
		if err != nil {
			panic(err)
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, Time: origin, Data: data})
		page.Next++
	}
	return page, doc
}

// spreadRun is one change in virtual time, counted from its append.
type spreadRun struct {
	size    spreadSize
	rng     *rand.Rand
	names   []string
	spreads []*conf.Rollout
	// doc is the document of version 2.
	doc      []byte
	queue    []spreadEvent
	inForce  []time.Duration
	accepted time.Duration
	// logDown is set if only entry 0 gets an answer from the log.
	logDown bool
}

type spreadEvent struct {
	at time.Duration
	do func(now time.Duration)
}

func newSpreadRun(s spreadSize, rng *rand.Rand, page carobpulley.Page, doc []byte) *spreadRun {
	c := &spreadRun{size: s, rng: rng, names: s.names(), doc: doc, inForce: make([]time.Duration, s.entries)}
	for _, name := range c.names {
		sp := spreadAtFirst(name, page)
		for _, peer := range c.names {
			sp.HandlePeerVersion(peer, 1, 1)
		}
		c.spreads = append(c.spreads, sp)
	}
	for i := range c.spreads {
		c.read(i, page)
		for j := range c.spreads {
			if i != j {
				c.contacts(i, j)
			}
		}
	}
	return c
}

// spreadAtFirst returns an entry that has read the first of two changes.
func spreadAtFirst(name string, page carobpulley.Page) *conf.Rollout {
	s := conf.NewRollout(name, conf.NewFold())
	s.HandlePage(origin, conf.FirstOffset, carobpulley.Page{Records: page.Records[:1], Oldest: page.Oldest, Next: page.Next - 1})
	return s
}

func (c *spreadRun) after(at time.Duration, do func(now time.Duration)) {
	c.queue = append(c.queue, spreadEvent{at, do})
}

// delay is the one-way time of a message.
func (c *spreadRun) delay() time.Duration {
	return c.size.near + time.Duration(c.rng.Int64N(int64(c.size.far-c.size.near)))
}

// read answers the read with which an entry waits at the log's end. Entry 0
// publishes.
func (c *spreadRun) read(i int, page carobpulley.Page) {
	c.after(c.delay(), func(now time.Duration) {
		if i > 0 && c.logDown {
			return
		}
		c.spreads[i].HandlePage(origin, conf.FirstOffset, page)
		c.changed(i, now)
		if i == 0 {
			c.push(now)
		}
	})
}

// push hands the version to all peers, as entry.Entry does once a change is read.
func (c *spreadRun) push(now time.Duration) {
	for j := 1; j < len(c.spreads); j++ {
		c.after(now+c.delay(), func(now time.Duration) {
			c.adopt(j, 0, now)
			version := c.spreads[j].InForce().Version
			c.after(now+c.delay(), func(now time.Duration) {
				c.spreads[0].HandlePushReply(c.names[j], version)
				c.changed(0, now)
			})
		})
	}
}

func (c *spreadRun) adopt(i, from int, now time.Duration) {
	if c.spreads[from].IsOutdated(c.spreads[i].InForce().Version) {
		c.spreads[i].Adopt(2, c.doc)
	}
	c.changed(i, now)
}

// contacts are those of one entry with another until the change is everywhere.
func (c *spreadRun) contacts(i, j int) {
	var contact func(now time.Duration)
	contact = func(now time.Duration) {
		version := c.spreads[i].InForce().Version
		c.after(now+c.delay(), func(now time.Duration) {
			c.spreads[j].HandlePeerVersion(c.names[i], 1, version)
			c.changed(j, now)
			theirs := c.spreads[j].InForce().Version
			c.after(now+c.delay(), func(now time.Duration) {
				if theirs > version {
					c.adopt(i, j, now)
				}
				c.spreads[i].HandlePeerVersion(c.names[j], 1, theirs)
				c.changed(i, now)
			})
		})
		c.after(now+carobpulley.ContactInterval, contact)
	}
	c.after(time.Duration(c.rng.Int64N(int64(carobpulley.ContactInterval))), contact)
}

// changed notes when the version is in force at an entry and when it is accepted.
func (c *spreadRun) changed(i int, now time.Duration) {
	if c.inForce[i] == 0 && c.spreads[i].InForce().Version == 2 {
		c.inForce[i] = now
	}
	if c.accepted == 0 && c.spreads[0].Confirmed() == 2 {
		c.accepted = now
	}
}

// run passes time until the change is accepted and in force at all entries.
func (c *spreadRun) run(logDown bool) {
	c.logDown = logDown
	for c.accepted == 0 || slices.Contains(c.inForce, 0) {
		k := 0
		for i := range c.queue {
			if c.queue[i].at < c.queue[k].at {
				k = i
			}
		}
		next := c.queue[k]
		c.queue[k] = c.queue[len(c.queue)-1]
		c.queue = c.queue[:len(c.queue)-1]
		next.do(next.at)
	}
}

// agents returns when the change is in force at the last agent. An agent
// announces itself to all entries at the same time, once a second.
func (c *spreadRun) agents() (last time.Duration) {
	for range c.size.nodes - c.size.entries {
		g := fence.New(fence.Config{Endpoint: worker, Incarnation: 1, Slots: designSlots, Started: origin})
		g.Configure(1, true)
		first := time.Duration(c.rng.Int64N(int64(carobpulley.AnnounceInterval)))
		at := time.Duration(0)
		for n := first; at == 0; n += carobpulley.AnnounceInterval {
			for i := range c.spreads {
				arrived := n + c.delay()
				if arrived < c.inForce[i] {
					continue
				}
				if back := arrived + c.delay(); at == 0 || back < at {
					at = back
				}
			}
		}
		g.Configure(2, false)
		if v, inService := g.Config(); v != 2 || inService {
			panic("a gate refused a newer version")
		}
		last = max(last, at)
	}
	return last
}
