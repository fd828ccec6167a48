package conf

import (
	"fmt"
	"slices"
	"time"

	"carobpulley"
)

// dispatch sends a task to each agent in service while the entry has authority.
func (e *simEntry) dispatch() {
	for _, a := range e.sim.agents {
		echo, ok := e.echo[a.name]
		cat := e.rollout.InForce()
		if !ok || !e.auth.Has(e.sim.now) || !cat.InService(a.domain) {
			continue
		}
		e.sim.send(e.name, a.name, func() { a.handleDispatch(e, echo, cat.Version) })
	}
}

// clock returns the reading of the agent's own clock.
func (a *simAgent) clock() time.Duration { return a.sim.now.Sub(a.startedAt) }

func (a *simAgent) handleDispatch(e *simEntry, echo simEcho, version uint64) {
	if echo.incarnation != a.incarnation {
		return
	}
	a.configure(version, true)
	if a.inService && a.clock()-echo.at <= carobpulley.EchoValidity {
		a.sim.checkStart(a)
	}
	a.sendEcho(e)
}

func (a *simAgent) sendEcho(e *simEntry) {
	echo := simEcho{a.incarnation, a.clock()}
	a.sim.send(a.name, e.name, func() {
		if old := e.echo[a.name]; echo.incarnation > old.incarnation || echo.incarnation == old.incarnation && echo.at > old.at {
			e.echo[a.name] = echo
		}
	})
}

func (a *simAgent) configure(version uint64, inService bool) {
	if version > a.version || a.sim.disabled == "larger versions only" && version > 0 {
		if version < a.version {
			a.sim.fail("agent %s goes back from version %d to %d", a.name, a.version, version)
		}
		a.version, a.inService = version, inService
	}
}

// announce sends an announcement to all entries each second and applies the version
// in their replies.
func (a *simAgent) announce() {
	for _, e := range a.sim.entries {
		inc := a.incarnation
		a.sendEcho(e)
		a.sim.send(a.name, e.name, func() {
			version, inService := e.version(), e.rollout.InForce().InService(a.domain)
			if e.dead {
				return
			}
			a.sim.send(e.name, a.name, func() {
				if a.incarnation == inc {
					a.configure(version, inService)
				}
			})
		})
	}
	a.sim.after(carobpulley.AnnounceInterval, a.announce)
}

// checkStart checks a start of a task at an agent.
func (sim *simulation) checkStart(a *simAgent) {
	for _, c := range sim.accepted {
		since := sim.now.Sub(c.at)
		// A later version may have put the domain back in service before it was reported
		// accepted.
		if c.removed && a.domain == "d1" && since > 3*time.Second && sim.domainRemoved[sim.fullFold.Version()] {
			sim.fail("a task starts in the removed domain %v after version %d was accepted", since, c.version)
		}
		if since > 5*time.Second && a.version < c.version {
			sim.fail("agent %s starts a task with version %d, %v after %d was accepted", a.name, a.version, since, c.version)
		}
	}
}

// check checks the entries at each tick and records the steps that were reached.
func (sim *simulation) check() {
	updated := 0
	for _, e := range sim.entries {
		if e.dead {
			continue
		}
		if e.version() < e.lastVersion {
			sim.fail("entry %s goes back from version %d to %d", e.name, e.lastVersion, e.version())
		}
		e.lastVersion = e.version()
		for _, c := range sim.accepted {
			if since := sim.now.Sub(c.at); since > carobpulley.VouchValidity && e.lastVersion < c.version && e.auth.Has(sim.now) {
				sim.fail("entry %s acts with version %d, %v after %d was accepted", e.name, e.lastVersion, since, c.version)
			}
		}
		if e.lastVersion >= 2 && slices.Contains([]string{"a", "b", "c"}, e.name) {
			updated++
		}
	}
	if updated > 0 {
		sim.step(simRows[2])
	}
	if updated > 1 {
		sim.step(simRows[3])
	}
	if sim.reached[simRows[4]] && updated == 3 && !slices.ContainsFunc(sim.agents, func(a *simAgent) bool { return a.version < 2 }) {
		sim.step(simRows[5])
	}
}

