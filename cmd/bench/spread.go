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

const spreadUsage = `Simulates conf.Fold, conf.Rollout and fence.Gate of all nodes in virtual time and
measures the time from the acceptance of a configuration change until it is in
force at every entry and every agent. No task is dispatched, so agents receive
the change only in the answers to their announcements. Processor time and message
sizes are measured by running the same code and encoding the messages; HTTP
headers are not included.`

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:        "spread",
		Usage:       "measure propagation time and cost of a configuration change",
		Description: spreadUsage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "changes", Value: 300, Usage: "changes per installation"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return writePropagation(os.Stdout, c.Int("changes"))
		},
	}
}

// installation gives the size of an installation and its message delays. All nodes but
// the entries are agents.
type installation struct {
	nodes, entries, members int
	// minDelay and maxDelay bound the one-way delay of a message.
	minDelay, maxDelay time.Duration
}

var installations = []installation{
	{nodes: 30, entries: 3, members: 3, minDelay: 500 * time.Microsecond, maxDelay: 1500 * time.Microsecond},
	{nodes: 2600, entries: 9, members: designMembers, minDelay: 500 * time.Microsecond, maxDelay: 15 * time.Millisecond},
}

// propagationResult is one line of output.
type propagationResult struct {
	Nodes   int `json:"nodes"`
	Entries int `json:"entries"`
	// LogDown is set if the log answers the read of only one entry.
	LogDown bool `json:"log_down"`
	Changes int  `json:"changes"`
	// AcceptedP50 and AcceptedMax are times from the append of a change until it is
	// accepted. The others are times from then until it is in force at all entries, and
	// at all entries and agents.
	AcceptedP50 float64 `json:"accepted_p50_ms"`
	AcceptedMax float64 `json:"accepted_max_ms"`
	EntriesMax  float64 `json:"entries_in_force_max_ms"`
	ForceP50    float64 `json:"in_force_p50_ms"`
	ForceMax    float64 `json:"in_force_max_ms"`
	propagationCost
}

// propagationCost is the bytes that a node sends and receives and its processor time,
// per change and per second without changes.
type propagationCost struct {
	DocumentBytes    int     `json:"document_bytes"`
	EntryChangeBytes int     `json:"entry_bytes_per_change"`
	EntrySteadyBytes int     `json:"entry_bytes_per_s"`
	AgentSteadyBytes int     `json:"agent_bytes_per_s"`
	EntryChangeNanos float64 `json:"entry_ns_per_change"`
	EntrySteadyNanos float64 `json:"entry_ns_per_s"`
	AgentChangeNanos float64 `json:"agent_ns_per_change"`
	AgentSteadyNanos float64 `json:"agent_ns_per_s"`
}

