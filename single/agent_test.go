package single

import (
	"cmp"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/runs"
	"carobpulley/work"
)

// agent does the input and output of package guard.
type agent struct {
	process
	name     string
	c        *runs.Controller
	endpoint *endpoint
	troubles [kinds]trouble
	// to and from are the paths of the messages to and from the agent.
	to, from path
	nextTok  int64

	reporting  int
	lastReport time.Time
	// placed holds the placements at the agent whose runs this process has not ended.
	placed []*placement
}

func newAgent(w *world, name string) *agent {
	a := &agent{process: process{w: w}, name: name, nextTok: 1000}
	a.endpoint = &endpoint{w: w, name: name, capacity: endpointCPU, running: map[work.Run]*atWork{}}
	a.endpoint.bear(true)
	a.endpoint.bootMS += 200_000 // it has run for a while
	a.start()
	w.after(w.ms(1, 300), a.beat)
	return a
}

// start starts a process of the agent.
func (a *agent) start() {
	a.up = true
	a.number++
	a.frozen = time.Time{}
	a.reporting, a.lastReport = 0, time.Time{}
	a.placed = nil
	a.c = runs.New(runs.Config{Agent: a.name, Incarnation: uint64(a.number), Token: a.nextTok, MaxLease: maxLeaseMS * time.Millisecond, Shards: 1}, a.w.now)
	a.w.log("%s: agent %d starts with token %d", a.name, a.number, a.nextTok)
	a.nextTok += 1_000_000
	a.w.after(time.Millisecond, a.mine(a.pollLoop))
	a.w.after(a.w.ms(1, 40), a.mine(a.tick))
}

// beat sends a heartbeat of the endpoint to the agent.
func (a *agent) beat() {
	a.w.after(a.w.ms(300, 500), a.beat)
	if a.endpoint.down || !a.up {
		return
	}
	hb := a.endpoint.heartbeat()
	delay := a.w.ms(0, 4)
	if a.w.mix.beats && a.w.chance(0.2) {
		delay = a.w.ms(10, 1500)
	}
	a.w.after(delay, a.mine(func() {
		changed := a.c.HandleHeartbeat(a.w.now, hb)
		if changed || a.c.NeedsProbe() {
			a.w.after(a.w.between(0, time.Millisecond), a.mine(func() { a.sendPoll(a.c.BeginProbe(a.w.now), 0, nil) }))
		}
		a.step()
	}))
}

func (a *agent) shutdown(id string) {
	a.w.after(a.w.ms(0, 4), a.mine(func() {
		if a.c.HandleShutdown(a.w.now, id) {
			a.sendPoll(a.c.BeginProbe(a.w.now), 0, nil)
		}
		a.step()
	}))
}

// step is done after each change of the controller.
func (a *agent) step() {
	a.placed = slices.DeleteFunc(a.placed, func(p *placement) bool { a.observe(p); return p.ended })
	a.c.RejectedHeartbeats()
	a.c.AdoptedHeartbeat()
	commands := a.c.Commands()
	slices.SortStableFunc(commands, func(x, y runs.Command) int { return compareRuns(commandRun(x), commandRun(y)) })
	for _, cmd := range commands {
		if cmd.Start != nil {
			s := *cmd.Start
			a.w.after(a.w.between(0, time.Millisecond), a.mine(func() { a.startRun(s) }))
			continue
		}
		key := cmd.Stop
		a.w.after(a.w.between(0, time.Millisecond), a.mine(func() { a.stopRun(key) }))
	}
	for _, lost := range a.c.Lost() {
		a.w.log("%s: agent takes %v to be lost: %s", a.name, lost.Run, lost.Reason)
	}
	for _, crashed := range a.c.Crashes() {
		a.w.log("%s: agent takes %v to have crashed", a.name, crashed.Run)
	}
	if a.w.co != nil && a.c.HasUnreportedEnds(a.w.co.name) {
		a.w.after(a.w.between(0, time.Millisecond), a.mine(a.reports))
	}
}

