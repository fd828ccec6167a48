package runs

import (
	"time"

	"carobpulley/work"
)

// Attach is what a coordinator says of itself when it takes over shards.
type Attach struct {
	Coordinator string
	Incarnation uint64
	Addr        string
	Attachment  uint64
	// Epochs maps shards to their epochs.
	Epochs map[int]uint64
}

// Reasons for which an order is refused.
const (
	ReasonEpoch    = "epoch"
	ReasonStopped  = "stopped"
	ReasonCapacity = "room"
	ReasonEndpoint = "runner"
	ReasonOwner    = "owner"
)

// HandleAttach takes a coordinator with its claims to shards. It reports false if a
// newer owner of one of them, or a later attachment, is known.
func (g *Gate) HandleAttach(now time.Time, a Attach) bool {
	for number, epoch := range a.Epochs {
		if s := g.shards[number]; s != nil && epoch < s.epoch {
			return false
		}
	}
	o := g.owners[a.Coordinator]
	if o != nil && (a.Incarnation < o.incarnation || o.incarnation == a.Incarnation && a.Attachment <= o.attachment) {
		return false
	}
	g.admit(now, a)
	for number, epoch := range a.Epochs {
		g.own(number, epoch, a.Coordinator)
	}
	for _, e := range g.ends {
		if g.endOwner(e) == a.Coordinator {
			e.told = false
		}
	}
	return true
}

// admit records a coordinator's attachment.
func (g *Gate) admit(now time.Time, a Attach) {
	o := g.owners[a.Coordinator]
	if o == nil || o.incarnation != a.Incarnation {
		// The request may have been delayed: the first report proves more.
		o = &owner{proof: now.Add(-orphanLimit)}
		g.owners[a.Coordinator] = o
	}
	o.addr = a.Addr
	o.attachment = a.Attachment
	o.incarnation = a.Incarnation
}

// own records the owner of a shard.
func (g *Gate) own(number int, epoch uint64, coordinator string) {
	s := g.shards[number]
	if s == nil {
		s = &shard{}
		g.shards[number] = s
	}
	if s.epoch != epoch || s.owner != coordinator {
		s.proof = time.Time{}
	}
	s.epoch = epoch
	s.owner = coordinator
}

// Owner is where reports go.
type Owner struct {
	Name       string
	Addr       string
	Attachment uint64
}

// Owners returns the coordinators that attached.
func (g *Gate) Owners() []Owner {
	out := make([]Owner, 0, len(g.owners))
	for name, o := range g.owners {
		out = append(out, Owner{name, o.addr, o.attachment})
	}
	return out
}

// Dispatch is an order of a coordinator.
type Dispatch struct {
	Coordinator string
	Incarnation uint64
	Attachment  uint64
	// Echo is the stamp of the last report of this agent that arrived there.
	Echo   int64
	Starts []work.Start
	Stops  []work.Run
	Acked  []int64
	// AckedGeneration is the runner's life that the numbers in Acked belong to.
	AckedGeneration string
}

// Refused is a start that is not carried out.
type Refused struct {
	Run    work.Run
	Reason string
}

// HandleDispatch takes an order. Stale is set if it is refused as a whole.
func (g *Gate) HandleDispatch(now time.Time, o Dispatch) (refused []Refused, stale bool) {
	own := g.owners[o.Coordinator]
	if own == nil || own.attachment != o.Attachment || own.incarnation != o.Incarnation {
		return nil, true
	}
	if o.Echo <= 0 || now.Sub(g.unstamp(o.Echo)) > MaxEchoAge {
		return nil, true
	}
	g.prove(o.Coordinator, g.unstamp(o.Echo))
	for _, key := range o.Stops {
		g.stop(now, key)
	}
	for i := range o.Starts {
		if reason := g.start(now, o.Coordinator, &o.Starts[i]); reason != "" {
			refused = append(refused, Refused{o.Starts[i].Run, reason})
		}
	}
	g.HandleAcks(o.AckedGeneration, o.Acked)
	return refused, false
}

// prove records that the coordinator lived at a time.
func (g *Gate) prove(coordinator string, at time.Time) {
	if o := g.owners[coordinator]; o != nil && at.After(o.proof) {
		o.proof = at
	}
}

func (g *Gate) stop(now time.Time, key work.Run) {
	r := g.runs[key]
	if r == nil {
		g.stopped[key] = now
		return
	}
	if r.phase == phaseQueued {
		g.settle(now, key, r, work.OutcomeNotStarted)
		return
	}
	r.stopping = true
	g.commands = append(g.commands, Command{Stop: key})
}

// start returns why a start is refused; empty if it is carried out.
func (g *Gate) start(now time.Time, coordinator string, s *work.Start) string {
	o := g.owners[coordinator]
	if r := g.runs[s.Run]; r != nil {
		if r.owner != coordinator || r.incarnation != o.incarnation {
			return ReasonStopped
		}
		return ""
	}
	if p, over := g.over[s.Run]; over && p.owner == coordinator && p.incarnation == o.incarnation {
		return ""
	}
	if s.Durable && g.shardOwner(s.Run.Task) != coordinator {
		return ReasonOwner
	}
	if _, dead := g.stopped[s.Run]; dead {
		return ReasonStopped
	}
	if !g.startable(now) {
		return ReasonEndpoint
	}
	r := &run{start: *s, owner: coordinator, incarnation: o.incarnation, since: now}
	if g.taken().Add(s.Resources).Fits(g.beat.Capacity) && g.firstQueued(now) == nil {
		g.launch(now, s.Run, r)
		return ""
	}
	if s.WaitMS <= 0 || !g.queueRoom(s.Resources) {
		return ReasonCapacity
	}
	r.phase = phaseQueued
	r.latest = now.Add(time.Duration(s.SlackMS) * time.Millisecond)
	r.until = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
	g.runs[s.Run] = r
	return ""
}

// HandleAcks takes the numbers of ends that their owner has stored.
func (g *Gate) HandleAcks(life string, numbers []int64) {
	if len(numbers) == 0 || life != g.EndpointGeneration() {
		return
	}
	stored := make(map[int64]bool, len(numbers))
	for _, n := range numbers {
		stored[n] = true
	}
	for _, e := range g.ends {
		if e.Sequence > 0 && stored[e.Sequence] {
			e.acked = true
		}
	}
	g.forget()
}

// forget moves the number of the last seen end over all stored ones.
func (g *Gate) forget() {
	open := make([]*end, 0, len(g.ends))
	first := g.listed + 1
	for _, e := range g.ends {
		if e.Sequence > 0 && !e.acked {
			first = min(first, e.Sequence)
		}
	}
	g.seen = max(g.seen, first-1)
	for _, e := range g.ends {
		if !e.told || e.Sequence > 0 && !e.acked {
			open = append(open, e)
		}
	}
	g.ends = open
}
