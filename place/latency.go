package place

import (
	"time"
)

// Default one-way latencies for pairs of domains that are not configured (design
// section 1.2).
const (
	sameDomainLatency  = 250 * time.Microsecond
	crossDomainLatency = 1500 * time.Microsecond
)

// DomainLatencies maps a pair of failure domains, in either order, to the one-way
// message latency between them.
type DomainLatencies map[[2]string]time.Duration

// Between returns the one-way message latency between two domains, or a default if
// it is not configured.
func (d DomainLatencies) Between(a, b string) time.Duration {
	if t, ok := d[[2]string{a, b}]; ok {
		return t
	}
	if t, ok := d[[2]string{b, a}]; ok {
		return t
	}
	if a == b {
		return sameDomainLatency
	}
	return crossDomainLatency
}
