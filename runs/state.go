package runs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"carobpulley/work"
)

// hasUnknownRuns reports whether the endpoint runs something that this process didn't start. Its
// resources are unknown, so nothing starts beside it.
func (c *Controller) hasUnknownRuns() bool {
	for _, r := range c.runs {
		if r.coordinator == "" {
			return true
		}
	}
	return false
}

// State returns the endpoint's state as reported to a coordinator.
func (c *Controller) State(now time.Time, coordinator string) work.EndpointState {
	return work.EndpointState{
		Instance: c.EndpointGeneration(),
		Service:  c.heartbeat.Service,
		Domain:   c.heartbeat.Domain,
		Labels:   c.heartbeat.Labels,
		Capacity: c.heartbeat.Capacity,
		Used:     c.reservedByOthers(coordinator),
		Kinds:    c.kindsOfOthers(coordinator),
		Ready:    c.Usable() && !c.leaseBlocked(now),

		UsedByPriority: c.reservedByPriority(coordinator),
	}
}

// reservedByPriority returns the CPU capacity of all runs except those of one coordinator, by priority.
func (c *Controller) reservedByPriority(coordinator string) []work.PriorityUse {
	sums := make(map[int]int64)
	for _, r := range c.runs {
		if c.coordinatorOf(r) != coordinator {
			sums[r.start.Priority] += r.start.Resources.CPU
		}
	}
	use := make([]work.PriorityUse, 0, len(sums))
	for _, priority := range slices.Sorted(maps.Keys(sums)) {
		use = append(use, work.PriorityUse{Priority: priority, CPU: sums[priority]})
	}
	return use
}

// Drain refuses starts from now on.
func (c *Controller) Drain() { c.draining = true }

// Idle reports whether no run is left and every end is reported and acknowledged.
func (c *Controller) Idle() bool {
	if len(c.runs) > 0 {
		return false
	}
	for _, e := range c.ends {
		if e.Sequence > 0 && !e.acked || !e.reported {
			return false
		}
	}
	return true
}

// ReadingDue reports whether the next poll is to return at once, since nothing starts before the endpoint's
// lists and clock are read: they are not known, the last polls got no answer, or the host was suspended.
func (c *Controller) ReadingDue() bool {
	return c.clockMS == 0 || c.unresponsive || c.readingVoid
}

// StartUncertain reports whether the start of a run got no answer.
func (c *Controller) StartUncertain(key work.Run) bool {
	r := c.runs[key]
	return r != nil && r.phase == phaseUncertain
}

// HasRun reports whether a run has not ended yet.
func (c *Controller) HasRun(key work.Run) bool { return c.runs[key] != nil }

// HasUnreportedEnds reports whether an end has not been reported to the coordinator.
func (c *Controller) HasUnreportedEnds(coordinator string) bool {
	for _, e := range c.ends {
		if !e.reported && c.coordinatorOfEnd(e) == coordinator {
			return true
		}
	}
	return false
}

// HasUrgentEnds reports whether an end is to be reported to the coordinator at once.
func (c *Controller) HasUrgentEnds(coordinator string) bool {
	for _, e := range c.ends {
		if !e.reported && c.coordinatorOfEnd(e) == coordinator && !c.canWait(e) {
			return true
		}
	}
	return false
}

// canWait reports whether an end may wait for a common report with the end of another run here: the step of its
// job isn't over before that one ends too.
func (c *Controller) canWait(e *end) bool {
	if e.coordinator == "" || e.Outcome != work.OutcomeDone {
		return false
	}
	step := stepOfTask(e.Run.Task)
	for key, r := range c.runs {
		if r.phase == phaseRunning && r.coordinator == e.coordinator && r.incarnation == e.incarnation && stepOfTask(key.Task) == step {
			return true
		}
	}
	return false
}

// stepOfTask returns the part of a task's name that names its job and step.
func stepOfTask(name string) string { return name[:max(strings.LastIndexByte(name, '.'), 0)] }
