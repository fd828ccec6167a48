package runs

import (
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Lease returns what an order carries that is sent now. It never outlives the
// oldest proof of ownership by more than ProofLife.
func (g *Gate) Lease(now time.Time) carobpulley.Lease {
	l := carobpulley.Lease{Instance: g.beat.Instance, Token: g.token}
	if g.clockMS == 0 {
		return l
	}
	g.noteLapse(now)
	until := now.Add(g.cfg.MaxLease)
	if limit, ok := g.proofEnd(); ok && limit.Before(until) {
		until = limit
	}
	if !until.After(now) {
		return l
	}
	l.DeadlineMS = g.clockMS + until.Sub(g.clockAt).Milliseconds()
	span := until.Sub(now)
	lapse := now.Add(span + time.Duration(float64(span)*ClockSlack) + lapseMargin)
	if lapse.After(g.lapseAt) {
		g.lapseAt = lapse
	}
	return l
}

// noteLapse marks the ends that are older than a lapse of the runner's lease. They
// never count as taken note of, so their tasks may be run elsewhere.
func (g *Gate) noteLapse(now time.Time) {
	if now.Before(g.lapseAt) || now.Before(g.inherited()) {
		return
	}
	for _, e := range g.ends {
		e.lapsed = true
	}
}

// startable reports whether a start that is ordered now can be sent with a lease.
func (g *Gate) startable(now time.Time) bool {
	if !g.Usable() {
		return false
	}
	g.noteLapse(now)
	limit, limited := g.proofEnd()
	return !limited || limit.After(now)
}

// proofEnd returns when the first run here loses its last proof. An end of a kept
// job that is not stored counts as a run until the lease has lapsed: its task may
// be run elsewhere only then. It reports false if there is nothing to prove.
func (g *Gate) proofEnd() (time.Time, bool) {
	var first time.Time
	found := false
	take := func(proof time.Time) {
		limit := proof.Add(ProofTTL)
		if !found || limit.Before(first) {
			first = limit
			found = true
		}
	}
	for _, r := range g.runs {
		if r.phase != phaseQueued {
			take(g.proof(r))
		}
	}
	for _, e := range g.ends {
		if e.owner == "" && e.Sequence > 0 && !e.acked && !e.lapsed {
			take(g.shardProof(e.Run.Task))
		}
	}
	return first, found
}

// proof returns the latest time at which a run's coordinator is known to have
// lived, or to have owned its shard.
func (g *Gate) proof(r *run) time.Time {
	if r.owner == "" || r.start.Durable {
		return g.shardProof(r.start.Run.Task)
	}
	if o := g.owners[r.owner]; o != nil && o.incarnation == r.incarnation {
		return o.proof
	}
	return time.Time{}
}

func (g *Gate) shardProof(task string) time.Time {
	if s := g.shards[g.shardOf(task)]; s != nil {
		return s.proof
	}
	return time.Time{}
}

// stopOrphans stops the runs of coordinators that are not known to live, and
// drops ends that nobody waits for.
func (g *Gate) stopOrphans(now time.Time) {
	for key, r := range g.runs {
		if !r.stopping && r.phase != phaseQueued && now.Sub(g.proof(r)) > orphanLimit {
			r.stopping = true
			g.commands = append(g.commands, Command{Stop: key})
		}
	}
	dropped := false
	for _, e := range g.ends {
		if e.owner == "" {
			continue
		}
		o := g.owners[e.owner]
		if o == nil || o.incarnation != e.incarnation || now.Sub(o.proof) > endIdle {
			e.told = true
			dropped = true
		}
	}
	if dropped {
		g.forget()
	}
	for name, o := range g.owners {
		if now.Sub(o.proof) > ownerIdle && !g.owns(name) {
			delete(g.owners, name)
		}
	}
}

// owns reports whether a coordinator owns a shard or ordered a run.
func (g *Gate) owns(name string) bool {
	for _, s := range g.shards {
		if s.owner == name {
			return true
		}
	}
	for _, r := range g.runs {
		if r.owner == name {
			return true
		}
	}
	return false
}

// Tick gives up what a silent runner ran, once its lease has surely lapsed. It
// reports whether something changed.
func (g *Gate) Tick(now time.Time) bool {
	for key, at := range g.stopped {
		if now.Sub(at) > tombstoneLife {
			delete(g.stopped, key)
		}
	}
	for key, p := range g.over {
		if now.Sub(p.at) > tombstoneLife {
			delete(g.over, key)
		}
	}
	g.noteLapse(now)
	g.stopOrphans(now)
	changed := g.fill(now)
	if !g.silent || len(g.runs) == 0 || now.Before(g.lapseAt) {
		return changed
	}
	for key, r := range g.runs {
		g.settle(now, key, r, work.OutcomeLost)
	}
	g.token++
	return true
}
