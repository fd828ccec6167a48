package runs

import (
	"time"

	"carobpulley/domain"
)

// HandleDomains handles what another process, or a read of the store, tells about the failure
// domains. It reports whether the set of domains out of service has changed.
func (c *Controller) HandleDomains(now time.Time, v domain.View) bool {
	changed := c.domains.Merge(v)
	if changed {
		c.processQueue(now)
	}
	return changed
}

// HandleDomainRead handles the end of a read of the operators' records that was sent at a time. A
// read that failed counts as an attempt: while the store answers neither this agent nor any
// coordinator that it hears from, starts go on with what is known.
func (c *Controller) HandleDomainRead(now, sent time.Time, v domain.View, err error) bool {
	if err != nil {
		c.domainsSoughtAt = sent
		return false
	}
	return c.HandleDomains(now, v)
}

// Domains returns what is known of the failure domains.
func (c *Controller) Domains() domain.View { return c.domains }

// DomainReadDue reports whether this agent has to read the operators' records itself, since none
// of its coordinators has shown a recent read of them.
func (c *Controller) DomainReadDue(now time.Time) bool {
	return c.cfg.DomainTTL > 0 && len(c.coordinators) > 0 && now.Sub(c.domains.ProvenAt) > c.cfg.DomainTTL/2
}

// domainRefusal returns the reason for which nothing may start in the endpoint's failure domain;
// empty if starts are permitted. It is checked right before each start: a dispatch may have been
// sent by a coordinator that does not know of a change, and this process may have been paused.
func (c *Controller) domainRefusal(now time.Time) string {
	switch {
	case c.domains.IsOut(c.heartbeat.Domain):
		return ReasonDomain
	case c.cfg.DomainTTL <= 0:
		return ""
	case now.Sub(c.domains.ProvenAt) > c.cfg.DomainTTL && now.Sub(c.domainsSoughtAt) > c.cfg.DomainTTL:
		return ReasonDomainAge
	}
	return ""
}

// EchoTime returns the time of the report that a dispatch echoes, or zero if the dispatch is
// rejected for its echo.
func (c *Controller) EchoTime(now time.Time, echo int64) time.Time {
	if !c.validEcho(now, echo) {
		return time.Time{}
	}
	return c.decodeTime(echo)
}
