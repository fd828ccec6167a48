package single

import (
	"fmt"
	"slices"
	"time"

	"carobpulley/jobs"
	"carobpulley/runs"
	"carobpulley/work"
)

const (
	agentTimeout   = runs.ProofTTL + runs.ProofTTL*2/100 + 150*time.Millisecond
	pauseThreshold = 400 * time.Millisecond
	wakeAllowance  = 250 * time.Millisecond
)

// coordinator does the input and output of package coord.
type coordinator struct {
	process
	name     string
	table    *jobs.Table
	lastTick time.Time
	// unanswered holds, by agent, the dispatches with stops that are under way, and whether a try has failed.
	unanswered   map[string]map[*jobs.Dispatch]bool
	nextAttachAt map[string]time.Time
	// waiters holds the calls that wait for a job.
	waiters map[string][]*call
}

func newCoordinator(w *world) *coordinator {
	co := &coordinator{process: process{w: w}, name: "co"}
	co.start()
	return co
}

func (co *coordinator) incarnation() uint64 { return uint64(co.number) }

func (co *coordinator) spec() string { return fmt.Sprintf("co/%d", co.number) }

// start starts a process of the coordinator, which knows nothing of the earlier one.
func (co *coordinator) start() {
	co.up = true
	co.number++
	co.frozen, co.lastTick = time.Time{}, co.w.now
	co.unanswered = map[string]map[*jobs.Dispatch]bool{}
	co.nextAttachAt = map[string]time.Time{}
	co.waiters = map[string][]*call{}
	co.table = jobs.New(jobs.Config{
		Name: co.name, StatusRetention: time.Minute, AgentTimeout: agentTimeout, TakeoverWait: 4 * time.Second,
		AuthorityTTL: 2500 * time.Millisecond, Shards: 1,
	})
	co.table.SetCoordinatorCount(1)
	capacity := &work.EndpointCapacity{Service: testService, Capacity: work.Resources{CPU: endpointCPU, MemMB: 100000}}
	for n := range agents {
		co.table.AddAgent(agentName(n), "z", capacity)
	}
	co.w.log("co: process %d starts", co.number)
	co.w.after(co.w.ms(1, 40), co.mine(co.tick))
}

// do runs a step under the coordinator's lock.
func (co *coordinator) do(step func()) {
	now := co.w.now
	if now.Sub(co.lastTick) >= pauseThreshold {
		co.table.HoldBestEffort(now.Add(wakeAllowance))
		co.lastTick = now
	}
	step()
	co.flush()
}

func (co *coordinator) tick() {
	co.w.after(40*time.Millisecond, co.mine(co.tick))
	co.do(func() {
		co.lastTick = co.w.now
		co.table.Tick(co.w.now)
		co.attachDetached()
	})
}

func (co *coordinator) flush() {
	for _, d := range co.table.Decisions() {
		co.w.log("co: %s run %d at %s: %s: %s %s", d.Task, d.Run, d.Agent, d.Event, d.Reason, d.Job)
		if d.Task != "" && d.Event != "submitted again" {
			co.w.basis[fmt.Sprintf("%s/%s/%d", co.spec(), d.Task, d.Run)] = d.Event + ": " + d.Reason
		}
	}
	for _, d := range co.table.Dispatches() {
		a := co.w.agent(d.Agent)
		for _, s := range d.Starts {
			co.w.place(a, s)
		}
		if len(d.Stops) > 0 {
			if co.unanswered[d.Agent] == nil {
				co.unanswered[d.Agent] = map[*jobs.Dispatch]bool{}
			}
			co.unanswered[d.Agent][d] = false
		}
		co.w.after(co.w.between(0, time.Millisecond), co.mine(func() { co.send(a, d) }))
	}
	for _, r := range co.table.Results() {
		for _, c := range co.waiters[r.Job] {
			c.answered(r.State)
		}
		delete(co.waiters, r.Job)
	}
}

func (co *coordinator) attachDetached() {
	now := co.w.now
	co.table.DetachUnresponsive(now, 900*time.Millisecond)
	names := co.table.AgentsToAttach(now)
	slices.Sort(names)
	for _, name := range names {
		if now.Before(co.nextAttachAt[name]) {
			continue
		}
		co.nextAttachAt[name] = now.Add(1200 * time.Millisecond)
		a, attachment := co.w.agent(name), co.table.NextAttachment(name)
		co.w.after(co.w.between(0, time.Millisecond), co.mine(func() { co.attach(a, attachment) }))
	}
}

