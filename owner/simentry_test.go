package owner

import (
	"errors"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"carobpulley"
)

// Sizes of the simulated cluster.
const (
	simShards = 4
	simTasks  = 12
	// simHeldBytes fits a claim or two, so that others are not held.
	simHeldBytes = 1500
)

// agentReport is the last report of an agent to an entry.
type agentReport struct {
	clock       int64
	incarnation uint64
	at          time.Time
}

// simEntry is a simulated entry: it executes the actions of a Table and an Authority and
// holds a Witness.
type simEntry struct {
	process
	sim        *simulation
	table      carobpulley.JobTable
	auth       *Authority
	witness    *Witness
	claimsRead int
	// draining is set while the entry hands its shards over.
	draining      bool
	configVersion int
	queue         []carobpulley.Waiting
	agentReports  map[string]agentReport
	collected     map[carobpulley.Ownership]*collectedShard
	// departed and left are the agents that announced their departure.
	departed Departures
	left     map[uint64]bool
}

// callResult is an entry's answer to a caller or a receiver.
type callResult struct {
	answer carobpulley.Answer
	err    *carobpulley.Error
}

// boot starts a new process without memory.
func (e *simEntry) boot() {
	e.incarnation++
	e.dead, e.pausedUntil = false, time.Time{}
	e.table = NewTable(e.name, simShards)
	if e.sim.lacks("table") {
		e.table = NewNaive(simShards)
	}
	e.auth = NewAuthority(e.sim.now, e.name, e.incarnation, simShards)
	e.auth.Step(e.sim.now, carobpulley.Configured{Entries: e.sim.names})
	e.witness = NewWitness(simShards)
	if e.sim.smallHeldLimit {
		e.witness.limit = simHeldBytes
	}
	e.claimsRead, e.configVersion, e.queue, e.draining = 0, 0, nil, false
	e.agentReports, e.collected = map[string]agentReport{}, map[carobpulley.Ownership]*collectedShard{}
	e.departed, e.left = Departures{}, map[uint64]bool{}
	e.sim.every(&e.process, carobpulley.ContactInterval, e.contact)
	e.sim.every(&e.process, 200*time.Millisecond, e.readLog)
	e.sim.every(&e.process, 100*time.Millisecond, func() {
		e.applyAuthority(e.auth.Step(e.sim.now, carobpulley.AuthorityTick{}))
		e.step(carobpulley.Tick{})
		e.witness.Expire(e.sim.now)
		e.dispatchQueued()
	})
}

func (e *simEntry) hasAuthority() bool { return e.auth.Has(e.sim.now) || e.sim.lacks("authority") }

func (e *simEntry) active(shard int) bool {
	if e.sim.lacks("authority") {
		o, _ := e.auth.Owner(shard)
		return o.Owner == e.name
	}
	return e.auth.Active(e.sim.now, shard)
}

// applyLog applies claims and configuration up to the given positions.
func (e *simEntry) applyLog(claims, version int) {
	for ; e.claimsRead < claims; e.claimsRead++ {
		e.applyAuthority(e.auth.Step(e.sim.now, e.sim.claims[e.claimsRead]))
		e.sim.history.resolve(e)
	}
	e.configVersion = max(e.configVersion, version)
}

func (e *simEntry) contact() {
	type reply struct {
		vouch, drain bool
		claims, conf int
		incarnation  uint64
	}
	for _, p := range e.sim.entries {
		if p == e {
			continue
		}
		sent, incarnation := e.sim.now, e.incarnation
		call(e.sim, &e.process, &p.process, 700*time.Millisecond, func(answer func(reply)) {
			v := p.auth.Step(e.sim.now, carobpulley.ContactAsked{Peer: e.name, Incarnation: incarnation, Draining: e.draining})[0].(carobpulley.VouchFor)
			answer(reply{v.Vouch, p.draining, p.claimsRead, p.configVersion, p.incarnation})
		}, func(r reply, ok bool) {
			if ok {
				e.applyLog(r.claims, r.conf)
				e.auth.Step(e.sim.now, carobpulley.ContactAnswered{
					Peer: p.name, Incarnation: r.incarnation, SentAt: sent, Vouch: r.vouch, Draining: r.drain,
				})
			}
		})
	}
}

