package jobs

import (
	"time"

	"carobpulley/work"
)

// reasonDisplaced is why a best-effort job is given up at the takeover of a durable one.
const reasonDisplaced = "a durable job has the id"

// displace gives up a best-effort job whose id a durable job has that is loaded with its shard. Until its
// runs are known to have ended the durable job is not started: its runs have the same names.
func (t *Table) displace(now time.Time, id string) {
	j := t.jobs[id]
	if j == nil || j.durable() {
		return
	}
	t.withdrawResubmission(j, reasonDisplaced)
	if j.phase != phaseEnded {
		t.displaced[id] = j
	}
	delete(t.jobs, id)
	if j.state.Ended() {
		return
	}
	t.results = append(t.results, BestEffortResult{Job: id, State: work.StateCancelled, Reason: reasonDisplaced})
	t.logDecision(Decision{Job: id, Event: "displaced", Reason: reasonDisplaced})
	t.finishJob(now, j, work.StateCancelled)
}

// retireDisplaced forgets a displaced job whose runs have ended, and starts the job with its id.
func (t *Table) retireDisplaced(now time.Time, j *job) {
	delete(t.displaced, j.id)
	number := work.ShardOf(j.id, t.cfg.Shards)
	if s := t.shards[number]; s != nil {
		t.finishTakeover(now, number, s)
	}
}

// taskAt returns the task of a run at an agent, or that of the job with its id.
func (t *Table) taskAt(a *agentState, key work.Run) *task {
	id, step, index, err := work.ParseTaskName(key.Task)
	if err != nil {
		return nil
	}
	if j := t.displaced[id]; j != nil {
		if tk := j.task(step, index); tk != nil && tk.phase == taskPlaced && tk.agent == a && tk.run == key.Number {
			return tk
		}
	}
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	return j.task(step, index)
}
