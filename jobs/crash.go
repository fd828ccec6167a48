package jobs

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carobpulley/work"
)

const (
	// maxCrashes is the number of endpoints that may crash under a task before it is given up. Only
	// crashes count at which a run of it was certainly there.
	maxCrashes = 3
	// maxCrashesAlone is that number if no run of another job was at the last of them, which leaves
	// no doubt. It is the least number for which RULES.md permits to give a task up.
	maxCrashesAlone = 2
	// crashMemory is how long the crashes of a job that is not in the table are remembered, for a
	// caller or an owner that comes later.
	crashMemory = time.Minute
	// maxJobCrashes bounds the crashes of a job that are remembered, the latest ones: its progress
	// stays below the 256 KiB that PROTOCOL.md allows for a record.
	maxJobCrashes = 1000
)

// jobCrashes holds the crashes of endpoints under the tasks of a job.
type jobCrashes struct {
	at      time.Time
	crashes []work.Crash
}

// recordCrashes records crashes that an agent reports, also those of other coordinators' jobs, and
// gives up the jobs with too many of them.
//
// Answers the pattern of a task that crashes each endpoint that starts it: its count follows it to
// the job's next coordinator.
func (t *Table) recordCrashes(now time.Time, crashes []work.Crash) {
	var changed []*job
	for _, c := range crashes {
		j := t.jobs[work.JobOfTask(c.Task)]
		if t.recordCrash(now, c) && j != nil && !j.state.Ended() && !slices.Contains(changed, j) {
			changed = append(changed, j)
		}
	}
	for _, j := range changed {
		t.markSuspect(j)
		if j.durable() {
			j.crashUnstored = true
			t.markDirty(j)
		}
		if !j.takeoverPending {
			t.giveUpCrashing(now, j)
		}
	}
}

// recordCrash records a crash. It reports whether it was not known before.
func (t *Table) recordCrash(now time.Time, c work.Crash) bool {
	id := work.JobOfTask(c.Task)
	known := t.crashes[id]
	if known == nil {
		known = &jobCrashes{}
		t.crashes[id] = known
	}
	known.at = now
	for _, old := range known.crashes {
		if old.Task == c.Task && old.Endpoint == c.Endpoint {
			return false
		}
	}
	if len(known.crashes) == maxJobCrashes {
		known.crashes = slices.Delete(known.crashes, 0, 1)
	}
	known.crashes = append(known.crashes, c)
	return true
}

// restoreCrashes records the crashes of a job's stored progress.
func (t *Table) restoreCrashes(now time.Time, j *job, p work.Progress) {
	for _, c := range p.Crashed {
		j.begun = true
		t.recordCrash(now, c)
	}
}

// crashCount is the number of endpoints that have crashed under a task.
type crashCount struct {
	// total includes crashes at which a start was under way.
	total, certain int
	// alone is set if no run of another job was at the last certain one.
	alone bool
}

func (t *Table) crashCount(tk *task) crashCount {
	var n crashCount
	c := t.crashes[tk.job.id]
	if c == nil {
		return n
	}
	name := tk.name()
	for i := range c.crashes {
		if c.crashes[i].Task != name {
			continue
		}
		n.total++
		if c.crashes[i].Certain {
			n.certain++
			n.alone = c.crashes[i].Alone
		}
	}
	return n
}

// tooMany reports whether the task is given up.
func (n crashCount) tooMany() bool {
	return n.certain >= maxCrashes || n.certain >= maxCrashesAlone && n.alone
}

// giveUpCrashing fails a job if too many endpoints have crashed under one of its tasks. It reports
// whether it did.
func (t *Table) giveUpCrashing(now time.Time, j *job) bool {
	if t.crashes[j.id] == nil || j.state.Ended() {
		return false
	}
	names := t.crashingTasks(j)
	if len(names) == 0 {
		return false
	}
	j.reason = "endpoints crashed under runs of " + strings.Join(names, ", ")
	t.logDecision(Decision{Job: j.id, Task: names[0], Event: "failed", Reason: j.reason})
	t.finishJob(now, j, work.StateFailed)
	return true
}

