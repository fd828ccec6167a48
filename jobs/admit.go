package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// reasonNoEndpoint is why a job is refused while no endpoint can run it.
const reasonNoEndpoint = "no endpoint is in service"

// refusalReason returns why a new job is refused, or an empty string if it is
// accepted. The job is expected to wait behind the queued tasks of this coordinator that have
// to start no later, and as many at each coordinator that shares its endpoints.
func (t *Table) refusalReason(now time.Time, spec *work.Job) string {
	service := spec.Queue.Service
	var cores int64
	for _, a := range t.active {
		if a.attached && a.endpoint.Ready && a.endpoint.Service == service && !t.outOfService[a.endpoint.Domain] {
			cores += a.endpoint.Capacity.CPU
		}
	}
	free := t.freeCPU(service)
	ahead := t.cpuAhead(now.Add(spec.Objective() - spec.CriticalPath()))
	peers := int64(max(t.coordinators, 1))
	if ahead*peers+spec.CPU() > free {
		moreCores, moreFree := t.extraCapacity(now, service, spec)
		cores += moreCores
		free += moreFree
		if moreCores > 0 {
			// The waiting work is this coordinator's own as long as others may have capacity.
			peers = 1
		}
	}
	if cores == 0 {
		if t.starting(now, service, &spec.Steps[0]) {
			return ""
		}
		return reasonNoEndpoint
	}
	for i := range spec.Steps {
		if !t.feasible(service, &spec.Steps[i]) {
			return "no endpoint is large enough"
		}
	}
	slack := spec.Objective() - spec.CriticalPath()
	maxWait := time.Duration(maxWaitShare*float64(slack)) - messageTime
	turnover := t.turnover(time.Duration(spec.Steps[0].EstimateMS) * time.Millisecond)
	wait := time.Duration(float64(max(ahead*peers+spec.CPU()-free, 0)) / float64(cores) * float64(turnover))
	if wait > maxWait {
		return fmt.Sprintf("overload: a wait of %d ms is expected, %d ms are bearable, %d cores are in service",
			wait.Milliseconds(), maxWait.Milliseconds(), cores/1000)
	}
	return ""
}

// freeCPU returns the free CPU capacity of a service's endpoints.
func (t *Table) freeCPU(service string) int64 {
	free := int64(0)
	for _, a := range t.active {
		if a.attached && a.endpoint.Ready && a.endpoint.Service == service && !t.outOfService[a.endpoint.Domain] {
			free += max(a.free.CPU, 0)
		}
	}
	return free
}

// cpuAhead returns the CPU capacity that the queued tasks need whose latest start is no later
// than the given time.
func (t *Table) cpuAhead(latest time.Time) int64 {
	ahead := int64(0)
	for _, g := range t.ready {
		if g.latestStart.After(latest) {
			break
		}
		ahead += g.cpu()
	}
	return ahead
}

// feasible reports whether any known endpoint could ever run the step.
func (t *Table) feasible(service string, step *work.Step) bool {
	for _, a := range t.active {
		if a.canRun(service, step) {
			return true
		}
	}
	for _, a := range t.agents {
		if a.canRun(service, step) {
			return true
		}
	}
	return false
}
