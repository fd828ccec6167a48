package jobs

import (
	"time"

	"carobpulley/work"
)

const (
	// refusalPause is how long an agent that refused a start gets no further starts,
	// unless it reports earlier.
	refusalPause = 25 * time.Millisecond
	// unhealthyAfterJobs is the number of different jobs that have to fail at an
	// endpoint, without a success in between, before it counts as unhealthy.
	unhealthyAfterJobs = 3
	// minUnhealthyPeriod is how long an unhealthy endpoint gets no tasks; each further
	// failure doubles the period up to maxUnhealthyPeriod.
	minUnhealthyPeriod = 1500 * time.Millisecond
	maxUnhealthyPeriod = 12 * time.Second
	// minRunTimeWeight is the least weight of the newest run in an endpoint's
	// run time ratio.
	minRunTimeWeight = 0.12
	// minRunTimeRatio and maxRunTimeRatio bound the ratio of one run, so that a bad
	// estimate has little effect.
	minRunTimeRatio, maxRunTimeRatio = 0.2, 8.0
)

// agentState is the state of an agent and its endpoint.
type agentState struct {
	name        string
	incarnation uint64
	attachment  uint64
	// requestedAttachment is the highest number that NextAttachment has returned.
	requestedAttachment uint64
	// generation is the endpoint's generation, within which ends are numbered.
	generation string
	endpoint   work.EndpointState
	attached   bool
	// attachedAt is the time of the answer to the attachment; see provenAt.
	attachedAt time.Time
	// attachedClock is the clock reading of that answer. A report with an earlier one is to an
	// earlier process of this coordinator, whose attachment had the same number.
	attachedClock int64
	lastReportAt  time.Time
	// member is set for an agent of this coordinator's share, and extraUntil for one that
	// was added for more capacity.
	member     bool
	extraUntil time.Time
	// unseen is set for a process of the agent that this coordinator was never attached to. The
	// owner of a shard attaches to it once, since its endpoint may list ends of runs that an
	// earlier process started.
	unseen bool
	// soughtSince is the time since which the coordinator tries to attach to the agent.
	soughtSince time.Time
	// released is set while the agent is attached but no longer wanted: it gets no tasks and
	// is told to end the attachment.
	released bool
	// echo is the highest clock reading that the agent has sent; dispatches return it.
	echo int64
	// free is the endpoint's capacity without that of all placed tasks and other
	// coordinators' runs. It is negative while runs queue at the agent.
	free work.Resources
	// placed holds the tasks with a run at the agent that is not over.
	placed map[*task]bool
	// kinds holds the CPU capacity of the placed tasks by kind, if the table looks for pairs.
	kinds []work.KindLoad
	// acked holds the numbers of the ends to acknowledge with the next message.
	acked []int64
	// unconfirmedEnds holds, by number, ends that are acknowledged once the ownership
	// of their shard is confirmed.
	unconfirmedEnds map[int64]unconfirmedEnd
	dispatch        *Dispatch
	pausedUntil     time.Time
	handBacks       handBacks
	// suspectsPausedUntil is the time until which the agent gets no tasks of suspect jobs.
	suspectsPausedUntil time.Time
	// bias is this coordinator's cost factor for the agent; see maxBias.
	bias float64
	// runTimeRatio is the mean ratio of run time to estimate, weighted towards recent
	// runs.
	runTimeRatio   float64
	runTimeSamples int
	// failedJobs holds the jobs of which runs have failed, or with false were only overdue, since the last success,
	// and lastDoneAt the time of that success.
	failedJobs map[string]bool
	lastDoneAt time.Time
	// unhealthyUntil is the time from which an unhealthy endpoint gets one task as a
	// probe.
	unhealthyUntil  time.Time
	unhealthyPeriod time.Duration
	probing         bool
	// probe is the task that was placed last as a probe, nil once its run is over, and nextProbeAt the
	// time from which the endpoint gets another one although that run has not failed.
	probe       *task
	nextProbeAt time.Time
}

// unconfirmedEnd is an end that is acknowledged only after an ownership proof newer
// than its receipt.
type unconfirmedEnd struct {
	shard int
	// epoch is that of the shard when the end was received.
	epoch      uint64
	receivedAt time.Time
}

// Report is the content of an agent's report or of its answer to an attachment.
type Report struct {
	Agent       string
	Incarnation uint64
	Attachment  uint64
	SentAt      int64
	State       work.EndpointState
	Ends        []work.End
	// Running lists the coordinator's runs of best-effort jobs, and the runs of the shards
	// that it attached with. It is set only in the answer to an attachment.
	Running []work.Run
	// Crashes lists crashes of the agent's endpoint that were not reported before.
	Crashes []work.Crash
}

// bestEffortShard is the shard number of best-effort jobs, which belong to no shard.
const bestEffortShard = -1

