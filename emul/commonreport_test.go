package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against an end that waits for a run that takes much longer, so that the coordinator takes the endpoint to
// be full meanwhile.
func TestEndWaitsOnlyBrieflyForALongRun(t *testing.T) {
	const short, long = 30 * time.Millisecond, 1500 * time.Millisecond
	spec := testSpec()
	spec.Coordinators, spec.Endpoints, spec.Capacity = 1, 1, work.Resources{CPU: 12_000, MemMB: 1000}
	spec.Behavior = func(s work.Start) (time.Duration, work.Outcome) {
		if s.Run.Task == jobID(1)+".0.0.1" {
			return long, work.OutcomeDone
		}
		return short, work.OutcomeDone
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		var wg sync.WaitGroup
		wg.Go(func() { submit(f, 0, testJob(1, true, 2)) })
		time.Sleep(short)
		began := time.Now()
		if a := submit(f, 0, testJob(2, true, 1)); a.Code != carobpulley.AnswerOK {
			t.Errorf("answer %v: %s", a.Code, a.Reason)
		}
		if took := time.Since(began); took > 4*short {
			t.Errorf("the next job was answered after %v, want %v at most", took, 4*short)
		}
		wg.Wait()
	})
}