// checkEnd compares the reported results with the log after all faults have ended.
func (sim *simulation) checkEnd() {
	if sim.pending > 0 {
		sim.fail("%d operators without a final result", sim.pending)
	}
	cat, _ := sim.fullFold.Catalogue()
	for _, e := range sim.entries {
		if e.dead || e.version() != cat.Version {
			sim.fail("entry %s ends at version %d, want %d", e.name, e.version(), cat.Version)
		}
		if slices.Contains(cat.Entries, e.name) && !e.auth.Has(sim.now) {
			sim.fail("entry %s ends without authority", e.name)
		}
	}
	for id, reported := range sim.reported {
		r, in := sim.fullFold.Outcome(id)
		inForce := in && r.Outcome == Accepted
		switch {
		case inForce && (reported[ProgressConflict] || reported[ProgressUnavailable]):
			sim.fail("change %s is in force and was reported as %v", id, reported)
		case !inForce && (reported[ProgressAccepted] || reported[ProgressPublished]):
			sim.fail("change %s is not in force and was reported as %v", id, reported)
		}
		for _, e := range sim.entries {
			p := e.progress(id)
			if in && p != Progress(r.Outcome) || !in && p != ProgressUnknown {
				sim.fail("entry %s ends with change %s as %s, in the log as %q", e.name, id, p, r.Outcome)
			}
		}
	}
}

// operator is an operator who makes a change and queries it until it is decided.
type operator struct {
	sim *simulation
	// edit returns the new document from the current one.
	edit func(c *carobpulley.Catalogue) []byte
	done func()
	// first is set for the change whose steps are the rows of the matrix.
	first      bool
	c          Change
	unresolved bool
	// unknownAt holds the processes that reported the result as unknown.
	unknownAt map[string]bool
}

func (sim *simulation) startChange(first bool, edit func(*carobpulley.Catalogue) []byte, done func()) {
	sim.pending++
	o := &operator{sim: sim, edit: edit, done: done, first: first}
	o.restart()
}

// restart makes a new change from the current version.
func (o *operator) restart() {
	e := o.sim.randomEntry()
	cat := e.rollout.InForce()
	if e.dead || cat.Version == 0 {
		o.sim.after(300*time.Millisecond, o.restart)
		return
	}
	o.sim.nextID++
	o.unresolved, o.unknownAt = false, map[string]bool{}
	o.c = Change{ID: "o" + string(rune('0'+o.sim.nextID/10)) + string(rune('0'+o.sim.nextID%10)), Base: cat.Version, Document: o.edit(cat)}
	if o.first {
		o.sim.step(simRows[0])
	}
	o.send(e)
}

// send publishes the change through an entry. The result is unknown if the entry
// stops or does not reply within 4 s.
func (o *operator) send(e *simEntry) {
	answered, process := false, fmt.Sprint(e.name, e.incarnation)
	once := func(p Progress) {
		if !answered {
			answered = true
			o.handleProgress(process, p)
		}
	}
	o.sim.after(4*time.Second, func() { once(ProgressUnknown) })
	if e.dead {
		return
	}
	e.publish(o.c, func(p Progress) {
		once(p)
		if p == ProgressUnknown {
			o.unknownAt[process] = true
		}
	})
}

func (o *operator) handleProgress(process string, p Progress) {
	sim, id := o.sim, o.c.ID
	if sim.reported[id] == nil {
		sim.reported[id] = map[Progress]bool{}
	}
	// If earlier attempts went through other entries, a result of unavailable is about
	// the latest attempt only.
	if p != ProgressUnavailable || !o.unresolved || o.unknownAt[process] {
		sim.reported[id][p] = true
	}
	switch p {
	case ProgressAccepted:
		r, ok := sim.fullFold.Outcome(id)
		if !ok {
			sim.fail("change %s is reported accepted and is not in the log", id)
		}
		sim.accepted = append(sim.accepted, simAccepted{r.Version, sim.now, sim.domainRemoved[r.Version]})
		if o.first {
			sim.step(simRows[4])
		}
		o.finish()
	case ProgressConflict:
		sim.after(200*time.Millisecond, o.restart)
	case ProgressUnavailable:
		if o.unresolved {
			sim.after(500*time.Millisecond, func() { o.send(sim.randomEntry()) })
			return
		}
		sim.after(500*time.Millisecond, o.restart)
	default:
		o.unresolved = true
		sim.after(500*time.Millisecond, o.queryProgress)
	}
}

