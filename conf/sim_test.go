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
	simTick      = 10 * time.Millisecond
	simSend      = 3 * time.Second
	simLimit     = 60 * time.Second
	simRetention = 12 * time.Second
	simCallTime  = time.Second
	// simQuiet is how long a run goes on after the last fault and change.
	simQuiet = 8 * time.Second
)

// simWorld is a log, entries, agents and operators in virtual time. Only the
// entries of the newest list matter; the others run from the start.
type simWorld struct {
	without string
	rng     *rand.Rand
	now     time.Time
	queue   map[int64][]func()
	entries []*simEntry
	agents  []*simAgent
	log     simLog
	// blocked are pairs of processes that exchange nothing for a time.
	blocked []simBlock
	// reached are the steps of the first change that have come.
	reached  map[string]bool
	onStep   func(step string)
	busy     time.Time
	pending  int
	nextID   int
	accepted []simAccepted
	// truth has read every record, also those that retention dropped.
	truth   *Fold
	removed map[uint64]bool
	told    map[string]map[Progress]bool
	winners map[uint64]string
	faults  int
	broken  []string
}

type simBlock struct {
	until time.Time
	pair  func(a, b string) bool
}

type simAccepted struct {
	version uint64
	at      time.Time
	out     bool
}

type simLog struct {
	records                       []carobpulley.Record
	oldest                        uint64
	downUntil, loseUntil, slowTil time.Time
}

// simEntry is one entry; each start of its process makes spread and authority anew.
type simEntry struct {
	w      *simWorld
	name   string
	inc    uint64
	dead   bool
	spread *Spread
	auth   *owner.Authority
	logUp  bool
	served uint64
	// echo are the newest readings of the agents' clocks.
	echo map[string]simEcho
	jump time.Duration
}

type simEcho struct {
	inc uint64
	at  time.Duration
}

// simAgent starts a task with each dispatch that passes its gate.
type simAgent struct {
	w            *simWorld
	name, domain string
	inc, version uint64
	inService    bool
	born         time.Time
}

func simDocument(entries []string, out bool) []byte {
	return fmt.Appendf(nil, "format: 1\nentries: [%s]\nmembers: []\nservices: []\ndomains:\n  - {name: d0, region: r, in_service: true}\n"+
		"  - {name: d1, region: r, in_service: %v}\n", strings.Join(entries, ", "), !out)
}

func newSimWorld(s simSchedule) *simWorld {
	w := &simWorld{
		without: s.without, rng: rand.New(rand.NewPCG(s.seed, 2)), now: spreadStart, queue: map[int64][]func(){},
		reached: map[string]bool{}, onStep: func(string) {}, truth: NewFold(), removed: map[uint64]bool{},
		told: map[string]map[Progress]bool{}, winners: map[uint64]string{}, log: simLog{oldest: FirstOffset},
	}
	for i := range 4 {
		w.agents = append(w.agents, &simAgent{w: w, name: fmt.Sprint("e", i), domain: fmt.Sprint("d", i%2), inc: 1, born: w.now})
	}
	for _, n := range []string{"a", "b", "c", "x", "y"} {
		e := &simEntry{w: w, name: n}
		w.entries = append(w.entries, e)
		e.boot()
	}
	first := []string{"a", "b", "c"}
	if s.seed%3 == 0 {
		first = first[:2]
	}
	w.appended(Change{ID: "first", Document: simDocument(first, false)})
	return w
}

func (w *simWorld) after(d time.Duration, f func()) {
	t := w.now.Add(max(d, simTick)).Sub(spreadStart).Nanoseconds() / int64(simTick)
	w.queue[t] = append(w.queue[t], f)
}

func (w *simWorld) chance(p float64) bool { return w.rng.Float64() < p }
func (w *simWorld) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}
func (w *simWorld) entry() *simEntry { return w.entries[w.rng.IntN(3)] }

func (w *simWorld) fail(format string, args ...any) {
	if len(w.broken) < 5 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now.Sub(spreadStart))+fmt.Sprintf(format, args...))
	}
}

func (w *simWorld) cut(a, b string) bool {
	return slices.ContainsFunc(w.blocked, func(x simBlock) bool { return w.now.Before(x.until) && (x.pair(a, b) || x.pair(b, a)) })
}

// send delivers a message unless the pair is cut off when it is sent or
// arrives. One of a hundred arrives late.
func (w *simWorld) send(from, to string, f func()) {
	d := w.between(time.Millisecond, 15*time.Millisecond)
	if w.chance(0.01) {
		d = w.between(100*time.Millisecond, 2*time.Second)
	}
	if w.cut(from, to) {
		return
	}
	w.after(d, func() {
		if !w.cut(from, to) {
			f()
		}
	})
}

func (w *simWorld) step(name string) {
	if !w.reached[name] {
		w.reached[name] = true
		w.onStep(name)
	}
}

// run passes time until nothing more is to come.
func (w *simWorld) run() {
	for _, e := range w.entries {
		e.loops()
	}
	for _, a := range w.agents {
		a.announce()
	}
	w.busy = w.now.Add(simSend)
	for end := w.now.Add(simLimit); w.now.Before(end) && (w.pending > 0 || w.now.Before(w.busy.Add(simQuiet))); w.now = w.now.Add(simTick) {
		t := w.now.Sub(spreadStart).Nanoseconds() / int64(simTick)
		for i := 0; i < len(w.queue[t]); i++ {
			w.queue[t][i]()
		}
		delete(w.queue, t)
		w.check()
	}
	w.checkEnd()
}

