package jobs

import (
	"slices"
	"sort"
	"time"

	"carobpulley/shed"
)

const (
	// maxAgentWait bounds how long a start may wait at an agent for free capacity; then
	// the task is placed again. maxCollisionWait is that bound where capacity was free by the
	// coordinator's view, and collisionWaitShare the part of the slack that such a wait may take: runs of
	// other coordinators came first, and one of them ends soon.
	maxAgentWait       = 150 * time.Millisecond
	maxCollisionWait   = 60 * time.Millisecond
	collisionWaitShare = 0.4
	// defaultEstimate replaces a missing run time estimate.
	defaultEstimate = time.Second
	// messageTime is the transit time of a dispatch and of the report of an end
	// together.
	messageTime = 15 * time.Millisecond
)

// taskGroup holds the tasks of a step that wait for capacity.
type taskGroup struct {
	job   *job
	step  int
	tasks []*task
	// class is that of the job's queue, and ranked is set if the service has queues of other priorities.
	class  shed.Class
	ranked bool
	// latestStart is the latest start time that meets the job's objective.
	latestStart time.Time
}

func (t *Table) enqueueJob(now time.Time, j *job) {
	if j.state.Ended() || j.takeoverPending || t.giveUpCrashing(now, j) {
		return
	}
	t.markSuspect(j)
	for step := range j.tasks {
		if j.remaining[step] > 0 && j.dependenciesDone(step) {
			t.enqueueStep(j, step)
		}
	}
}

// enqueueDependents queues the steps that come after a step that is done, if their
// other earlier steps are done too.
func (t *Table) enqueueDependents(j *job, done int) {
	for step := range j.spec.Steps {
		if slices.Contains(j.spec.Steps[step].After, done) && j.dependenciesDone(step) {
			t.enqueueStep(j, step)
		}
	}
}

func (t *Table) enqueueStep(j *job, step int) {
	var waiting []*task
	for i := range j.tasks[step] {
		if tk := &j.tasks[step][i]; tk.phase == taskWaiting {
			waiting = append(waiting, tk)
		}
	}
	t.enqueue(j, step, waiting)
}

func (t *Table) enqueue(j *job, step int, tasks []*task) {
	if len(tasks) == 0 || j.takeoverPending {
		return
	}
	g := &taskGroup{job: j, step: step, tasks: tasks, latestStart: j.due.Add(-estimateOf(tasks[0]))}
	t.rank(g)
	at := sort.Search(len(t.ready), func(i int) bool { return g.before(t.ready[i]) })
	t.ready = slices.Insert(t.ready, at, g)
}

// before reports whether a group comes before another one: it is more urgent, or as urgent and has to start
// earlier.
func (g *taskGroup) before(other *taskGroup) bool {
	if g.class.Rank != other.class.Rank {
		return g.class.Rank < other.class.Rank
	}
	return g.latestStart.Before(other.latestStart)
}

func (g *taskGroup) cpu() int64 {
	var sum int64
	for _, tk := range g.tasks {
		sum += tk.cpu()
	}
	return sum
}

func (tk *task) cpu() int64 {
	return tk.resources().CPU
}

func estimateOf(tk *task) time.Duration {
	if e := tk.estimate(); e > 0 {
		return e
	}
	return defaultEstimate
}

// enqueueTask queues a task whose run is over without success, unless its job has
// ended.
func (t *Table) enqueueTask(_ time.Time, tk *task) {
	if tk.job.state.Ended() || tk.job.phase != phaseActive {
		return
	}
	t.enqueue(tk.job, tk.step, []*task{tk})
}

func (t *Table) dropGroups(j *job) {
	remaining := t.ready[:0]
	for _, g := range t.ready {
		if g.job == j {
			continue
		}
		remaining = append(remaining, g)
	}
	clear(t.ready[len(remaining):])
	t.ready = remaining
}

