package jobs

import (
	"time"

	"carobpulley/work"
)

const (
	// refusalPause keeps an agent that had no room from being asked again before
	// its next report.
	refusalPause = 25 * time.Millisecond
	// failRow is the number of different jobs in a row that fail at a runner until
	// it counts as sick.
	failRow = 3
	// sickPause is how long a sick runner gets nothing; each further failure
	// doubles it up to sickPauseMax.
	sickPause    = 1500 * time.Millisecond
	sickPauseMax = 12 * time.Second
	// paceWeight is the weight of the newest run in a runner's pace.
	paceWeight = 0.12
	// paceFloor bounds the pace of one run, so that a bad estimate counts little.
	paceFloor, paceCeiling = 0.2, 8.0
)

// host is an agent with its runner.
type host struct {
	name        string
	incarnation uint64
	attachment  uint64
	// asked is the number of the newest attachment that was asked for.
	asked uint64
	// life names the runner's life that numbers of ends belong to.
	life     string
	state    work.EndpointState
	attached bool
	heardAt  time.Time
	echo     int64
	free     work.Resources
	placed   map[*task]bool
	acked    []int64
	// unproved holds ends, by number, that are acknowledged once the ownership of
	// their shard is proved.
	unproved map[int64]unproved
	order    *Dispatch
	pause    time.Time
	// bias is this coordinator's own preference; see biasPart.
	bias float64
	// pace is the mean of run time over estimate.
	pace    float64
	paced   int
	failRow map[string]bool
	// sickUntil is when a sick runner gets one task to try.
	sickUntil time.Time
	sickFor   time.Duration
	trial     bool
}

// unproved is an end that waits for a proof of ownership that is newer than it.
type unproved struct {
	shard int
	at    time.Time
}

// Dispatch is what an agent is told.
type Dispatch struct {
	Agent       string
	Incarnation uint64
	Attachment  uint64
	Echo        int64
	Starts      []work.Start
	Stops       []work.Run
	Acked       []int64
	// AckedGeneration is the runner's life that the numbers in Acked belong to.
	AckedGeneration string
}

// Report is what an agent tells.
type Report struct {
	Agent       string
	Incarnation uint64
	Attachment  uint64
	SentAt      int64
	State       work.EndpointState
	Ends        []work.End
	// Running is set in the answer to an attachment.
	Running []work.Run
}

// volatileShard stands for the shard of jobs that are not kept.
const volatileShard = -1

// AddAgent adds an agent that was found in the store. Tasks of older jobs wait for
// it, if the shard was taken over before.
func (t *Table) AddAgent(name string) {
	if t.hosts[name] == nil {
		t.hosts[name] = &host{
			name: name, placed: make(map[*task]bool), failRow: make(map[string]bool),
			unproved: make(map[int64]unproved),
			pace:     1, bias: t.bias(name),
		}
	}
}

// RemoveAgent removes an agent that is gone for good.
func (t *Table) RemoveAgent(now time.Time, name string) {
	h := t.hosts[name]
	if h == nil || h.attached {
		return
	}
	delete(t.hosts, name)
	for number, s := range t.shards {
		if _, ok := s.waiting[name]; ok && now.After(s.waiting[name]) {
			delete(s.waiting, name)
			t.release(now, number, s)
		}
	}
}

// Attachment returns the number for the next attachment of an agent.
func (t *Table) Attachment(name string) uint64 {
	h := t.hosts[name]
	if h == nil {
		return 0
	}
	return h.attachment + 1
}

// NextAttachment returns the number for another try to attach to an agent. Each try has a
// number of its own: the agent may have taken one whose answer was lost, and takes
// none twice.
func (t *Table) NextAttachment(name string) uint64 {
	h := t.hosts[name]
	if h == nil {
		return 0
	}
	h.asked = max(h.asked, h.attachment) + 1
	return h.asked
}

// Detach ends the attachment with an agent, so that the shell attaches again.
func (t *Table) Detach(name string, attachment uint64) {
	if h := t.hosts[name]; h != nil && h.attachment == attachment {
		h.attached = false
	}
}

// Detached returns the agents that have no attachment.
func (t *Table) Detached() []string {
	var names []string
	for name, h := range t.hosts {
		if !h.attached {
			names = append(names, name)
		}
	}
	return names
}

// HandleAttachment takes the answer to an attachment for all owned shards with their
// epochs as they were then. What the agent lists is all that it runs; whatever
// else was placed there is over, since it refuses orders of earlier attachments.
func (t *Table) HandleAttachment(now time.Time, r Report, epochs map[int]uint64) {
	h := t.hosts[r.Agent]
	if h == nil || r.Attachment <= h.attachment {
		return
	}
	h.attachment = r.Attachment
	h.attached = true
	h.order = nil
	if h.incarnation != r.Incarnation {
		h.incarnation = r.Incarnation
		h.echo = 0
	}
	t.hear(now, h, r)
	t.takeEnds(now, h, r.Ends)
	listed := make(map[*task]bool, len(r.Running))
	for _, key := range r.Running {
		if tk := t.claimRun(now, h, key); tk != nil {
			listed[tk] = true
		}
	}
	for tk := range h.placed {
		if !listed[tk] {
			t.decide(Decision{Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: h.name, Event: "not run", Reason: "not on the agent's list"})
			t.again(now, tk)
		}
	}
	for number, s := range t.shards {
		if epochs[number] != s.epoch {
			continue
		}
		if _, ok := s.waiting[h.name]; ok {
			delete(s.waiting, h.name)
			t.release(now, number, s)
		}
	}
	t.Place(now)
}

