package coord

import "time"

const (
	// pauseThreshold is the time without a tick from which this process counts as paused.
	pauseThreshold = 400 * time.Millisecond
	// wakeAllowance is how long nothing of best-effort jobs starts after a pause: the departure of
	// their callers has to be seen first.
	wakeAllowance = 250 * time.Millisecond
)

// lock acquires the lock. Whatever acts first after this process was paused finds the pause here,
// before it can place a task.
func (c *Coordinator) lock() {
	c.mu.Lock()
	now := c.clock.Now()
	c.now = now
	pause := now.Sub(c.lastTick)
	if c.lastTick.IsZero() || pause < pauseThreshold {
		return
	}
	c.table.HoldBestEffort(now.Add(wakeAllowance))
	if pause >= agentTimeout { // others may have left this process out meanwhile
		c.holdings.youngUntil = now.Add(agentTimeout)
		c.holdings.members.Recheck(now)
	}
	c.log.Warn().Int64("pause_ms", pause.Milliseconds()).Msg("process was paused, best-effort jobs wait")
	c.cfg.Meter.Add("pauses", 1)
	c.lastTick = now
}
