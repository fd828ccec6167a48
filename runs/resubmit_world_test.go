package runs

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// dispatchRepeat is the time after which a dispatch without an answer is sent again.
const dispatchRepeat = 300 * time.Millisecond

// kind is a kind of command to the endpoint.
type kind int

const (
	kindStart kind = iota
	kindStop
	kindPoll
	kinds
)

// trouble is what happens to the commands of one kind until a time.
type trouble struct {
	until              time.Time
	unsent, late, lost float64
}

// placed is a run of a call. goneAt is the time at which the caller's call ended without an answer, and
// over the reason for which its coordinator takes it to be over.
type placed struct {
	s      work.Start
	goneAt time.Time
	over   string
	// outlasted is set once the endpoint's lease has gone beyond the time of the next call.
	outlasted bool
}

// sender is a coordinator's process with its calls.
type sender struct {
	name        string
	incarnation uint64
	up          bool
	attached    bool
	attachment  uint64
	heard       time.Time
	echo        int64
	calls       map[work.Run]*placed
	stops       map[work.Run]bool
	// delayed holds the stops of dispatches that were sent again and are not answered, by the attachment.
	delayed   map[work.Run]uint64
	cutTo     time.Time // what it sends is lost until then
	cutFrom   time.Time
	slowUntil time.Time
	slow      time.Duration
}

// leasing is an agent beside one endpoint. Coordinators die and their callers leave, commands to the
// endpoint are unsent, unanswered or seconds late, and messages between the hosts are slow.
type leasing struct {
	rng     *rand.Rand
	now     time.Time
	queue   events
	c       *Controller
	process int
	paused  time.Time
	trace   []string
	broke   string
	next    int

	// fromArrival is set if the lease of a late poll counts from its arrival. That of a late start doesn't:
	// while the agent is paused nothing else would keep it from beginning.
	fromArrival bool
	troubles    [kinds]trouble
	maxDispatch time.Duration

	token    int64
	deadline int64
	running  map[work.Run]*placed
	cpu      int64
	ended    map[string]int64
	finished []work.End

	coordinators []*sender
	placed       map[owned]*placed
	reported     map[string]time.Time
}

func (m *leasing) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now.Add(d), do}) }

func (m *leasing) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *leasing) log(f string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7.3f ", m.now.Sub(testStart).Seconds())+fmt.Sprintf(f, a...))
}

func (m *leasing) fail(f string, a ...any) {
	if m.broke == "" {
		m.log(f, a...)
		m.broke = m.trace[len(m.trace)-1]
	}
}

func (m *leasing) run(until time.Time) {
	for len(m.queue) > 0 && m.queue[0].at.Before(until) && m.broke == "" {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if m.clock() >= m.deadline && len(m.running) > 0 {
			m.log("endpoint: lease expired")
			for key := range m.running {
				m.end(key, work.OutcomeLeaseExpired)
			}
		}
		e.do()
	}
}

// clock returns the reading of the endpoint's clock, which is as slow as it may be.
func (m *leasing) clock() int64 {
	return 5000 + int64(float64(m.now.Sub(testStart).Milliseconds())*(1-ClockSlack))
}

func (m *leasing) end(key work.Run, o work.Outcome) {
	m.cpu -= m.running[key].s.Resources.CPU
	delete(m.running, key)
	m.ended[key.Task] = max(m.ended[key.Task], key.Number)
	m.finished = append(m.finished, work.End{Sequence: int64(len(m.finished) + 1), Run: key, Outcome: o})
}

// mine returns a step of this process of the agent, which waits for the end of its pause.
func (m *leasing) mine(do func()) func() {
	process := m.process
	var step func()
	step = func() {
		switch {
		case m.process != process:
		case m.now.Before(m.paused):
			m.after(m.paused.Sub(m.now)+m.between(0, time.Millisecond), step)
		default:
			do()
		}
	}
	return step
}

