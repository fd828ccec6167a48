package runs

import "carobpulley/work"

// strangers reports whether the runner runs what nobody here ordered. Its need is
// not known, so nothing starts beside it.
func (g *Gate) strangers() bool {
	for _, r := range g.runs {
		if r.owner == "" {
			return true
		}
	}
	return false
}

// State returns what a coordinator is told of the runner.
func (g *Gate) State(coordinator string) work.EndpointState {
	return work.EndpointState{
		Instance: g.EndpointGeneration(),
		Service:  g.beat.Service,
		Domain:   g.beat.Domain,
		Labels:   g.beat.Labels,
		Capacity: g.beat.Capacity,
		Used:     g.others(coordinator),
		Ready:    g.Usable(),
	}
}

// Drain refuses starts from now on.
func (g *Gate) Drain() { g.draining = true }

// Idle reports whether nothing runs and every end is stored or told.
func (g *Gate) Idle() bool {
	if len(g.runs) > 0 {
		return false
	}
	for _, e := range g.ends {
		if e.Sequence > 0 && !e.acked || !e.told {
			return false
		}
	}
	return true
}

// ClockKnown reports whether the runner's clock is known.
func (g *Gate) ClockKnown() bool { return g.clockMS != 0 }

// Uncertain reports whether a start has no answer.
func (g *Gate) Uncertain(key work.Run) bool {
	r := g.runs[key]
	return r != nil && r.phase == phaseUncertain
}

// Live reports whether a run is not known to be over.
func (g *Gate) Live(key work.Run) bool { return g.runs[key] != nil }

// HasUnreportedEnds reports whether the coordinator has not been told of an end.
func (g *Gate) HasUnreportedEnds(coordinator string) bool {
	for _, e := range g.ends {
		if !e.told && g.endOwner(e) == coordinator {
			return true
		}
	}
	return false
}