// AddAgent adds an agent that was found in the store. Shards acquired later wait for
// it before tasks of older jobs are placed. The capacity of its endpoint may be nil; it holds
// until the agent reports.
func (t *Table) AddAgent(name, domain string, c *work.EndpointCapacity) {
	a := t.agents[name]
	if a == nil {
		a = &agentState{
			name: name, placed: make(map[*task]bool), failedJobs: make(map[string]bool),
			unconfirmedEnds: make(map[int64]unconfirmedEnd),
			runTimeRatio:    1, bias: t.biasFor(name),
		}
		t.agents[name] = a
	}
	if c != nil && !a.attached {
		a.endpoint.Domain = domain
		a.endpoint.Service, a.endpoint.Labels, a.endpoint.Capacity = c.Service, c.Labels, c.Capacity
	}
}

// RemoveAgent removes an agent that is permanently gone. An attached agent stays, and so does one
// with tasks placed, since their leases have to expire.
func (t *Table) RemoveAgent(now time.Time, name string) {
	a := t.agents[name]
	if a == nil || a.attached || len(a.placed) > 0 {
		return
	}
	delete(t.agents, name)
	for number, s := range t.shards {
		if _, ok := s.awaited[name]; ok && now.After(s.awaited[name]) {
			delete(s.awaited, name)
			t.finishTakeover(now, number, s)
		}
	}
}

// FollowingAttachment returns the number after that of an agent's last attachment,
// or 0 for an unknown agent. It reserves nothing; see NextAttachment.
func (t *Table) FollowingAttachment(name string) uint64 {
	a := t.agents[name]
	if a == nil {
		return 0
	}
	return a.attachment + 1
}

// NextAttachment reserves a number for an attempt to attach to an agent, or returns 0
// for an unknown agent. Each attempt needs its own number: the agent may have accepted
// an attempt whose answer was lost, and it accepts no number twice.
func (t *Table) NextAttachment(name string) uint64 {
	a := t.agents[name]
	if a == nil {
		return 0
	}
	a.requestedAttachment = max(a.requestedAttachment, a.attachment) + 1
	return a.requestedAttachment
}

// ExpectAgent handles the announcement of a process of an agent.
func (t *Table) ExpectAgent(name string, incarnation uint64) {
	if a := t.agents[name]; a != nil && a.incarnation != incarnation {
		a.unseen = true
	}
}

// Incarnation returns the incarnation of the agent's process to which the coordinator is
// attached; 0 if there is none.
func (t *Table) Incarnation(name string) uint64 {
	if a := t.agents[name]; a != nil && a.attached {
		return a.incarnation
	}
	return 0
}

// Detach ends an attachment, so that the coordinator attaches to the agent again. It
// does nothing if the attachment is not the agent's current one.
func (t *Table) Detach(name string, attachment uint64) {
	if a := t.agents[name]; a != nil && a.attachment == attachment {
		a.attached = false
	}
}

// HandleAttachment handles an agent's answer to an attachment. The epochs are those of
// the shards that were owned when the attachment was requested. The agent lists all
// its runs; any other run placed there is over, since the agent rejects dispatches of
// earlier attachments.
func (t *Table) HandleAttachment(now time.Time, r Report, epochs map[int]uint64) {
	a := t.agents[r.Agent]
	if a == nil || r.Attachment <= a.attachment {
		return
	}
	a.attachment = r.Attachment
	a.attached = true
	a.attachedAt = now
	a.attachedClock = r.SentAt
	a.released = false
	a.soughtSince = time.Time{}
	a.unseen = false
	a.dispatch = nil
	t.refreshActive()
	if a.incarnation != r.Incarnation {
		a.incarnation = r.Incarnation
		a.echo = 0
		t.endBestEffortRuns(now, a)
	}
	t.updateAgent(now, a, r)
	t.recordCrashes(now, r.Crashes)
	t.handleEnds(now, a, r.Ends)
	listed := make(map[*task]bool, len(r.Running))
	for _, key := range r.Running {
		if tk := t.reconcileRun(now, a, key); tk != nil {
			listed[tk] = true
		}
	}
	for tk := range a.placed {
		if !listed[tk] {
			tk.requireProof(now)
			t.inferEnd(now, tk, basisUnlisted, Decision{Event: "not run", Reason: "not on the agent's list"})
		}
	}
	for number, s := range t.shards {
		if epochs[number] != s.epoch {
			continue
		}
		if _, ok := s.awaited[a.name]; ok {
			delete(s.awaited, a.name)
			t.finishTakeover(now, number, s)
		}
	}
	t.PlaceReady(now)
}