// send carries a command to the endpoint, and its answer back; done gets an error if there is none.
func (m *leasing) send(k kind, timeout, wait time.Duration, l carobpulley.Lease, carryOut func(carobpulley.Lease), done func(error)) {
	t := m.troubles[k]
	if m.now.After(t.until) {
		t = trouble{}
	}
	unanswered := func() {
		m.after(timeout, m.mine(func() { done(&carobpulley.Error{Op: "order", Kind: carobpulley.KindUnknown}) }))
	}
	switch draw := m.rng.Float64(); {
	case draw < t.unsent:
		unanswered()
		return
	case draw < t.unsent+t.late:
		late := m.between(2*time.Second, 6*time.Second)
		m.after(late, func() {
			if m.fromArrival && k == kindPoll && l.DeadlineMS > 0 {
				l.DeadlineMS += int64(float64(late.Milliseconds()) * (1 - ClockSlack))
			}
			carryOut(l)
		})
		unanswered()
		return
	case draw < t.unsent+t.late+t.lost:
		m.after(m.between(0, 4*time.Millisecond), func() { carryOut(l) })
		unanswered()
		return
	}
	m.after(m.between(0, 4*time.Millisecond), func() {
		carryOut(l)
		m.after(wait+m.between(0, 4*time.Millisecond), m.mine(func() { done(nil) }))
	})
}

// accept takes over a token, and reports whether the command is carried out.
func (m *leasing) accept(l carobpulley.Lease) bool {
	if l.Token < m.token {
		return false
	}
	m.token = l.Token
	return true
}

func (m *leasing) renew(l carobpulley.Lease) {
	if l.DeadlineMS == 0 {
		return
	}
	m.deadline = max(m.deadline, min(l.DeadlineMS, m.clock()+1000))
	for key, p := range m.running {
		if p.goneAt.IsZero() || p.outlasted {
			continue
		}
		lasts := time.Duration(float64(m.deadline-m.clock())/(1-ClockSlack)) * time.Millisecond
		if m.now.Add(lasts).Sub(p.goneAt) > resubmitAfter {
			p.outlasted = true
			m.log("lease goes beyond the end of the call of %v: %d ms, %s", key, m.deadline-m.clock(), m.state(key))
		}
	}
}

// state tells what the agent knows of a run.
func (m *leasing) state(key work.Run) string {
	r := m.c.runs[key]
	if r == nil {
		return "unknown"
	}
	return fmt.Sprintf("phase %d, stopping %v, proof %v old, stop proof %v old", r.phase, r.stopping, m.now.Sub(m.c.proof(r)), m.now.Sub(r.stopProof))
}

func (m *leasing) execute() {
	for _, cmd := range m.c.Commands() {
		if cmd.Start != nil {
			s := *cmd.Start
			m.after(m.between(0, time.Millisecond), m.mine(func() { m.start(s) }))
			continue
		}
		m.log("agent: stops %v, %s", cmd.Stop, m.state(cmd.Stop))
		m.stop(cmd.Stop)
	}
	for _, lost := range m.c.Lost() {
		m.log("agent: %v lost: %s", lost.Run, lost.Reason)
	}
}

func (m *leasing) start(s work.Start) {
	l, refusal := m.c.StartLease(m.now, s.Run)
	if refusal != "" {
		return
	}
	var answer carobpulley.StartAnswer
	m.send(kindStart, 40*time.Millisecond, 0, l, func(l carobpulley.Lease) { answer.Refusal = m.begin(s, l) }, func(err error) {
		m.c.HandleStartReply(m.now, s.Run, l, answer, err)
		m.execute()
		if m.c.StartUncertain(s.Run) {
			m.poll(false)
		}
	})
}

