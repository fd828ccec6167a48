package conf

import (
	"fmt"
	"slices"
	"time"

	"carobpulley"
)

// dispatch sends a task to each agent that the entry may use.
func (e *simEntry) dispatch() {
	for _, a := range e.w.agents {
		echo, ok := e.echo[a.name]
		cat := e.spread.InForce()
		if !ok || !e.auth.Has(e.w.now) || !cat.InService(a.domain) {
			continue
		}
		e.w.send(e.name, a.name, func() { a.dispatched(e, echo, cat.Version) })
	}
}

// clock is the agent's own clock.
func (a *simAgent) clock() time.Duration { return a.w.now.Sub(a.born) }

func (a *simAgent) dispatched(e *simEntry, echo simEcho, version uint64) {
	if echo.inc != a.inc {
		return
	}
	a.configure(version, true)
	if a.inService && a.clock()-echo.at <= carobpulley.EchoValidity {
		a.w.checkStart(a)
	}
	a.answer(e)
}

func (a *simAgent) answer(e *simEntry) {
	echo := simEcho{a.inc, a.clock()}
	a.w.send(a.name, e.name, func() {
		if old := e.echo[a.name]; echo.inc > old.inc || echo.inc == old.inc && echo.at > old.at {
			e.echo[a.name] = echo
		}
	})
}

func (a *simAgent) configure(version uint64, inService bool) {
	if version > a.version || a.w.without == "larger versions only" && version > 0 {
		if version < a.version {
			a.w.fail("agent %s goes from version %d to %d", a.name, a.version, version)
		}
		a.version, a.inService = version, inService
	}
}

// announce tells all entries each second and takes the version from the answers.
func (a *simAgent) announce() {
	for _, e := range a.w.entries {
		inc := a.inc
		a.answer(e)
		a.w.send(a.name, e.name, func() {
			version, inService := e.version(), e.spread.InForce().InService(a.domain)
			if e.dead {
				return
			}
			a.w.send(e.name, a.name, func() {
				if a.inc == inc {
					a.configure(version, inService)
				}
			})
		})
	}
	a.w.after(carobpulley.AnnounceInterval, a.announce)
}

// checkStart checks a start at an agent.
func (w *simWorld) checkStart(a *simAgent) {
	for _, c := range w.accepted {
		since := w.now.Sub(c.at)
		// A later version may have brought the domain back before it was told accepted.
		if c.out && a.domain == "d1" && since > 3*time.Second && w.removed[w.truth.Version()] {
			w.fail("a task starts in the removed domain %v after version %d was accepted", since, c.version)
		}
		if since > 5*time.Second && a.version < c.version {
			w.fail("agent %s starts a task with version %d, %v after %d was accepted", a.name, a.version, since, c.version)
		}
	}
}

// check looks at the entries at every moment.
func (w *simWorld) check() {
	have := 0
	for _, e := range w.entries {
		if e.dead {
			continue
		}
		if e.version() < e.served {
			w.fail("entry %s goes from version %d to %d", e.name, e.served, e.version())
		}
		e.served = e.version()
		for _, c := range w.accepted {
			if since := w.now.Sub(c.at); since > carobpulley.VouchValidity && e.served < c.version && e.auth.Has(w.now) {
				w.fail("entry %s acts with version %d, %v after %d was accepted", e.name, e.served, since, c.version)
			}
		}
		if e.served >= 2 && slices.Contains([]string{"a", "b", "c"}, e.name) {
			have++
		}
	}
	if have > 0 {
		w.step(simRows[2])
	}
	if have > 1 {
		w.step(simRows[3])
	}
	if w.reached[simRows[4]] && have == 3 && !slices.ContainsFunc(w.agents, func(a *simAgent) bool { return a.version < 2 }) {
		w.step(simRows[5])
	}
}

