package runs

import "time"

// minSuspension is the least time of a suspension after which the endpoint's clock has to be read before
// anything starts. The two clocks whose difference shows it are not read at once.
const minSuspension = 20 * time.Millisecond

// HandleSuspensions handles the time for which the host was suspended in total. The endpoint is on the same
// host, and its clock may have stood still with it, so what was left of a lease then is left now. The runs
// whose proof has expired meanwhile are stopped before anything else is sent. It reports whether there was a
// suspension that was not known.
func (c *Controller) HandleSuspensions(now time.Time, total time.Duration) bool {
	gap := total - c.suspended
	if gap <= 0 {
		return false
	}
	c.suspended = total
	c.suspendedSinceReading += gap
	c.leaseExpiresAt = c.leaseExpiresAt.Add(gap)
	if gap < minSuspension {
		return false
	}
	c.wokeAt = now
	c.readingVoid = true
	c.stopOrphans(now)
	return true
}
