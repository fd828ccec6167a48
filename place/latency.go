package place

import (
	"time"
)

// One-way message times where the table has none (design section 1.2).
const (
	sameDomainLatency  = 250 * time.Microsecond
	crossDomainLatency = 1500 * time.Microsecond
)

// DomainLatencies holds the one-way message time between two domains, in either order.
type DomainLatencies map[[2]string]time.Duration

// Between returns the one-way message time between two domains.
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