// checkEnd compares what was told with the log, after all faults are over.
func (w *simWorld) checkEnd() {
	if w.pending > 0 {
		w.fail("%d operators without a final answer", w.pending)
	}
	cat, _ := w.truth.Catalogue()
	for _, e := range w.entries {
		if e.dead || e.version() != cat.Version {
			w.fail("entry %s ends at version %d of %d", e.name, e.version(), cat.Version)
		}
		if slices.Contains(cat.Entries, e.name) && !e.auth.Has(w.now) {
			w.fail("entry %s ends without authority", e.name)
		}
	}
	for id, told := range w.told {
		r, in := w.truth.Outcome(id)
		inForce := in && r.Outcome == Accepted
		switch {
		case inForce && (told[ProgressConflict] || told[ProgressUnavailable]):
			w.fail("change %s is in force and was told %v", id, told)
		case !inForce && (told[ProgressAccepted] || told[ProgressPublished]):
			w.fail("change %s is not in force and was told %v", id, told)
		}
		for _, e := range w.entries {
			p := e.progress(id)
			if in && p != Progress(r.Outcome) || !in && p != ProgressUnknown {
				w.fail("entry %s ends with change %s as %s, in the log as %q", e.name, id, p, r.Outcome)
			}
		}
	}
}

// operator is one who makes a change and asks until it is decided.
type operator struct {
	w *simWorld
	// edit returns the new document from the current one.
	edit func(c *carobpulley.Catalogue) []byte
	done func()
	// first tells that the steps of this change are the rows.
	first bool
	c     Change
	doubt bool
	// unknownAt are the processes that told the outcome to be unknown.
	unknownAt map[string]bool
}

func (w *simWorld) operate(first bool, edit func(*carobpulley.Catalogue) []byte, done func()) {
	w.pending++
	o := &operator{w: w, edit: edit, done: done, first: first}
	o.restart()
}

// restart makes the change anew from the current version.
func (o *operator) restart() {
	e := o.w.entry()
	cat := e.spread.InForce()
	if e.dead || cat.Version == 0 {
		o.w.after(300*time.Millisecond, o.restart)
		return
	}
	o.w.nextID++
	o.doubt, o.unknownAt = false, map[string]bool{}
	o.c = Change{ID: "o" + string(rune('0'+o.w.nextID/10)) + string(rune('0'+o.w.nextID%10)), Base: cat.Version, Document: o.edit(cat)}
	if o.first {
		o.w.step(simRows[0])
	}
	o.send(e)
}

