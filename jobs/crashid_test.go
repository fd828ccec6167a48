package jobs

import (
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against a best-effort job that is shown as failed, without a run, for endpoints that have crashed
// under another job with its id: one that this coordinator has answered and forgotten, or one of another
// coordinator, of which an agent tells the crashes.
func TestCrashesOfAnotherJobWithTheIDDoNotCount(t *testing.T) {
	for name, known := range map[string]bool{"answered here": true, "of another coordinator": false} {
		t.Run(name, func(t *testing.T) {
			f := newOwner(t, 2)
			task := work.TaskName(testJob(1, 1, true).ID, 0, 0)
			if known {
				f.submit(testJob(1, 1, true))
			}
			r := f.newReport("h0", f.table.FollowingAttachment("h0")-1)
			for _, endpoint := range []string{"h0/1", "h1/1"} {
				r.Crashes = append(r.Crashes, work.Crash{Task: task, Endpoint: endpoint, Certain: true, Alone: true})
			}
			f.table.HandleReport(f.now, r)
			f.takeDispatches()
			if results := f.table.Results(); len(results) > 0 != known {
				t.Fatalf("results %v of the first job", results)
			}
			for agent, starts := range f.started {
				for n, s := range starts {
					f.report(agent, end(s, int64(n+1), work.OutcomeStopped))
				}
			}
			f.advance(recentRetention + time.Second)
			second := testJob(1, 1, true)
			second.Spec = "y"
			if status := f.submit(second); status != SubmitPending {
				t.Fatalf("status %d", status)
			}
			if results := f.table.Results(); len(results) > 0 {
				t.Errorf("results %v of a job that has not run", results)
			}
		})
	}
}

// Guards against a job whose task crashes its endpoints at each submission anew, since the crashes under
// its earlier submissions are forgotten with its result.
func TestCrashesOfAnEarlierSubmissionCount(t *testing.T) {
	f := newOwner(t, 2)
	r := f.newReport("h0", f.table.FollowingAttachment("h0")-1)
	for _, endpoint := range []string{"h0/1", "h1/1"} {
		r.Crashes = append(r.Crashes, work.Crash{Task: work.TaskName(testJob(1, 1, true).ID, 0, 0), Endpoint: endpoint, Certain: true, Alone: true})
	}
	f.submit(testJob(1, 1, true))
	f.table.HandleReport(f.now, r)
	f.takeDispatches()
	for agent, starts := range f.started {
		f.report(agent, end(starts[0], 1, work.OutcomeStopped))
	}
	f.advance(recentRetention + time.Second)
	f.table.Results()
	starts := f.startCount()
	f.submit(testJob(1, 1, true))
	if results := f.table.Results(); len(results) != 1 || results[0].State != work.StateFailed || f.startCount() != starts {
		t.Errorf("results %v after %d more starts, want it failed after none", results, f.startCount()-starts)
	}
}
