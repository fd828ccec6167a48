package jobs

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobpulley/work"
)

const (
	// overdueFactor times the expected run time, and overdueMargin more, is when a
	// run counts as stuck.
	overdueFactor = 5
	overdueMargin = 700 * time.Millisecond
	// agentWait bounds how long an agent may keep an order until it has room; then
	// the task is placed anew.
	agentWait = 150 * time.Millisecond
	// queuePart is the part of a runner's capacity that orders waiting at its agent
	// may need; a little less than the agent allows, since others order too.
	queuePart = 0.25
	// defaultEstimate stands for a missing estimate.
	defaultEstimate = time.Second
	// turnover is the time in which the whole room of a busy runner becomes free
	// once: the mean of the workloads' run times, weighted by the room they take.
	turnover = 160 * time.Millisecond
	// slackPart is the part of a job's slack that its estimated wait may take; the
	// rest covers bad estimates.
	slackPart = 0.7
	// pathTime is what an order and an end need on their ways.
	pathTime = 15 * time.Millisecond
)

// unit is the tasks of a step that wait for room.
type unit struct {
	job   *job
	step  int
	tasks []*task
	// latest is the latest start that meets the job's objective.
	latest time.Time
}

func (t *Table) enqueueJob(j *job) {
	if j.state.Ended() || j.old {
		return
	}
	for step := range j.tasks {
		if j.left[step] > 0 && j.unlocked(step) {
			t.enqueueStep(j, step)
		}
	}
}