func (e *simEntry) readLog() {
	sent, claims, conf := e.sim.now, 0, 0
	e.sim.append(&e.process, func() { claims, conf = len(e.sim.claims), len(e.sim.config) }, func(ok bool) {
		if ok {
			e.applyLog(claims, conf)
			e.auth.Step(e.sim.now, carobpulley.LogRead{SentAt: sent})
		}
	})
}

// applyAuthority carries out the actions of the authority.
func (e *simEntry) applyAuthority(actions []carobpulley.AuthorityAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.AppendClaim:
			e.sim.history.claim(e, a)
			e.sim.append(&e.process, func() { e.sim.claims = append(e.sim.claims, carobpulley.ClaimRead(a)) }, func(bool) {})
		case carobpulley.SendYield:
			e.yield(a)
		case carobpulley.SendFence:
			for _, agent := range e.sim.agents {
				e.fence(agent, a.Shards)
			}
		case carobpulley.CloseShards:
			for _, o := range a.Shards {
				e.step(carobpulley.ShardClosed{Shard: o.Shard})
			}
		case carobpulley.OpenShards:
			for _, o := range a.Shards {
				e.open(o, slices.Contains(a.Missing, o.Shard), slices.Contains(a.HandedOver, o.Shard))
			}
		}
	}
}

// step passes an event to the table and carries out the actions.
func (e *simEntry) step(ev carobpulley.Event) []carobpulley.Action {
	actions := e.table.Step(e.sim.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.HoldClaim:
			if e.sim.lacks("holder") {
				e.sim.on(&e.process, 0, func() { e.claimHeld(a.Claim) })
				continue
			}
			e.hold(a.Claim, 0)
		case carobpulley.WriteJournal:
			e.sim.append(&e.process, func() { e.sim.journal = append(e.sim.journal, a.Claim) }, func(ok bool) {
				if ok {
					e.claimHeld(a.Claim)
				}
			})
		case carobpulley.QueueTask:
			e.queue = append(e.queue, a.Waiting)
			e.sim.reachStep("queued", a.Waiting.Task.Job, e, nil)
		case carobpulley.QueryTask:
			e.sim.on(&e.process, max(0, a.At.Sub(e.sim.now)), func() { e.query(a.Dispatch, false) })
		case carobpulley.CancelTask:
			e.query(a.Dispatch, true)
		case carobpulley.Finished:
			e.sim.reachStep("answered", a.Answer.ID, e, nil)
		}
	}
	return actions
}

