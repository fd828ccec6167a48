package owner

import (
	"fmt"
	"slices"
	"time"

	"carobpulley"
)

// runSchedule plays a schedule and returns its world.
func runSchedule(s schedule) *world {
	w := newWorld(s)
	var first *caller
	for i := range 4 {
		tasks := 1 + w.rng.IntN(3)
		if w.slow {
			tasks = simTasks - w.rng.IntN(4)
		}
		spec := simSpec(fmt.Sprint("k", i), 1, tasks)
		c := w.caller(spec)
		if i == 0 {
			first = c
		}
		at := 2500*time.Millisecond + w.upTo(time.Second)
		if i > 0 {
			at += w.upTo(6 * time.Second)
		}
		w.after(at, c.submit)
		if w.chance(0.5) {
			w.after(at+w.upTo(3*time.Second), c.submit)
		}
		if w.chance(0.3) {
			w.after(2500*time.Millisecond+w.upTo(2*time.Second), w.caller(simSpec(spec.ID.Key, 2, 2)).submit)
		}
	}
	if s.step == "resubmitted" {
		w.after(2600*time.Millisecond+w.upTo(2*time.Second), first.submit)
	}
	if s.step == "cancelled" {
		w.after(2600*time.Millisecond+w.upTo(1500*time.Millisecond), first.cancel)
	}
	w.fault = func(e *simEntry, a *simAgent) {
		for i, f := range s.faults {
			if i == 0 {
				w.inject(f, e, a, first)
				continue
			}
			w.after(w.upTo(3*time.Second), func() { w.inject(f, e, a, first) })
		}
	}
	w.run(simTime)
	return w
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

// inject makes one fault happen.
func (w *world) inject(fault string, e *simEntry, a *simAgent, c *caller) {
	switch fault {
	case "entry crash":
		w.crash(&e.proc, e.boot)
	case "owner paused":
		e.pausedUntil = w.now.Add(500*time.Millisecond + w.upTo(9*time.Second))
	case "message lost":
		w.dropUntil = w.now.Add(w.upTo(2 * time.Second))
	case "answer lost":
		w.loseUntil = w.now.Add(w.upTo(2 * time.Second))
	case "connection silent":
		w.silence(e, a)
	case "owner cut off":
		w.silentUntil = w.now.Add(9 * time.Second)
		w.cutOff(e, true)
	case "log down":
		w.logDownUntil = w.now.Add(w.upTo(10 * time.Second))
	case "log answer lost":
		w.logLoseUntil = w.now.Add(w.upTo(8 * time.Second))
	case "domain out":
		w.remove(a.domain)
	case "domain lost":
		for _, x := range w.entries {
			if x.domain == e.domain {
				w.crash(&x.proc, x.boot)
			}
		}
		for _, x := range w.agents {
			if x.domain == e.domain {
				w.crash(&x.proc, x.boot)
			}
		}
	case "agent gone":
		w.crash(&a.proc, a.boot)
	case "agent leaves":
		a.leave()
	case "other entry":
		c.submit()
	case "cancellation":
		c.cancel()
	case "conflicting claims":
		for _, p := range e.others() {
			w.usurp(p, carobpulley.ShardOf(c.spec.ID, simShards))
		}
	}
}

// crash ends a process; a replacement without its memory may follow.
func (w *world) crash(p *proc, boot func()) {
	if p.dead {
		return
	}
	p.dead = true
	p.gen++
	if w.chance(0.7) {
		w.after(w.upTo(6*time.Second), boot)
	}
}

// silence makes connections deliver late: all of one agent, or those between
// the owner and the other entries, with or without the log.
func (w *world) silence(e *simEntry, a *simAgent) {
	w.silentUntil = w.now.Add(w.upTo(9 * time.Second))
	if w.chance(0.5) {
		w.silentUntil = w.now.Add(w.upTo(1500 * time.Millisecond))
	}
	// New connections work, so that only some of the messages are late, or none does.
	late := 1.0
	if w.chance(0.5) {
		late = 0.5
	}
	if w.chance(0.5) {
		w.silent = func(from, to *proc) bool { return (from == &a.proc || to == &a.proc) && w.chance(late) }
		return
	}
	w.cutOff(e, w.chance(0.7))
}

// cutOff makes the connections of an entry to the other entries silent.
func (w *world) cutOff(e *simEntry, withLog bool) {
	w.silent = func(from, to *proc) bool {
		if from == &e.proc && to == &w.log {
			return withLog
		}
		return from == &e.proc && w.isEntry(to) || to == &e.proc && w.isEntry(from)
	}
}

func (w *world) isEntry(p *proc) bool {
	return slices.ContainsFunc(w.entries, func(e *simEntry) bool { return &e.proc == p })
}

// usurp appends a claim on a shard whose owner is alive.
func (w *world) usurp(e *simEntry, shard int) {
	o, _ := e.auth.Owner(shard)
	o.Owner, o.Epoch = e.name, o.Epoch+1
	claim := carobpulley.AppendClaim{Entry: e.name, Incarnation: e.gen, Shards: []carobpulley.Ownership{o}}
	w.on(&e.proc, 0, func() { e.authority([]carobpulley.AuthorityAction{claim}) })
}

// remove takes a domain out of service: the record goes to the log, then the
// entries confirm it.
func (w *world) remove(domain string) {
	e := w.entries[w.rng.IntN(len(w.entries))]
	version := 0
	w.append(&e.proc, func() {
		w.config = append(w.config, change{domain: domain})
		version = len(w.config)
	}, func(bool) {
		if version == 0 {
			return
		}
		e.version = max(e.version, version)
		e.publish(domain, version, map[string]bool{e.name: true})
	})
}

func (e *simEntry) publish(domain string, version int, confirmed map[string]bool) {
	for _, p := range e.others() {
		call(e.w, &e.proc, &p.proc, 500*time.Millisecond, func(answer func(bool)) {
			p.version = max(p.version, version)
			answer(true)
		}, func(_, ok bool) {
			if confirmed[p.name] = ok || confirmed[p.name]; !ok {
				return
			}
			if _, known := e.w.removed[domain]; !known {
				e.w.removed[domain] = e.w.now
			}
		})
	}
}

// caller submits one body under a key and reads its answer.
type caller struct {
	w     *world
	spec  carobpulley.JobSpec
	ended bool
	// accepted is set once the caller knows that the key denotes its own body.
	accepted bool
}

func (w *world) caller(spec carobpulley.JobSpec) *caller {
	w.pending++
	return &caller{w: w, spec: spec}
}

// entry returns an entry that the load balancer would choose.
func (c *caller) entry() *simEntry {
	e := c.w.entries[c.w.rng.IntN(len(c.w.entries))]
	if e.dead {
		e = e.others()[0]
	}
	return e
}

// submit sends the submission and repeats it through any entry until it is answered.
func (c *caller) submit() {
	if c.ended || c.w.now.Sub(c.spec.Deadline) > 3*time.Second {
		return
	}
	heard := false
	e := c.entry()
	c.w.send(nil, &e.proc, func() {
		e.submit(c.spec, func(v verdict) {
			if c.w.now.Before(c.w.loseUntil) && c.w.chance(0.5) {
				return
			}
			heard = true
			c.w.told(c.spec, v.answer, v.err)
			switch {
			case v.err == nil:
				c.accepted = true
				c.poll()
			case v.err.NotRun, v.err.Kind == carobpulley.KindConflict:
				c.end()
			default:
				c.w.after(300*time.Millisecond, c.submit)
			}
		})
	})
	c.w.after(3*time.Second, func() {
		if !heard {
			c.submit()
		}
	})
}

// poll reads the answer until it is final, and twice after that.
func (c *caller) poll() {
	e := c.entry()
	c.w.send(nil, &e.proc, func() {
		e.ask(c.spec.ID, false, func(v verdict) {
			c.w.told(c.spec, v.answer, v.err)
			if v.err == nil && v.answer.Outcome != carobpulley.OutcomeRunning && !c.ended {
				c.end()
				c.w.finished++
				c.w.after(time.Second, c.poll)
				c.w.after(8*time.Second, c.poll)
			}
		})
	})
	c.w.after(400*time.Millisecond, func() {
		if !c.ended {
			c.poll()
		}
	})
}

func (c *caller) end() {
	if !c.ended {
		c.ended = true
		c.w.pending--
		c.w.stopAt = c.w.now.Add(9 * time.Second)
	}
}

func (c *caller) cancel() {
	e := c.entry()
	c.w.send(nil, &e.proc, func() {
		e.ask(c.spec.ID, true, func(v verdict) {
			if c.accepted {
				c.w.told(c.spec, v.answer, v.err)
			}
		})
	})
}
