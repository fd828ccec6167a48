package carobpulley

import (
	"net/netip"
	"time"
)

// Endpoint describes one endpoint and the agent beside it.
type Endpoint struct {
	// ID is the configured name of the endpoint.
	ID string
	// Incarnation grows with each start of the agent, so that a host replaced
	// at the same address counts as new.
	Incarnation uint64
	// Addr is the address of the agent.
	Addr   netip.AddrPort
	Domain string
	Rack   string
	// Services lists the services that the endpoint runs.
	Services []string
	// Slots is the number of tasks that run at the same time.
	Slots    int
	Draining bool
}

// Load is the state of an endpoint as its agent reports it.
type Load struct {
	Running int
	Queued  int
}

// Sample is one finished exchange with an endpoint, for the estimates.
type Sample struct {
	Endpoint string
	Service  string
	// SentAt and EndedAt bound the exchange at the sender.
	SentAt  time.Time
	EndedAt time.Time
	// Run is the time that the endpoint itself took.
	Run time.Duration
	// Failed is set if the endpoint answered with an error.
	Failed bool
	// Lost is set if no answer came.
	Lost bool
	// Refused is set if the agent did not start the task.
	Refused bool
	Load    Load
}