// appended adds a record to the log and drops those older than the retention time.
func (w *simWorld) appended(r interface{ Encode() ([]byte, error) }) {
	data, err := r.Encode()
	if err != nil {
		w.fail("Encode: %v", err)
		return
	}
	rec := carobpulley.Record{Offset: FirstOffset + uint64(len(w.log.records)), Time: w.now, Data: data}
	w.log.records = append(w.log.records, rec)
	for _, d := range w.truth.Apply(rec.Offset, carobpulley.Page{Records: []carobpulley.Record{rec}, Oldest: 1, Next: rec.Offset + 1}) {
		if d.Outcome == Accepted {
			cat, err := w.truth.Catalogue()
			w.removed[d.Version] = err == nil && !cat.InService("d1")
		}
		if d.Version > 1 {
			w.step(simRows[1])
		}
	}
	w.drop(simRetention)
}

// drop removes records older than an age, but for the newest one.
func (w *simWorld) drop(age time.Duration) {
	for ; w.log.oldest < FirstOffset+uint64(len(w.log.records))-1; w.log.oldest++ {
		if !w.log.records[w.log.oldest-FirstOffset].Time.Before(w.now.Add(-age)) {
			return
		}
	}
}

func (w *simWorld) page(from uint64) carobpulley.Page {
	p := carobpulley.Page{Oldest: w.log.oldest, Next: FirstOffset + uint64(len(w.log.records))}
	if start := max(from, p.Oldest); start < p.Next {
		p.Records = w.log.records[start-FirstOffset : min(p.Next, start+4)-FirstOffset]
	}
	return p
}

func (e *simEntry) boot() {
	e.inc++
	e.dead, e.logUp, e.served, e.echo = false, false, 0, map[string]simEcho{}
	e.spread = NewSpread(e.name, NewFold())
	e.auth = owner.NewAuthority(e.w.now, e.name, e.inc, 1)
}

// every repeats f while the process lives, with the rate of a clock of its own.
func (e *simEntry) every(d time.Duration, f func()) {
	inc := e.inc
	var again func()
	again = func() {
		if !e.dead && e.inc == inc {
			f()
			e.w.after(d, again)
		}
	}
	e.w.after(e.w.between(0, d), again)
}

func (e *simEntry) loops() {
	for _, p := range e.w.entries {
		if p != e {
			e.every(carobpulley.ContactInterval, func() { e.contact(p) })
		}
	}
	e.every(100*time.Millisecond, e.read)
	e.every(100*time.Millisecond, e.dispatch)
	e.every(time.Second, e.carryForward)
}

// call sends a request to a process and its answer back to the process that
// asked; both may die meanwhile.
func (e *simEntry) call(p *simEntry, ask func() (answer func())) {
	inc := e.inc
	e.w.send(e.name, p.name, func() {
		if p.dead {
			return
		}
		answer := ask()
		e.w.send(p.name, e.name, func() {
			if !e.dead && e.inc == inc {
				answer()
			}
		})
	})
}

func (e *simEntry) contact(p *simEntry) {
	sentAt, inc, version := e.w.now, e.inc, e.version()
	e.call(p, func() func() {
		vouch := p.auth.Step(e.w.now, carobpulley.ContactAsked{Peer: e.name, Incarnation: inc})[0].(carobpulley.VouchFor).Vouch
		p.spread.Heard(e.name, inc, version)
		served, doc, theirs := uint64(0), []byte(nil), p.version()
		if p.spread.Lacks(version) && e.w.without != "attached version" {
			served, doc = p.spread.fold.Version(), p.spread.fold.Document()
		}
		from := p.inc
		return func() {
			e.adopt(served, doc)
			e.spread.Heard(p.name, from, theirs)
			e.auth.Step(e.w.now, carobpulley.ContactAnswered{
				Peer: p.name, Incarnation: from, SentAt: sentAt,
				Vouch: vouch && (e.spread.Counts(theirs) || e.w.without == "attached version"),
			})
		}
	})
}

func (e *simEntry) version() uint64 { return e.spread.InForce().Version }

func (e *simEntry) adopt(version uint64, doc []byte) {
	if e.w.without == "larger versions only" && version > 0 && version < e.version() {
		e.spread.cat = &carobpulley.Catalogue{Version: version}
		e.spread.fold.serve.version = version
		return
	}
	if e.spread.Adopt(version, doc) {
		e.auth.Step(e.w.now, carobpulley.Configured{Entries: e.spread.InForce().Entries})
	}
}

// read follows the log. Replayed pages come with the time of the first read.
func (e *simEntry) read() {
	sentAt, from, inc, w := e.w.now, e.spread.fold.Next(), e.inc, e.w
	w.send(e.name, "log", func() {
		down, page := w.now.Before(w.log.downUntil), w.page(from)
		w.send("log", e.name, func() {
			if e.dead || e.inc != inc {
				return
			}
			if e.logUp = !down; down {
				return
			}
			e.readPage(sentAt, from, page)
			if w.faultOn("replay") {
				w.after(w.between(0, time.Second), func() {
					if e.inc == inc {
						e.readPage(sentAt, from, page)
					}
				})
			}
		})
	})
}

func (e *simEntry) readPage(sentAt time.Time, from uint64, page carobpulley.Page) {
	out := e.spread.Read(e.w.now.Add(e.jump), from, page)
	if out.Changed {
		e.auth.Step(e.w.now, carobpulley.Configured{Entries: e.spread.InForce().Entries})
	}
	if out.AtEnd {
		e.auth.Step(e.w.now, carobpulley.LogRead{SentAt: sentAt})
	}
	for _, r := range e.spread.fold.History() {
		if w, ok := e.w.winners[r.Base]; r.Outcome == Accepted && ok && w != r.ID {
			e.w.fail("base %d has the winners %s and %s", r.Base, w, r.ID)
		} else if r.Outcome == Accepted {
			e.w.winners[r.Base] = r.ID
		}
	}
}