func writePropagation(w io.Writer, changes int) error {
	out := json.NewEncoder(w)
	for _, inst := range installations {
		cost := inst.measureCost()
		for _, logDown := range []bool{false, true} {
			r := inst.measure(changes, logDown)
			r.propagationCost = cost
			if err := out.Encode(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s installation) entryNames() []string {
	names := make([]string, s.entries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i+1)
	}
	return names
}

func (s installation) measure(changes int, logDown bool) propagationResult {
	rng := rand.New(rand.NewPCG(uint64(s.nodes), 1))
	r := propagationResult{Nodes: s.nodes, Entries: s.entries, LogDown: logDown, Changes: changes}
	accepted := make([]float64, 0, changes)
	entries, all := make([]float64, 0, changes), make([]float64, 0, changes)
	page, doc := twoVersions(s)
	for range changes {
		c := newPropagationRun(s, rng, page, doc)
		c.run(logDown)
		entriesInForce := slices.Max(c.inForce)
		accepted = append(accepted, milliseconds(c.accepted))
		entries = append(entries, milliseconds(max(0, entriesInForce-c.accepted)))
		all = append(all, milliseconds(max(0, entriesInForce-c.accepted, c.lastAgentInForce()-c.accepted)))
	}
	r.AcceptedP50, r.AcceptedMax = quantile(accepted, 0.5), slices.Max(accepted)
	r.EntriesMax = slices.Max(entries)
	r.ForceP50, r.ForceMax = quantile(all, 0.5), slices.Max(all)
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// twoVersions returns a stream of two changes, the second of which takes a domain out
// of service, and the document of the second one.
func twoVersions(s installation) (carobpulley.Page, []byte) {
	page := carobpulley.Page{Oldest: conf.FirstOffset, Next: conf.FirstOffset}
	doc := catalogueDocument(s.entryNames(), s.members)
	for i := range 2 {
		if i > 0 {
			out, err := conf.SetDomain(doc, domainName(0), false)
			if err != nil {
				panic(err)
			}
			doc = out
		}
		data, err := conf.Change{
			ID: fmt.Sprintf("change-%032d", i), Base: uint64(i), Author: "operator", Time: virtualStart, Document: doc,
		}.Encode()
		if err != nil {
			panic(err)
		}
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, Time: virtualStart, Data: data})
		page.Next++
	}
	return page, doc
}

// propagationRun simulates one change in virtual time, which starts at its append.
type propagationRun struct {
	installation installation
	rng          *rand.Rand
	names        []string
	rollouts     []*conf.Rollout
	// document is the document of version 2.
	document []byte
	queue    []propagationEvent
	inForce  []time.Duration
	accepted time.Duration
	// logDown is set if only entry 0 gets an answer from the log.
	logDown bool
}

// propagationEvent is a function to run at a virtual time.
type propagationEvent struct {
	at  time.Duration
	run func(now time.Duration)
}

func newPropagationRun(s installation, rng *rand.Rand, page carobpulley.Page, doc []byte) *propagationRun {
	c := &propagationRun{installation: s, rng: rng, names: s.entryNames(), document: doc, inForce: make([]time.Duration, s.entries)}
	for _, name := range c.names {
		r := newRolloutAtFirstVersion(name, page)
		for _, peer := range c.names {
			r.HandlePeerVersion(peer, 1, 1)
		}
		c.rollouts = append(c.rollouts, r)
	}
	for i := range c.rollouts {
		c.scheduleRead(i, page)
		for j := range c.rollouts {
			if i != j {
				c.scheduleContacts(i, j)
			}
		}
	}
	return c
}

// newRolloutAtFirstVersion returns the rollout of an entry that has read only the first
// of two changes.
func newRolloutAtFirstVersion(name string, page carobpulley.Page) *conf.Rollout {
	r := conf.NewRollout(name, conf.NewFold())
	r.HandlePage(virtualStart, conf.FirstOffset, carobpulley.Page{Records: page.Records[:1], Oldest: page.Oldest, Next: page.Next - 1})
	return r
}

func (c *propagationRun) scheduleAt(at time.Duration, run func(now time.Duration)) {
	c.queue = append(c.queue, propagationEvent{at, run})
}

// delay draws the one-way delay of a message.
func (c *propagationRun) delay() time.Duration {
	return c.installation.minDelay + time.Duration(c.rng.Int64N(int64(c.installation.maxDelay-c.installation.minDelay)))
}

// scheduleRead schedules the answer to the read of an entry that waits at the end of the
// log. Entry 0 publishes the change to its peers.
func (c *propagationRun) scheduleRead(i int, page carobpulley.Page) {
	c.scheduleAt(c.delay(), func(now time.Duration) {
		if i > 0 && c.logDown {
			return
		}
		c.rollouts[i].HandlePage(virtualStart, conf.FirstOffset, page)
		c.recordProgress(i, now)
		if i == 0 {
			c.publish(now)
		}
	})
}

// publish sends the version to all peers, as entry.Entry does after it has read a change.
func (c *propagationRun) publish(now time.Duration) {
	for j := 1; j < len(c.rollouts); j++ {
		c.scheduleAt(now+c.delay(), func(now time.Duration) {
			c.adopt(j, 0, now)
			version := c.rollouts[j].InForce().Version
			c.scheduleAt(now+c.delay(), func(now time.Duration) {
				c.rollouts[0].HandlePushReply(c.names[j], version)
				c.recordProgress(0, now)
			})
		})
	}
}

// adopt passes the version from one entry to another that lacks it.
func (c *propagationRun) adopt(i, from int, now time.Duration) {
	if c.rollouts[from].IsOutdated(c.rollouts[i].InForce().Version) {
		c.rollouts[i].Adopt(2, c.document)
	}
	c.recordProgress(i, now)
}

// scheduleContacts schedules the periodic contacts of one entry with another.
func (c *propagationRun) scheduleContacts(i, j int) {
	var contact func(now time.Duration)
	contact = func(now time.Duration) {
		version := c.rollouts[i].InForce().Version
		c.scheduleAt(now+c.delay(), func(now time.Duration) {
			c.rollouts[j].HandlePeerVersion(c.names[i], 1, version)
			c.recordProgress(j, now)
			theirs := c.rollouts[j].InForce().Version
			c.scheduleAt(now+c.delay(), func(now time.Duration) {
				if theirs > version {
					c.adopt(i, j, now)
				}
				c.rollouts[i].HandlePeerVersion(c.names[j], 1, theirs)
				c.recordProgress(i, now)
			})
		})
		c.scheduleAt(now+carobpulley.ContactInterval, contact)
	}
	c.scheduleAt(time.Duration(c.rng.Int64N(int64(carobpulley.ContactInterval))), contact)
}

// recordProgress records when the version comes into force at an entry and when it is
// accepted.
func (c *propagationRun) recordProgress(i int, now time.Duration) {
	if c.inForce[i] == 0 && c.rollouts[i].InForce().Version == 2 {
		c.inForce[i] = now
	}
	if c.accepted == 0 && c.rollouts[0].Confirmed() == 2 {
		c.accepted = now
	}
}

// run processes events in order of time until the change is accepted and in force at all
// entries.
func (c *propagationRun) run(logDown bool) {
	c.logDown = logDown
	for c.accepted == 0 || slices.Contains(c.inForce, 0) {
		first := 0
		for i := range c.queue {
			if c.queue[i].at < c.queue[first].at {
				first = i
			}
		}
		next := c.queue[first]
		c.queue[first] = c.queue[len(c.queue)-1]
		c.queue = c.queue[:len(c.queue)-1]
		next.run(next.at)
	}
}

// lastAgentInForce returns when the change comes into force at the last agent. An agent
// announces itself to all entries at the same time, once a second.
func (c *propagationRun) lastAgentInForce() (last time.Duration) {
	for range c.installation.nodes - c.installation.entries {
		g := fence.New(fence.Config{Endpoint: endpointID, Incarnation: 1, Slots: designSlots, Started: virtualStart})
		g.Configure(1, true)
		first := time.Duration(c.rng.Int64N(int64(carobpulley.AnnounceInterval)))
		at := time.Duration(0)
		for sentAt := first; at == 0; sentAt += carobpulley.AnnounceInterval {
			for i := range c.rollouts {
				arrived := sentAt + c.delay()
				if arrived < c.inForce[i] {
					continue
				}
				if answeredAt := arrived + c.delay(); at == 0 || answeredAt < at {
					at = answeredAt
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
