package runs

import (
	"time"

	"carobpulley/work"
)

const (
	// crashRetention is how long a crash is remembered for coordinators that attach later: longer
	// than a hand-over and the time in which a caller comes back.
	crashRetention = 30 * time.Second
	// maxCrashes bounds the crashes that are remembered, the latest ones.
	maxCrashes = 512
)

// crash is the record of a run that was at the endpoint when it crashed.
type crash struct {
	work.Crash
	number int64
	at     time.Time
}

// crashRun ends a run that was at the endpoint when one of its generations crashed, and records the
// crash.
func (c *Controller) crashRun(now time.Time, key work.Run, r *run, generation string) {
	c.endRun(now, key, r, work.OutcomeLost)
	c.lastCrash++
	c.crashes = append(c.crashes, crash{
		Crash: work.Crash{Task: key.Task, Endpoint: c.cfg.Agent + "/" + generation}, number: c.lastCrash, at: now,
	})
	c.newCrashes = append(c.newCrashes, CrashedRun{Run: key, Generation: generation})
}

// CrashedRun is a run that was at an endpoint when it crashed.
type CrashedRun struct {
	Run work.Run
	// Generation names the generation of the endpoint that crashed.
	Generation string
}

// Crashes returns the runs at crashes since the last call.
func (c *Controller) Crashes() []CrashedRun {
	crashes := c.newCrashes
	c.newCrashes = nil
	return crashes
}

// dropCrashes drops the crashes whose retention has passed.
func (c *Controller) dropCrashes(now time.Time) {
	n := max(len(c.crashes)-maxCrashes, 0)
	for n < len(c.crashes) && now.Sub(c.crashes[n].at) > crashRetention {
		n++
	}
	c.crashes = c.crashes[n:]
}
