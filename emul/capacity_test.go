package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against starts beyond the capacity of endpoints whose capacity shrinks and grows while they run,
// beside agents that are killed and starts that get no answer, and against room that stays unused after
// it has grown.
func TestCapacityChangesUnderLoad(t *testing.T) {
	const (
		interval = 40 * time.Millisecond
		count    = int(24 * time.Second / interval)
	)
	for _, bestEffort := range []bool{true, false} {
		runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
			large := f.spec.Capacity
			small := work.Resources{CPU: large.CPU / 4, MemMB: large.MemMB}
			answers := make(chan carobpulley.JobAnswer, count)
			begin := time.Now()
			go func() {
				for n := range count {
					time.Sleep(time.Until(begin.Add(time.Duration(n) * interval)))
					go func() { answers <- f.runToEnd(n%len(f.Coordinators), testJob(n, bestEffort, 4)) }()
				}
			}()
			at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
			at(2 * time.Second)
			f.Endpoints[0].SetCapacity(small)
			f.Endpoints[1].SetCapacity(small)
			at(5 * time.Second)
			f.Agents[1].Kill()
			f.StartAgent(1)
			f.Endpoints[2].SetLossRate(0.05)
			at(8 * time.Second)
			f.Endpoints[2].SetCapacity(small)
			f.Endpoints[2].SetLossRate(0)
			before := f.Checker.StartsAt(0)
			at(12 * time.Second)
			shrunk := f.Checker.StartsAt(0) - before
			for n := range 3 {
				f.Endpoints[n].SetCapacity(large)
			}
			at(16 * time.Second)
			before = f.Checker.StartsAt(0)
			at(20 * time.Second)
			if grown := f.Checker.StartsAt(0) - before; grown <= shrunk {
				t.Errorf("best effort %v: %d starts in 4 s after the capacity has grown, %d before", bestEffort, grown, shrunk)
			}
			ended := 0
			for range count {
				a := <-answers
				if a.Code == carobpulley.AnswerOK && a.State == work.StateFailed {
					t.Errorf("best effort %v: job failed: %s", bestEffort, a.Reason)
				}
				if a.Code == carobpulley.AnswerOK && a.State == work.StateCompleted {
					ended++
				}
			}
			if ended < count/2 {
				t.Errorf("best effort %v: %d of %d jobs completed", bestEffort, ended, count)
			}
		})
	}
}

// Guards against jobs that wait for an endpoint that can no longer run them, and against jobs that are
// refused as too large after the capacity has grown.
func TestTooLargeIsJudgedByTheCurrentCapacity(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		large := f.spec.Capacity
		newJob := func(n int) *work.Job {
			j := testJob(n, true, 1)
			j.Steps[0].Resources.CPU = large.CPU / 2
			return j
		}
		setAll := func(r work.Resources) {
			for _, e := range f.Endpoints {
				e.SetCapacity(r)
			}
			time.Sleep(capacityGrace)
		}
		setAll(work.Resources{CPU: large.CPU / 4, MemMB: large.MemMB})
		for n := range f.Coordinators {
			sent := time.Now()
			if a := submit(f, n, newJob(n)); a.Code != carobpulley.AnswerRefused || time.Since(sent) > 100*time.Millisecond {
				t.Errorf("coordinator %d: answer %+v after %s, want a refusal at once", n, a, time.Since(sent))
			}
		}
		setAll(large)
		for n := range f.Coordinators {
			if a := submit(f, n, newJob(10+n)); a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
				t.Errorf("coordinator %d after the capacity has grown: answer %+v", n, a)
			}
		}
	})
}
