package carobpulley

import (
	"time"
)

// Class is the urgency class of a service.
type Class string

// Urgency classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Classes lists the classes, most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassNormal, ClassBulk}
}

// Member is a customer of the dispatcher.
type Member struct {
	Name string
	// TokenHashes are SHA-256 sums of the member's bearer tokens.
	TokenHashes [][32]byte
	// StartsPerSecond limits the rate of task starts; 0 means no limit.
	StartsPerSecond float64
	// MaxConcurrent limits the tasks that run at the same time; 0 means no limit.
	MaxConcurrent int
	// Weight is the member's relative share among the members of a class, at least 1.
	Weight int
}

// Service is a catalogue entry: a service or job type.
type Service struct {
	Name   string
	Member string
	Class  Class
	// MaxConcurrent limits the tasks that run at the same time; 0 means no limit.
	MaxConcurrent int
	// MaxTasks limits the tasks of a job, at most to the constant MaxTasks.
	MaxTasks int
	// RunTime is the declared run time of a task. It is only the initial estimate.
	RunTime time.Duration
	// Idempotent allows requests of this service to be retried unless the
	// request itself is marked non-idempotent.
	Idempotent bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// InService is false while operators have taken the domain out of service.
	InService bool
}

// Catalogue is one version of the complete configuration.
type Catalogue struct {
	// Version grows by one with each accepted change.
	Version  uint64
	Members  map[string]Member
	Services map[string]Service
	Domains  map[string]Domain
	// Entries are the names of the entries, a majority of which grants authority.
	Entries []string
	// Draining lists endpoints that operators are draining.
	Draining map[string]bool
}

// InService reports whether tasks may start in the domain. A domain that the
// catalogue does not list is out of service.
func (c *Catalogue) InService(domain string) bool {
	return c.Domains[domain].InService
}
