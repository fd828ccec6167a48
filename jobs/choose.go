package jobs

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley/work"
)

const (
	// agentQueueShare is the fraction of an endpoint's capacity that starts waiting at its
	// agent may need by the coordinator's view. It is far less than the agent allows: other
	// coordinators dispatch to the agent too, and a task that waits there can't go where capacity
	// becomes free first.
	agentQueueShare = 0.05
	// crowdingShare is the part of the turnover time that a task is expected to wait at an
	// endpoint that it fills up, since other coordinators start runs there too.
	crowdingShare = 1.0
	// remoteDataFactor is the factor on the run time of a task outside its data's rack,
	// as specified by the platform.
	remoteDataFactor = 1.5
	// avoidFactor is the cost factor for the agent that a task should avoid.
	avoidFactor = 3
	// suspectFactor is the cost factor for an agent at which a run may crash the endpoint.
	suspectFactor = 3
	// maxBias is the largest fraction by which a coordinator raises the cost of one of two
	// equal agents over the other. The preferences differ between coordinators, so that
	// they seldom dispatch to the same agent at the same time.
	maxBias = 0.03
)

// chooseAgent returns the agent with the shortest expected wait and run time, or nil if
// none has capacity for the task or for its wait.
func (t *Table) chooseAgent(now time.Time, tk *task, service string, agents []*agentState) *agentState {
	var best *agentState
	var least float64
	step := &tk.job.spec.Steps[tk.step]
	turnover := t.turnover.From(0, estimateOf(tk))
	onTime := tk.job.due.Add(-estimateOf(tk)).After(now)
	if t.suspects[tk.job] {
		agents = t.forSuspect(now, tk, service, agents, onTime)
	}
	unproven := false
	apart := t.chooseApart(now, tk)
	for _, a := range agents {
		if !t.canTake(now, a, tk, service, onTime) {
			continue
		}
		if !t.provenAt(tk, a) {
			unproven = true
			continue
		}
		cost := a.cost(tk, step, turnover)
		if t.suspectsAt[a] != nil && t.suspectsAt[a] != tk.job {
			cost *= suspectFactor
		}
		apart.consider(tk, a, cost)
		if best == nil || cost < least {
			best, least = a, cost
		}
	}
	if best == nil && unproven {
		t.proof.awaited = true
	}
	return t.choose(tk, apart, best)
}

// canTake reports whether a task of a service can be placed at the agent now. With wait set the task may
// wait there for capacity.
func (t *Table) canTake(now time.Time, a *agentState, tk *task, service string, wait bool) bool {
	return a.endpoint.Service == service && a.available(now) && a.hasCapacity(tk.resources(), wait) &&
		a.mayRun(tk, &tk.job.spec.Steps[tk.step]) && t.mayProbe(now, a, tk)
}

// mayRun reports whether the label and the limit for each endpoint that a step asks for admit another task
// of it at the agent.
func (a *agentState) mayRun(tk *task, step *work.Step) bool {
	if step.Label != "" && !slices.Contains(a.endpoint.Labels, step.Label) {
		return false
	}
	return step.MaxPerEndpoint <= 0 || a.placedOfStep(tk) < step.MaxPerEndpoint
}

// biasFor returns this coordinator's cost factor for an agent, from 1 up to 1+maxBias.
func (t *Table) biasFor(agent string) float64 {
	const steps = 1000
	return 1 + maxBias*float64(xxhash.Sum64String(t.cfg.Name+"/"+agent)%steps)/steps
}

// cost returns the expected run time of a task at the agent, scaled by this
// coordinator's preferences, plus the expected wait.
//
// Answers the patterns of endpoints of unequal speed, and of several coordinators that start
// runs at the same endpoints and see each other's runs late: those that all fill the fastest
// endpoints first refuse each other's starts there while others are free.
func (a *agentState) cost(tk *task, step *work.Step, turnover time.Duration) float64 {
	cost := a.runTimeRatio * a.bias
	if step.Rack != "" && !slices.Contains(a.endpoint.Labels, step.Rack) {
		cost *= remoteDataFactor
	}
	if tk.avoid == a {
		cost *= avoidFactor
	}
	capacity := float64(max(a.endpoint.Capacity.CPU, 1))
	left := float64(a.free.CPU-tk.resources().CPU) / capacity
	wait := max(-left, 0) * float64(turnover)
	used := min(max(1-left, 0), 1)
	crowding := crowdingShare * used * used * used * float64(turnover)
	if a.dispatch != nil && len(a.dispatch.Starts) > 0 {
		// One dispatch carries both starts.
		crowding -= float64(messageTime) / 2
	}
	return cost*float64(estimateOf(tk)) + wait + crowding
}

// hasCapacity reports whether a task can start at the agent or, if wait is set, wait
// there for a short time.
func (a *agentState) hasCapacity(resources work.Resources, wait bool) bool {
	if resources.Fits(a.free) {
		return true
	}
	if !wait {
		return false
	}
	more := work.Resources{CPU: int64(agentQueueShare * float64(a.endpoint.Capacity.CPU)), MemMB: a.endpoint.Capacity.MemMB, GPU: a.endpoint.Capacity.GPU}
	return resources.Fits(a.free.Add(more))
}

// placedOfStep returns the number of tasks of the task's step that are placed at the
// agent.
func (a *agentState) placedOfStep(tk *task) int {
	n := 0
	for other := range a.placed {
		if other.job == tk.job && other.step == tk.step {
			n++
		}
	}
	return n
}