// claimRun takes a run that an agent lists. It returns the run's task if the
// table has it there, and orders the stop of any other run.
func (t *Table) claimRun(now time.Time, h *host, key work.Run) *task {
	tk := t.taskOf(key)
	if tk == nil || tk.job.state.Ended() || tk.phase == taskDone || tk.phase == taskPlaced && tk.host != h || tk.phase == taskWaiting && !tk.job.old {
		t.outgoing(h).Stops = append(t.outgoing(h).Stops, key)
		return nil
	}
	if tk.phase == taskPlaced && tk.run != key.Number {
		t.outgoing(h).Stops = append(t.outgoing(h).Stops, key)
		return nil
	}
	if tk.phase == taskWaiting {
		tk.run = key.Number
		t.place(now, tk, h)
	}
	return tk
}

func (t *Table) taskOf(key work.Run) *task {
	id, step, index, err := work.ParseTaskName(key.Task)
	if err != nil {
		return nil
	}
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	return j.task(step, index)
}

func (tk *task) start() work.Start {
	return work.Start{Run: tk.key(), Spec: tk.job.spec.Spec, Resources: tk.need(), Durable: tk.job.kept()}
}

// hear takes what a report says of the runner.
func (t *Table) hear(now time.Time, h *host, r Report) {
	h.heardAt = now
	h.echo = max(h.echo, r.SentAt)
	if r.State.Instance != h.state.Instance {
		h.pace, h.paced = 1, 0
		h.sickUntil, h.sickFor, h.trial = time.Time{}, 0, false
		clear(h.failRow)
	}
	h.state = r.State
	if h.life != r.State.Instance {
		h.life = r.State.Instance
		h.acked = nil
		clear(h.unproved)
	}
	h.free = h.state.Capacity.Sub(h.state.Used).Sub(h.load())
	h.pause = time.Time{}
}

func (h *host) load() work.Resources {
	var sum work.Resources
	for tk := range h.placed {
		sum = sum.Add(tk.need())
	}
	return sum
}

// HandleReport takes a report. It returns the numbers of stored ends; stale is set
// if the agent is to be attached again.
func (t *Table) HandleReport(now time.Time, r Report) (acked []int64, life string, stale bool) {
	h := t.hosts[r.Agent]
	if h == nil || !h.attached || h.incarnation != r.Incarnation || h.attachment != r.Attachment {
		return nil, "", true
	}
	t.hear(now, h, r)
	t.takeEnds(now, h, r.Ends)
	t.Place(now)
	acked = h.acked
	h.acked = nil
	return acked, h.life, false
}

// checkHost gives up what ran beside an agent that was not heard of for so long
// that every lease there has lapsed.
func (t *Table) checkHost(now time.Time, h *host) {
	if now.Sub(h.heardAt) <= t.cfg.AgentTimeout {
		return
	}
	h.attached = false
	h.order = nil
	for tk := range h.placed {
		t.decide(Decision{Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: h.name, Event: "lost", Reason: "nothing heard of its agent, its lease has lapsed"})
		t.again(now, tk)
	}
}

// outgoing returns the order that is being gathered for an agent.
func (t *Table) outgoing(h *host) *Dispatch {
	if h.order == nil {
		h.order = &Dispatch{Agent: h.name, Incarnation: h.incarnation, Attachment: h.attachment}
	}
	return h.order
}

// Dispatches returns what agents are to be told now.
func (t *Table) Dispatches() []*Dispatch {
	var out []*Dispatch
	for _, h := range t.hosts {
		if h.order == nil || !h.attached {
			continue
		}
		h.order.Echo = h.echo
		h.order.Acked = h.acked
		h.order.AckedGeneration = h.life
		h.acked = nil
		out = append(out, h.order)
		h.order = nil
	}
	return out
}

// RefreshEcho puts the newest echo into an order that is sent again. It reports false
// if the order is void.
func (t *Table) RefreshEcho(o *Dispatch) bool {
	h := t.hosts[o.Agent]
	if h == nil || !h.attached || h.attachment != o.Attachment || h.incarnation != o.Incarnation {
		return false
	}
	o.Echo = h.echo
	return true
}

// HandleDispatchReply takes the state of the runner in the answer to an order.
func (t *Table) HandleDispatchReply(o *Dispatch, s work.EndpointState) {
	h := t.hosts[o.Agent]
	if h == nil || h.attachment != o.Attachment || s.Instance != h.state.Instance {
		return
	}
	h.state = s
	h.free = h.state.Capacity.Sub(h.state.Used).Sub(h.load())
}

// HandleRefusedStarts takes the starts of an order that its agent did not carry out.
func (t *Table) HandleRefusedStarts(now time.Time, o *Dispatch, runs []work.Run, reason string) {
	h := t.hosts[o.Agent]
	for _, key := range runs {
		tk := t.taskOf(key)
		if tk == nil || tk.phase != taskPlaced || tk.host != h || tk.run != key.Number {
			continue
		}
		t.decide(Decision{Job: tk.job.id, Task: key.Task, Run: key.Number, Agent: o.Agent, Event: "not run", Reason: "refused by the agent: " + reason})
		h.pause = now.Add(refusalPause)
		t.again(now, tk)
	}
	t.Place(now)
}

// DetachUnresponsive ends the attachments of agents that were not heard of for a while, so
// that they are attached to again.
func (t *Table) DetachUnresponsive(now time.Time, quiet time.Duration) {
	for _, h := range t.hosts {
		if h.attached && now.Sub(h.heardAt) > quiet {
			h.attached = false
		}
	}
}

// HasPlacedTasks reports whether an agent may still run something.
func (t *Table) HasPlacedTasks(name string) bool {
	h := t.hosts[name]
	return h != nil && len(h.placed) > 0
}