func (co *coordinator) attach(a *agent, attachment uint64) {
	r := runs.AttachRequest{Coordinator: co.name, Incarnation: co.incarnation(), Addr: "127.0.0.1:1", Attachment: attachment}
	co.w.rpc(&a.process, &a.to, &a.from, 400*time.Millisecond, func() any { return a.attach(r) }, func(reply any) {
		co.mine(func() {
			co.do(func() {
				switch full, answered := reply.(*jobs.Report); {
				case !answered && co.table.HasPlacedTasks(a.name):
					co.nextAttachAt[a.name] = co.w.now.Add(100 * time.Millisecond)
				case !answered:
					co.nextAttachAt[a.name] = co.w.now.Add(800 * time.Millisecond)
				case full == nil:
					co.nextAttachAt[a.name] = co.w.now.Add(100 * time.Millisecond)
				default:
					delete(co.nextAttachAt, a.name)
					co.table.HandleAttachment(co.w.now, *full, co.table.OwnedShards())
				}
			})
		})()
	})
}

// send repeats a dispatch until the agent answers it or its attachment is no longer current.
func (co *coordinator) send(a *agent, d *jobs.Dispatch) {
	sendable := jobs.SendNever
	co.do(func() { sendable = co.table.Refresh(co.w.now, d) })
	again := func() { co.w.after(30*time.Millisecond, co.mine(func() { co.send(a, d) })) }
	switch sendable {
	case jobs.SendNever:
		delete(co.unanswered[d.Agent], d)
		return
	case jobs.SendLater:
		again()
		return
	}
	m := runs.Dispatch{
		Coordinator: co.name, Incarnation: co.incarnation(), Attachment: d.Attachment, Echo: d.Echo, Starts: slices.Clone(d.Starts),
		Stops: slices.Clone(d.Stops), Acked: d.Acked, AckedGeneration: d.AckedGeneration,
	}
	for other, failed := range co.unanswered[d.Agent] {
		if other != d && failed && other.Attachment == d.Attachment {
			m.Stops = append(m.Stops, other.Stops...)
		}
	}
	co.w.rpc(&a.process, &a.to, &a.from, 300*time.Millisecond, func() any { return a.order(m) }, func(reply any) {
		co.mine(func() {
			r, answered := reply.(*orderReply)
			if !answered {
				if _, underWay := co.unanswered[d.Agent][d]; underWay {
					co.unanswered[d.Agent][d] = true
				}
				again()
				return
			}
			co.do(func() { co.handleReply(d, r) })
			delete(co.unanswered[d.Agent], d)
		})()
	})
}

func (co *coordinator) handleReply(d *jobs.Dispatch, r *orderReply) {
	if r.stale {
		co.table.Detach(d.Agent, d.Attachment)
		delete(co.nextAttachAt, d.Agent)
		co.attachDetached()
		return
	}
	co.table.HandleDispatchReply(d, r.state)
	byReason := map[string][]work.Run{}
	var reasons []string
	for _, refused := range r.refused {
		if byReason[refused.Reason] == nil {
			reasons = append(reasons, refused.Reason)
		}
		byReason[refused.Reason] = append(byReason[refused.Reason], refused.Run)
	}
	for _, reason := range reasons {
		co.table.HandleRefusedStarts(co.w.now, d, byReason[reason], reason)
	}
}

// report serves a report; nil is the answer to a stale one.
func (co *coordinator) report(a *agent, r jobs.Report) *runs.ReportReply {
	var reply *runs.ReportReply
	co.do(func() {
		answer := co.table.HandleReport(co.w.now, r)
		if answer.Stale {
			return
		}
		reply = &runs.ReportReply{Acked: answer.Acked, AckedGeneration: answer.Generation}
		for d := range co.unanswered[a.name] {
			if d.Attachment == r.Attachment {
				reply.Stops = append(reply.Stops, d.Stops...)
			}
		}
	})
	return reply
}

// restarted handles the record of a process of an agent.
func (co *coordinator) restarted(a *agent, incarnation uint64) {
	co.do(func() {
		co.table.ExpectAgent(a.name, incarnation)
		if co.table.Incarnation(a.name) != incarnation {
			co.table.Detach(a.name, co.table.FollowingAttachment(a.name)-1)
			delete(co.nextAttachAt, a.name)
		}
	})
}
