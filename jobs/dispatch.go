package jobs

import (
	"slices"
	"time"

	"carobpulley/work"
)

// Dispatch is the message that starts and stops runs at an agent.
type Dispatch struct {
	Agent       string
	Incarnation uint64
	Attachment  uint64
	Echo        int64
	Starts      []work.Start
	Stops       []work.Run
	Acked       []int64
	// AckedGeneration is the endpoint generation that the numbers in Acked belong to.
	AckedGeneration string
	// tries counts how often the dispatch may have reached the agent.
	tries int
}

// pendingDispatch returns the dispatch to be sent next to an agent, creating it if
// there is none.
func (t *Table) pendingDispatch(a *agentState) *Dispatch {
	if a.dispatch == nil {
		a.dispatch = &Dispatch{Agent: a.name, Incarnation: a.incarnation, Attachment: a.attachment}
	}
	return a.dispatch
}

// Dispatches returns and clears the pending dispatches of the attached agents. Their starts count as sent
// from now on, unless Refresh keeps them back.
func (t *Table) Dispatches() []*Dispatch {
	var dispatches []*Dispatch
	for _, a := range t.active {
		if a.dispatch == nil || !a.attached {
			continue
		}
		a.dispatch.Echo = a.echo
		a.dispatch.Acked = a.acked
		a.dispatch.AckedGeneration = a.generation
		a.acked = nil
		t.markSent(a.dispatch, true)
		dispatches = append(dispatches, a.dispatch)
		a.dispatch = nil
	}
	return dispatches
}

// Sendable is what may be done with a dispatch that is about to be sent.
type Sendable int

// Values of Sendable.
const (
	// SendNever means that the dispatch belongs to an earlier attachment or incarnation.
	SendNever Sendable = iota
	// SendLater means that its starts are held for now.
	SendLater
	// SendNow means that the dispatch may be sent.
	SendNow
)

// Refresh updates a dispatch before it is sent, for the first time or again: its echo is the latest
// one, and starts that are no longer placed there are left out. The agent remembers a stop for a
// short time only, so a start that is repeated after it would take effect. A start of an ended job
// that may have reached the agent is repeated with its stop, which the agent handles first: the
// answer tells whether the run is over.
func (t *Table) Refresh(now time.Time, d *Dispatch) Sendable {
	a := t.agents[d.Agent]
	if a == nil || !a.attached || a.attachment != d.Attachment || a.incarnation != d.Incarnation {
		t.markSent(d, d.tries > 0)
		return SendNever
	}
	d.Echo = a.echo
	placed := make([]work.Start, 0, len(d.Starts))
	for i := range d.Starts {
		key := d.Starts[i].Run
		tk := t.taskAt(a, key)
		if tk == nil || tk.phase != taskPlaced || tk.agent != a || tk.run != key.Number {
			continue
		}
		switch {
		case tk.job.state.Ended() && d.tries == 0:
			t.requeueTask(now, tk)
			continue
		case tk.job.state.Ended():
			if !slices.Contains(d.Stops, key) {
				d.Stops = append(d.Stops, key)
			}
		case !t.mayStart(now, tk.job):
			t.markSent(d, d.tries > 0)
			return SendLater
		}
		placed = append(placed, d.Starts[i])
	}
	d.Starts = placed
	d.tries++
	t.markSent(d, true)
	return SendNow
}

// HandleDispatchReply updates an agent with the endpoint's state from the reply to a
// dispatch.
func (t *Table) HandleDispatchReply(d *Dispatch, s work.EndpointState) {
	a := t.agents[d.Agent]
	if a == nil || a.attachment != d.Attachment || s.Instance != a.endpoint.Instance {
		return
	}
	a.endpoint = s
	a.free = a.endpoint.Capacity.Sub(a.endpoint.Used).Sub(a.placedResources())
}

// reasonCapacity is the reason for which an agent refuses a start that its endpoint has no capacity for.
const reasonCapacity = "room"

// reasonSuspect is the reason for which an agent refuses a start while a run of another suspect job
// is there; it concerns no other starts.
const reasonSuspect = "suspect"

// suspectPause is how long an agent that refused a start for that reason gets no further starts of
// suspect jobs.
const suspectPause = 100 * time.Millisecond

// HandleRefusedStarts requeues the tasks of the starts that an agent refused from a
// dispatch.
func (t *Table) HandleRefusedStarts(now time.Time, d *Dispatch, runs []work.Run, reason string) {
	a := t.agents[d.Agent]
	for _, key := range runs {
		tk := t.taskAt(a, key)
		if tk == nil || tk.phase != taskPlaced || tk.agent != a || tk.run != key.Number {
			continue
		}
		t.logDecision(Decision{Job: tk.job.id, Task: key.Task, Run: key.Number, Agent: d.Agent, Event: "not run", Reason: "refused by the agent: " + reason})
		switch reason {
		case reasonSuspect:
			a.suspectsPausedUntil = now.Add(suspectPause)
		case reasonCapacity, reasonStopped:
			a.pausedUntil = now.Add(refusalPause)
		default:
			t.recordHandBack(now, a)
		}
		tk.recordBack(reason != reasonStopped)
		tk.requireProof(a.attachedAt)
		t.requeueTask(now, tk)
	}
	t.PlaceReady(now)
}