// PlaceReady starts waiting tasks as far as there is capacity, in the order of their priorities and
// latest starts. Late tasks come after all others.
func (t *Table) PlaceReady(now time.Time) {
	t.proof.awaited = false
	if len(t.ready) == 0 {
		return
	}
	agents := t.availableAgents(now)
	if len(agents) == 0 {
		return
	}
	if len(t.suspects) > 0 || len(t.suspectsAt) > 0 {
		t.findSuspects()
	}
	remaining := make([]*taskGroup, 0, len(t.ready))
	loads := make(map[string]*shed.Load)
	t.placeFloors(now, agents, loads)
	for _, late := range []bool{false, true} {
		for _, g := range t.ready {
			if g.late(now) == late && len(g.tasks) > 0 && t.mayStart(now, g.job) {
				t.placeGroup(now, g, agents, loads)
			}
		}
	}
	for _, g := range t.ready {
		if len(g.tasks) > 0 {
			remaining = append(remaining, g)
		}
	}
	t.ready = remaining
}

// mayStart reports whether tasks of a job may start: the ownership of a durable job is proved, or
// the caller of a best-effort job is taken to wait for its answer.
func (t *Table) mayStart(now time.Time, j *job) bool {
	if j.durable() {
		// A crash is stored before the next start, so that a new owner counts it too.
		return now.Before(t.proof.validUntil(t.cfg.AuthorityTTL)) && !j.crashUnstored
	}
	if !j.answerBy.IsZero() && !now.Before(j.answerBy) {
		return false
	}
	return !now.Before(t.heldUntil)
}

// HoldBestEffort keeps tasks of best-effort jobs from starting until a time.
//
// Answers a process that wakes after a pause: callers that left meanwhile have submitted their
// jobs elsewhere, and a start here would be a second run of the same task. Submissions that waited in
// the process's connections are accepted after the pause, so those are held too.
func (t *Table) HoldBestEffort(until time.Time) { t.heldUntil = until }

// HoldsBestEffort reports whether no task of a best-effort job starts.
func (t *Table) HoldsBestEffort(now time.Time) bool { return now.Before(t.heldUntil) }

// availableAgents returns the agents that may get tasks now, sorted by name.
func (t *Table) availableAgents(now time.Time) []*agentState {
	agents := make([]*agentState, 0, len(t.active))
	for _, a := range t.active {
		if a.available(now) && !t.outOfService[a.endpoint.Domain] {
			agents = append(agents, a)
		}
	}
	return agents
}

// available reports whether tasks can be placed at the agent now.
func (a *agentState) available(now time.Time) bool {
	if !a.attached || a.released || !a.endpoint.Ready || a.echo == 0 || now.Before(a.pausedUntil) || now.Before(a.unhealthyUntil) || a.handBacks.blocks(now) {
		return false
	}
	return !a.probing || a.probe == nil || !now.Before(a.nextProbeAt)
}

// mayProbe reports whether a task may be placed at an agent although it may be the probe of an unhealthy
// endpoint. One that may fail only once more gives the others a period's time to be the probe.
func (t *Table) mayProbe(now time.Time, a *agentState, tk *task) bool {
	limit := t.maxAttempts(tk.job)
	if !a.probing || limit <= 0 || tk.failures.count+1 < limit {
		return true
	}
	return !now.Before(a.unhealthyUntil.Add(a.unhealthyPeriod))
}

// recordProbe records a task that is placed at an unhealthy endpoint as its probe. Runs that were there
// before, and a probe that goes on for a period without a failure, don't keep the next one away: each may
// be a task of minutes.
func (a *agentState) recordProbe(now time.Time, tk *task) {
	if a.probing {
		a.probe = tk
		a.nextProbeAt = now.Add(max(a.unhealthyPeriod, minUnhealthyPeriod))
	}
}

// placeFloors places tasks of less urgent queues while they hold less than their floor.
//
// Answers the pattern of urgent work that needs the whole capacity for long.
func (t *Table) placeFloors(now time.Time, agents []*agentState, loads map[string]*shed.Load) {
	for _, g := range t.ready {
		if g.class.Rank == 0 || g.late(now) || !t.mayStart(now, g.job) {
			continue
		}
		load := t.cachedLoad(t.service(g.job), loads)
		for len(g.tasks) > 0 && load.BelowFloor(g.class) && t.placeTask(now, g.tasks[0], agents, load) {
			g.tasks = g.tasks[1:]
		}
	}
}