// begin carries out a start. One that is refused as old or for want of room renews the lease as well.
func (m *leasing) begin(s work.Start, l carobpulley.Lease) string {
	p := m.find(s)
	switch {
	case !m.accept(l):
		return carobpulley.RefusalStaleToken
	case m.running[s.Run] != nil:
		m.renew(l)
		return ""
	case s.Run.Number <= m.ended[s.Run.Task]:
		m.renew(l)
		return carobpulley.RefusalStaleRun
	case m.cpu+s.Resources.CPU > 4000:
		m.renew(l)
		return carobpulley.RefusalNoCapacity
	case l.DeadlineMS <= m.clock():
		return carobpulley.RefusalLeaseExpired
	}
	m.renew(l)
	m.running[s.Run] = p
	m.cpu += s.Resources.CPU
	m.log("endpoint: %v of %s begins, lease for %d ms", s.Run, s.Spec, m.deadline-m.clock())
	if p.over != "" {
		m.fail("%v of %s begins after it was told %s", s.Run, s.Spec, p.over)
	}
	m.checkGone(s.Run, p)
	m.after(m.between(100*time.Millisecond, 6*time.Second), func() {
		if m.running[s.Run] == p {
			m.end(s.Run, work.OutcomeDone)
		}
	})
	return ""
}

// find returns the run of a start by the coordinator's process that its spec names.
func (m *leasing) find(s work.Start) *placed {
	return m.placed[owned{s.Spec, s.Run}]
}

func (m *leasing) checkGone(key work.Run, p *placed) {
	if m.running[key] == p && !p.goneAt.IsZero() && m.now.Sub(p.goneAt) >= resubmitAfter {
		m.fail("%v of %s is on %v after its call broke, lease for %d ms, %s", key, p.s.Spec, m.now.Sub(p.goneAt), m.deadline-m.clock(), m.state(key))
	}
}

func (m *leasing) stop(key work.Run) {
	if !m.c.HasRun(key) {
		return
	}
	l := carobpulley.Lease{Instance: "i", Token: m.c.Token()}
	refused := false
	m.send(kindStop, 40*time.Millisecond, 0, l, func(l carobpulley.Lease) {
		if refused = !m.accept(l); refused {
			return
		}
		m.ended[key.Task] = max(m.ended[key.Task], key.Number)
		if m.running[key] != nil {
			m.end(key, work.OutcomeStopped)
		}
	}, func(error) {
		if refused {
			m.c.RaiseToken(l.Token)
		}
		m.after(60*time.Millisecond, m.mine(func() { m.stop(key) }))
	})
}

func (m *leasing) poll(loop bool) {
	sent := m.c.BeginPoll(m.now)
	var lists carobpulley.RunLists
	refusal := ""
	wait := time.Duration(0)
	if loop && m.c.ClockKnown() {
		wait = m.between(0, 50*time.Millisecond)
	}
	m.send(kindPoll, 90*time.Millisecond, 0, sent.Lease, func(l carobpulley.Lease) {
		if !m.accept(l) {
			refusal = carobpulley.RefusalStaleToken
			return
		}
		m.renew(l)
		lists = carobpulley.RunLists{Clock: m.clock(), Generation: 1}
		for key := range m.running {
			lists.Running = append(lists.Running, carobpulley.ListedRun{Run: key})
		}
		for _, e := range m.finished {
			if e.Sequence > sent.AckedUpTo {
				lists.Finished = append(lists.Finished, e)
			}
		}
	}, func(err error) {
		if err != nil || refusal != "" {
			m.c.HandlePollError(m.now, sent, refusal, err)
		} else {
			m.c.HandlePoll(m.now, sent, lists)
		}
		m.execute()
		if loop {
			m.after(wait+m.between(time.Millisecond, 20*time.Millisecond), m.mine(func() { m.poll(true) }))
		}
	})
}

