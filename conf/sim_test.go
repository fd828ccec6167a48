package conf

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"carobpulley"
	"carobpulley/owner"
)

// Times of the simulation.
const (
	simTick             = 10 * time.Millisecond
	simFirstChangeAfter = 3 * time.Second
	simMaxDuration      = 60 * time.Second
	simRetention        = 12 * time.Second
	simCallTimeout      = time.Second
	// simCooldown is how long a run continues after the last fault and change.
	simCooldown = 8 * time.Second
)

// simulation runs a log, entries, agents and operators in virtual time. All entries
// run from the start, also those that the newest version does not list.
type simulation struct {
	disabled string
	rng      *rand.Rand
	now      time.Time
	queue    map[int64][]func()
	entries  []*simEntry
	agents   []*simAgent
	log      simLog
	// partitions holds the pairs of processes that cannot communicate for a time.
	partitions []simPartition
	// reached holds the steps of the first change that were reached.
	reached     map[string]bool
	onStep      func(step string)
	activeUntil time.Time
	pending     int
	nextID      int
	accepted    []simAccepted
	// fullFold has applied every record, including those that retention removed.
	fullFold      *Fold
	domainRemoved map[uint64]bool
	reported      map[string]map[Progress]bool
	acceptedIDs   map[uint64]string
	injected      int
	violations    []string
}

type simPartition struct {
	until time.Time
	pair  func(a, b string) bool
}

type simAccepted struct {
	version uint64
	at      time.Time
	removed bool
}

type simLog struct {
	records                                []carobpulley.Record
	oldest                                 uint64
	downUntil, loseAnswersUntil, slowUntil time.Time
}

// simEntry is one entry. Each start of its process makes a new rollout and authority.
type simEntry struct {
	sim         *simulation
	name        string
	incarnation uint64
	dead        bool
	rollout     *Rollout
	auth        *owner.Authority
	logUp       bool
	lastVersion uint64
	// echo holds the newest readings of the agents' clocks.
	echo        map[string]simEcho
	clockOffset time.Duration
}

type simEcho struct {
	incarnation uint64
	at          time.Duration
}

// simAgent starts a task for each dispatch that it accepts.
type simAgent struct {
	sim                  *simulation
	name, domain         string
	incarnation, version uint64
	inService            bool
	startedAt            time.Time
}

func simDocument(entries []string, out bool) []byte {
	return fmt.Appendf(nil, "format: 1\nentries: [%s]\nmembers: []\nservices: []\ndomains:\n  - {name: d0, region: r, in_service: true}\n"+
		"  - {name: d1, region: r, in_service: %v}\n", strings.Join(entries, ", "), !out)
}

func newSimulation(s simSchedule) *simulation {
	sim := &simulation{
		disabled: s.without, rng: rand.New(rand.NewPCG(s.seed, 2)), now: simStart, queue: map[int64][]func(){},
		reached: map[string]bool{}, onStep: func(string) {}, fullFold: NewFold(), domainRemoved: map[uint64]bool{},
		reported: map[string]map[Progress]bool{}, acceptedIDs: map[uint64]string{}, log: simLog{oldest: FirstOffset},
	}
	for i := range 4 {
		sim.agents = append(sim.agents, &simAgent{sim: sim, name: fmt.Sprint("e", i), domain: fmt.Sprint("d", i%2), incarnation: 1, startedAt: sim.now})
	}
	for _, n := range []string{"a", "b", "c", "x", "y"} {
		e := &simEntry{sim: sim, name: n}
		sim.entries = append(sim.entries, e)
		e.start()
	}
	first := []string{"a", "b", "c"}
	if s.seed%3 == 0 {
		first = first[:2]
	}
	sim.appendRecord(Change{ID: "first", Document: simDocument(first, false)})
	return sim
}

func (sim *simulation) after(d time.Duration, f func()) {
	t := sim.now.Add(max(d, simTick)).Sub(simStart).Nanoseconds() / int64(simTick)
	sim.queue[t] = append(sim.queue[t], f)
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }
func (sim *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.rng.Int64N(int64(b-a)))
}
func (sim *simulation) randomEntry() *simEntry { return sim.entries[sim.rng.IntN(3)] }

