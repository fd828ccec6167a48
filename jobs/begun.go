package jobs

import "carobpulley/work"

// mayHaveBegun reports whether a run of the job's current submission has begun or may have: a start was
// carried out, or is in flight to an agent, or got no answer that proves that it was not.
func (j *job) mayHaveBegun() bool { return j.begun || j.inFlight > 0 }

// neverBegan reports whether no run of the job has begun and no start is in flight, not even of an earlier
// submission. If the job is given up then, before the next dispatch, it has not run and never will, so that
// its caller may be told so. A placed task whose start was not sent yet does not count: Refresh leaves starts
// of ended jobs out.
//
// Answers the pattern of agents that refuse starts for lack of capacity: the callers of these jobs are told
// at once that their jobs have not run, instead of waiting for their time limit.
func (j *job) neverBegan() bool { return !j.mayHaveBegun() && !j.begunBefore }

// setSent records whether the start of a placed task may have reached its agent.
func (tk *task) setSent(sent bool) {
	switch {
	case sent && !tk.sent:
		tk.job.inFlight++
	case !sent && tk.sent:
		tk.job.inFlight--
	}
	tk.sent = sent
}

// recordBack records how a start or run came back that an agent no longer has. neverBegun is set if it was
// never carried out and never will be.
func (tk *task) recordBack(neverBegun bool) {
	tk.job.begun = tk.job.begun || !neverBegun
	tk.neverBegun = neverBegun
}

// neverBegun reports whether an end proves that the run has not begun and never will. Other outcomes than
// these two are those of runs that were at their endpoint or may have been.
func neverBegun(e *work.End) bool {
	return e.NeverBegun && (e.Outcome == work.OutcomeNotStarted || e.Outcome == work.OutcomeNoCapacity)
}

// reasonStopped is the reason for which an agent refuses a start that it has refused or stopped before, or a
// run whose number another coordinator's run has.
const reasonStopped = "stopped"

// markSent records for the starts of a dispatch whether they may have reached the agent.
func (t *Table) markSent(d *Dispatch, sent bool) {
	a := t.agents[d.Agent]
	if a == nil {
		return
	}
	for i := range d.Starts {
		key := d.Starts[i].Run
		if tk := t.taskAt(a, key); tk != nil && tk.phase == taskPlaced && tk.agent == a && tk.run == key.Number {
			tk.setSent(sent)
		}
	}
}

// HandleStaleDispatch handles a dispatch that the agent has rejected as a whole, and ends the attachment. If it
// was sent once only, none of its starts was carried out.
func (t *Table) HandleStaleDispatch(d *Dispatch) {
	if d.tries == 1 {
		t.markSent(d, false)
	}
	t.Detach(d.Agent, d.Attachment)
}
