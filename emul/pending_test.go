package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// waitingJobs submits durable jobs that wait behind a job whose tasks fill all endpoints.
func waitingJobs(t *testing.T, f *Fleet, jobs int) {
	t.Helper()
	for n := range jobs + 1 {
		j := testJob(n, false, 1)
		if n == 0 {
			j.Steps[0].Count = 44
		}
		j.Steps[0].EstimateMS = 60_000
		j.Queue.TargetMS = 600_000
		if a := submit(f, n%3, j); a.Code != carobpulley.AnswerOK {
			t.Fatalf("job %d: answer %+v", n, a)
		}
	}
	time.Sleep(5 * time.Second)
}

// Guards against a count of pending jobs that leaves out those of a shard, since its owner has not loaded them yet or no
// longer owns it (review/14).
func TestPendingCountsTheJobsOfAShardThatIsLoaded(t *testing.T) {
	const jobs = 20
	cases := map[string]func(f *Fleet, owner int){
		"its owner is killed and starts again": func(f *Fleet, owner int) {
			f.Coordinators[owner].Kill()
			time.Sleep(300 * time.Millisecond)
			f.StartCoordinator(owner)
		},
		"its owner is stopped and starts again": func(f *Fleet, owner int) {
			f.Coordinators[owner].Stop()
			f.StartCoordinator(owner)
		},
		"all coordinators start again": func(f *Fleet, _ int) {
			for n := range f.Coordinators {
				f.Coordinators[n].Kill()
			}
			for n := range f.Coordinators {
				f.StartCoordinator(n)
			}
		},
		"its owner is suspended": func(f *Fleet, owner int) { f.SuspendHost(owner, 6*time.Second) },
	}
	for name, disturb := range cases {
		spec := testSpec()
		spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return time.Minute, work.OutcomeDone }
		t.Run(name, func(t *testing.T) {
			runFleet(t, spec, func(t *testing.T, f *Fleet) {
				waitingJobs(t, f, jobs)
				began := time.Now()
				go disturb(f, f.ownerOfShards(t))
				var answered time.Time
				for time.Since(began) < 10*time.Second {
					for n := range f.Coordinators {
						at := time.Since(began)
						got, err := f.coordinator(n).Coordinator.Pending(f.ctx, testQueue)
						if err == nil && got < jobs/2 {
							t.Fatalf("coordinator %d counts %d of %d jobs %s after that", n, got, jobs, at)
						}
						if err == nil {
							answered = time.Now()
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				if time.Since(answered) > time.Second {
					t.Errorf("no count in the last %s", time.Since(answered))
				}
			})
		})
	}
}