// crashingTasks returns the names of the tasks for which a job is given up: of those under which too many
// endpoints have crashed the ones at the most crashes, and the other tasks at as many, since starts of
// the cause may have been under way at some. It is empty if no task was at too many.
func (t *Table) crashingTasks(j *job) []string {
	most := 0
	totals := make(map[*task]int)
	for step := range j.tasks {
		for i := range j.tasks[step] {
			tk := &j.tasks[step][i]
			n := t.crashCount(tk)
			if tk.phase == taskDone || n.total == 0 {
				continue
			}
			totals[tk] = n.total
			if n.tooMany() {
				most = max(most, n.total)
			}
		}
	}
	var names []string
	for tk, total := range totals {
		if most > 0 && total >= most {
			names = append(names, tk.name())
		}
	}
	slices.Sort(names)
	return names
}

// handleTaskCrashed handles the end of a run that was at its endpoint when it crashed.
func (t *Table) handleTaskCrashed(now time.Time, a *agentState, tk *task, e *work.End) {
	t.logDecision(Decision{
		Job: tk.job.id, Task: e.Run.Task, Run: e.Run.Number, Agent: a.name, Event: string(e.Outcome),
		Reason: fmt.Sprintf("told by the agent; endpoints crashed under the task: %d", t.crashCount(tk).total),
	})
	t.ackEnd(a, e)
	tk.avoid = a
	tk.inferred = &inference{basis: string(e.Outcome), run: e.Run, agent: a.name, at: now}
	t.enqueueTask(now, tk)
}

// markSuspect adds a job to the suspects if an endpoint has crashed under one of its tasks.
func (t *Table) markSuspect(j *job) {
	if t.crashes[j.id] != nil && !j.state.Ended() {
		t.suspects[j] = true
	}
}

// findSuspects finds the agents at which tasks of suspect jobs are placed. It drops the suspects that
// have ended.
func (t *Table) findSuspects() {
	clear(t.suspectsAt)
	for j := range t.suspects {
		placed := false
		for step := range j.tasks {
			for i := range j.tasks[step] {
				if tk := &j.tasks[step][i]; tk.phase == taskPlaced {
					t.suspectsAt[tk.agent] = j
					placed = true
				}
			}
		}
		if !placed && (j.state.Ended() || t.jobs[j.id] != j) {
			delete(t.suspects, j)
		}
	}
}

// forSuspect returns the agents at which a task of a suspect job may be placed, of those that can take
// it: those with tasks of the same job, or else those at which nothing runs, or else those without
// tasks of another suspect job. With wait set the task may wait there for capacity.
//
// Answers the pattern of tasks that were lost together and are placed together again: the one that
// crashes its endpoints is never found, and the others fall with it each time.
func (t *Table) forSuspect(now time.Time, tk *task, service string, agents []*agentState, wait bool) []*agentState {
	var same, idle, others []*agentState
	for _, a := range agents {
		if now.Before(a.suspectsPausedUntil) || !t.canTake(now, a, tk, service, wait) {
			continue
		}
		switch t.suspectsAt[a] {
		case tk.job:
			same = append(same, a)
		case nil:
			if len(a.placed) == 0 && a.endpoint.Used == (work.Resources{}) {
				idle = append(idle, a)
			}
			others = append(others, a)
		}
	}
	switch {
	case len(same) > 0:
		return same
	case len(idle) > 0:
		return idle
	default:
		return others
	}
}

// forgetCrashes drops the crashes of jobs that are no longer in the table.
func (t *Table) forgetCrashes(now time.Time) {
	for id, c := range t.crashes {
		if t.jobs[id] == nil && now.Sub(c.at) > crashMemory {
			delete(t.crashes, id)
		}
	}
}

// Reason returns why a job has failed; empty if by the outcome of its runs.
func (t *Table) Reason(id string) string {
	if j := t.jobs[id]; j != nil && j.storedState == work.StateFailed {
		return j.reason
	}
	return ""
}
