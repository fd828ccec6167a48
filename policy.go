package carobpulley

import (
	"time"
)

// Placer chooses endpoints for tasks. It is not safe for concurrent use.
type Placer interface {
	// Configure applies a new catalogue: domains in or out of service, draining
	// endpoints.
	Configure(now time.Time, c *Catalogue)
	// Upsert adds or changes an endpoint with its reported load.
	Upsert(now time.Time, e Endpoint, l Load)
	// Remove removes an endpoint.
	Remove(now time.Time, id string)
	// Suspect excludes an endpoint from new work until Upsert is called again.
	Suspect(now time.Time, id string)
	// Pick chooses an endpoint for a task of the service and reserves a place there.
	// It returns false while no endpoint should take a task.
	Pick(now time.Time, service string) (Endpoint, bool)
	// Done releases the place and updates the estimates from the sample.
	Done(now time.Time, s Sample)
	// CanRun reports whether any known endpoint runs the service.
	CanRun(service string) bool
	// Expect estimates when a task would end that is submitted now, with the given
	// number of tasks ahead of it.
	Expect(now time.Time, service string, ahead int) time.Time
}

// Waiting is a queued task that has no reserved place at an endpoint yet.
type Waiting struct {
	Task     TaskID
	Service  string
	Member   string
	Class    Class
	Deadline time.Time
	QueuedAt time.Time
}

// Admitter decides which jobs are admitted and in which order tasks start. It is
// not safe for concurrent use.
type Admitter interface {
	// Configure applies a new catalogue: quotas, classes, limits.
	Configure(now time.Time, c *Catalogue)
	// Admit accepts or refuses a job with all its tasks. It returns nil or an *Error
	// with NotRun set.
	Admit(now time.Time, spec JobSpec) error
	// Push adds a task of an admitted job to its queue.
	Push(now time.Time, w Waiting)
	// Next returns the task to start next. The ready function reports whether a place
	// is available for a service; tasks of services without one are skipped.
	Next(now time.Time, ready func(service string) bool) (Waiting, bool)
	// Drop removes the queued tasks of a job and returns their number.
	Drop(now time.Time, job JobID) int
	// Done reports that a task returned by Next has ended or is queued again by Push.
	Done(now time.Time, w Waiting)
	// Len returns the number of queued tasks.
	Len() int
}