func (m *leasing) restartAgent() {
	m.log("agent: starts")
	m.process++
	m.paused = time.Time{}
	m.c = New(Config{Agent: "a", Incarnation: uint64(m.process), Token: 100 + int64(m.process)*1_000_000, MaxLease: time.Second, Shards: testShards}, m.now)
	m.c.HandleHeartbeat(m.now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: int64(m.process), Service: "s", Capacity: work.Resources{CPU: 5000, MemMB: 1000}})
	m.reported = map[string]time.Time{}
	for _, co := range m.coordinators {
		co.attached = false
	}
	m.after(time.Millisecond, m.mine(func() { m.poll(true) }))
	m.after(time.Millisecond, m.mine(m.tick))
}

func (m *leasing) tick() {
	m.c.Tick(m.now)
	m.execute()
	for _, co := range m.coordinators {
		interval := 400 * time.Millisecond
		if m.c.HasRunsOrEnds(co.name) {
			interval = 240 * time.Millisecond
		}
		if co.attached && (m.c.HasUnreportedEnds(co.name) || m.now.Sub(m.reported[co.name]) >= interval) {
			m.reported[co.name] = m.now
			m.report(co)
		}
	}
	m.after(40*time.Millisecond, m.mine(m.tick))
}

// transit carries a message between the agent and a coordinator.
func (m *leasing) transit(co *sender, cut time.Time, arrive func()) {
	if m.now.Before(cut) {
		return
	}
	d := m.between(0, 4*time.Millisecond)
	if m.now.Before(co.slowUntil) {
		d += m.between(0, co.slow)
	}
	m.after(d, arrive)
}

func (m *leasing) report(co *sender) {
	sent := m.c.Report(m.now, co.name)
	m.transit(co, co.cutFrom, func() {
		if !co.up || !co.attached || sent.Attachment != co.attachment {
			return
		}
		co.heard = m.now
		co.echo = max(co.echo, sent.SentAt)
		for _, e := range sent.Ends {
			m.tell(co, e.Run, string(e.Outcome))
		}
		reply := ReportReply{}
		for key := range co.stops {
			reply.Stops = append(reply.Stops, key)
		}
		m.transit(co, co.cutTo, m.mine(func() {
			m.c.HandleReportReply(m.now, co.name, sent, reply)
			m.log("agent: answer of %s, stops %v", co.name, reply.Stops)
			m.execute()
		}))
	})
}

// tell handles what a coordinator learns: its run is over, so that its task may run elsewhere.
func (m *leasing) tell(co *sender, key work.Run, reason string) {
	p := co.calls[key]
	if p == nil || p.over != "" {
		return
	}
	p.over = reason
	delete(co.stops, key)
	m.log("%s: %v told %s", p.s.Spec, key, reason)
	if m.running[key] == p {
		m.fail("%v of %s is on and told %s, lease for %d ms, %s", key, p.s.Spec, reason, m.deadline-m.clock(), m.state(key))
	}
}

// leave ends the call of a run without an answer.
func (m *leasing) leave(co *sender, key work.Run, p *placed) {
	if !p.goneAt.IsZero() || p.over != "" {
		return
	}
	p.goneAt = m.now
	m.log("%s: the call of %v breaks", p.s.Spec, key)
	m.after(resubmitAfter, func() { m.checkGone(key, p) })
	if co.up {
		co.stops[key] = true
		m.dispatch(co, nil, []work.Run{key})
	}
}

