package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// Guards against a best-effort job whose duplicate, seconds after the 200, runs again while the coordinator
// that has answered it knows the answer, gets another result than the runs bear out, or gets none.
func TestDuplicateAfterTheAnswer(t *testing.T) {
	type duplicate struct {
		at    int
		after time.Duration
		prior func(f *Fleet)
		again bool
	}
	restart := func(f *Fleet) {
		f.coordinator(1).Kill()
		f.StartCoordinator(1)
		time.Sleep(4 * time.Second)
	}
	for name, d := range map[string]duplicate{
		"at once":                 {1, 0, noFault, false},
		"after seconds":           {1, 11 * time.Second, noFault, false},
		"after 13 s":              {1, 13 * time.Second, noFault, true},
		"elsewhere":               {2, resubmitAfter, noFault, false},
		"elsewhere at once":       {2, 0, noFault, false},
		"elsewhere after 13 s":    {2, 13 * time.Second, noFault, true},
		"elsewhere, killed":       {2, resubmitAfter, func(f *Fleet) { f.coordinator(1).Kill() }, true},
		"at the owner":            {0, resubmitAfter, noFault, false},
		"restarted":               {1, 0, restart, true},
		"agents restarted, there": {1, 4 * time.Second, (*Fleet).restartAgents, false},
		"agents restarted":        {2, 4 * time.Second, (*Fleet).restartAgents, false},
	} {
		for spec, want := range map[string]work.State{specOrdinary: work.StateCompleted, specFails: work.StateFailed} {
			fleet := testSpec()
			fleet.Behavior = duplicateBehavior(1)
			runFleet(t, fleet, func(t *testing.T, f *Fleet) {
				j := specJob(1, true, 3, spec)
				if a := f.submitChecked(1, j, 5*time.Second); a.State != want {
					t.Fatalf("%s: first answer %+v, want %s", name, a, want)
				}
				since, runs := time.Now(), f.Checker.RunCount()
				d.prior(f)
				time.Sleep(d.after)
				again := *j
				a := f.submitUntil(d.at, &again, 5*time.Second)
				if a.Code != carobpulley.AnswerOK || a.State != want {
					t.Errorf("%s: second answer %+v, want %s", name, a, want)
				}
				if got := f.Checker.RunCount() > runs; got != d.again {
					t.Errorf("%s: job %s runs again: %t, want %t", name, spec, got, d.again)
				}
				if d.again {
					f.Checker.CheckAnswer(j, since, a.State)
				}
			})
		}
	}
}

// Guards against a durable job that runs again, or is shown in another state, since its submission arrives
// again after its end: at each coordinator, while its shard is taken over, and until its record is dropped.
func TestDuplicateOfAnEndedDurableJob(t *testing.T) {
	const tasks = 3
	for _, spec := range []string{specOrdinary, specFails} {
		fleet := testSpec()
		fleet.Behavior = duplicateBehavior(1)
		runFleet(t, fleet, func(t *testing.T, f *Fleet) {
			j, since := specJob(1, false, tasks, spec), time.Now()
			submitted := *j
			if a := submit(f, 0, &submitted); a.Code != carobpulley.AnswerOK {
				t.Fatalf("answer %+v", a)
			}
			state := awaitEnd(t, f, 0, j.ID, 8*time.Second)
			f.Checker.CheckAnswer(j, since, state)
			time.Sleep(2 * resubmitAfter)
			runs, ended := f.Checker.RunCount(), time.Now()
			again := func(at int) {
				submitted := *j
				if a := f.submitUntil(at, &submitted, 3*time.Second); a.Code != carobpulley.AnswerOK && a.Code != carobpulley.AnswerUnknown {
					t.Errorf("answer %+v at coordinator %d after %s", a, at, time.Since(ended))
				}
				if a := f.coordinator(at).Coordinator.State(f.ctx, testQueue, j.ID); a.Code == carobpulley.AnswerNotFound || a.Code == carobpulley.AnswerOK && a.State != state {
					t.Errorf("shown as %+v at coordinator %d after %s, want %s", a, at, time.Since(ended), state)
				}
			}
			for at := range f.Coordinators {
				again(at)
			}
			f.coordinator(0).Kill()
			for time.Since(ended) < 10*time.Second {
				again(1)
				again(2)
				time.Sleep(100 * time.Millisecond)
			}
			f.StartCoordinator(0)
			for time.Since(ended) < time.Minute {
				again(0)
				time.Sleep(time.Second)
			}
			if got := f.Checker.RunCount(); got != runs {
				t.Errorf("%d runs, %d before the duplicates", got, runs)
			}
		})
	}
}
