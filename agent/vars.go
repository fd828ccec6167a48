package agent

import (
	"expvar"
)

// Vars returns the agent's metrics: counts of what was started, refused and
// ended, and the state of queue and memory.
func (a *Agent) Vars() expvar.Var {
	return a.vars
}

func (a *Agent) registerVars() {
	a.addGauge("running", func() any { return a.load().Running })
	a.addGauge("queued", func() any { return a.load().Queued })
	a.addGauge("draining", func() any { return a.draining })
	a.addGauge("start_records", func() any { n, _ := a.gate.Records(); return n })
	a.addGauge("result_bytes", func() any { _, n := a.gate.Records(); return n })
	a.addGauge("config_version", func() any { n, _ := a.gate.Config(); return n })
	a.addGauge("in_service", func() any { _, ok := a.gate.Config(); return ok })
}

// addGauge adds a value that is read under the lock.
func (a *Agent) addGauge(name string, read func() any) {
	a.vars.Set(name, expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return read()
	}))
}
