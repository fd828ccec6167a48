package owner

import (
	"fmt"
	"slices"
	"time"

	"carobpulley"
)

// runSchedule runs a schedule and returns its simulation.
func runSchedule(s schedule) *simulation {
	sim := newSimulation(s)
	var first *caller
	for i := range 4 {
		tasks := 1 + sim.rng.IntN(3)
		if sim.slow {
			tasks = simTasks - sim.rng.IntN(4)
		}
		spec := simSpec(fmt.Sprint("k", i), 1, tasks)
		c := sim.caller(spec)
		if i == 0 {
			first = c
		}
		at := 2500*time.Millisecond + sim.randomUpTo(time.Second)
		if i > 0 {
			at += sim.randomUpTo(6 * time.Second)
		}
		sim.after(at, c.submit)
		if sim.chance(0.5) {
			sim.after(at+sim.randomUpTo(3*time.Second), c.submit)
		}
		if sim.chance(0.3) {
			sim.after(2500*time.Millisecond+sim.randomUpTo(2*time.Second), sim.caller(simSpec(spec.ID.Key, 2, 2)).submit)
		}
	}
	if s.step == "resubmitted" {
		sim.after(2600*time.Millisecond+sim.randomUpTo(2*time.Second), first.submit)
	}
	if s.step == "cancelled" {
		sim.after(2600*time.Millisecond+sim.randomUpTo(1500*time.Millisecond), first.cancel)
	}
	sim.fault = func(e *simEntry, a *simAgent) {
		for i, f := range s.faults {
			if i == 0 {
				sim.inject(f, e, a, first)
				continue
			}
			sim.after(sim.randomUpTo(3*time.Second), func() { sim.inject(f, e, a, first) })
		}
	}
	sim.run(simTime)
	return sim
}

func simSpec(key string, version, tasks int) carobpulley.JobSpec {
	s := carobpulley.JobSpec{
		ID: carobpulley.JobID{Member: "m", Key: key}, Service: "book", Deadline: start.Add(16 * time.Second),
	}
	for i := range tasks {
		s.Payloads = append(s.Payloads, fmt.Appendf(nil, "%s#%d/%d", key, version, i))
	}
	return s
}

// inject injects one fault.
func (sim *simulation) inject(fault string, e *simEntry, a *simAgent, c *caller) {
	switch fault {
	case "entry crash":
		sim.crash(&e.process, e.boot)
	case "owner paused":
		e.pausedUntil = sim.now.Add(500*time.Millisecond + sim.randomUpTo(9*time.Second))
	case "message lost":
		sim.messagesLostUntil = sim.now.Add(sim.randomUpTo(2 * time.Second))
	case "answer lost":
		sim.answersLostUntil = sim.now.Add(sim.randomUpTo(2 * time.Second))
	case "connection silent":
		sim.delayConnections(e, a)
	case "owner cut off":
		sim.delayedUntil = sim.now.Add(9 * time.Second)
		sim.cutOff(e, true)
	case "owner drains":
		e.draining = true
		e.auth.Step(sim.now, carobpulley.DrainStarted{})
	case "log down":
		sim.logDownUntil = sim.now.Add(sim.randomUpTo(10 * time.Second))
	case "log answer lost":
		sim.logAnswersLostUntil = sim.now.Add(sim.randomUpTo(8 * time.Second))
	case "domain out":
		sim.remove(a.domain)
	case "domain lost":
		for _, x := range sim.entries {
			if x.domain == e.domain {
				sim.crash(&x.process, x.boot)
			}
		}
		for _, x := range sim.agents {
			if x.domain == e.domain {
				sim.crash(&x.process, x.boot)
			}
		}
	case "agent gone":
		sim.crash(&a.process, a.boot)
	case "agent leaves":
		a.leave()
	case "other entry":
		c.submit()
	case "cancellation":
		c.cancel()
	case "conflicting claims":
		for _, p := range e.others() {
			sim.claimLiveShard(p, carobpulley.ShardOf(c.spec.ID, simShards))
		}
	}
}

// crash ends a process; a replacement without its memory may follow.
func (sim *simulation) crash(p *process, boot func()) {
	if p.dead {
		return
	}
	p.dead = true
	p.incarnation++
	if sim.chance(0.7) {
		sim.after(sim.randomUpTo(6*time.Second), boot)
	}
}

// delayConnections delays messages: all of one agent, or those between the owner and the
// other entries, with or without the log.
func (sim *simulation) delayConnections(e *simEntry, a *simAgent) {
	sim.delayedUntil = sim.now.Add(sim.randomUpTo(9 * time.Second))
	if sim.chance(0.5) {
		sim.delayedUntil = sim.now.Add(sim.randomUpTo(1500 * time.Millisecond))
	}
	// New connections may work, so that either all or half of the messages are late.
	late := 1.0
	if sim.chance(0.5) {
		late = 0.5
	}
	if sim.chance(0.5) {
		sim.delayed = func(from, to *process) bool { return (from == &a.process || to == &a.process) && sim.chance(late) }
		return
	}
	sim.cutOff(e, sim.chance(0.7))
}

