package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against an answer by which a job has not run and never runs while it runs at another coordinator: its caller
// has sent it there a moment before, and the connection broke.
func TestJobThatRunsElsewhereIsNotRefusedForWantOfProcessorTime(t *testing.T) {
	spec := homesSpec(700 * time.Millisecond)
	spec.Load = func(n int) carobpulley.ProcessorLoad {
		if n == 0 {
			return shortOfTime
		}
		return carobpulley.ProcessorLoad{Used: 95 * time.Millisecond}
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		for n := 1; n < 4; n++ {
			f.Net.SetDelay(CoordinatorAddr(0), CoordinatorAddr(n), 90*time.Millisecond)
		}
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() { f.submitUntil(0, testJob(100+n, true, 1), time.Second) })
			time.Sleep(20 * time.Millisecond)
		}
		for n := range 12 {
			wg.Go(func() { f.submitFor(1, testJob(n, true, 1), 20*time.Millisecond) })
			wg.Go(func() {
				time.Sleep(15 * time.Millisecond)
				a := f.submitUntil(0, testJob(n, true, 1), 2*time.Second)
				if a.Code == carobpulley.AnswerRefused && f.Checker.StartCount(work.TaskName(jobID(n), 0, 0)) > 0 {
					t.Errorf("job %d, which has been started at coordinator 1: answer %+v", n, a)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against refusals for want of processor time by waits that others caused: jobs that wait until runs of a
// coordinator which has ended are over.
func TestWaitForRunsElsewhereIsNoWantOfProcessorTime(t *testing.T) {
	spec := homesSpec(200 * time.Millisecond)
	spec.Load = func(n int) carobpulley.ProcessorLoad {
		if n == 0 {
			return shortOfTime
		}
		return carobpulley.ProcessorLoad{Used: 95 * time.Millisecond}
	}
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() { f.submitAll(1, n, 1, 2*time.Second, 100*time.Millisecond) })
			wg.Go(func() {
				time.Sleep(110 * time.Millisecond)
				f.submitAll(0, n, 1, 2*time.Second, 4*time.Second)
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.coordinator(1).Kill()
		for n := range 60 {
			wg.Go(func() {
				if a := f.submitUntil(0, testJob(100+n, true, 1), time.Second); a.Code == carobpulley.AnswerRefused {
					t.Errorf("job %d: answer %+v", n, a)
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		wg.Wait()
	})
}
