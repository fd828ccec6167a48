package load

import (
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/jobs"
	"carobpulley/runs"
	"carobpulley/work"
)

// agent plays the agent beside one endpoint, and the endpoint.
type agent struct {
	s          *simulation
	n          int
	name       string
	controller *runs.Controller
	running    []carobpulley.ListedRun
	ends       int64
	reported   map[string]time.Time
	progress   []*progress
}

func (s *simulation) agentNamed(name string) *agent {
	for _, a := range s.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (s *simulation) addAgent(n int) {
	a := &agent{s: s, n: n, name: fmt.Sprintf("a-%d", n), reported: make(map[string]time.Time)}
	a.controller = runs.New(runs.Config{Agent: a.name, Incarnation: incarnation, Token: 1, MaxLease: maxLease, Shards: 1}, s.begin)
	a.controller.HandleHeartbeat(s.begin, carobpulley.Heartbeat{
		Instance: a.name, Generation: 1, Sequence: 1, Service: serviceName, Domain: a.name, Capacity: s.capacity(n),
	})
	a.poll(s.begin, nil)
	s.agents = append(s.agents, a)
	stagger := tickInterval * time.Duration(n) / time.Duration(len(s.pattern.Speeds))
	s.every(s.begin.Add(stagger), tickInterval, func(now time.Time) {
		if a.lost(now) {
			return
		}
		a.controller.Tick(now)
		a.poll(now, nil)
	})
}

// capacity returns the capacity of an endpoint.
func (s *simulation) capacity(n int) work.Resources {
	c := s.pattern.Capacity
	if s.pattern.Sizes != nil {
		c.CPU = int64(float64(c.CPU) * s.pattern.Sizes[n])
	}
	return c
}

func (a *agent) lost(now time.Time) bool {
	return a.s.pattern.Lost != nil && a.s.pattern.Lost(a.n, now.Sub(a.s.begin))
}

func (a *agent) attach(now time.Time, co *coordinator) {
	request := runs.AttachRequest{Coordinator: co.name, Incarnation: co.incarnation, Addr: co.name, Attachment: co.table.NextAttachment(a.name)}
	a.controller.HandleAttach(now, request)
	full := a.controller.FullReport(now, request)
	co.table.HandleAttachment(now, a.convert(full), nil)
	a.controller.HandleReportReply(now, co.name, full, runs.ReportReply{})
}

func (a *agent) convert(r runs.Report) jobs.Report {
	out := jobs.Report{Agent: a.name, Incarnation: incarnation, Attachment: r.Attachment, SentAt: r.SentAt, State: r.State, Ends: r.Ends, Running: r.Running}
	a.hideKinds(&out)
	return out
}

// order handles a dispatch and sends the reply.
func (a *agent) order(now time.Time, co *coordinator, d *jobs.Dispatch) {
	if a.lost(now) {
		return
	}
	refused, stale := a.controller.HandleDispatch(now, runs.Dispatch{
		Coordinator: co.name, Incarnation: co.incarnation, Attachment: d.Attachment, Echo: d.Echo, Starts: d.Starts, Stops: d.Stops,
	})
	a.execute(now)
	state := a.controller.State(now, co.name)
	a.s.at(now.Add(messageDelay), func(now time.Time) {
		if stale {
			a.attach(now, co)
			co.flush(now)
			return
		}
		co.table.HandleDispatchReply(d, state)
		for _, r := range refused {
			a.s.result.RefusedStarts++
			co.table.HandleRefusedStarts(now, d, []work.Run{r.Run}, r.Reason)
		}
		co.flush(now)
	})
}

// execute carries out the controller's commands at the endpoint.
func (a *agent) execute(now time.Time) {
	for _, c := range a.controller.Commands() {
		if c.Start == nil {
			a.end(now, c.Stop, work.OutcomeStopped)
			continue
		}
		start := *c.Start
		a.running = append(a.running, carobpulley.ListedRun{Run: start.Run})
		lease := a.controller.Lease(now)
		a.s.at(now.Add(startDelay), func(now time.Time) {
			a.controller.HandleStartReply(now, start.Run, lease, carobpulley.StartAnswer{}, nil)
			a.execute(now)
		})
		took := time.Duration(float64(a.s.runTimes[start.Run.Task]) / a.s.pattern.Speeds[a.n])
		a.s.recordStart(now, start, took)
		if len(a.s.pattern.Interference.Slowdowns) > 0 {
			a.s.at(now.Add(startDelay), func(now time.Time) { a.runBeside(now, start.Run, took) })
			continue
		}
		a.s.at(now.Add(startDelay+took), func(now time.Time) { a.end(now, start.Run, work.OutcomeDone) })
	}
}

// end ends a run at the endpoint, unless it has ended.
func (a *agent) end(now time.Time, run work.Run, outcome work.Outcome) {
	for i := range a.running {
		if a.running[i].Run == run && !a.lost(now) {
			a.running = append(a.running[:i], a.running[i+1:]...)
			a.endBeside(now, run)
			a.ends++
			a.poll(now, []work.End{{Sequence: a.ends, Run: run, Outcome: outcome}})
			return
		}
	}
}

// poll shows the endpoint's lists to the controller and sends the reports that are due.
func (a *agent) poll(now time.Time, ended []work.End) {
	a.controller.HandlePoll(now, a.controller.BeginPoll(now.Add(-1)), carobpulley.RunLists{
		Clock: now.Sub(a.s.begin).Milliseconds() + 1, Generation: 1, Running: a.running, Finished: ended,
	})
	a.execute(now)
	for _, co := range a.s.coordinators {
		if !co.agents[a.name] {
			continue
		}
		interval := idleReport
		if a.controller.HasRunsOrEnds(co.name) {
			interval = busyReport
		}
		if a.controller.HasUnreportedEnds(co.name) || now.Sub(a.reported[co.name]) >= interval {
			a.report(now, co)
		}
	}
}

func (a *agent) report(now time.Time, co *coordinator) {
	a.reported[co.name] = now
	a.s.result.Reports++
	r := a.controller.Report(now, co.name)
	for i := range r.Ends {
		if r.Ends[i].Outcome == work.OutcomeNoCapacity {
			a.s.result.HandedBack++
		}
	}
	// The ends count as reported at once: this network loses nothing.
	a.controller.HandleReportReply(now, co.name, r, runs.ReportReply{})
	a.s.at(now.Add(messageDelay), func(now time.Time) {
		if answer := co.table.HandleReport(now, a.convert(r)); answer.Stale {
			a.attach(now, co)
		}
		co.flush(now)
	})
}

// recordStart records that a run uses its endpoint for a time.
func (s *simulation) recordStart(now time.Time, start work.Start, took time.Duration) {
	for at, end := now, now.Add(took); at.Before(end); {
		n := int(at.Sub(s.begin) / WindowLength)
		if n >= len(s.result.Windows) {
			return
		}
		next := s.begin.Add(time.Duration(n+1) * WindowLength)
		if next.After(end) {
			next = end
		}
		s.result.Windows[n].Busy += float64(start.Resources.CPU) * next.Sub(at).Seconds()
		at = next
	}
	job := work.JobOfTask(start.Run.Task)
	if at, first := s.unstarted[job]; first {
		delete(s.unstarted, job)
		s.result.FirstStarts = append(s.result.FirstStarts, now.Sub(at))
	}
}
