package coord

import "time"

// configStaleAfter is the age of the last read of the operators' topic from which it is logged as
// stale; a healthy reader stays below configTailWait and the time of an answer.
const configStaleAfter = 2 * time.Second

// configRead is the last successful read of the operators' topic.
type configRead struct {
	// sentAt is the time at which the read was sent: every record acknowledged before is known.
	sentAt time.Time
	// next is the offset from which the topic is read on.
	next int64
	// stale is set once the age of the read was logged as stale.
	stale bool
}

// recordConfigRead records a successful read of the operators' topic.
func (c *Coordinator) recordConfigRead(sent time.Time, next int64) {
	c.lock()
	defer c.mu.Unlock()
	if c.configRead.stale {
		c.log.Info().Int64("offset", next).Int64("age_ms", c.now.Sub(c.configRead.sentAt).Milliseconds()).Msg("operators' records read again")
	}
	c.configRead = configRead{sentAt: sent, next: next}
	c.domains.Confirm(next, sent)
}

// checkConfigAge records the age of the operators' records and logs once that it is stale. The
// caller holds the lock.
func (c *Coordinator) checkConfigAge(now time.Time) {
	if c.configRead.sentAt.IsZero() {
		return
	}
	age := now.Sub(c.configRead.sentAt)
	c.cfg.Meter.Set("plan_age_ms", age.Milliseconds())
	if age > configStaleAfter && !c.configRead.stale {
		c.configRead.stale = true
		c.log.Warn().Int64("offset", c.configRead.next).Int64("age_ms", age.Milliseconds()).Msg("operators' records are stale")
	}
}
