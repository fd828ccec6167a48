package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// Bases on which a run is taken to be over although its endpoint has neither listed its end nor refused
// its start.
const (
	basisUnlisted  = "unlisted"
	basisSilent    = "silent"
	basisRestarted = "restarted"
)

// inference tells why a run was taken to be over.
type inference struct {
	basis string
	run   work.Run
	agent string
	at    time.Time
}

// inferEnd records that the current run of a task is taken to be over, logs it and queues the task again.
func (t *Table) inferEnd(now time.Time, tk *task, basis string, d Decision) {
	d.Job, d.Task, d.Run, d.Agent = tk.job.id, tk.name(), tk.run, tk.agent.name
	t.logDecision(d)
	tk.recordBack(!tk.sent)
	tk.inferred = &inference{basis: basis, run: tk.key(), agent: tk.agent.name, at: now}
	t.requeueTask(now, tk)
}

// logPlacedAgain logs the placement of a task whose last run was taken to be over, which is a second run at
// a time if that was wrong.
func (t *Table) logPlacedAgain(now time.Time, tk *task) {
	i := tk.inferred
	if i == nil {
		return
	}
	tk.inferred = nil
	t.logDecision(Decision{
		Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: tk.agent.name, Event: "placed again", Basis: i.basis,
		Reason: fmt.Sprintf("run %d at %s was taken to be over %d ms ago: %s", i.run.Number, i.agent, now.Sub(i.at).Milliseconds(), i.basis),
	})
}