func (sim *simulation) fail(format string, args ...any) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(simStart))+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) partitioned(a, b string) bool {
	return slices.ContainsFunc(sim.partitions, func(x simPartition) bool { return sim.now.Before(x.until) && (x.pair(a, b) || x.pair(b, a)) })
}

// send delivers a message unless the pair is partitioned when it is sent or
// arrives. One message in a hundred is late.
func (sim *simulation) send(from, to string, f func()) {
	d := sim.between(time.Millisecond, 15*time.Millisecond)
	if sim.chance(0.01) {
		d = sim.between(100*time.Millisecond, 2*time.Second)
	}
	if sim.partitioned(from, to) {
		return
	}
	sim.after(d, func() {
		if !sim.partitioned(from, to) {
			f()
		}
	})
}

func (sim *simulation) step(name string) {
	if !sim.reached[name] {
		sim.reached[name] = true
		sim.onStep(name)
	}
}

// run advances the time until simCooldown after the last fault and change, at most
// by simMaxDuration.
func (sim *simulation) run() {
	for _, e := range sim.entries {
		e.startLoops()
	}
	for _, a := range sim.agents {
		a.announce()
	}
	sim.activeUntil = sim.now.Add(simFirstChangeAfter)
	for end := sim.now.Add(simMaxDuration); sim.now.Before(end) && (sim.pending > 0 || sim.now.Before(sim.activeUntil.Add(simCooldown))); sim.now = sim.now.Add(simTick) {
		t := sim.now.Sub(simStart).Nanoseconds() / int64(simTick)
		for i := 0; i < len(sim.queue[t]); i++ {
			sim.queue[t][i]()
		}
		delete(sim.queue, t)
		sim.check()
	}
	sim.checkEnd()
}

// appendRecord adds a record to the log and removes those older than the retention
// time.
func (sim *simulation) appendRecord(r interface{ Encode() ([]byte, error) }) {
	data, err := r.Encode()
	if err != nil {
		sim.fail("Encode: %v", err)
		return
	}
	rec := carobpulley.Record{Offset: FirstOffset + uint64(len(sim.log.records)), Time: sim.now, Data: data}
	sim.log.records = append(sim.log.records, rec)
	for _, d := range sim.fullFold.Apply(rec.Offset, carobpulley.Page{Records: []carobpulley.Record{rec}, Oldest: 1, Next: rec.Offset + 1}) {
		if d.Outcome == Accepted {
			cat, err := sim.fullFold.Catalogue()
			sim.domainRemoved[d.Version] = err == nil && !cat.InService("d1")
		}
		if d.Version > 1 {
			sim.step(simRows[1])
		}
	}
	sim.expireRecords(simRetention)
}

// expireRecords removes records older than an age, except the newest one.
func (sim *simulation) expireRecords(age time.Duration) {
	for ; sim.log.oldest < FirstOffset+uint64(len(sim.log.records))-1; sim.log.oldest++ {
		if !sim.log.records[sim.log.oldest-FirstOffset].Time.Before(sim.now.Add(-age)) {
			return
		}
	}
}

func (sim *simulation) page(from uint64) carobpulley.Page {
	p := carobpulley.Page{Oldest: sim.log.oldest, Next: FirstOffset + uint64(len(sim.log.records))}
	if start := max(from, p.Oldest); start < p.Next {
		p.Records = sim.log.records[start-FirstOffset : min(p.Next, start+4)-FirstOffset]
	}
	return p
}

func (e *simEntry) start() {
	e.incarnation++
	e.dead, e.logUp, e.lastVersion, e.echo = false, false, 0, map[string]simEcho{}
	e.rollout = NewRollout(e.name, NewFold())
	e.auth = owner.NewAuthority(e.sim.now, e.name, e.incarnation, 1)
}

// every repeats f at an interval until the process ends, with a random first delay.
func (e *simEntry) every(d time.Duration, f func()) {
	inc := e.incarnation
	var repeat func()
	repeat = func() {
		if !e.dead && e.incarnation == inc {
			f()
			e.sim.after(d, repeat)
		}
	}
	e.sim.after(e.sim.between(0, d), repeat)
}

