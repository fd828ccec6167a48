package jobs

import "time"

// stalledFactor is the multiple of its expected run time after which a run counts against its
// endpoint when the job is given up.
const stalledFactor = 2

// abandonedJob is what is remembered of a best-effort job that was given up, for its next
// submission.
type abandonedJob struct {
	at time.Time
	// lastRun is the highest run number of the job's tasks. Endpoints refuse numbers up to
	// that of a run that has ended there.
	lastRun int64
	// begun is set if a run has begun or may have.
	begun bool
	// stalledAt holds the agents at which tasks stood still, by task name.
	stalledAt map[string]*agentState
}

// rememberAbandoned records a best-effort job that is given up after it has used run numbers, also those of
// an earlier submission: agents remember also the numbers of starts that they have refused.
//
// Answers the pattern of an endpoint at which tasks stand still: a job that its caller submits
// again would wait there once more.
func (t *Table) rememberAbandoned(now time.Time, j *job) {
	a := &abandonedJob{at: now, lastRun: j.runBase, begun: !j.neverBegan(), stalledAt: make(map[string]*agentState)}
	for step := range j.tasks {
		for i := range j.tasks[step] {
			tk := &j.tasks[step][i]
			a.lastRun = max(a.lastRun, tk.run)
			switch {
			case tk.phase == taskPlaced && now.Sub(tk.placedAt) > stalledFactor*estimateOf(tk):
				a.stalledAt[tk.name()] = tk.agent
			case tk.avoid != nil && tk.phase != taskDone:
				a.stalledAt[tk.name()] = tk.avoid
			}
		}
	}
	if a.lastRun > 0 {
		t.abandoned[j.id] = a
	}
}

// recallAbandoned applies what is remembered of an earlier submission of the job.
func (t *Table) recallAbandoned(j *job) {
	a := t.abandoned[j.id]
	if a == nil {
		return
	}
	delete(t.abandoned, j.id)
	j.begunBefore = a.begun
	j.runBase = a.lastRun
	for step := range j.tasks {
		for i := range j.tasks[step] {
			tk := &j.tasks[step][i]
			tk.avoid = a.stalledAt[tk.name()]
		}
	}
}
