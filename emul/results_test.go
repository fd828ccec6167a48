package emul

import (
	"testing"
	"testing/synctest"
	"time"

	"carobpulley/work"
)

// Guards against an answer that passes although its runs are those of an earlier submission or of another
// job with its id, have not ended so, or are those of a part of its tasks.
func TestCheckAnswer(t *testing.T) {
	type ended struct {
		early   bool
		spec    string
		index   int
		outcome work.Outcome
	}
	for name, tt := range map[string]struct {
		state work.State
		ends  []ended
		want  int
	}{
		"completed":               {work.StateCompleted, []ended{{false, "x", 0, work.OutcomeDone}, {false, "x", 1, work.OutcomeDone}}, 0},
		"one task missing":        {work.StateCompleted, []ended{{false, "x", 0, work.OutcomeDone}}, 1},
		"one task stopped":        {work.StateCompleted, []ended{{false, "x", 0, work.OutcomeDone}, {false, "x", 1, work.OutcomeStopped}}, 1},
		"another job's":           {work.StateCompleted, []ended{{false, "x", 0, work.OutcomeDone}, {false, "y", 1, work.OutcomeDone}}, 1},
		"an earlier submission's": {work.StateCompleted, []ended{{false, "x", 0, work.OutcomeDone}, {true, "x", 1, work.OutcomeDone}}, 1},
		"failed":                  {work.StateFailed, []ended{{false, "x", 1, work.OutcomeFailed}, {false, "x", 1, work.OutcomeFailed}}, 0},
		"failed by crashes":       {work.StateFailed, []ended{{false, "x", 1, outcomeBroken}, {false, "x", 1, outcomeBroken}}, 0},
		"attempts left":           {work.StateFailed, []ended{{false, "x", 1, work.OutcomeFailed}, {false, "x", 0, work.OutcomeFailed}}, 1},
		"another job's failures":  {work.StateFailed, []ended{{false, "y", 1, work.OutcomeFailed}, {false, "y", 1, work.OutcomeFailed}}, 1},
		"cancelled":               {work.StateCancelled, nil, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := NewChecker()
			c.maxAttempts = 2
			began := time.Now()
			for _, early := range []bool{true, false} {
				for _, e := range tt.ends {
					if e.early == early {
						c.recordEnd(&work.Start{Run: work.Run{Task: work.TaskName(jobID(1), 0, e.index), Number: 1}, Spec: e.spec}, e.outcome)
					}
				}
				time.Sleep(time.Second)
			}
			c.CheckAnswer(testJob(1, true, 2), began.Add(time.Second), tt.state)
			if got := len(c.Violations()); got != tt.want {
				t.Errorf("%s: %d violations, want %d: %q", name, got, tt.want, c.Violations())
			}
		})
	}
}
