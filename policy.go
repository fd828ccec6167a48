package carobpulley

import (
	"time"
)

// Placer chooses endpoints for tasks. It is not safe for concurrent use.
type Placer interface {
	// Configure takes a new catalogue: domains in or out, draining endpoints.
	Configure(now time.Time, c *Catalogue)
	// Upsert adds or changes an endpoint with its reported load.
	Upsert(now time.Time, e Endpoint, l Load)
	// Remove forgets an endpoint.
	Remove(now time.Time, id string)
	// Suspect keeps an endpoint from new work until Upsert is called again.
	Suspect(now time.Time, id string)
	// Pick reserves a place at an endpoint for a task of the service. It
	// returns false while none should take one.
	Pick(now time.Time, service string) (Endpoint, bool)
	// Done releases the place and learns from the exchange.
	Done(now time.Time, s Sample)
	// CanRun reports whether any known endpoint runs the service.
	CanRun(service string) bool
	// Expect estimates when a task submitted now would end.
	Expect(now time.Time, service string, ahead int) time.Time
}

// Waiting is a task that waits for a place at an endpoint.
type Waiting struct {
	Task     TaskID
	Service  string
	Member   string
	Class    Class
	Deadline time.Time
	QueuedAt time.Time
}

// Admitter decides what is taken in and in which order tasks start. It is not
// safe for concurrent use.
type Admitter interface {
	// Configure takes a new catalogue: quotas, classes, limits.
	Configure(now time.Time, c *Catalogue)
	// Admit decides on a whole job. It returns nil or an *Error with NotRun set.
	Admit(now time.Time, spec JobSpec) error
	// Push adds a task of an admitted job to its queue.
	Push(now time.Time, w Waiting)
	// Next returns the task to start next. The ready function tells whether a
	// place for the service can be had; tasks of other services are passed over.
	Next(now time.Time, ready func(service string) bool) (Waiting, bool)
	// Drop removes the queued tasks of a job and returns their number.
	Drop(now time.Time, job JobID) int
	// Done tells that a task returned by Next has ended or goes back by Push.
	Done(now time.Time, w Waiting)
	// Len returns the number of queued tasks.
	Len() int
}
