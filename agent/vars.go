package agent

import (
	"expvar"
)

// Vars returns the agent's metrics: counts of what was started, refused and
// ended, and the state of queue and memory.
func (a *Agent) Vars() expvar.Var {
	return a.vars
}

func (a *Agent) publish() {
	a.gauge("running", func() any { return a.load().Running })
	a.gauge("queued", func() any { return a.load().Queued })
	a.gauge("draining", func() any { return a.draining })
	a.gauge("start_records", func() any { n, _ := a.gate.Records(); return n })
	a.gauge("result_bytes", func() any { _, n := a.gate.Records(); return n })
	a.gauge("config_version", func() any { n, _ := a.gate.Config(); return n })
	a.gauge("in_service", func() any { _, ok := a.gate.Config(); return ok })
}

// gauge adds a value that is read under the lock.
func (a *Agent) gauge(name string, read func() any) {
	a.vars.Set(name, expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return read()
	}))
}
