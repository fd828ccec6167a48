package runs

import (
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/work"
)

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
	if loop && !m.c.ReadingDue() {
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
