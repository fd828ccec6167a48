package owner

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"carobpulley"
)

// simGate is a small model of the agent's gate.
type simGate struct {
	sim           *simulation
	epochs        map[int]uint64
	started       map[carobpulley.TaskID]*carobpulley.StartedTask
	refused       map[carobpulley.TaskID]int
	configVersion uint64
	outOfService  bool
	runningTasks  int
	clockOffset   int64
	// draining is set once the agent is leaving.
	draining bool
}

var _ carobpulley.Gate = (*simGate)(nil)

func (g *simGate) Enter(now time.Time, in carobpulley.Entering) error {
	d := in.Dispatch
	if g.started[d.ID] != nil && !g.sim.lacks("started") {
		return &carobpulley.Error{Kind: carobpulley.KindStarted}
	}
	kind := g.check(now, in)
	if kind != "" {
		g.refused[d.ID] = max(g.refused[d.ID], d.Attempt)
		return &carobpulley.Error{Kind: kind, NotRun: true}
	}
	g.epochs[d.Shard] = d.Epoch
	g.started[d.ID] = &carobpulley.StartedTask{ID: d.ID, Phase: carobpulley.PhaseRunning}
	g.runningTasks++
	return nil
}

func (g *simGate) check(now time.Time, in carobpulley.Entering) carobpulley.Kind {
	d := in.Dispatch
	g.Configure(in.ConfigVersion, in.InService)
	switch {
	case d.Epoch < g.epochs[d.Shard] && !g.sim.lacks("epoch"):
		return carobpulley.KindStaleEpoch
	case d.Attempt <= g.refused[d.ID]:
		return carobpulley.KindCancelled
	case g.Clock(now)-in.Echo > int64(carobpulley.EchoValidity) && !g.sim.lacks("echo"):
		return carobpulley.KindStaleEcho
	case !now.Before(d.Deadline):
		return carobpulley.KindDeadline
	case g.draining:
		return carobpulley.KindDraining
	case g.outOfService:
		return carobpulley.KindOutOfService
	case g.runningTasks >= 3 || g.sim.slow && g.runningTasks >= 1:
		return carobpulley.KindBusy
	}
	return ""
}

func (g *simGate) End(_ time.Time, t carobpulley.StartedTask) {
	if k := g.started[t.ID]; k != nil && !k.Phase.Ended() {
		*k = t
		g.runningTasks--
	}
}

func (g *simGate) Query(_ time.Time, id carobpulley.TaskID, _ int, _ uint64, attempt int) (carobpulley.StartedTask, error) {
	if k := g.started[id]; k != nil {
		return *k, nil
	}
	if !g.sim.lacks("query") {
		g.refused[id] = max(g.refused[id], attempt)
	}
	return carobpulley.StartedTask{ID: id, Phase: carobpulley.PhaseNotRun}, nil
}

func (g *simGate) Fence(
	_ time.Time, shards []carobpulley.Ownership, _ uint64, _ int,
) (out []carobpulley.StartedTask, next uint64, complete bool) {
	for _, o := range shards {
		g.epochs[o.Shard] = max(g.epochs[o.Shard], o.Epoch)
	}
	for _, k := range g.started {
		shard := carobpulley.ShardOf(k.ID.Job, simShards)
		if slices.ContainsFunc(shards, func(o carobpulley.Ownership) bool { return o.Shard == shard }) {
			out = append(out, *k)
		}
	}
	slices.SortFunc(out, func(a, b carobpulley.StartedTask) int {
		return strings.Compare(fmt.Sprint(a.ID), fmt.Sprint(b.ID))
	})
	return out, 0, true
}

func (g *simGate) Configure(version uint64, inService bool) {
	if version > g.configVersion && !g.sim.lacks("config") {
		g.configVersion, g.outOfService = version, !inService
	}
}

func (g *simGate) Drain() { g.draining = true }