// cachedLoad returns the load of a service, from those given or added to them.
func (t *Table) cachedLoad(service string, loads map[string]*shed.Load) *shed.Load {
	if loads[service] == nil {
		loads[service] = t.loadOf(service)
	}
	return loads[service]
}

// placeGroup places the tasks of a group, the less urgent ones as far as the load of their service has room
// for them. Those of a job that is mostly placed are not held back: its runs have used capacity, and are worth
// nothing without them.
func (t *Table) placeGroup(now time.Time, g *taskGroup, agents []*agentState, loads map[string]*shed.Load) {
	service := t.service(g.job)
	load := loads[service]
	if g.class.Rank > 0 {
		load = t.cachedLoad(service, loads)
	}
	n := 0
	for _, tk := range g.tasks {
		held := g.class.Rank > 0 && !g.mostlyPlaced() && load.Room(g.class, tk.cpu()) < tk.cpu()
		if held || !t.placeTask(now, tk, agents, load) {
			g.tasks[n] = tk
			n++
		}
	}
	g.tasks = g.tasks[:n]
}

// placeTask places a task if an agent can take it, and takes it into the load of its service unless that is nil.
func (t *Table) placeTask(now time.Time, tk *task, agents []*agentState, load *shed.Load) bool {
	if !tk.mayNumber(now) {
		return false
	}
	if !t.provenFor(tk) {
		t.proof.awaited = true
		return false
	}
	a := t.chooseAgent(now, tk, t.service(tk.job), agents)
	if a == nil {
		return false
	}
	t.startTask(now, tk, a)
	if load != nil {
		load.Take(tk.job.spec.Queue.Priority, tk.cpu())
	}
	return true
}

// service returns the service to which the configuration in force routes a job. If the
// configuration lacks the queue, it is the service at the job's acceptance.
func (t *Table) service(j *job) string {
	if t.routing != nil {
		if q, ok := t.routing.Queue(j.queue); ok {
			return q.Service
		}
	}
	return j.spec.Queue.Service
}

// startTask places a task at an agent and adds its start to the agent's next dispatch.
func (t *Table) startTask(now time.Time, tk *task, a *agentState) {
	tk.run = tk.nextRun()
	fits := tk.resources().Fits(a.free)
	t.assign(now, tk, a)
	a.recordProbe(now, tk)
	a.handBacks.recordStart(now)
	t.logPaced(tk)
	t.logPlacedAgain(now, tk)
	t.foundCapacity(now, a)
	s := tk.start()
	if t.suspects[tk.job] {
		s.Suspect = true
		t.suspectsAt[a] = tk.job
	}
	latest := tk.job.due.Add(-estimateOf(tk))
	s.Kind = t.kindOf(tk)
	s.SlackMS = latest.Sub(now).Milliseconds()
	s.WaitMS = waitAtAgent(time.Duration(s.SlackMS)*time.Millisecond, fits).Milliseconds()
	d := t.pendingDispatch(a)
	d.Starts = append(d.Starts, s)
}

// waitAtAgent returns how long a start may wait at its agent for free capacity, by the time that is left until
// its latest start and whether its endpoint has capacity for it by this coordinator's view.
func waitAtAgent(slack time.Duration, fits bool) time.Duration {
	switch {
	case slack <= 0:
		return maxCollisionWait
	case fits:
		return min(maxCollisionWait, time.Duration(collisionWaitShare*float64(slack)))
	}
	return min(maxAgentWait, slack)
}

// assign places a task at an agent and reserves its resources there.
func (t *Table) assign(now time.Time, tk *task, a *agentState) {
	tk.phase = taskPlaced
	tk.agent = a
	tk.stopping = false
	tk.placedAt = now
	tk.overdueAt = overdueAt(now, tk, a)
	tk.neverBegun = false
	a.placed[tk] = true
	a.free = a.free.Sub(tk.resources())
	t.addKind(tk, a, tk.cpu())
}