// enqueueUnlocked queues the steps that waited for a step.
func (t *Table) enqueueUnlocked(j *job, done int) {
	for step := range j.spec.Steps {
		if slices.Contains(j.spec.Steps[step].After, done) && j.unlocked(step) {
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
	if len(tasks) == 0 || j.old {
		return
	}
	u := &unit{job: j, step: step, tasks: tasks, latest: j.due.Add(-estimateOf(tasks[0]))}
	at := sort.Search(len(t.ready), func(i int) bool { return t.ready[i].latest.After(u.latest) })
	t.ready = slices.Insert(t.ready, at, u)
}

func (u *unit) work() int64 {
	var sum int64
	for _, tk := range u.tasks {
		sum += tk.weight()
	}
	return sum
}

func (tk *task) weight() int64 {
	return tk.need().CPU
}

func estimateOf(tk *task) time.Duration {
	if e := tk.estimate(); e > 0 {
		return e
	}
	return defaultEstimate
}

// requeue queues a task whose run is over without success.
func (t *Table) requeue(_ time.Time, tk *task) {
	if tk.job.state.Ended() || tk.job.phase != phaseActive {
		return
	}
	t.enqueue(tk.job, tk.step, []*task{tk})
}

func (t *Table) dropUnits(j *job) {
	kept := t.ready[:0]
	for _, u := range t.ready {
		if u.job == j {
			continue
		}
		kept = append(kept, u)
	}
	clear(t.ready[len(kept):])
	t.ready = kept
}

// Place starts what waits, in the order of latest starts, as far as there is
// room.
func (t *Table) Place(now time.Time) {
	if len(t.ready) == 0 {
		return
	}
	hosts := t.open(now)
	if len(hosts) == 0 {
		return
	}
	kept := make([]*unit, 0, len(t.ready))
	for _, late := range []bool{false, true} {
		for _, u := range t.ready {
			if u.latest.Before(now) == late && len(u.tasks) > 0 && (t.authority || !u.job.kept()) {
				t.placeUnit(now, u, hosts)
			}
		}
	}
	for _, u := range t.ready {
		if len(u.tasks) > 0 {
			kept = append(kept, u)
		}
	}
	t.ready = kept
}

// open returns the hosts that may get tasks now.
func (t *Table) open(now time.Time) []*host {
	hosts := make([]*host, 0, len(t.hosts))
	for _, h := range t.hosts {
		if h.usable(now) && !t.out[h.state.Domain] {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].name < hosts[j].name })
	return hosts
}

// usable reports whether tasks can be placed beside the agent now.
func (h *host) usable(now time.Time) bool {
	if !h.attached || !h.state.Ready || h.echo == 0 || now.Before(h.pause) || now.Before(h.sickUntil) {
		return false
	}
	return !h.trial || len(h.placed) == 0
}

func (t *Table) placeUnit(now time.Time, u *unit, hosts []*host) {
	service := t.service(u.job)
	n := 0
	for _, tk := range u.tasks {
		h := t.choose(now, tk, service, hosts)
		if h == nil {
			u.tasks[n] = tk
			n++
			continue
		}
		t.startTask(now, tk, h)
	}
	u.tasks = u.tasks[:n]
}

// service returns the service that the configuration in force sends a job to.
func (t *Table) service(j *job) string {
	if t.plan != nil {
		if q, ok := t.plan.Queue(j.queue); ok {
			return q.Service
		}
	}
	return j.spec.Queue.Service
}

// choose returns the host with the shortest expected wait and run time; nil if
// none has room for the task or for its wait.
func (t *Table) choose(now time.Time, tk *task, service string, hosts []*host) *host {
	var best *host
	var least float64
	step := &tk.job.spec.Steps[tk.step]
	onTime := tk.job.due.Add(-estimateOf(tk)).After(now)
	for _, h := range hosts {
		if h.state.Service != service || !h.usable(now) || !h.takes(tk.need(), onTime) {
			continue
		}
		if step.Label != "" && !slices.Contains(h.state.Labels, step.Label) {
			continue
		}
		if step.MaxPerEndpoint > 0 && h.count(tk) >= step.MaxPerEndpoint {
			continue
		}
		cost := h.cost(tk, step)
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

const (
	// farCost is the factor on a run time away from the data's rack, as the
	// platform gives it.
	farCost = 1.5
	// avoidCost weighs against the host of the last failure.
	avoidCost = 3
	// biasPart is the greatest part by which a coordinator prefers one of two equal
	// hosts to the other. Each coordinator prefers others, so that they seldom
	// order from the same host at a time.
	biasPart = 0.15
)

// bias returns this coordinator's preference for a host: 1, and up to biasPart
// more.
func (t *Table) bias(host string) float64 {
	const steps = 1000
	return 1 + biasPart*float64(xxhash.Sum64String(t.cfg.Name+"/"+host)%steps)/steps
}

func (h *host) cost(tk *task, step *work.Step) float64 {
	cost := h.pace * h.bias
	if step.Rack != "" && !slices.Contains(h.state.Labels, step.Rack) {
		cost *= farCost
	}
	if tk.avoid == h {
		cost *= avoidCost
	}
	capacity := float64(max(h.state.Capacity.CPU, 1))
	wait := max(0, float64(tk.need().CPU-h.free.CPU)) / capacity * float64(turnover)
	return cost*float64(estimateOf(tk)) + wait
}

// takes reports whether a task can start there, or wait there for a little.
func (h *host) takes(need work.Resources, wait bool) bool {
	if need.Fits(h.free) {
		return true
	}
	if !wait {
		return false
	}
	more := work.Resources{CPU: int64(queuePart * float64(h.state.Capacity.CPU)), MemMB: h.state.Capacity.MemMB, GPU: h.state.Capacity.GPU}
	return need.Fits(h.free.Add(more))
}

// count returns how many tasks of the step run there.
func (h *host) count(tk *task) int {
	n := 0
	for other := range h.placed {
		if other.job == tk.job && other.step == tk.step {
			n++
		}
	}
	return n
}

func (t *Table) startTask(now time.Time, tk *task, h *host) {
	tk.run = max(tk.run, tk.job.runBase) + 1
	t.place(now, tk, h)
	s := tk.start()
	latest := tk.job.due.Add(-estimateOf(tk))
	s.SlackMS = latest.Sub(now).Milliseconds()
	if latest.After(now) {
		s.WaitMS = min(s.SlackMS, agentWait.Milliseconds())
	}
	o := t.outgoing(h)
	o.Starts = append(o.Starts, s)
}

// place adds a task to a host's account.
func (t *Table) place(now time.Time, tk *task, h *host) {
	tk.phase = taskPlaced
	tk.host = h
	tk.stopping = false
	tk.placedAt = now
	run := time.Duration(float64(estimateOf(tk)) * h.pace)
	tk.expected = now.Add(overdueFactor*run + overdueMargin)
	tk.job.started = true
	h.placed[tk] = true
	h.free = h.free.Sub(tk.need())
}

// admit returns why a new job is refused; empty if it is taken.
func (t *Table) admit(now time.Time, spec *work.Job) string {
	service := spec.Queue.Service
	var cores int64
	for _, h := range t.hosts {
		if h.attached && h.state.Ready && h.state.Service == service && !t.out[h.state.Domain] {
			cores += h.state.Capacity.CPU
		}
	}
	if cores == 0 {
		return "no endpoint is in service"
	}
	for i := range spec.Steps {
		if !t.possible(service, &spec.Steps[i]) {
			return "no endpoint is large enough"
		}
	}
	slack := spec.Objective() - spec.CriticalPath()
	bearable := time.Duration(slackPart*float64(slack)) - pathTime
	if wait := t.wait(service, spec, now.Add(slack), cores); wait > bearable {
		return fmt.Sprintf("overload: a wait of %d ms is expected, %d ms are bearable, %d cores are in service",
			wait.Milliseconds(), bearable.Milliseconds(), cores/1000)
	}
	return ""
}

// wait estimates how long the tasks of a new job wait for room: behind what
// waits for an earlier latest start at this coordinator, and as much at each of
// its peers.
func (t *Table) wait(service string, spec *work.Job, latest time.Time, cores int64) time.Duration {
	free := int64(0)
	for _, h := range t.hosts {
		if h.attached && h.state.Ready && h.state.Service == service && !t.out[h.state.Domain] {
			free += max(h.free.CPU, 0)
		}
	}
	ahead := int64(0)
	for _, u := range t.ready {
		if u.latest.After(latest) {
			break
		}
		ahead += u.work()
	}
	ahead *= int64(max(t.peers, 1))
	for i := range spec.Steps {
		ahead += int64(spec.Steps[i].Count) * spec.Steps[i].Resources.CPU
	}
	if ahead <= free {
		return 0
	}
	return time.Duration(float64(ahead-free) / float64(cores) * float64(turnover))
}

// possible reports whether some known runner could ever run the step.
func (t *Table) possible(service string, step *work.Step) bool {
	for _, h := range t.hosts {
		if h.state.Service != service || !step.Resources.Fits(h.state.Capacity) {
			continue
		}
		if step.Label == "" || slices.Contains(h.state.Labels, step.Label) {
			return true
		}
	}
	return false
}

// stopOverdue stops runs that take far longer than expected, so that they can be
// run elsewhere.
func (t *Table) stopOverdue(now time.Time) {
	for _, h := range t.hosts {
		for tk := range h.placed {
			if tk.stopping || now.Before(tk.expected) || !h.attached {
				continue
			}
			t.decide(Decision{Job: tk.job.id, Task: tk.name(), Run: tk.run, Agent: h.name, Event: "stopped", Reason: "far beyond its expected run time"})
			t.stopTask(tk)
			tk.avoid = h
			h.fail(now, tk.job.id)
		}
	}
}