func (g *simGate) Clock(now time.Time) int64 { return now.Sub(start).Nanoseconds() + g.clockOffset }

// simAgent is an agent with its endpoint.
type simAgent struct {
	process
	sim  *simulation
	gate *simGate
}

// agentAnswer is an agent's answer to a dispatch, a query or a cancellation.
type agentAnswer struct {
	state       carobpulley.StartedTask
	refusal     carobpulley.Kind
	clock       int64
	incarnation uint64
}

// boot starts a new process without memory.
func (a *simAgent) boot() {
	a.incarnation++
	a.dead, a.pausedUntil = false, time.Time{}
	a.gate = &simGate{
		sim: a.sim, epochs: map[int]uint64{}, started: map[carobpulley.TaskID]*carobpulley.StartedTask{},
		refused: map[carobpulley.TaskID]int{}, clockOffset: a.sim.rng.Int64N(1e12),
	}
	a.sim.every(&a.process, time.Second, func() {
		clock, incarnation := a.gate.Clock(a.sim.now), a.incarnation
		for _, e := range a.sim.entries {
			a.sim.send(&a.process, &e.process, func() { e.handleAnnouncement(a, incarnation, clock) })
		}
	})
}

func (a *simAgent) answer(state carobpulley.StartedTask, kind carobpulley.Kind) agentAnswer {
	return agentAnswer{state: state, refusal: kind, clock: a.gate.Clock(a.sim.now), incarnation: a.incarnation}
}

// dispatch passes a task through the gate and runs it.
func (a *simAgent) dispatch(in carobpulley.Entering, reply func(agentAnswer)) {
	id := in.Dispatch.ID
	if in.Incarnation != a.incarnation {
		reply(a.answer(carobpulley.StartedTask{}, carobpulley.KindWrongAgent))
		return
	}
	var refusal *carobpulley.Error
	if errors.As(a.gate.Enter(a.sim.now, in), &refusal) {
		reply(a.answer(carobpulley.StartedTask{}, refusal.Kind))
		return
	}
	a.sim.checkStart(a, in.Dispatch)
	run := 30*time.Millisecond + a.sim.randomUpTo(600*time.Millisecond)
	if a.sim.slow {
		run *= 8
	}
	a.sim.on(&a.process, run, func() {
		a.end(carobpulley.StartedTask{
			ID: id, Phase: carobpulley.PhaseDone, Status: 200, Result: []byte("r:" + string(in.Dispatch.Payload)),
		})
		reply(a.answer(*a.gate.started[id], ""))
	})
	a.sim.reachStep("started", id.Job, a.sim.entryOf(id.Job), a)
}

func (a *simAgent) end(t carobpulley.StartedTask) {
	t.Endpoint = a.name
	a.gate.End(a.sim.now, t)
}

// leave refuses new tasks, finishes the running ones, announces the departure and ends the
// process. A new one may follow.
func (a *simAgent) leave() {
	if a.dead {
		return
	}
	a.gate.Drain()
	if a.gate.runningTasks > 0 {
		a.sim.on(&a.process, 50*time.Millisecond, a.leave)
		return
	}
	incarnation := a.incarnation
	for _, e := range a.sim.entries {
		a.sim.send(&a.process, &e.process, func() { e.handleDeparture(a, incarnation) })
	}
	a.sim.crash(&a.process, a.boot)
}

// query returns the state of a task. With stop set it also stops a running one.
func (a *simAgent) query(d carobpulley.Dispatch, stop bool, reply func(agentAnswer)) {
	state, _ := a.gate.Query(a.sim.now, d.ID, d.Shard, d.Epoch, d.Attempt)
	if stop && state.Phase == carobpulley.PhaseRunning {
		a.end(carobpulley.StartedTask{ID: d.ID, Phase: carobpulley.PhaseStopped})
		state, _ = a.gate.Query(a.sim.now, d.ID, d.Shard, d.Epoch, d.Attempt)
	}
	reply(a.answer(state, ""))
}