func (e *simEntry) startLoops() {
	for _, p := range e.sim.entries {
		if p != e {
			e.every(carobpulley.ContactInterval, func() { e.contact(p) })
		}
	}
	e.every(100*time.Millisecond, e.read)
	e.every(100*time.Millisecond, e.dispatch)
	e.every(time.Second, e.writeSnapshot)
}

// call sends a request to an entry and returns its reply. Either process may end
// before the reply arrives; the reply is then lost.
func (e *simEntry) call(p *simEntry, request func() (reply func())) {
	inc := e.incarnation
	e.sim.send(e.name, p.name, func() {
		if p.dead {
			return
		}
		reply := request()
		e.sim.send(p.name, e.name, func() {
			if !e.dead && e.incarnation == inc {
				reply()
			}
		})
	})
}

func (e *simEntry) contact(p *simEntry) {
	sentAt, inc, version := e.sim.now, e.incarnation, e.version()
	e.call(p, func() func() {
		vouch := p.auth.Step(e.sim.now, carobpulley.ContactAsked{Peer: e.name, Incarnation: inc})[0].(carobpulley.VouchFor).Vouch
		p.rollout.HandlePeerVersion(e.name, inc, version)
		newest, doc, theirs := uint64(0), []byte(nil), p.version()
		if p.rollout.IsOutdated(version) && e.sim.disabled != "attached version" {
			newest, doc = p.rollout.fold.Version(), p.rollout.fold.Document()
		}
		from := p.incarnation
		return func() {
			e.adopt(newest, doc)
			e.rollout.HandlePeerVersion(p.name, from, theirs)
			e.auth.Step(e.sim.now, carobpulley.ContactAnswered{
				Peer: p.name, Incarnation: from, SentAt: sentAt,
				Vouch: vouch && (e.rollout.VouchCounts(theirs) || e.sim.disabled == "attached version"),
			})
		}
	})
}

func (e *simEntry) version() uint64 { return e.rollout.InForce().Version }

func (e *simEntry) adopt(version uint64, doc []byte) {
	if e.sim.disabled == "larger versions only" && version > 0 && version < e.version() {
		e.rollout.cat = &carobpulley.Catalogue{Version: version}
		e.rollout.fold.newest.version = version
		return
	}
	if e.rollout.Adopt(version, doc) {
		e.auth.Step(e.sim.now, carobpulley.Configured{Entries: e.rollout.InForce().Entries})
	}
}

// read reads a page of the log. A replayed page is handled again with the sending
// time of the first read.
func (e *simEntry) read() {
	sentAt, from, inc, sim := e.sim.now, e.rollout.fold.Next(), e.incarnation, e.sim
	sim.send(e.name, "log", func() {
		down, page := sim.now.Before(sim.log.downUntil), sim.page(from)
		sim.send("log", e.name, func() {
			if e.dead || e.incarnation != inc {
				return
			}
			if e.logUp = !down; down {
				return
			}
			e.handlePage(sentAt, from, page)
			if sim.faultActive("replay") {
				sim.after(sim.between(0, time.Second), func() {
					if e.incarnation == inc {
						e.handlePage(sentAt, from, page)
					}
				})
			}
		})
	})
}

func (e *simEntry) handlePage(sentAt time.Time, from uint64, page carobpulley.Page) {
	out := e.rollout.HandlePage(e.sim.now.Add(e.clockOffset), from, page)
	if out.Changed {
		e.auth.Step(e.sim.now, carobpulley.Configured{Entries: e.rollout.InForce().Entries})
	}
	if out.AtEnd {
		e.auth.Step(e.sim.now, carobpulley.LogRead{SentAt: sentAt})
	}
	for _, r := range e.rollout.fold.History() {
		if id, ok := e.sim.acceptedIDs[r.Base]; r.Outcome == Accepted && ok && id != r.ID {
			e.sim.fail("changes %s and %s are both accepted for base version %d", id, r.ID, r.Base)
		} else if r.Outcome == Accepted {
			e.sim.acceptedIDs[r.Base] = r.ID
		}
	}
}