func commandRun(c runs.Command) work.Run {
	if c.Start != nil {
		return c.Start.Run
	}
	return c.Stop
}

// compareRuns orders runs, so that a seed does not depend on the order of a map.
func compareRuns(x, y work.Run) int {
	return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Number, y.Number))
}

func (a *agent) startRun(s work.Start) {
	lease, refusal := a.c.StartLease(a.w.now, s.Run)
	if refusal != "" {
		a.w.log("%s: start of %v not sent: %s", a.name, s.Run, refusal)
		a.step()
		return
	}
	send := func() { a.sendStart(s, lease) }
	if a.w.mix.pausedStarts && a.w.chance(0.02) {
		a.w.freezeAgent(a)
		a.mine(send)()
		return
	}
	send()
}

func (a *agent) sendStart(s work.Start, lease carobpulley.Lease) {
	p := a.w.find(s, a)
	var answer carobpulley.StartAnswer
	copied := &sent{lease: lease, at: a.w.now, generation: a.endpoint.generation}
	p.starts = append(p.starts, copied)
	a.send(command{
		kind: kindStart, timeout: 40 * time.Millisecond, start: copied,
		wait: func() time.Duration { return 0 },
		carryOut: func(late time.Duration) {
			l := lease
			if late > 0 && a.w.mix.startsFromArrival {
				l.DeadlineMS += late.Milliseconds()
			}
			answer.Refusal = a.endpoint.start(s, p, copied, l)
			answer.Clock = a.endpoint.clock()
			if answer.Refusal != "" || late > 0 {
				a.w.log("%s: start of %s, token %d, %v late: refusal %q", a.name, p, l.Token, late, answer.Refusal)
			}
		},
		done: func(err error) {
			if err != nil {
				answer = carobpulley.StartAnswer{}
				a.w.log("%s: start of %s, token %d: %v", a.name, p, lease.Token, err)
			}
			a.c.HandleStartReply(a.w.now, s.Run, lease, answer, err)
			a.step()
			if a.c.StartUncertain(s.Run) {
				a.sendPoll(a.c.BeginPoll(a.w.now), 0, nil)
			}
		},
	})
	a.w.checkSend(p, copied)
}

func (a *agent) stopRun(key work.Run) {
	if !a.c.HasRun(key) {
		return
	}
	lease := carobpulley.Lease{Instance: a.c.Instance(), Token: a.c.Token()}
	refusal := ""
	a.send(command{
		kind: kindStop, timeout: 40 * time.Millisecond,
		wait:     func() time.Duration { return 0 },
		carryOut: func(time.Duration) { refusal = a.endpoint.stop(key, lease) },
		done: func(err error) {
			if err == nil && refusal == carobpulley.RefusalStaleToken {
				a.c.RaiseToken(lease.Token)
			}
			a.w.after(60*time.Millisecond, a.mine(func() { a.stopRun(key) }))
		},
	})
}

func (a *agent) pollLoop() {
	wait := 50 * time.Millisecond
	if a.c.ReadingDue() {
		wait = 0
	}
	began := a.w.now
	a.sendPoll(a.c.BeginPoll(a.w.now), wait, func(failed, changed bool) {
		pause := 8 * time.Millisecond
		switch {
		case failed:
			pause = 20 * time.Millisecond
		case changed || a.w.now.Sub(began) >= wait:
			pause = time.Millisecond
		}
		a.w.after(pause, a.mine(a.pollLoop))
	})
}

