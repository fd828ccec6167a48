package jobs

import (
	"fmt"
	"time"
)

const (
	// overdueFactor and overdueMargin define when a run counts as overdue: after
	// overdueFactor times the expected run time plus overdueMargin.
	overdueFactor = 5
	overdueMargin = 700 * time.Millisecond
	// maxRunTime bounds the doubling of the time that the runs of an overlong task get.
	maxRunTime = 10 * 365 * 24 * time.Hour
)

// expectedRunTime returns how long a task is expected to run at the agent's endpoint.
func (a *agentState) expectedRunTime(tk *task) time.Duration {
	return time.Duration(float64(estimateOf(tk)) * a.runTimeRatio)
}

// overdueAt returns the time from which a run of a task that starts at an agent now counts as overdue. After a
// second overdue run of the task, which is then taken to be longer than estimated, each run gets twice the time of
// the last one: it ends after a number of stops that grows with the logarithm of its run time, and its stopped runs
// take at most twice that time.
//
// Answers the pattern of estimates that are far too low: runs that are stopped after the same time again and again
// use capacity and never end.
func overdueAt(now time.Time, tk *task, a *agentState) time.Time {
	runTime := overdueFactor*a.expectedRunTime(tk) + overdueMargin
	for n := 1; n < tk.overdueRuns && runTime < maxRunTime; n++ {
		runTime *= 2
	}
	return now.Add(runTime)
}

// stopOverdue stops runs that take far longer than expected, so that they can run at
// another endpoint.
func (t *Table) stopOverdue(now time.Time) {
	for _, a := range t.active {
		for tk := range a.placed {
			if tk.stopping || now.Before(tk.overdueAt) || !a.attached {
				continue
			}
			expected := a.expectedRunTime(tk)
			t.stopTask(tk)
			tk.avoid = a
			verdict := t.recordOverdue(now, tk, a)
			t.logDecision(Decision{
				Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: a.name, Event: "stopped",
				Reason: fmt.Sprintf("far beyond its expected run time: %d ms after its placement, %d ms were expected; overdue runs of the task: %d; %s",
					now.Sub(tk.placedAt).Milliseconds(), expected.Milliseconds(), tk.overdueRuns, verdict),
			})
		}
	}
}

// recordOverdue counts an overdue run of a task and decides whether it tells of a faulty endpoint or of an overlong
// task, which it returns for the log. It counts against the endpoint unless
//   - an earlier run of the task was overdue, at another endpoint as a rule. Then the first one no longer counts
//     against its endpoint either.
//   - the endpoint has ended another run since this one was late.
//   - half of the service's endpoints count as unhealthy. Overdue runs don't use up attempts, so work at an
//     endpoint in doubt costs less than an idle service.
//
// Answers the patterns of endpoints that stand idle because of a few overlong tasks, and of a service whose
// estimates are all too low.
func (t *Table) recordOverdue(now time.Time, tk *task, a *agentState) (verdict string) {
	tk.overdueRuns++
	t.markDirty(tk.job)
	switch {
	case tk.overdueRuns > 1:
		if tk.blamed != nil && tk.blamed != a {
			t.withdrawBlame(tk)
		}
		return "the task is taken to be overlong"
	case a.lastDoneAt.After(tk.placedAt.Add(a.expectedRunTime(tk) + overdueMargin)):
		return "its host has ended another run since it was late"
	case !a.probing && t.halfUnhealthy(a.endpoint.Service):
		return "no more hosts of the service may count as unhealthy"
	}
	tk.blamed = a
	t.recordFailure(now, a, tk, true)
	return "it counts against its host"
}

// withdrawBlame takes back that the first overdue run of a task counts against its endpoint, unless another task of
// its job has failed or was overdue there too. The endpoint counts as healthy again if it was unhealthy only by that run.
func (t *Table) withdrawBlame(tk *task) {
	a, j := tk.blamed, tk.job
	tk.blamed = nil
	if a.failedJobs[j.id] {
		return
	}
	for step := range j.tasks {
		for i := range j.tasks[step] {
			if j.tasks[step][i].blamed == a {
				return
			}
		}
	}
	delete(a.failedJobs, j.id)
	if a.probing && len(a.failedJobs) < unhealthyAfterJobs {
		a.recordHealthy()
		t.logDecision(Decision{Job: j.id, Task: tk.name(), Agent: a.name, Event: "healthy", Reason: "a task that was overdue there is overdue elsewhere too"})
	}
}

// halfUnhealthy reports whether one more unhealthy endpoint would make them more than half of the service's, as seen
// through the attached agents.
func (t *Table) halfUnhealthy(service string) bool {
	all, unhealthy := 0, 0
	for _, a := range t.active {
		if !a.attached || !a.endpoint.Ready || a.endpoint.Service != service || t.outOfService[a.endpoint.Domain] {
			continue
		}
		all++
		if a.probing {
			unhealthy++
		}
	}
	return 2*(unhealthy+1) > all
}