func (m *leasing) dispatch(co *sender, starts []work.Start, stops []work.Run) {
	answered := false
	if attachment := co.attachment; len(stops) > 0 {
		m.after(dispatchRepeat, func() {
			if !answered && co.up && co.attached && co.attachment == attachment {
				for _, key := range stops {
					co.delayed[key] = attachment
				}
				m.dispatch(co, nil, stops)
			}
		})
	}
	carried := slices.Clone(stops)
	for key, attachment := range co.delayed {
		if attachment == co.attachment && !slices.Contains(stops, key) {
			carried = append(carried, key)
		}
	}
	d := Dispatch{Coordinator: co.name, Incarnation: co.incarnation, Attachment: co.attachment, Echo: co.echo, Starts: starts, Stops: carried}
	m.transit(co, co.cutTo, m.mine(func() {
		refused, stale := m.c.HandleDispatch(m.now, d)
		m.log("agent: dispatch of %s, starts %v, stops %v, stale %v, refused %v", co.name, len(starts), stops, stale, refused)
		if len(starts) > 0 && m.c.HasRun(starts[0].Run) {
			m.log("agent: takes %v, %s", starts[0].Run, m.state(starts[0].Run))
		}
		m.execute()
		m.transit(co, co.cutFrom, func() {
			if !co.up || co.incarnation != d.Incarnation {
				return
			}
			answered = true
			for _, key := range stops {
				delete(co.delayed, key)
			}
			if stale {
				co.attached = co.attached && co.attachment != d.Attachment
			}
			for _, r := range refused {
				m.tell(co, r.Run, "refused "+r.Reason)
			}
		})
	}))
}

// step is what a coordinator does every few milliseconds.
func (m *leasing) step(co *sender) {
	m.after(m.between(10*time.Millisecond, 60*time.Millisecond), func() { m.step(co) })
	if !co.up {
		return
	}
	if m.now.Sub(co.heard) > silenceLimit {
		for key := range co.calls {
			m.tell(co, key, "silent")
		}
		co.attached = false
	}
	if !co.attached {
		m.attach(co)
		return
	}
	if m.rng.IntN(3) > 0 {
		return
	}
	m.next++
	s := newStart(m.next, 100+int64(m.rng.IntN(4))*300)
	if m.rng.IntN(3) == 0 {
		s.WaitMS, s.SlackMS = 200, 200
	}
	s.Spec = fmt.Sprintf("%s/%d", co.name, co.incarnation)
	p := &placed{s: s}
	co.calls[s.Run] = p
	m.placed[owned{s.Spec, s.Run}] = p
	m.dispatch(co, []work.Start{s}, nil)
	if m.rng.IntN(2) == 0 {
		m.after(m.between(0, 3*time.Second), func() { m.leave(co, s.Run, p) })
	}
}

func (m *leasing) attach(co *sender) {
	if m.now.Before(co.cutTo) || m.now.Before(co.cutFrom) || m.now.Before(m.paused) || !m.c.CanAttach(m.now) {
		return
	}
	co.attachment++
	a := AttachRequest{Coordinator: co.name, Incarnation: co.incarnation, Addr: "127.0.0.1:1", Attachment: co.attachment}
	if !m.c.HandleAttach(m.now, a) {
		return
	}
	full := m.c.FullReport(m.now, a)
	co.attached, co.heard, co.echo = true, m.now, full.SentAt
	for _, e := range full.Ends {
		m.tell(co, e.Run, string(e.Outcome))
	}
	m.log("%s attaches: %v", co.name, full.Running)
	listed := map[work.Run]bool{}
	for _, key := range full.Running {
		listed[key] = true
		if p := co.calls[key]; p == nil || p.over != "" {
			co.stops[key] = true
		}
	}
	if len(co.stops) > 0 {
		m.dispatch(co, nil, slices.Collect(maps.Keys(co.stops)))
	}
	for key := range co.calls {
		if !listed[key] {
			m.tell(co, key, "not on the list")
		}
	}
}

// die ends a coordinator's process, and with it its calls. Another one follows.
func (m *leasing) die(co *sender) {
	if !co.up {
		return
	}
	m.log("%s/%d dies", co.name, co.incarnation)
	co.up, co.attached = false, false
	for key, p := range co.calls {
		m.leave(co, key, p)
	}
	m.after(m.between(0, 3*time.Second), func() {
		co.incarnation++
		co.up, co.heard = true, m.now
		co.calls, co.stops, co.delayed = map[work.Run]*placed{}, map[work.Run]bool{}, map[work.Run]uint64{}
	})
}