// cutOff delays the messages between an entry and the other entries.
func (sim *simulation) cutOff(e *simEntry, withLog bool) {
	sim.delayed = func(from, to *process) bool {
		if from == &e.process && to == &sim.log {
			return withLog
		}
		return from == &e.process && sim.isEntry(to) || to == &e.process && sim.isEntry(from)
	}
}

func (sim *simulation) isEntry(p *process) bool {
	return slices.ContainsFunc(sim.entries, func(e *simEntry) bool { return &e.process == p })
}

// claimLiveShard appends a claim on a shard whose owner is alive.
func (sim *simulation) claimLiveShard(e *simEntry, shard int) {
	o, _ := e.auth.Owner(shard)
	o.Owner, o.Epoch = e.name, o.Epoch+1
	claim := carobpulley.AppendClaim{Entry: e.name, Incarnation: e.incarnation, Shards: []carobpulley.Ownership{o}}
	sim.on(&e.process, 0, func() { e.applyAuthority([]carobpulley.AuthorityAction{claim}) })
}

// remove takes a domain out of service: the record goes to the log, then the entries
// confirm it.
func (sim *simulation) remove(domain string) {
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	version := 0
	sim.append(&e.process, func() {
		sim.config = append(sim.config, configChange{domain: domain})
		version = len(sim.config)
	}, func(bool) {
		if version == 0 {
			return
		}
		e.configVersion = max(e.configVersion, version)
		e.publish(domain, version, map[string]bool{e.name: true})
	})
}

func (e *simEntry) publish(domain string, version int, confirmed map[string]bool) {
	for _, p := range e.others() {
		call(e.sim, &e.process, &p.process, 500*time.Millisecond, func(answer func(bool)) {
			p.configVersion = max(p.configVersion, version)
			answer(true)
		}, func(_, ok bool) {
			if confirmed[p.name] = ok || confirmed[p.name]; !ok {
				return
			}
			if _, known := e.sim.removed[domain]; !known {
				e.sim.removed[domain] = e.sim.now
			}
		})
	}
}

// caller submits one body under a key and reads its answer.
type caller struct {
	sim   *simulation
	spec  carobpulley.JobSpec
	ended bool
	// accepted is set once an entry accepted the caller's body for the key.
	accepted bool
}

func (sim *simulation) caller(spec carobpulley.JobSpec) *caller {
	sim.pending++
	return &caller{sim: sim, spec: spec}
}

// entry returns an entry as the load balancer would choose it.
func (c *caller) entry() *simEntry {
	e := c.sim.entries[c.sim.rng.IntN(len(c.sim.entries))]
	if e.dead {
		e = e.others()[0]
	}
	return e
}

// submit sends the submission and repeats it through any entry until it is answered.
func (c *caller) submit() {
	if c.ended || c.sim.now.Sub(c.spec.Deadline) > 3*time.Second {
		return
	}
	answered := false
	e := c.entry()
	c.sim.send(nil, &e.process, func() {
		e.submit(c.spec, func(v callResult) {
			if c.sim.now.Before(c.sim.answersLostUntil) && c.sim.chance(0.5) {
				return
			}
			answered = true
			c.sim.checkAnswer(c.spec, v.answer, v.err)
			switch {
			case v.err == nil:
				c.accepted = true
				c.poll()
			case v.err.NotRun, v.err.Kind == carobpulley.KindConflict:
				c.end()
			default:
				c.sim.after(300*time.Millisecond, c.submit)
			}
		})
	})
	c.sim.after(3*time.Second, func() {
		if !answered {
			c.submit()
		}
	})
}

// poll reads the answer until it is final, and twice after that.
func (c *caller) poll() {
	e := c.entry()
	c.sim.send(nil, &e.process, func() {
		e.forward(c.spec.ID, false, func(v callResult) {
			c.sim.checkAnswer(c.spec, v.answer, v.err)
			if v.err == nil && v.answer.Outcome != carobpulley.OutcomeRunning && !c.ended {
				c.end()
				c.sim.finished++
				c.sim.after(time.Second, c.poll)
				c.sim.after(8*time.Second, c.poll)
			}
		})
	})
	c.sim.after(400*time.Millisecond, func() {
		if !c.ended {
			c.poll()
		}
	})
}

func (c *caller) end() {
	if !c.ended {
		c.ended = true
		c.sim.pending--
		c.sim.stopAt = c.sim.now.Add(9 * time.Second)
	}
}

func (c *caller) cancel() {
	e := c.entry()
	c.sim.send(nil, &e.process, func() {
		e.forward(c.spec.ID, true, func(v callResult) {
			if c.accepted {
				c.sim.checkAnswer(c.spec, v.answer, v.err)
			}
		})
	})
}
