package jobs

import (
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
}

// pendingDispatch returns the dispatch to be sent next to an agent, creating it if
// there is none.
func (t *Table) pendingDispatch(a *agentState) *Dispatch {
	if a.dispatch == nil {
		a.dispatch = &Dispatch{Agent: a.name, Incarnation: a.incarnation, Attachment: a.attachment}
	}
	return a.dispatch
}

// Dispatches returns and clears the pending dispatches of the attached agents.
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
		dispatches = append(dispatches, a.dispatch)
		a.dispatch = nil
	}
	return dispatches
}

// RefreshEcho updates the echo of a dispatch before it is sent. It reports false if
// the dispatch belongs to an earlier attachment or incarnation and must not be sent.
func (t *Table) RefreshEcho(d *Dispatch) bool {
	a := t.agents[d.Agent]
	if a == nil || !a.attached || a.attachment != d.Attachment || a.incarnation != d.Incarnation {
		return false
	}
	d.Echo = a.echo
	return true
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

// HandleRefusedStarts requeues the tasks of the starts that an agent refused from a
// dispatch.
func (t *Table) HandleRefusedStarts(now time.Time, d *Dispatch, runs []work.Run, reason string) {
	a := t.agents[d.Agent]
	for _, key := range runs {
		tk := t.taskOf(key)
		if tk == nil || tk.phase != taskPlaced || tk.agent != a || tk.run != key.Number {
			continue
		}
		t.logDecision(Decision{Job: tk.job.id, Task: key.Task, Run: key.Number, Agent: d.Agent, Event: "not run", Reason: "refused by the agent: " + reason})
		a.pausedUntil = now.Add(refusalPause)
		t.requeueTask(now, tk)
	}
	t.PlaceReady(now)
}
