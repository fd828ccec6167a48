package agent

import (
	"expvar"
)

// Vars returns the agent's metrics: counters of started, refused and ended tasks,
// and gauges of the queue, the start records and the configuration.
func (a *Agent) Vars() expvar.Var {
	return a.vars
}

// registerVars adds the gauges to the metrics.
func (a *Agent) registerVars() {
	a.addGauge("running", func() any { return a.load().Running })
	a.addGauge("queued", func() any { return a.load().Queued })
	a.addGauge("draining", func() any { return a.draining })
	a.addGauge("start_records", func() any { n, _ := a.gate.Records(); return n })
	a.addGauge("result_bytes", func() any { _, n := a.gate.Records(); return n })
	a.addGauge("config_version", func() any { n, _ := a.gate.Config(); return n })
	a.addGauge("in_service", func() any { _, ok := a.gate.Config(); return ok })
}

// addGauge adds a metric whose value is read with mu held.
func (a *Agent) addGauge(name string, read func() any) {
	a.vars.Set(name, expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return read()
	}))
}
