package owner

import (
	"time"

	"carobpulley"
)

func (e *simEntry) announced(a *simAgent, gen uint64, clock int64) {
	if h := e.heard[a.name]; gen > h.gen || gen == h.gen && clock > h.clock {
		e.heard[a.name] = reading{clock, gen, e.w.now}
	}
	version, in := e.version, e.inService(a.domain)
	e.w.send(&e.proc, &a.proc, func() { a.gate.Configure(uint64(version), in) })
}

// leftBy notes an agent that announced its departure.
func (e *simEntry) leftBy(a *simAgent, gen uint64) {
	e.departed.Left(e.w.now, a.name, gen)
	e.left[AgentKey(a.name, gen)] = true
}

// known reports whether all processes of an agent before an incarnation left in
// order. Incarnations of processes are odd, since the end of one counts too.
func (e *simEntry) known(a *simAgent, before uint64) bool {
	for gen := uint64(1); gen < before; gen += 2 {
		if !e.left[AgentKey(a.name, gen)] {
			return false
		}
	}
	return true
}

// inService folds the configuration that this entry knows.
func (e *simEntry) inService(domain string) bool {
	in := true
	for _, c := range e.w.config[:e.version] {
		if c.domain == domain {
			in = c.in
		}
	}
	return in
}

// pump dispatches queued tasks to random agents.
func (e *simEntry) pump() {
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		g := e.w.agents[e.w.rng.IntN(len(e.w.agents))]
		h := e.heard[g.name]
		usable := h.gen > 0 && e.w.now.Sub(h.at) < 2*time.Second && e.inService(g.domain)
		if !usable || !e.active(carobpulley.ShardOf(q.Task.Job, simShards)) {
			if e.w.now.Before(q.Deadline) {
				e.queue = append(e.queue, q)
			}
			continue
		}
		if d, ok := e.table.Start(e.w.now, q.Task, g.name, h.gen); ok {
			e.dispatch(g, carobpulley.Entering{
				Dispatch: d, Echo: h.clock, Incarnation: h.gen, ConfigVersion: uint64(e.version), InService: e.inService(g.domain),
			})
		}
	}
}

// dispatch sends a task after the last check, so that a pause can lie between.
func (e *simEntry) dispatch(g *simAgent, in carobpulley.Entering) {
	e.w.at("dispatched", in.Dispatch.ID.Job, e, g)
	d := in.Dispatch
	e.w.on(&e.proc, 0, func() {
		call(e.w, &e.proc, &g.proc, 700*time.Millisecond, func(answer func(dispatched)) {
			g.dispatch(in, answer)
		}, func(r dispatched, ok bool) {
			if !ok {
				e.step(carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
				return
			}
			e.ended(g, d, r)
		})
	})
}

// ended feeds an agent's answer to the table.
func (e *simEntry) ended(g *simAgent, d carobpulley.Dispatch, r dispatched) {
	if h := e.heard[g.name]; r.incarnation > h.gen || r.incarnation == h.gen && r.clock > h.clock {
		e.heard[g.name] = reading{r.clock, r.incarnation, e.w.now}
	}
	switch {
	case r.kind == carobpulley.KindStarted:
		e.step(carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	case r.kind != "":
		e.step(carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: r.kind})
	case r.state.Phase == carobpulley.PhaseNotRun:
		e.step(carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: carobpulley.KindCancelled})
	case r.state.Phase == carobpulley.PhaseRunning:
		e.w.on(&e.proc, 100*time.Millisecond, func() { e.query(d, false) })
	default:
		e.w.at("ended", d.ID.Job, e, g)
		e.step(carobpulley.TaskEnded{
			ID: d.ID, Attempt: d.Attempt, Phase: r.state.Phase, Status: r.state.Status, Result: r.state.Result,
		})
	}
}

// query asks the agent of an attempt for its state.
func (e *simEntry) query(d carobpulley.Dispatch, stop bool) {
	for _, g := range e.w.agents {
		if g.name != d.Endpoint {
			continue
		}
		call(e.w, &e.proc, &g.proc, 500*time.Millisecond, func(answer func(dispatched)) {
			g.query(d, stop, answer)
		}, func(r dispatched, ok bool) {
			switch {
			case !ok:
				e.step(carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
			case r.incarnation != d.Incarnation && !e.w.lacks("incarnation"):
				e.step(carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
			default:
				e.ended(g, d, r)
			}
		})
	}
}

func (w *world) entry(name string) *simEntry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// entryOf returns the entry that owns a job's shard by the newest claim.
func (w *world) entryOf(id carobpulley.JobID) *simEntry {
	for i := len(w.claims) - 1; i >= 0; i-- {
		for _, o := range w.claims[i].Shards {
			if o.Shard == carobpulley.ShardOf(id, simShards) {
				return w.entry(w.claims[i].Entry)
			}
		}
	}
	return w.entries[0]
}
