package emul

import (
	"sync"
	"testing"
	"time"

	"carobpulley/work"
)

// Guards against two runs of a task at a time if jobs reach two coordinators at once in the second after the
// connections between coordinators have gone silent: a time-out over an old connection says nothing about
// the home of a job.
func TestHomesAfterSilence(t *testing.T) {
	const (
		jobs     = 60
		interval = 25 * time.Millisecond
		apart    = 10 * time.Millisecond
	)
	for name, c := range map[string]struct {
		seen   time.Duration
		strike func(f *Fleet)
	}{
		"break seen soon":           {15 * time.Millisecond, (*Fleet).SilenceCoordinators},
		"break seen late":           {92 * time.Millisecond, (*Fleet).SilenceCoordinators},
		"break seen much later":     {500 * time.Millisecond, (*Fleet).SilenceCoordinators},
		"break seen late, all":      {92 * time.Millisecond, (*Fleet).SilenceAll},
		"break seen late, one host": {92 * time.Millisecond, func(f *Fleet) { f.silenceHost(0) }},
		"break seen late, quotas":   {92 * time.Millisecond, func(f *Fleet) { f.SetQuotas(0.25) }},
		"break seen late, quotas and silence": {92 * time.Millisecond, func(f *Fleet) {
			f.SetQuotas(0.25)
			f.SilenceAll()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			spec := testSpec()
			spec.Coordinators = 4
			spec.Capacity = work.Resources{CPU: 640_000, MemMB: 1_000_000}
			spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 300 * time.Millisecond, work.OutcomeDone }
			runFleet(t, spec, func(t *testing.T, f *Fleet) {
				f.warmUp()
				c.strike(f)
				var wg sync.WaitGroup
				for n := range jobs {
					first := n % 4
					second := (first + 1 + n%3) % 4
					wg.Go(func() { f.submitUntil(first, testJob(n, true, 2), c.seen) })
					wg.Go(func() {
						time.Sleep(apart)
						if a := f.submitUntil(second, testJob(n, true, 2), 4*time.Second); a.State != work.StateCompleted {
							t.Errorf("job %d: answer %+v, want it completed", n, a)
						}
					})
					time.Sleep(interval)
				}
				wg.Wait()
			})
		})
	}
}

// silenceHost makes the open connections between one coordinator and the others silent for good.
func (f *Fleet) silenceHost(n int) {
	for other := range f.spec.Coordinators {
		f.SilenceBetween(CoordinatorAddr(n), CoordinatorAddr(other), true, true)
	}
}

// warmUp lets each coordinator run jobs, so that all have connections to each other and to agents.
func (f *Fleet) warmUp() {
	var wg sync.WaitGroup
	for n := range 24 * len(f.Coordinators) {
		wg.Go(func() { f.submitUntil(n%len(f.Coordinators), testJob(1000+n, true, 1), 5*time.Second) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}