func (a *agent) sendPoll(sent runs.Poll, wait time.Duration, next func(failed, changed bool)) {
	var lists carobpulley.RunLists
	refusal := ""
	e := a.endpoint
	a.send(command{
		kind: kindPoll, timeout: wait + 40*time.Millisecond,
		wait: func() time.Duration {
			if refusal != "" || wait == 0 || len(e.finished) > 0 {
				return 0
			}
			return a.w.between(0, wait)
		},
		carryOut: func(late time.Duration) {
			l := sent.Lease
			if late > 0 && l.DeadlineMS > 0 && a.w.pollsFromArrival {
				l.DeadlineMS += int64(float64(late.Milliseconds()) * slowestRate)
			}
			refusal = e.hold(l, sent.AckedUpTo)
		},
		answer: func() { lists = e.lists() },
		done: func(err error) {
			changed, failed := false, err != nil || refusal != ""
			if failed {
				if err != nil {
					refusal = ""
				}
				changed = a.c.HandlePollError(a.w.now, sent, refusal, err)
			} else {
				changed = a.c.HandlePoll(a.w.now, sent, lists)
			}
			a.step()
			if next != nil {
				next(failed, changed)
			}
		},
	})
}

func (a *agent) tick() {
	a.w.after(40*time.Millisecond, a.mine(a.tick))
	a.c.Tick(a.w.now)
	a.step()
	a.reports()
}

// reports sends a report if one is due.
func (a *agent) reports() {
	co := a.w.co
	attached := false
	for _, to := range a.c.Coordinators() {
		attached = attached || to.Name == co.name
	}
	busy := a.c.HasRunsOrEnds(co.name)
	age := a.w.now.Sub(a.lastReport)
	if !attached || a.reporting > 0 && (a.reporting >= 3 || !busy || age < 150*time.Millisecond) {
		return
	}
	interval := 400 * time.Millisecond
	if busy {
		interval = 240 * time.Millisecond
	}
	if !a.c.HasUnreportedEnds(co.name) && age < interval {
		return
	}
	a.reporting++
	a.lastReport = a.w.now
	sent := a.c.Report(a.w.now, co.name)
	number := uint64(a.number)
	a.w.rpc(&co.process, &a.from, &a.to, 450*time.Millisecond, func() any { return co.report(a, reportOf(a.name, number, sent)) }, func(reply any) {
		a.mine(func() {
			a.reporting--
			if r, ok := reply.(*runs.ReportReply); ok && r != nil {
				a.c.HandleReportReply(a.w.now, co.name, sent, *r)
			}
			a.step()
		})()
	})
}

func reportOf(name string, incarnation uint64, r runs.Report) jobs.Report {
	slices.SortStableFunc(r.Ends, func(x, y work.End) int { return compareRuns(x.Run, y.Run) })
	slices.SortFunc(r.Running, compareRuns)
	return jobs.Report{
		Agent: name, Incarnation: incarnation, Attachment: r.Attachment, SentAt: r.SentAt, State: r.State,
		Ends: r.Ends, Running: r.Running, Crashes: r.Crashes,
	}
}

// attach serves a coordinator's attachment; nil is a refusal.
func (a *agent) attach(r runs.AttachRequest) *jobs.Report {
	if !a.c.CanAttach(a.w.now) || !a.c.HandleAttach(a.w.now, r) {
		return nil
	}
	a.lastReport = time.Time{}
	full := reportOf(a.name, uint64(a.number), a.c.FullReport(a.w.now, r))
	a.w.log("%s: agent %d answers attachment %d of incarnation %d: %v, ends %d", a.name, a.number, r.Attachment, r.Incarnation, full.Running, len(full.Ends))
	return &full
}

// orderReply is the answer to a dispatch.
type orderReply struct {
	refused []runs.RefusedStart
	stale   bool
	state   work.EndpointState
}

func (a *agent) order(d runs.Dispatch) *orderReply {
	refused, stale := a.c.HandleDispatch(a.w.now, d)
	state := a.c.State(a.w.now, d.Coordinator)
	a.w.log("%s: agent handles a dispatch, starts %d, stops %v, stale %v, refused %v", a.name, len(d.Starts), d.Stops, stale, refused)
	a.step()
	return &orderReply{refused, stale, state}
}