func (o *operator) finish() {
	o.sim.pending--
	o.sim.extendRun(0)
	o.done()
}

// queryProgress queries a random entry for the change by its id, and sends the change
// to it again if the result is unknown.
func (o *operator) queryProgress() {
	e := o.sim.randomEntry()
	if e.dead {
		o.sim.after(300*time.Millisecond, o.queryProgress)
		return
	}
	if p := e.progress(o.c.ID); p != ProgressUnknown {
		o.handleProgress("", p)
		return
	}
	o.send(e)
}

func (sim *simulation) faultActive(name string) bool {
	return slices.ContainsFunc(sim.partitions, func(b simPartition) bool { return sim.now.Before(b.until) && b.pair(name, "fault") })
}

// partitionFor blocks the pairs for a time and extends the run beyond it.
func (sim *simulation) partitionFor(d time.Duration, pair func(a, b string) bool) {
	until := sim.now.Add(d)
	sim.partitions = append(sim.partitions, simPartition{until, pair})
	sim.extendRun(d)
}

func (sim *simulation) extendRun(d time.Duration) {
	if until := sim.now.Add(d); until.After(sim.activeUntil) {
		sim.activeUntil = until
	}
}

// inject injects the fault of a column.
func (sim *simulation) inject(fault string) {
	sim.injected++
	e, a := sim.randomEntry(), sim.agents[sim.rng.IntN(len(sim.agents))]
	long := sim.between(2*time.Second, 6*time.Second)
	switch fault {
	case "log down before", "log down during":
		sim.log.downUntil = sim.now.Add(long)
		sim.extendRun(long)
	case "log down after":
		sim.after(sim.between(50*time.Millisecond, time.Second), func() {
			sim.log.downUntil = sim.now.Add(2 * long)
			sim.extendRun(2 * long)
		})
	case "append answer lost":
		sim.log.loseAnswersUntil = sim.now.Add(long)
		sim.extendRun(long)
	case "log slow":
		sim.log.slowUntil = sim.now.Add(long)
		sim.extendRun(long)
	case "two operators":
		sim.startChange(false, func(c *carobpulley.Catalogue) []byte { return simDocument(c.Entries, !c.InService("d1")) }, func() {})
	case "replayed records":
		sim.partitionFor(long, func(a, b string) bool { return a == "replay" && b == "fault" })
	case "retention":
		sim.partitionFor(long, func(a, b string) bool { return a == e.name && b == "log" })
		sim.after(long/2, func() {
			if sim.now.After(sim.log.downUntil.Add(time.Second)) {
				sim.expireRecords(time.Second)
			}
		})
	case "clock jump":
		e.clockOffset += sim.between(-time.Hour, time.Hour)
	case "old version served":
		version, doc := e.rollout.fold.Version(), e.rollout.fold.Document()
		for range 20 {
			sim.after(sim.between(0, long), func() {
				sim.randomEntry().adopt(version, doc)
				a.configure(version, true)
			})
		}
		sim.extendRun(long)
	case "agent replaced":
		a.incarnation++
		a.version, a.inService, a.startedAt = 0, false, sim.now
	case "entry crash":
		e.dead = true
		sim.after(long, func() {
			if e.dead {
				e.start()
				e.startLoops()
			}
		})
		sim.extendRun(long)
	case "entry cut off":
		log := sim.chance(0.5)
		sim.partitionFor(long, func(a, b string) bool {
			return a == e.name && (slices.ContainsFunc(sim.entries, func(p *simEntry) bool { return p.name == b }) || log && b == "log")
		})
	case "regions parted":
		side := map[string]bool{e.name: true, "y": true, sim.agents[0].name: true, sim.agents[1].name: true, "log": sim.chance(0.3)}
		sim.partitionFor(long, func(a, b string) bool { return side[a] && !side[b] })
	case "entries changed":
		lists := [][]string{{"a", "b", "c"}, {"a", "b"}, {"b", "c", "x"}, {"a", "x", "y"}, {"a", "b", "c", "x", "y"}}
		edit := func(*carobpulley.Catalogue) []byte {
			return simDocument(lists[sim.rng.IntN(len(lists))], sim.domainRemoved[sim.fullFold.Version()])
		}
		sim.startChange(false, edit, func() { sim.startChange(false, edit, func() {}) })
	}
}