func (m *leasing) faults() {
	m.after(m.between(100*time.Millisecond, 700*time.Millisecond), m.faults)
	co := m.coordinators[m.rng.IntN(len(m.coordinators))]
	switch d := m.between(100*time.Millisecond, 3*time.Second); m.rng.IntN(8) {
	case 0:
		m.die(co)
	case 1:
		if until := m.now.Add(m.between(20*time.Millisecond, 2*time.Second)); until.After(m.paused) {
			m.paused = until
		}
		m.log("agent: paused for %v", m.paused.Sub(m.now))
	case 2:
		m.restartAgent()
	case 3:
		if co.cutTo = m.now.Add(d); m.rng.IntN(2) == 0 {
			co.cutFrom = co.cutTo
		}
		m.log("%s: cut off for %v, both ways %v", co.name, d, co.cutFrom.Equal(co.cutTo))
	case 4:
		co.cutFrom = m.now.Add(d)
		m.log("%s: reports to it are lost for %v", co.name, d)
	case 5:
		co.slow, co.slowUntil = m.between(time.Millisecond, m.maxDispatch), m.now.Add(d)
		m.log("%s: messages are up to %v late for %v", co.name, co.slow, d)
	default:
		k := kind(m.rng.IntN(int(kinds)))
		t := trouble{until: m.now.Add(d)}
		share := []float64{0.3, 0.7, 1}[m.rng.IntN(3)]
		switch m.rng.IntN(4) {
		case 0:
			t.unsent = share
		case 1:
			t.late = share
		case 2:
			t.lost = share
		case 3:
			t.unsent, t.late = share/2, share/2
		}
		for other := range kinds {
			if other == k || m.rng.IntN(4) == 0 {
				m.troubles[other] = t
			}
		}
		m.log("trouble of %d for %v: %.2f unsent, %.2f late, %.2f lost", k, d, t.unsent, t.late, t.lost)
	}
}

// playLeases plays a time and returns what broke, with the trace.
func playLeases(seed uint64, length time.Duration, fromArrival bool, maxDispatch time.Duration) (string, []string) {
	m := &leasing{
		rng: rand.New(rand.NewPCG(seed, 91)), now: testStart, fromArrival: fromArrival, maxDispatch: maxDispatch,
		running: map[work.Run]*placed{}, placed: map[owned]*placed{}, ended: map[string]int64{},
	}
	for _, name := range []string{"c", "d", "e"}[:2+seed%2] {
		co := &sender{name: name, incarnation: 7, up: true, heard: m.now, calls: map[work.Run]*placed{}, stops: map[work.Run]bool{}, delayed: map[work.Run]uint64{}}
		m.coordinators = append(m.coordinators, co)
		m.after(m.between(10*time.Millisecond, 60*time.Millisecond), func() { m.step(co) })
	}
	m.restartAgent()
	m.after(500*time.Millisecond, m.faults)
	m.run(testStart.Add(length))
	return m.broke, m.trace
}

// Guards against a run that is on when its caller has submitted its job elsewhere, or when its coordinator
// has started its task elsewhere.
func TestRunsEndBeforeTheirJobIsSubmittedElsewhere(t *testing.T) {
	for seed := uint64(110); seed < 150; seed++ {
		if got, _ := playLeases(seed, 12*time.Second, seed%2 == 0, 100*time.Millisecond); got != "" {
			t.Errorf("seed %d: %s", seed, got)
		}
	}
}

// Guards against the same where a start overtakes the stop that its coordinator has sent before, and which
// is repeated: package coord sends such stops with each dispatch.
func TestLaterStartDoesNotOvertakeAStop(t *testing.T) {
	if got, trace := playLeases(218, 12*time.Second, false, 100*time.Millisecond); got != "" {
		for _, line := range trace[max(0, len(trace)-80):] {
			t.Log(line)
		}
		t.Error(got)
	}
}
