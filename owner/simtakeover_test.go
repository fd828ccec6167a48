package owner

import (
	"time"

	"carobpulley"
)

// opening is what an entry collected of a shard that it takes over.
type opening struct {
	claims  []carobpulley.Claim
	started []carobpulley.StartedTask
	fenced  map[string]bool
	// unknownUntil is the end of an earlier owner's time of unknown keys.
	unknownUntil time.Time
}

func (e *simEntry) collect(o carobpulley.Ownership) *opening {
	o.Owner = e.name
	if e.opening[o] == nil {
		e.opening[o] = &opening{fenced: map[string]bool{}}
		e.opening[o].claims = e.witness.Yield([]carobpulley.Ownership{o})
	}
	return e.opening[o]
}

func (e *simEntry) yield(a carobpulley.SendYield) {
	type reply struct {
		yield  carobpulley.YieldFor
		claims []carobpulley.Claim
		until  map[int]time.Time
		gen    uint64
	}
	for _, p := range e.w.entries {
		if p.name != a.Peer {
			continue
		}
		call(e.w, &e.proc, &p.proc, 400*time.Millisecond, func(answer func(reply)) {
			actions := p.auth.Step(e.w.now, carobpulley.YieldAsked{Entry: e.name, Shards: a.Shards})
			y := actions[len(actions)-1].(carobpulley.YieldFor)
			p.authority(actions[:len(actions)-1])
			claims := p.witness.Yield(y.Shards)
			until := map[int]time.Time{}
			for _, o := range y.Shards {
				claims = append(claims, p.table.Claims(o.Shard)...)
				until[o.Shard] = p.table.UnknownUntil(o.Shard)
			}
			answer(reply{y, claims, until, p.gen})
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
			e.auth.Step(e.w.now, carobpulley.YieldAnswered{
				Peer: p.name, Incarnation: r.gen, Shards: r.yield.Shards, Missing: r.yield.Missing, Opened: r.yield.Opened,
			})
		})
	}
}

// fence asks an agent until it answers or the shards are opened.
func (e *simEntry) fence(g *simAgent, shards []carobpulley.Ownership) {
	type reply struct {
		started []carobpulley.StartedTask
		gen     uint64
	}
	call(e.w, &e.proc, &g.proc, 400*time.Millisecond, func(answer func(reply)) {
		started, _, _ := g.gate.Fence(e.w.now, shards, 0, 0)
		answer(reply{started, g.gen})
	}, func(r reply, ok bool) {
		if !ok {
			for _, o := range shards {
				if cur, _ := e.auth.Owner(o.Shard); cur.Epoch == o.Epoch && e.opening[o] != nil {
					e.fence(g, []carobpulley.Ownership{o})
				}
			}
			return
		}
		for _, o := range shards {
			t := e.collect(o)
			for _, s := range r.started {
				if s.Incarnation = r.gen; carobpulley.ShardOf(s.ID.Job, simShards) == o.Shard {
					s.Endpoint = g.name
					t.started = append(t.started, s)
				}
			}
			// A replaced agent has forgotten its starts.
			if t.fenced[g.name] = e.known(g, r.gen); e.allFenced(t) {
				e.auth.Step(e.w.now, carobpulley.AgentsFenced{Shards: []carobpulley.Ownership{o}})
			}
		}
	})
}

func (e *simEntry) allFenced(t *opening) bool {
	for _, g := range e.w.agents {
		gone := g.dead && e.known(g, g.gen)
		if !t.fenced[g.name] && !gone {
			return false
		}
	}
	return true
}

func (e *simEntry) open(o carobpulley.Ownership, missing, handed bool) {
	t := e.collect(o)
	delete(e.opening, o)
	ev := carobpulley.ShardOpened{
		Shard: o.Shard, Epoch: o.Epoch, Claims: t.claims, Started: t.started,
		AllAgents: o.Epoch == 1 || e.allFenced(t),
		AllClaims: !missing, UnknownUntil: t.unknownUntil,
	}
	if !e.w.lacks("departure") {
		ev.Departed, _ = e.departed.Since(e.w.now)
	}
	for _, c := range e.w.journal {
		if c.Shard == o.Shard && !handed && !e.w.now.Before(e.w.logDownUntil) {
			ev.Claims = append(ev.Claims, c)
		}
	}
	e.step(ev)
}
