package jobs

import (
	"testing"

	"carobpulley/work"
)

// Guards against a run that counts as ended by a report to an earlier process of this coordinator, which
// had given the same numbers to its run and to its attachment.
func TestReportFromBeforeTheAttachmentEndsNoRun(t *testing.T) {
	for _, outcome := range []work.Outcome{work.OutcomeDone, work.OutcomeFailed, work.OutcomeStopped, work.OutcomeNotStarted} {
		f := newFixture(t, 1)
		late := f.newReport("h0", 1)
		f.attach()
		f.submit(testJob(1, 1, true))
		s := f.started["h0"][0]
		late.Ends = []work.End{end(s, 1, outcome)}
		f.table.HandleReport(f.now, late)
		f.takeDispatches()
		if got := f.startCount(); got != 1 {
			t.Errorf("%s: %d starts, want 1", outcome, got)
		}
		if results := f.table.Results(); len(results) > 0 {
			t.Errorf("%s: results %v", outcome, results)
		}
		f.report("h0", end(s, 2, work.OutcomeDone))
		if results := f.table.Results(); len(results) != 1 || results[0].State != work.StateCompleted {
			t.Errorf("%s: results %v after the run's own end", outcome, results)
		}
	}
}
