package admit

import (
	"slices"
	"time"

	"carobpulley"
)

// Naive implements carobpulley.Admitter with one FIFO queue and without quotas.
// Tests and benchmarks compare Admitter with it.
type Naive struct {
	estimator Estimator
	catalogue *carobpulley.Catalogue
	queue     []carobpulley.Waiting
}

var _ carobpulley.Admitter = (*Naive)(nil)

// NewNaive returns a Naive that uses the estimator to decide which jobs can run.
func NewNaive(estimator Estimator) *Naive {
	return &Naive{estimator: estimator, catalogue: &carobpulley.Catalogue{}}
}

// Configure implements carobpulley.Admitter.
func (a *Naive) Configure(_ time.Time, c *carobpulley.Catalogue) {
	a.catalogue = c
}

// Admit implements carobpulley.Admitter. It refuses only jobs that can never run.
func (a *Naive) Admit(now time.Time, spec carobpulley.JobSpec) error {
	return checkFeasible(now, a.catalogue, a.estimator, spec)
}

// Push implements carobpulley.Admitter.
func (a *Naive) Push(_ time.Time, w carobpulley.Waiting) {
	a.queue = append(a.queue, w)
}

// Next implements carobpulley.Admitter.
func (a *Naive) Next(now time.Time, ready func(service string) bool) (carobpulley.Waiting, bool) {
	a.queue = slices.DeleteFunc(a.queue, func(w carobpulley.Waiting) bool {
		return !w.Deadline.IsZero() && !now.Before(w.Deadline)
	})
	for i, w := range a.queue {
		if ready(w.Service) {
			a.queue = slices.Delete(a.queue, i, i+1)
			return w, true
		}
	}
	return carobpulley.Waiting{}, false
}

// Drop implements carobpulley.Admitter.
func (a *Naive) Drop(_ time.Time, job carobpulley.JobID) int {
	before := len(a.queue)
	a.queue = slices.DeleteFunc(a.queue, func(w carobpulley.Waiting) bool { return w.Task.Job == job })
	return before - len(a.queue)
}

// Done implements carobpulley.Admitter.
func (a *Naive) Done(time.Time, carobpulley.Waiting) {}

// Len implements carobpulley.Admitter.
func (a *Naive) Len() int {
	return len(a.queue)
}
