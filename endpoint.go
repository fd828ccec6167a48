package carobpulley

import (
	"net/netip"
	"time"
)

// Endpoint describes one endpoint and the agent beside it.
type Endpoint struct {
	// ID is the configured name of the endpoint.
	ID string
	// Incarnation grows with each start of the agent, so that a replacement host
	// at the same address counts as a new endpoint.
	Incarnation uint64
	// Addr is the address of the agent.
	Addr   netip.AddrPort
	Domain string
	Rack   string
	// Services lists the services that the endpoint runs.
	Services []string
	// Slots is the number of tasks that can run at the same time.
	Slots    int
	Draining bool
}

// Load is the number of tasks at an endpoint, as reported by its agent.
type Load struct {
	Running int
	Queued  int
}

// Sample describes one finished call to an endpoint. A Placer derives its estimates
// from samples.
type Sample struct {
	Endpoint string
	Service  string
	// SentAt and EndedAt are the start and the end of the call at the sender.
	SentAt  time.Time
	EndedAt time.Time
	// Run is the run time at the endpoint itself.
	Run time.Duration
	// Failed is set if the endpoint answered with an error.
	Failed bool
	// Lost is set if no answer arrived.
	Lost bool
	// Refused is set if the agent did not start the task.
	Refused bool
	Load    Load
}
