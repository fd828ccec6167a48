package jobs

import (
	"cmp"
	"slices"
	"time"

	"carobpulley/work"
)

const (
	// minGrowStep is the least number of agents that one extension of the share adds, and
	// growFactor the multiple of the waiting work that their endpoints could hold if they were
	// idle.
	minGrowStep = 4
	growFactor  = 2
	// growInterval is the least time between two extensions of the share. It doubles up to
	// maxGrowInterval while the added endpoints have no free capacity: then the whole fleet
	// is busy, and more attachments cost without a gain.
	growInterval    = 40 * time.Millisecond
	maxGrowInterval = 2 * time.Second
	// maxGrowGroups bounds the waiting groups for which agents are looked for in one extension: no agent may
	// be left that can run the first ones.
	maxGrowGroups = 16
	// extraRetention is how long an agent outside the share stays attached after its last
	// start.
	extraRetention = 3 * time.Second
	// attachAllowance is how long an agent that is not attached yet counts as capacity.
	attachAllowance = 400 * time.Millisecond
)

// SetShare sets the agents that this coordinator works with. Before the first call it works
// with all agents.
//
// Answers the pattern of a fleet in which every pair of an agent and a coordinator would
// exchange reports: the number of messages then grows with the product of the two.
func (t *Table) SetShare(names map[string]bool) {
	t.shared = true
	t.shareKnown = names != nil
	for name, a := range t.agents {
		a.member = names[name]
	}
}

// wanted reports whether an agent is to be attached: it is in the share, was added for more
// capacity, has tasks placed, its runs are awaited after a takeover, or it has restarted and this
// coordinator owns a shard.
func (t *Table) wanted(now time.Time, a *agentState) bool {
	if !t.shared || a.member || len(a.placed) > 0 || now.Before(a.extraUntil) || a.unseen && len(t.shards) > 0 {
		return true
	}
	for _, s := range t.shards {
		if _, awaited := s.awaited[a.name]; awaited {
			return true
		}
	}
	return false
}

// AgentsToAttach returns the names of the agents to which the coordinator has to attach. Agents
// that are attached but no longer wanted are released: their next reports are answered so that
// they stop reporting once they hold nothing of this coordinator.
func (t *Table) AgentsToAttach(now time.Time) []string {
	var names []string
	for name, a := range t.agents {
		if !t.wanted(now, a) {
			a.released = a.attached
			continue
		}
		if a.released {
			a.released = false
			a.attached = false
		}
		if !a.attached {
			if a.soughtSince.IsZero() {
				a.soughtSince = now
			}
			names = append(names, name)
		}
	}
	return names
}

// pending reports whether the coordinator is about to attach to an agent, which answers within
// milliseconds if it is alive.
func (t *Table) pending(now time.Time, a *agentState) bool {
	if a.attached || !t.wanted(now, a) {
		return false
	}
	return a.soughtSince.IsZero() || now.Sub(a.soughtSince) < attachAllowance
}

// starting reports whether endpoints that can run a step may be found within milliseconds: the
// share isn't known yet, or agents are about to be attached.
//
// Answers the pattern of callers that come back together after a loss of power: those that
// reach a process within its first moments must wait for its attachments instead of being sent
// away for a second.
func (t *Table) starting(now time.Time, service string, step *work.Step) bool {
	if t.shared && !t.shareKnown {
		return true
	}
	for _, a := range t.agents {
		if a.canRun(service, step) && !t.outOfService[a.endpoint.Domain] && t.pending(now, a) {
			return true
		}
	}
	return false
}

// Grow extends the share by agents whose endpoints can run the first task that waits for
// capacity. Late tasks of stored jobs get agents too, after all others. It reports whether it added
// any.
//
// Answers the patterns of callers that are spread unevenly over the coordinators, of a share
// that lost its endpoints, of a durable shard whose one owner carries all load, and of a stored job
// that is late after a crash and can run at endpoints outside the share only.
func (t *Table) Grow(now time.Time) bool {
	if !t.shared || len(t.ready) == 0 {
		return false
	}
	timely, late := t.waitingGroups(now)
	cpu := int64(0)
	for _, g := range slices.Concat(timely, late) {
		cpu += g.cpu()
	}
	if len(timely)+len(late) == 0 || !t.canGrow(now, cpu) {
		return false
	}
	added := false
	for _, g := range timely[:min(len(timely), maxGrowGroups)] {
		if added = t.addAgentsFor(now, g, cpu); added {
			break
		}
	}
	for _, g := range late {
		// No agent may be left that can run a late task, so the next ones are considered.
		if t.addAgentsFor(now, g, g.cpu()) {
			added = true
			break
		}
	}
	t.growPause = min(max(2*t.growPause, growInterval), maxGrowInterval)
	t.growAt = now.Add(t.growPause)
	t.growCPU = cpu
	return added
}

