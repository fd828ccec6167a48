package emul

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// endedRun is the end of a run at an endpoint, with the specification that the run was started with.
type endedRun struct {
	at      time.Time
	spec    string
	outcome work.Outcome
}

// outcomeBroken is the outcome of a run that was on when its endpoint crashed.
const outcomeBroken work.Outcome = "broken by a crash"

// recordEnd records the end of a run for CheckAnswer.
func (c *Checker) recordEnd(s *work.Start, outcome work.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[s.Run.Task] = append(c.ended[s.Run.Task], endedRun{at: time.Now(), spec: s.Spec, outcome: outcome})
}

// countEnds returns how many runs of a task with a specification have ended in a way since a time. The
// caller holds the lock.
func (c *Checker) countEnds(task, spec string, since time.Time, outcome work.Outcome) int {
	n := 0
	for _, e := range c.ended[task] {
		if e.spec == spec && e.outcome == outcome && !e.at.Before(since) {
			n++
		}
	}
	return n
}

// CheckAnswer records a violation for a job that is shown as completed or failed, if its runs do not bear
// that out: those with its specification that have ended since its first submission.
func (c *Checker) CheckAnswer(j *work.Job, since time.Time, state work.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := false
	for step := range j.Steps {
		for n := range j.Steps[step].Count {
			task := work.TaskName(j.ID, step, n)
			if state == work.StateCompleted && c.countEnds(task, j.Spec, since, work.OutcomeDone) == 0 {
				c.violations = append(c.violations, fmt.Sprintf("%s with spec %q was answered as completed without such a run since %s%s",
					task, j.Spec, since.Format("15:04:05.000"), c.history(task)))
			}
			failed = failed || c.countEnds(task, j.Spec, since, work.OutcomeFailed) >= c.maxAttempts ||
				c.countEnds(task, j.Spec, since, outcomeBroken) >= crashesToGiveUp
		}
	}
	if state == work.StateFailed && !failed {
		c.violations = append(c.violations, fmt.Sprintf("job %s with spec %q was answered as failed with attempts left since %s",
			j.ID, j.Spec, since.Format("15:04:05.000")))
	}
	if state != work.StateCompleted && state != work.StateFailed {
		c.violations = append(c.violations, fmt.Sprintf("job %s was answered as %q", j.ID, state))
	}
}
