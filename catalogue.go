package carobpulley

import (
	"time"
)

// Class is a class of urgency.
type Class string

// Classes of urgency, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Classes lists the classes, most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassNormal, ClassBulk}
}

// Member is a tenant of the dispatcher.
type Member struct {
	Name string
	// TokenHashes are SHA-256 sums of the member's bearer tokens.
	TokenHashes [][32]byte
	// StartsPerSecond is the quota of task starts; 0 means no limit.
	StartsPerSecond float64
	// MaxConcurrent is the cap of tasks running at the same time; 0 means no limit.
	MaxConcurrent int
	// Weight is the member's share among members of a class, at least 1.
	Weight int
}

// Service is a catalogue entry: a service or job type.
type Service struct {
	Name   string
	Member string
	Class  Class
	// MaxConcurrent is the cap of tasks running at the same time; 0 means no limit.
	MaxConcurrent int
	// MaxTasks is the cap of tasks in a job, at most MaxTasks of this package.
	MaxTasks int
	// RunTime is the declared run time of a task, a first estimate only.
	RunTime time.Duration
	// Idempotent allows requests of this service to be retried unless the
	// request itself is marked non-idempotent.
	Idempotent bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// InService is false while operators have taken the domain out.
	InService bool
}

// Catalogue is the whole configuration at one version.
type Catalogue struct {
	// Version grows by one with each accepted change.
	Version  uint64
	Members  map[string]Member
	Services map[string]Service
	Domains  map[string]Domain
	// Entries are the names of the entries whose majority gives authority.
	Entries []string
	// Draining lists endpoints that operators are taking out.
	Draining map[string]bool
}

// InService reports whether tasks may start in the domain. A domain that the
// catalogue does not list is out of service.
func (c *Catalogue) InService(domain string) bool {
	return c.Domains[domain].InService
}
