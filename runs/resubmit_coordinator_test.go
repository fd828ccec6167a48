package runs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"carobpulley/work"
)

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
