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
	// simHeldBytes has room for a claim or two, so that others are not held.
	simHeldBytes = 1500
)

// reading is what an entry last heard of an agent.
type reading struct {
	clock int64
	gen   uint64
	at    time.Time
}

// simEntry is a small shell around Table, Authority and Witness.
type simEntry struct {
	proc
	w       *world
	table   carobpulley.JobTable
	auth    *Authority
	witness *Witness
	read    int
	version int
	queue   []carobpulley.Waiting
	heard   map[string]reading
	opening map[carobpulley.Ownership]*opening
	// departed and left are the agents that announced their departure.
	departed Departures
	left     map[uint64]bool
}

// verdict is an entry's answer to a caller or a receiver.
type verdict struct {
	answer carobpulley.Answer
	err    *carobpulley.Error
}

// boot starts a new process without memory.
func (e *simEntry) boot() {
	e.gen++
	e.dead, e.pausedUntil = false, time.Time{}
	e.table = NewTable(e.name, simShards)
	if e.w.lacks("table") {
		e.table = NewNaive(simShards)
	}
	e.auth = NewAuthority(e.w.now, e.name, e.gen, simShards)
	e.auth.Step(e.w.now, carobpulley.Configured{Entries: e.w.names})
	e.witness = NewWitness(simShards)
	if e.w.fewHeld {
		e.witness.limit = simHeldBytes
	}
	e.read, e.version, e.queue = 0, 0, nil
	e.heard, e.opening = map[string]reading{}, map[carobpulley.Ownership]*opening{}
	e.departed, e.left = Departures{}, map[uint64]bool{}
	e.w.every(&e.proc, carobpulley.ContactInterval, e.contact)
	e.w.every(&e.proc, 200*time.Millisecond, e.readLog)
	e.w.every(&e.proc, 100*time.Millisecond, func() {
		e.authority(e.auth.Step(e.w.now, carobpulley.AuthorityTick{}))
		e.step(carobpulley.Tick{})
		e.witness.Expire(e.w.now)
		e.pump()
	})
}

func (e *simEntry) has() bool { return e.auth.Has(e.w.now) || e.w.lacks("authority") }

func (e *simEntry) active(shard int) bool {
	if e.w.lacks("authority") {
		o, _ := e.auth.Owner(shard)
		return o.Owner == e.name
	}
	return e.auth.Active(e.w.now, shard)
}

// follow takes claims and configuration up to the given positions.
func (e *simEntry) follow(claims, version int) {
	for ; e.read < claims; e.read++ {
		e.authority(e.auth.Step(e.w.now, e.w.claims[e.read]))
		e.w.history.resolve(e)
	}
	e.version = max(e.version, version)
}

func (e *simEntry) contact() {
	type reply struct {
		vouch        bool
		claims, conf int
		gen          uint64
	}
	for _, p := range e.w.entries {
		if p == e {
			continue
		}
		sent, gen := e.w.now, e.gen
		call(e.w, &e.proc, &p.proc, 700*time.Millisecond, func(answer func(reply)) {
			v := p.auth.Step(e.w.now, carobpulley.ContactAsked{Peer: e.name, Incarnation: gen})[0].(carobpulley.VouchFor)
			answer(reply{v.Vouch, p.read, p.version, p.gen})
		}, func(r reply, ok bool) {
			if ok {
				e.follow(r.claims, r.conf)
				e.auth.Step(e.w.now, carobpulley.ContactAnswered{Peer: p.name, Incarnation: r.gen, SentAt: sent, Vouch: r.vouch})
			}
		})
	}
}

func (e *simEntry) readLog() {
	sent, claims, conf := e.w.now, 0, 0
	e.w.append(&e.proc, func() { claims, conf = len(e.w.claims), len(e.w.config) }, func(ok bool) {
		if ok {
			e.follow(claims, conf)
			e.auth.Step(e.w.now, carobpulley.LogRead{SentAt: sent})
		}
	})
}

