package emul

import (
	"testing"

	"carobpulley/work"
)

// Guards against a checker that misses a violation of a rule.
func TestCheckerFindsViolations(t *testing.T) {
	j := testJob(1, true, 1)
	task := work.TaskName(j.ID, 0, 0)
	started := runEvent{what: eventStarted, run: 1}
	tests := map[string]struct {
		act  func(c *Checker)
		want int
	}{
		"one run": {func(c *Checker) {
			c.recordStart(started, task)
			c.recordDone(task)
			c.recordStop(started, task)
			c.CheckCompleted(j)
		}, 0},
		"two runs at a time": {func(c *Checker) {
			c.recordStart(started, task)
			c.recordStart(started, task)
		}, 1},
		"a start after the end was acknowledged": {func(c *Checker) {
			c.recordStart(started, task)
			c.recordStop(started, task)
			c.recordAck(work.Start{Run: work.Run{Task: task}, Durable: true}, work.OutcomeDone)
			c.recordStart(started, task)
		}, 1},
		"completed without a successful run": {func(c *Checker) {
			c.recordStart(started, task)
			c.recordStop(started, task)
			c.CheckCompleted(j)
		}, 1},
		"failed with an attempt left": {func(c *Checker) {
			c.recordFailed(task)
			c.CheckFailed(j)
		}, 1},
		"failed without an attempt left": {func(c *Checker) {
			c.recordFailed(task)
			c.recordFailed(task)
			c.CheckFailed(j)
		}, 0},
		"failed after one crash": {func(c *Checker) {
			c.recordBroken(task)
			c.CheckFailed(j)
		}, 1},
		"failed after two crashes": {func(c *Checker) {
			c.recordBroken(task)
			c.recordBroken(task)
			c.CheckFailed(j)
		}, 0},
		"a start after all attempts have failed": {func(c *Checker) {
			for range 2 {
				c.recordAck(work.Start{Run: work.Run{Task: task}, Durable: true}, work.OutcomeFailed)
			}
			c.recordStart(started, task)
		}, 1},
	}
	for name, tt := range tests {
		c := NewChecker()
		c.maxAttempts = 2
		tt.act(c)
		if got := c.Violations(); len(got) != tt.want {
			t.Errorf("%s: violations %q, want %d", name, got, tt.want)
		}
	}
}
