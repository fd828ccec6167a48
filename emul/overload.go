package emul

import (
	"fmt"
	"strings"
	"time"

	"carobpulley/work"
)

// recordOverload records a violation for a start that exceeds the capacity of an endpoint, with what is on
// there. The caller holds the endpoint's lock.
func (c *Checker) recordOverload(e *Endpoint, start work.Start, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "start of %s exceeds the capacity of its endpoint, %d, up for %s; token %d%s", start.Run.Task, e.number, time.Since(e.startedAt), token, c.history(start.Run.Task))
	for key := range e.running {
		fmt.Fprintf(&b, "; beside %s%s", key.Task, c.history(key.Task))
	}
	c.violations = append(c.violations, b.String())
}