// authority carries the actions of the authority out.
func (e *simEntry) authority(actions []carobpulley.AuthorityAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.AppendClaim:
			e.w.history.claim(e, a)
			e.w.append(&e.proc, func() { e.w.claims = append(e.w.claims, carobpulley.ClaimRead(a)) }, func(bool) {})
		case carobpulley.SendYield:
			e.yield(a)
		case carobpulley.SendFence:
			for _, g := range e.w.agents {
				e.fence(g, a.Shards)
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

// step feeds an event to the table and carries the actions out.
func (e *simEntry) step(ev carobpulley.Event) []carobpulley.Action {
	actions := e.table.Step(e.w.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.HoldClaim:
			if e.w.lacks("holder") {
				e.w.on(&e.proc, 0, func() { e.claimHeld(a.Claim) })
				continue
			}
			e.hold(a.Claim, 0)
		case carobpulley.WriteJournal:
			e.w.append(&e.proc, func() { e.w.journal = append(e.w.journal, a.Claim) }, func(ok bool) {
				if ok {
					e.claimHeld(a.Claim)
				}
			})
		case carobpulley.QueueTask:
			e.queue = append(e.queue, a.Waiting)
			e.w.at("queued", a.Waiting.Task.Job, e, nil)
		case carobpulley.QueryTask:
			e.w.on(&e.proc, max(0, a.At.Sub(e.w.now)), func() { e.query(a.Dispatch, false) })
		case carobpulley.CancelTask:
			e.query(a.Dispatch, true)
		case carobpulley.Finished:
			e.w.at("answered", a.Answer.ID, e, nil)
		}
	}
	return actions
}

func (e *simEntry) claimHeld(c carobpulley.Claim) {
	e.w.at("claim held", c.Spec.ID, e, nil)
	e.step(carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
	e.w.on(&e.proc, time.Millisecond, e.pump)
}

// hold asks the other entries in turn to hold a claim, while this one owns it.
func (e *simEntry) hold(c carobpulley.Claim, try int) {
	if own, _ := e.auth.Owner(c.Shard); own.Epoch != c.Epoch || try > 50 {
		return
	}
	others := e.others()
	p := others[try%len(others)]
	call(e.w, &e.proc, &p.proc, 300*time.Millisecond, func(answer func(bool)) {
		answer(p.witness.Hold(e.w.now, c))
	}, func(held, ok bool) {
		if ok && held {
			e.claimHeld(c)
			return
		}
		e.hold(c, try+1)
	})
}

func (e *simEntry) others() (out []*simEntry) {
	for _, p := range e.w.entries {
		if p != e {
			out = append(out, p)
		}
	}
	return out
}

// submit takes a caller's submission and finds the owner.
func (e *simEntry) submit(spec carobpulley.JobSpec, answer func(verdict)) {
	op := e.w.history.submission(e, spec.ID)
	reply := func(v verdict) {
		op.Return = e.w.now.UnixNano()
		answer(v)
	}
	own, _ := e.auth.Owner(carobpulley.ShardOf(spec.ID, simShards))
	p := e.w.entry(own.Owner)
	if p == nil || !e.has() {
		reply(verdict{err: newError("submit", carobpulley.KindUnavailable, "no owner")})
		return
	}
	if p == e {
		reply(e.take(spec, e.name, own.Epoch, op))
		return
	}
	claim := carobpulley.Claim{Spec: spec, Shard: own.Shard, Epoch: own.Epoch, Pending: true, Gone: e.departed.Known(e.w.now)}
	receiver := ""
	if e.witness.Hold(e.w.now, claim) {
		receiver = e.name
	}
	call(e.w, &e.proc, &p.proc, 2*time.Second, func(answer func(verdict)) {
		answer(p.take(spec, receiver, own.Epoch, op))
	}, func(v verdict, ok bool) {
		if !ok {
			v = verdict{err: newError("submit", carobpulley.KindUnavailable, "no answer")}
		}
		if ok && v.err != nil && v.err.Kind == carobpulley.KindConflict {
			e.witness.Drop(claim)
		}
		claim.Pending = false
		if ok && v.err == nil {
			e.witness.Hold(e.w.now, claim)
		}
		if ok && v.err != nil && v.err.NotRun {
			claim.Answer = &carobpulley.Answer{ID: spec.ID, Outcome: carobpulley.OutcomeNotRun, Err: v.err}
			e.witness.Hold(e.w.now, claim)
		}
		reply(v)
	})
}

// take decides on a submission as the owner.
func (e *simEntry) take(spec carobpulley.JobSpec, receiver string, epoch uint64, op *porcupine.Operation) verdict {
	if !e.active(carobpulley.ShardOf(spec.ID, simShards)) {
		return verdict{err: newError("submit", carobpulley.KindUnavailable, "not the owner")}
	}
	_, before := e.table.Answer(e.w.now, spec.ID)
	actions := e.step(carobpulley.Submitted{Spec: spec, Receiver: receiver, Epoch: epoch, Gone: e.departed.Known(e.w.now), Admit: func(carobpulley.JobSpec) error {
		if e.w.chance(0.05) {
			return newError("admit", carobpulley.KindOverload, "the queue is full")
		}
		return nil
	}})
	e.w.on(&e.proc, time.Millisecond, e.pump)
	if before == nil {
		e.w.at("resubmitted", spec.ID, e, nil)
	}
	e.w.at("submitted", spec.ID, e, nil)
	op.Output = decision{before == nil}
	for _, a := range actions {
		if r, ok := a.(carobpulley.Rejected); ok {
			if r.Err.Kind == carobpulley.KindUnavailable || r.Err.Kind == carobpulley.KindUnknown {
				op.Output = nil
			}
			return verdict{err: r.Err}
		}
	}
	return e.lookup(spec.ID)
}

// lookup tells the state of a job as its owner.
func (e *simEntry) lookup(id carobpulley.JobID) verdict {
	if !e.active(carobpulley.ShardOf(id, simShards)) {
		return verdict{err: newError("lookup", carobpulley.KindUnavailable, "not the owner")}
	}
	a, err := e.table.Answer(e.w.now, id)
	var fault *carobpulley.Error
	errors.As(err, &fault)
	return verdict{a, fault}
}

// ask runs a lookup or a cancellation at the owner on behalf of a caller.
func (e *simEntry) ask(id carobpulley.JobID, cancel bool, reply func(verdict)) {
	own, _ := e.auth.Owner(carobpulley.ShardOf(id, simShards))
	p := e.w.entry(own.Owner)
	if p == nil {
		return
	}
	call(e.w, &e.proc, &p.proc, 2*time.Second, func(answer func(verdict)) {
		if cancel && p.active(own.Shard) {
			p.step(carobpulley.Cancelled{Job: id})
			p.w.at("cancelled", id, p, nil)
		}
		answer(p.lookup(id))
	}, func(v verdict, ok bool) {
		if ok {
			reply(v)
		}
	})
}