// send publishes through an entry; one that dies or is slow leaves the outcome unknown.
func (o *operator) send(e *simEntry) {
	answered, process := false, fmt.Sprint(e.name, e.inc)
	once := func(p Progress) {
		if !answered {
			answered = true
			o.told(process, p)
		}
	}
	o.w.after(4*time.Second, func() { once(ProgressUnknown) })
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

func (o *operator) told(process string, p Progress) {
	w, id := o.w, o.c.ID
	if w.told[id] == nil {
		w.told[id] = map[Progress]bool{}
	}
	// What is told unavailable to a repeated attempt is about that attempt only,
	// if the earlier ones went through other entries.
	if p != ProgressUnavailable || !o.doubt || o.unknownAt[process] {
		w.told[id][p] = true
	}
	switch p {
	case ProgressAccepted:
		r, ok := w.truth.Outcome(id)
		if !ok {
			w.fail("change %s is told accepted and not in the log", id)
		}
		w.accepted = append(w.accepted, simAccepted{r.Version, w.now, w.removed[r.Version]})
		if o.first {
			w.step(simRows[4])
		}
		o.finish()
	case ProgressConflict:
		w.after(200*time.Millisecond, o.restart)
	case ProgressUnavailable:
		if o.doubt {
			w.after(500*time.Millisecond, func() { o.send(w.entry()) })
			return
		}
		w.after(500*time.Millisecond, o.restart)
	default:
		o.doubt = true
		w.after(500*time.Millisecond, o.ask)
	}
}

func (o *operator) finish() {
	o.w.pending--
	o.w.lasts(0)
	o.done()
}

// ask asks any entry for the change by its id, or sends it again there.
func (o *operator) ask() {
	e := o.w.entry()
	if e.dead {
		o.w.after(300*time.Millisecond, o.ask)
		return
	}
	if p := e.progress(o.c.ID); p != ProgressUnknown {
		o.told("", p)
		return
	}
	o.send(e)
}

func (w *simWorld) faultOn(name string) bool {
	return slices.ContainsFunc(w.blocked, func(b simBlock) bool { return w.now.Before(b.until) && b.pair(name, "fault") })
}

// during blocks the pairs for a time and keeps the run going until after it.
func (w *simWorld) during(d time.Duration, pair func(a, b string) bool) {
	until := w.now.Add(d)
	w.blocked = append(w.blocked, simBlock{until, pair})
	w.lasts(d)
}

func (w *simWorld) lasts(d time.Duration) {
	if until := w.now.Add(d); until.After(w.busy) {
		w.busy = until
	}
}

// inject makes a fault of a column.
func (w *simWorld) inject(fault string) {
	w.faults++
	e, a := w.entry(), w.agents[w.rng.IntN(len(w.agents))]
	long := w.between(2*time.Second, 6*time.Second)
	switch fault {
	case "log down before", "log down during":
		w.log.downUntil = w.now.Add(long)
		w.lasts(long)
	case "log down after":
		w.after(w.between(50*time.Millisecond, time.Second), func() {
			w.log.downUntil = w.now.Add(2 * long)
			w.lasts(2 * long)
		})
	case "append answer lost":
		w.log.loseUntil = w.now.Add(long)
		w.lasts(long)
	case "log slow":
		w.log.slowTil = w.now.Add(long)
		w.lasts(long)
	case "two operators":
		w.operate(false, func(c *carobpulley.Catalogue) []byte { return simDocument(c.Entries, !c.InService("d1")) }, func() {})
	case "replayed records":
		w.during(long, func(a, b string) bool { return a == "replay" && b == "fault" })
	case "retention":
		w.during(long, func(a, b string) bool { return a == e.name && b == "log" })
		w.after(long/2, func() {
			if w.now.After(w.log.downUntil.Add(time.Second)) {
				w.drop(time.Second)
			}
		})
	case "clock jump":
		e.jump += w.between(-time.Hour, time.Hour)
	case "old version served":
		version, doc := e.spread.fold.Version(), e.spread.fold.Document()
		for range 20 {
			w.after(w.between(0, long), func() {
				w.entry().adopt(version, doc)
				a.configure(version, true)
			})
		}
		w.lasts(long)
	case "agent replaced":
		a.inc++
		a.version, a.inService, a.born = 0, false, w.now
	case "entry crash":
		e.dead = true
		w.after(long, func() {
			if e.dead {
				e.boot()
				e.loops()
			}
		})
		w.lasts(long)
	case "entry cut off":
		log := w.chance(0.5)
		w.during(long, func(a, b string) bool {
			return a == e.name && (slices.ContainsFunc(w.entries, func(p *simEntry) bool { return p.name == b }) || log && b == "log")
		})
	case "regions parted":
		side := map[string]bool{e.name: true, "y": true, w.agents[0].name: true, w.agents[1].name: true, "log": w.chance(0.3)}
		w.during(long, func(a, b string) bool { return side[a] && !side[b] })
	case "entries changed":
		lists := [][]string{{"a", "b", "c"}, {"a", "b"}, {"b", "c", "x"}, {"a", "x", "y"}, {"a", "b", "c", "x", "y"}}
		edit := func(*carobpulley.Catalogue) []byte {
			return simDocument(lists[w.rng.IntN(len(lists))], w.removed[w.truth.Version()])
		}
		w.operate(false, edit, func() { w.operate(false, edit, func() {}) })
	}
}
