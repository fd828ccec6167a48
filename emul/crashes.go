package emul

import "fmt"

// By RULES.md a task may not be started maxStartsAfterCrashes times more after crashLimit endpoints
// have crashed under it.
const (
	crashLimit            = 3
	maxStartsAfterCrashes = 3
	// crashesToGiveUp is the number of crashes of endpoints under a task after which its job may be
	// shown as failed.
	crashesToGiveUp = 2
)

// crashedEndpoint is a generation of an endpoint that a task has crashed.
type crashedEndpoint struct {
	endpoint   int
	generation int64
}

// recordCrash records that a run of a task has crashed its endpoint.
func (c *Checker) recordCrash(task string, endpoint int, generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes[task] == nil {
		c.crashes[task] = make(map[crashedEndpoint]bool)
	}
	c.crashes[task][crashedEndpoint{endpoint, generation}] = true
}

// checkCrashes counts a start of a task that has crashed endpoints. The caller holds the lock.
func (c *Checker) checkCrashes(task string) {
	if len(c.crashes[task]) < crashLimit {
		return
	}
	c.startsAfterCrashes[task]++
	if n := c.startsAfterCrashes[task]; n == maxStartsAfterCrashes {
		c.violations = append(c.violations, fmt.Sprintf("%s started %d times after %d endpoints had crashed under it%s", task, n, crashLimit, c.history(task)))
	}
}

// CrashCount returns the number of endpoints' generations that a task has crashed.
func (c *Checker) CrashCount(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes[task])
}