// reconcileRun matches a run that an agent lists with the table. It returns the run's
// task if the run is the one placed there, also while it is being stopped, and stops the
// run otherwise, unless its job is unreadable.
func (t *Table) reconcileRun(now time.Time, a *agentState, key work.Run) *task {
	tk := t.taskAt(a, key)
	if tk != nil && tk.phase == taskPlaced && tk.agent == a && tk.run == key.Number {
		if tk.stopping || tk.job.state.Ended() {
			// The stop may be lost with the attachment in which it was sent.
			tk.stopping = false
			t.stopTask(tk)
		}
		tk.setSent(true)
		return tk
	}
	if tk != nil && tk.phase == taskWaiting && tk.job.takeoverPending && !tk.job.state.Ended() {
		tk.run, tk.inheritedRun = key.Number, max(tk.inheritedRun, key.Number)
		t.assign(now, tk, a)
		tk.setSent(true)
		return tk
	}
	if t.unreadable(work.JobOfTask(key.Task)) == nil {
		t.pendingDispatch(a).Stops = append(t.pendingDispatch(a).Stops, key)
	}
	return nil
}

func (tk *task) start() work.Start {
	return work.Start{Run: tk.key(), Spec: tk.job.spec.Spec, Resources: tk.resources(), Durable: tk.job.durable(), Priority: tk.job.spec.Queue.Priority}
}

// updateAgent updates an agent with the endpoint's state from a report.
func (t *Table) updateAgent(now time.Time, a *agentState, r Report) {
	a.lastReportAt = now
	a.echo = max(a.echo, r.SentAt)
	if r.State.Instance != a.endpoint.Instance {
		a.runTimeRatio, a.runTimeSamples = 1, 0
		a.recordHealthy()
		a.lastDoneAt = time.Time{}
		clear(a.failedJobs)
		a.handBacks = handBacks{}
	}
	a.endpoint = r.State
	if a.generation != r.State.Instance {
		a.generation = r.State.Instance
		a.acked = nil
		clear(a.unconfirmedEnds)
	}
	a.free = a.endpoint.Capacity.Sub(a.endpoint.Used).Sub(a.placedResources())
	a.pausedUntil = time.Time{}
}

func (a *agentState) placedResources() work.Resources {
	var sum work.Resources
	for tk := range a.placed {
		sum = sum.Add(tk.resources())
	}
	return sum
}

// ReportAnswer is the answer to a report.
type ReportAnswer struct {
	// Acked holds the numbers of the ends to acknowledge, and Generation the endpoint
	// generation that they belong to.
	Acked      []int64
	Generation string
	// Stale is set if the report is not of the current attachment, so that the agent has to
	// be attached again.
	Stale bool
	// Released is set if the agent may end the attachment.
	Released bool
}

// HandleReport handles a report.
func (t *Table) HandleReport(now time.Time, r Report) ReportAnswer {
	a := t.agents[r.Agent]
	if a == nil || !a.attached || a.incarnation != r.Incarnation || a.attachment != r.Attachment || r.SentAt < a.attachedClock {
		return ReportAnswer{Stale: true, Released: a != nil && !t.wanted(now, a)}
	}
	t.updateAgent(now, a, r)
	t.recordCrashes(now, r.Crashes)
	t.handleEnds(now, a, r.Ends)
	t.PlaceReady(now)
	acked := a.acked
	a.acked = nil
	return ReportAnswer{Acked: acked, Generation: a.generation, Released: a.released}
}

// requeueIfUnresponsive requeues the tasks of an agent whose last report is so old
// that every lease there has expired.
func (t *Table) requeueIfUnresponsive(now time.Time, a *agentState) {
	if now.Sub(a.lastReportAt) <= t.cfg.AgentTimeout {
		return
	}
	a.attached = false
	a.dispatch = nil
	for tk := range a.placed {
		tk.requireProof(now)
		t.inferEnd(now, tk, basisSilent, Decision{Event: "lost", Reason: "nothing heard of its agent, its lease has lapsed"})
	}
}

// DetachUnresponsive ends the attachments of agents without a report for longer than
// a timeout, so that the coordinator attaches to them again.
func (t *Table) DetachUnresponsive(now time.Time, timeout time.Duration) {
	for _, a := range t.active {
		if a.attached && now.Sub(a.lastReportAt) > timeout {
			a.attached = false
		}
	}
}

// ResponsiveAgents returns the names of the attached agents that have reported within a timeout.
func (t *Table) ResponsiveAgents(now time.Time, timeout time.Duration) []string {
	var names []string
	for _, a := range t.active {
		if a.attached && now.Sub(a.lastReportAt) <= timeout {
			names = append(names, a.name)
		}
	}
	return names
}

// HasPlacedTasks reports whether tasks are placed at an agent.
func (t *Table) HasPlacedTasks(name string) bool {
	a := t.agents[name]
	return a != nil && len(a.placed) > 0
}
