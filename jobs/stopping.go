package jobs

import "time"

// stopCheckInterval is the time without an end of a run of an ended best-effort job after which the agent's
// list of runs is asked for.
const stopCheckInterval = 2 * time.Second

// checkStops ends the attachments of agents that have not reported the end of a run of an ended best-effort job
// for stopCheckInterval. The list with the next attachment shows whether the run is on.
//
// Answers the pattern of an agent that does not know the run, and so has no end to report.
func (t *Table) checkStops(now time.Time) {
	for _, a := range t.active {
		for tk := range a.placed {
			switch {
			case !tk.stopping || !a.attached || tk.job.durable() || !tk.job.state.Ended():
			case tk.stopCheckAt.IsZero():
				tk.stopCheckAt = now.Add(stopCheckInterval)
			case !now.Before(tk.stopCheckAt):
				tk.stopCheckAt = now.Add(stopCheckInterval)
				a.attached = false
				t.logDecision(Decision{Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: a.name, Event: "stop checked", Reason: "no end of it is reported"})
			}
		}
	}
}
