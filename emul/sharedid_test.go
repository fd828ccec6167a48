package emul

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// specJob returns a test job with a specification of its own.
func specJob(n int, bestEffort bool, tasks int, spec string) *work.Job {
	j := testJob(n, bestEffort, tasks)
	j.Spec = spec
	j.Steps[0].EstimateMS = 1000
	return j
}

// lastingBySpec returns a fleet with one endpoint, whose runs take a time by their specification.
func lastingBySpec(d map[string]time.Duration) Spec {
	spec := testSpec()
	spec.Endpoints = 1
	spec.Behavior = func(s work.Start) (time.Duration, work.Outcome) { return d[s.Spec], work.OutcomeDone }
	return spec
}

// submitChecked submits a best-effort job once and checks its answer by its runs.
func (f *Fleet) submitChecked(at int, j *work.Job, patience time.Duration) carobpulley.JobAnswer {
	since := time.Now()
	again := *j
	a := f.submitUntil(at, &again, patience)
	if a.Code == carobpulley.AnswerOK {
		f.Checker.CheckAnswer(j, since, a.State)
	}
	return a
}

// Guards against a best-effort job that is answered as completed by the end of another job's run with the
// same name and number: a restarted agent finds it at its endpoint. While the coordinator that has the other
// job is there, the job is refused as a conflict.
func TestEndFoundByARestartedAgentIsNotTakenForAnother(t *testing.T) {
	const x, y = 200 * time.Millisecond, 700 * time.Millisecond
	for name, killed := range map[string]bool{"coordinator there": false, "coordinator killed": true} {
		t.Run(name, func(t *testing.T) {
			for kill := x - 4*time.Millisecond; kill < x+8*time.Millisecond; kill += time.Millisecond {
				runFleet(t, lastingBySpec(map[string]time.Duration{"x": x, "y": y}), func(t *testing.T, f *Fleet) {
					restarted := make(chan struct{})
					time.AfterFunc(kill, func() {
						defer close(restarted)
						f.Agents[0].Kill()
						if killed {
							f.coordinator(1).Kill()
						}
						time.Sleep(300 * time.Millisecond)
						f.StartAgent(0)
					})
					f.submitChecked(1, specJob(1, true, 2, "x"), kill+20*time.Millisecond)
					a := f.submitChecked(0, specJob(1, true, 2, "y"), 6*time.Second)
					if killed != (a.Code == carobpulley.AnswerOK) || !killed && a.Code != carobpulley.AnswerConflict {
						t.Errorf("killed at %s: answer %+v", kill, a)
					}
					<-restarted
				})
			}
		})
	}
}

// Guards against a durable job that is shown as completed by the runs of a best-effort job that has its id at
// the coordinator which takes its shard over.
func TestTakenOverJobDoesNotMeetABestEffortOne(t *testing.T) {
	spec := lastingBySpec(map[string]time.Duration{"x": time.Second, "y": 4 * time.Second})
	spec.Coordinators = 2
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		durable, since := specJob(1, false, 2, "x"), time.Now()
		f.cutFromAgents(0, true, true, true) // it is accepted and not started
		if a := submit(f, 0, durable); a.Code != carobpulley.AnswerOK {
			t.Fatalf("answer %+v", a)
		}
		go f.submitChecked(1, specJob(1, true, 2, "y"), 8*time.Second)
		time.Sleep(100 * time.Millisecond)
		if got := f.Checker.RunCount(); got != 2 {
			t.Errorf("%d runs, want those of the best-effort job", got)
		}
		f.coordinator(0).Kill()
		state := awaitEnd(t, f, 1, durable.ID, 25*time.Second)
		f.Checker.CheckAnswer(durable, since, state)
	})
}

// Guards against a durable job that is shown as completed by the end of a best-effort job's run with the same
// name and number, which a restarted agent finds at its endpoint.
func TestEndFoundByARestartedAgentIsNotTakenForADurableOne(t *testing.T) {
	const x, y = 200 * time.Millisecond, 700 * time.Millisecond
	for kill := x - 4*time.Millisecond; kill < x+8*time.Millisecond; kill += time.Millisecond {
		runFleet(t, lastingBySpec(map[string]time.Duration{"x": x, "y": y}), func(t *testing.T, f *Fleet) {
			time.AfterFunc(kill, func() {
				f.Agents[0].Kill()
				time.Sleep(300 * time.Millisecond)
				f.StartAgent(0)
			})
			f.submitChecked(1, specJob(1, true, 2, "x"), kill+20*time.Millisecond)
			durable, since := specJob(1, false, 2, "y"), time.Now()
			if a := submit(f, 0, durable); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
			f.Checker.CheckAnswer(durable, since, awaitEnd(t, f, 0, durable.ID, 10*time.Second))
		})
	}
}

// Guards against a job that is answered by the runs of another one which has its id at another coordinator and
// the same names and numbers at one endpoint, while neither knows of the other.
func TestRunsOfTwoJobsWithOneIDAreToldApart(t *testing.T) {
	for _, durableFirst := range []bool{true, false} {
		for _, gap := range []time.Duration{0, 3 * time.Millisecond, 100 * time.Millisecond, 210 * time.Millisecond, resubmitAfter} {
			spec := lastingBySpec(map[string]time.Duration{"x": 200 * time.Millisecond, "y": 300 * time.Millisecond})
			synctest.Test(t, func(t *testing.T) {
				f := New(spec)
				defer f.Close()
				time.Sleep(4 * time.Second)
				durable, since := specJob(1, false, 2, "x"), time.Now()
				var wg sync.WaitGroup
				wg.Go(func() {
					if !durableFirst {
						time.Sleep(gap)
					}
					if a := submit(f, 0, durable); a.Code != carobpulley.AnswerOK {
						t.Errorf("answer %+v", a)
						return
					}
					f.Checker.CheckAnswer(durable, since, awaitEnd(t, f, 0, durable.ID, 10*time.Second))
				})
				wg.Go(func() {
					if durableFirst {
						time.Sleep(gap)
					}
					if a := f.submitChecked(1, specJob(1, true, 2, "y"), 4*time.Second); a.State != work.StateCompleted {
						t.Errorf("gap %s, durable first: %t: answer %+v", gap, durableFirst, a)
					}
				})
				wg.Wait()
				for _, v := range f.Checker.Violations() {
					// Two jobs with one id run side by side where neither is known; their tasks have the same names.
					if !strings.Contains(v, "at a time") && !strings.Contains(v, "was acknowledged") {
						t.Errorf("gap %s, durable first: %t: %s", gap, durableFirst, v)
					}
				}
			})
		}
	}
}