func (e *simEntry) claimHeld(c carobpulley.Claim) {
	e.sim.reachStep("claim held", c.Spec.ID, e, nil)
	e.step(carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
	e.sim.on(&e.process, time.Millisecond, e.dispatchQueued)
}

// hold requests the other entries in turn to hold a claim, while this one owns the shard.
func (e *simEntry) hold(c carobpulley.Claim, try int) {
	if own, _ := e.auth.Owner(c.Shard); own.Epoch != c.Epoch || try > 50 {
		return
	}
	others := e.others()
	p := others[try%len(others)]
	call(e.sim, &e.process, &p.process, 300*time.Millisecond, func(answer func(bool)) {
		answer(p.witness.Hold(e.sim.now, c))
	}, func(held, ok bool) {
		if ok && held {
			e.claimHeld(c)
			return
		}
		e.hold(c, try+1)
	})
}

func (e *simEntry) others() (out []*simEntry) {
	for _, p := range e.sim.entries {
		if p != e {
			out = append(out, p)
		}
	}
	return out
}

// submit receives a caller's submission and finds the owner.
func (e *simEntry) submit(spec carobpulley.JobSpec, answer func(callResult)) {
	op := e.sim.history.submission(e, spec.ID)
	reply := func(v callResult) {
		op.Return = e.sim.now.UnixNano()
		answer(v)
	}
	own, _ := e.auth.Owner(carobpulley.ShardOf(spec.ID, simShards))
	p := e.sim.entry(own.Owner)
	if p == nil || !e.hasAuthority() {
		reply(callResult{err: newError("submit", carobpulley.KindUnavailable, "no owner")})
		return
	}
	if p == e {
		reply(e.decide(spec, e.name, own.Epoch, op))
		return
	}
	claim := carobpulley.Claim{Spec: spec, Shard: own.Shard, Epoch: own.Epoch, Pending: true, Gone: e.departed.Announced(e.sim.now)}
	receiver := ""
	if e.witness.Hold(e.sim.now, claim) {
		receiver = e.name
	}
	call(e.sim, &e.process, &p.process, 2*time.Second, func(answer func(callResult)) {
		answer(p.decide(spec, receiver, own.Epoch, op))
	}, func(v callResult, ok bool) {
		if !ok {
			v = callResult{err: newError("submit", carobpulley.KindUnavailable, "no answer")}
		}
		if ok && v.err != nil && v.err.Kind == carobpulley.KindConflict {
			e.witness.Drop(claim)
		}
		claim.Pending = false
		if ok && v.err == nil {
			e.witness.Hold(e.sim.now, claim)
		}
		if ok && v.err != nil && v.err.NotRun {
			claim.Answer = &carobpulley.Answer{ID: spec.ID, Outcome: carobpulley.OutcomeNotRun, Err: v.err}
			e.witness.Hold(e.sim.now, claim)
		}
		reply(v)
	})
}

// decide decides on a submission as the owner.
func (e *simEntry) decide(spec carobpulley.JobSpec, receiver string, epoch uint64, op *porcupine.Operation) callResult {
	if !e.active(carobpulley.ShardOf(spec.ID, simShards)) {
		return callResult{err: newError("submit", carobpulley.KindUnavailable, "not the owner")}
	}
	_, before := e.table.Answer(e.sim.now, spec.ID)
	actions := e.step(carobpulley.Submitted{Spec: spec, Receiver: receiver, Epoch: epoch, Gone: e.departed.Announced(e.sim.now), Admit: func(carobpulley.JobSpec) error {
		if e.sim.chance(0.05) {
			return newError("admit", carobpulley.KindOverload, "the queue is full")
		}
		return nil
	}})
	e.sim.on(&e.process, time.Millisecond, e.dispatchQueued)
	if before == nil {
		e.sim.reachStep("resubmitted", spec.ID, e, nil)
	}
	e.sim.reachStep("submitted", spec.ID, e, nil)
	op.Output = decision{before == nil}
	for _, a := range actions {
		if r, ok := a.(carobpulley.Rejected); ok {
			if r.Err.Kind == carobpulley.KindUnavailable || r.Err.Kind == carobpulley.KindUnknown {
				op.Output = nil
			}
			return callResult{err: r.Err}
		}
	}
	return e.lookup(spec.ID)
}

// lookup returns the state of a job as its owner.
func (e *simEntry) lookup(id carobpulley.JobID) callResult {
	if !e.active(carobpulley.ShardOf(id, simShards)) {
		return callResult{err: newError("lookup", carobpulley.KindUnavailable, "not the owner")}
	}
	a, err := e.table.Answer(e.sim.now, id)
	var fault *carobpulley.Error
	errors.As(err, &fault)
	return callResult{a, fault}
}

// forward runs a lookup or a cancellation at the owner on behalf of a caller.
func (e *simEntry) forward(id carobpulley.JobID, cancel bool, reply func(callResult)) {
	own, _ := e.auth.Owner(carobpulley.ShardOf(id, simShards))
	p := e.sim.entry(own.Owner)
	if p == nil {
		return
	}
	call(e.sim, &e.process, &p.process, 2*time.Second, func(answer func(callResult)) {
		if cancel && p.active(own.Shard) {
			p.step(carobpulley.Cancelled{Job: id})
			p.sim.reachStep("cancelled", id, p, nil)
		}
		answer(p.lookup(id))
	}, func(v callResult, ok bool) {
		if ok {
			reply(v)
		}
	})
}
