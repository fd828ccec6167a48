package owner

import (
	"time"

	"carobpulley"
)

func (e *simEntry) handleAnnouncement(a *simAgent, incarnation uint64, clock int64) {
	if report := e.agentReports[a.name]; incarnation > report.incarnation || incarnation == report.incarnation && clock > report.clock {
		e.agentReports[a.name] = agentReport{clock, incarnation, e.sim.now}
	}
	version, in := e.configVersion, e.inService(a.domain)
	e.sim.send(&e.process, &a.process, func() { a.gate.Configure(uint64(version), in) })
}

// handleDeparture records an agent that announced its departure.
func (e *simEntry) handleDeparture(a *simAgent, incarnation uint64) {
	e.departed.AddAnnounced(e.sim.now, a.name, incarnation)
	e.left[AgentKey(a.name, incarnation)] = true
}

// allLeftInOrder reports whether all processes of an agent before an incarnation announced
// their departure. Incarnations of processes are odd, since the end of one counts too.
func (e *simEntry) allLeftInOrder(a *simAgent, before uint64) bool {
	for incarnation := uint64(1); incarnation < before; incarnation += 2 {
		if !e.left[AgentKey(a.name, incarnation)] {
			return false
		}
	}
	return true
}

// inService applies the configuration that this entry has read.
func (e *simEntry) inService(domain string) bool {
	in := true
	for _, c := range e.sim.config[:e.configVersion] {
		if c.domain == domain {
			in = c.inService
		}
	}
	return in
}

// dispatchQueued dispatches queued tasks to random agents.
func (e *simEntry) dispatchQueued() {
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		agent := e.sim.agents[e.sim.rng.IntN(len(e.sim.agents))]
		report := e.agentReports[agent.name]
		usable := report.incarnation > 0 && e.sim.now.Sub(report.at) < 2*time.Second && e.inService(agent.domain)
		if !usable || !e.active(carobpulley.ShardOf(q.Task.Job, simShards)) {
			if e.sim.now.Before(q.Deadline) {
				e.queue = append(e.queue, q)
			}
			continue
		}
		if d, ok := e.table.Start(e.sim.now, q.Task, agent.name, report.incarnation); ok {
			e.dispatch(agent, carobpulley.Entering{
				Dispatch: d, Echo: report.clock, Incarnation: report.incarnation, ConfigVersion: uint64(e.configVersion), InService: e.inService(agent.domain),
			})
		}
	}
}

// dispatch sends a task after the last check, so that a pause can fall between the two.
func (e *simEntry) dispatch(agent *simAgent, in carobpulley.Entering) {
	e.sim.reachStep("dispatched", in.Dispatch.ID.Job, e, agent)
	d := in.Dispatch
	e.sim.on(&e.process, 0, func() {
		call(e.sim, &e.process, &agent.process, 700*time.Millisecond, func(answer func(agentAnswer)) {
			agent.dispatch(in, answer)
		}, func(r agentAnswer, ok bool) {
			if !ok {
				e.step(carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
				return
			}
			e.handleAgentAnswer(agent, d, r)
		})
	})
}

// handleAgentAnswer passes an agent's answer to the table.
func (e *simEntry) handleAgentAnswer(agent *simAgent, d carobpulley.Dispatch, r agentAnswer) {
	if report := e.agentReports[agent.name]; r.incarnation > report.incarnation || r.incarnation == report.incarnation && r.clock > report.clock {
		e.agentReports[agent.name] = agentReport{r.clock, r.incarnation, e.sim.now}
	}
	switch {
	case r.refusal == carobpulley.KindStarted:
		e.step(carobpulley.TaskLost{ID: d.ID, Attempt: d.Attempt})
	case r.refusal != "":
		e.step(carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: r.refusal})
	case r.state.Phase == carobpulley.PhaseNotRun:
		e.step(carobpulley.TaskRefused{ID: d.ID, Attempt: d.Attempt, Kind: carobpulley.KindCancelled})
	case r.state.Phase == carobpulley.PhaseRunning:
		e.sim.on(&e.process, 100*time.Millisecond, func() { e.query(d, false) })
	default:
		e.sim.reachStep("ended", d.ID.Job, e, agent)
		e.step(carobpulley.TaskEnded{
			ID: d.ID, Attempt: d.Attempt, Phase: r.state.Phase, Status: r.state.Status, Result: r.state.Result,
		})
	}
}

// query asks the agent of an attempt for its state.
func (e *simEntry) query(d carobpulley.Dispatch, stop bool) {
	for _, agent := range e.sim.agents {
		if agent.name != d.Endpoint {
			continue
		}
		call(e.sim, &e.process, &agent.process, 500*time.Millisecond, func(answer func(agentAnswer)) {
			agent.query(d, stop, answer)
		}, func(r agentAnswer, ok bool) {
			switch {
			case !ok:
				e.step(carobpulley.TaskUnresolved{ID: d.ID, Attempt: d.Attempt})
			case r.incarnation != d.Incarnation && !e.sim.lacks("incarnation"):
				e.step(carobpulley.TaskGone{ID: d.ID, Attempt: d.Attempt})
			default:
				e.handleAgentAnswer(agent, d, r)
			}
		})
	}
}

func (sim *simulation) entry(name string) *simEntry {
	for _, e := range sim.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// entryOf returns the entry that owns a job's shard by the newest claim.
func (sim *simulation) entryOf(id carobpulley.JobID) *simEntry {
	for i := len(sim.claims) - 1; i >= 0; i-- {
		for _, o := range sim.claims[i].Shards {
			if o.Shard == carobpulley.ShardOf(id, simShards) {
				return sim.entry(sim.claims[i].Entry)
			}
		}
	}
	return sim.entries[0]
}
