package runs

import (
	"time"

	"carobpulley"
)

// HandleHeartbeat handles a heartbeat of the endpoint. It reports whether this is the first
// heartbeat, also after a shutdown, or the endpoint's instance, generation or draining state has
// changed.
func (c *Controller) HandleHeartbeat(now time.Time, hb carobpulley.Heartbeat) bool {
	if c.hasHeartbeat && !c.isNewer(hb) {
		return false
	}
	changed := !c.hasHeartbeat || c.shutDown || c.heartbeat.Draining != hb.Draining || c.heartbeat.Instance != hb.Instance || c.heartbeat.Generation != hb.Generation
	restarted := c.hasHeartbeat && (c.heartbeat.Instance != hb.Instance || hb.Generation != 0 && c.generation != hb.Generation)
	if restarted {
		c.handleRestart(now, !c.announced())
	}
	c.heartbeat = hb
	c.hasHeartbeat = true
	c.shutDown = false
	if hb.Generation != 0 {
		c.generation = hb.Generation
	}
	return changed
}

// isNewer reports whether a heartbeat has not been overtaken by a later one or by one of a later
// generation.
func (c *Controller) isNewer(hb carobpulley.Heartbeat) bool {
	if hb.Generation != c.heartbeat.Generation {
		return hb.Generation > c.heartbeat.Generation
	}
	if hb.Instance != c.heartbeat.Instance {
		return true
	}
	return hb.Sequence > c.heartbeat.Sequence
}

// HandleShutdown handles the endpoint's announcement that it has shut down. It reports whether it
// changed the state.
func (c *Controller) HandleShutdown(now time.Time, instance string) bool {
	if !c.hasHeartbeat || c.shutDown || c.heartbeat.Instance != instance {
		return false
	}
	c.shutDown = true
	c.handleRestart(now, false)
	return true
}