// waitingGroups returns the groups for which the share may be extended, in the order of their latest
// starts: those that can still be in time, and late ones of stored jobs, which have to run in any case.
func (t *Table) waitingGroups(now time.Time) (timely, late []*taskGroup) {
	for _, g := range t.ready {
		switch {
		case len(g.tasks) == 0 || !t.mayStart(now, g.job):
		case !g.latestStart.Before(now):
			timely = append(timely, g)
		case g.job.durable():
			late = append(late, g)
		}
	}
	return timely, late
}

// addAgentsFor extends the share for a group by as many agents as work that needs the given CPU
// capacity calls for. It reports whether it added any.
func (t *Table) addAgentsFor(now time.Time, g *taskGroup, cpu int64) bool {
	added := t.extraAgents(now, t.service(g.job), &g.job.spec.Steps[g.step], cpu)
	for _, a := range added {
		a.extraUntil = now.Add(extraRetention)
	}
	return len(added) > 0
}

// canGrow reports whether the share may be extended for waiting work that needs the given CPU
// capacity: the pause is over, or the work has doubled since and the fleet isn't known to be
// busy.
func (t *Table) canGrow(now time.Time, cpu int64) bool {
	return t.shared && (!now.Before(t.growAt) || t.growPause <= growInterval && cpu >= 2*t.growCPU)
}

// extraAgents returns the agents for the next extension of the share, as many as waiting work
// that needs the given CPU capacity calls for: agents not wanted so far that can run a step, in
// the order of this coordinator's preference.
func (t *Table) extraAgents(now time.Time, service string, step *work.Step, cpu int64) []*agentState {
	var extra []*agentState
	for _, a := range t.agents {
		if !t.outOfService[a.endpoint.Domain] && a.canRun(service, step) && !t.wanted(now, a) {
			extra = append(extra, a)
		}
	}
	slices.SortFunc(extra, func(a, b *agentState) int {
		return cmp.Or(cmp.Compare(a.bias, b.bias), cmp.Compare(a.name, b.name))
	})
	n := 0
	for held := int64(0); n < len(extra) && (n < minGrowStep || held < growFactor*cpu); n++ {
		held += extra[n].endpoint.Capacity.CPU
	}
	return extra[:n]
}

// extraCapacity estimates the CPU capacity, and how much of it is free, of the endpoints that an
// extension of the share for a new job would add. Other coordinators are taken to use the same
// part of it as of the share's endpoints.
func (t *Table) extraCapacity(now time.Time, service string, spec *work.Job) (cores, free int64) {
	for _, a := range t.agents {
		if t.pending(now, a) && a.canRun(service, &spec.Steps[0]) && !t.outOfService[a.endpoint.Domain] {
			cores += a.endpoint.Capacity.CPU
		}
	}
	if cpu := t.waitingCPU() + spec.CPU(); t.canGrow(now, cpu) {
		for _, a := range t.extraAgents(now, service, &spec.Steps[0], cpu) {
			cores += a.endpoint.Capacity.CPU
		}
	}
	if cores == 0 {
		return 0, 0
	}
	var total, used int64
	for _, a := range t.active {
		if a.attached && a.endpoint.Service == service {
			total += a.endpoint.Capacity.CPU
			used += min(a.endpoint.Used.CPU, a.endpoint.Capacity.CPU)
		}
	}
	if total == 0 {
		return cores, cores
	}
	return cores, int64(float64(cores) * float64(total-used) / float64(total))
}

// waitingCPU returns the CPU capacity that the waiting tasks need.
func (t *Table) waitingCPU() int64 {
	var sum int64
	for _, g := range t.ready {
		sum += g.cpu()
	}
	return sum
}

// canRun reports whether the endpoint could ever run a step.
func (a *agentState) canRun(service string, step *work.Step) bool {
	if a.endpoint.Service != service || !step.Resources.Fits(a.endpoint.Capacity) {
		return false
	}
	return step.Label == "" || slices.Contains(a.endpoint.Labels, step.Label)
}

// foundCapacity handles a start at an agent outside the share: there is capacity elsewhere, so
// that the share may be extended again at once.
func (t *Table) foundCapacity(now time.Time, a *agentState) {
	if a.member || !t.shared {
		return
	}
	a.extraUntil = now.Add(extraRetention)
	t.growPause = 0
	t.growAt = now
}

// refreshActive collects the agents that decisions have to look at: those attached and those
// with tasks placed.
func (t *Table) refreshActive() {
	t.active = t.active[:0]
	for _, a := range t.agents {
		if a.attached || len(a.placed) > 0 {
			t.active = append(t.active, a)
		}
	}
	slices.SortFunc(t.active, func(a, b *agentState) int { return cmp.Compare(a.name, b.name) })
}
