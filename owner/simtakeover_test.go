package owner

import (
	"time"

	"carobpulley"
)

// collectedShard is what an entry collected for a shard that it takes over.
type collectedShard struct {
	claims  []carobpulley.Claim
	started []carobpulley.StartedTask
	fenced  map[string]bool
	// unknownUntil is the latest UnknownUntil that an earlier owner returned.
	unknownUntil time.Time
}

func (e *simEntry) collect(o carobpulley.Ownership) *collectedShard {
	o.Owner = e.name
	if e.collected[o] == nil {
		e.collected[o] = &collectedShard{fenced: map[string]bool{}}
		e.collected[o].claims = e.witness.Yield([]carobpulley.Ownership{o})
	}
	return e.collected[o]
}

func (e *simEntry) yield(a carobpulley.SendYield) {
	type reply struct {
		yield       carobpulley.YieldFor
		claims      []carobpulley.Claim
		until       map[int]time.Time
		incarnation uint64
	}
	for _, p := range e.sim.entries {
		if p.name != a.Peer {
			continue
		}
		call(e.sim, &e.process, &p.process, 400*time.Millisecond, func(answer func(reply)) {
			actions := p.auth.Step(e.sim.now, carobpulley.YieldAsked{Entry: e.name, Shards: a.Shards})
			y := actions[len(actions)-1].(carobpulley.YieldFor)
			p.applyAuthority(actions[:len(actions)-1])
			claims := p.witness.Yield(y.Shards)
			until := map[int]time.Time{}
			for _, o := range y.Shards {
				claims = append(claims, p.table.Claims(o.Shard)...)
				until[o.Shard] = p.table.UnknownUntil(o.Shard)
			}
			answer(reply{y, claims, until, p.incarnation})
		}, func(r reply, ok bool) {
			if !ok {
				return
			}
			for _, o := range r.yield.Shards {
				t := e.collect(o)
				t.unknownUntil = later(t.unknownUntil, r.until[o.Shard])
				for _, c := range r.claims {
					if c.Shard == o.Shard {
						t.claims = append(t.claims, c)
					}
				}
			}
			e.auth.Step(e.sim.now, carobpulley.YieldAnswered{
				Peer: p.name, Incarnation: r.incarnation, Shards: r.yield.Shards, Missing: r.yield.Missing, Opened: r.yield.Opened,
			})
		})
	}
}

// fence asks an agent until it answers or the shards are opened.
func (e *simEntry) fence(agent *simAgent, shards []carobpulley.Ownership) {
	type reply struct {
		started     []carobpulley.StartedTask
		incarnation uint64
	}
	call(e.sim, &e.process, &agent.process, 400*time.Millisecond, func(answer func(reply)) {
		started, _, _ := agent.gate.Fence(e.sim.now, shards, 0, 0)
		answer(reply{started, agent.incarnation})
	}, func(r reply, ok bool) {
		if !ok {
			for _, o := range shards {
				if cur, _ := e.auth.Owner(o.Shard); cur.Epoch == o.Epoch && e.collected[o] != nil {
					e.fence(agent, []carobpulley.Ownership{o})
				}
			}
			return
		}
		for _, o := range shards {
			t := e.collect(o)
			for _, s := range r.started {
				if s.Incarnation = r.incarnation; carobpulley.ShardOf(s.ID.Job, simShards) == o.Shard {
					s.Endpoint = agent.name
					t.started = append(t.started, s)
				}
			}
			// A replaced agent has lost the record of its starts.
			if t.fenced[agent.name] = e.allLeftInOrder(agent, r.incarnation); e.allFenced(t) {
				e.auth.Step(e.sim.now, carobpulley.AgentsFenced{Shards: []carobpulley.Ownership{o}})
			}
		}
	})
}

func (e *simEntry) allFenced(t *collectedShard) bool {
	for _, agent := range e.sim.agents {
		gone := agent.dead && e.allLeftInOrder(agent, agent.incarnation)
		if !t.fenced[agent.name] && !gone {
			return false
		}
	}
	return true
}

func (e *simEntry) open(o carobpulley.Ownership, missing, handed bool) {
	t := e.collect(o)
	delete(e.collected, o)
	ev := carobpulley.ShardOpened{
		Shard: o.Shard, Epoch: o.Epoch, Claims: t.claims, Started: t.started,
		AllAgents: o.Epoch == 1 || e.allFenced(t),
		AllClaims: !missing, UnknownUntil: t.unknownUntil,
	}
	if !e.sim.lacks("departure") {
		ev.Departed, _ = e.departed.Recent(e.sim.now)
	}
	for _, c := range e.sim.journal {
		if c.Shard == o.Shard && !handed && !e.sim.now.Before(e.sim.logDownUntil) {
			ev.Claims = append(ev.Claims, c)
		}
	}
	e.step(ev)
}
