package jobs

import (
	"fmt"
	"time"

	"carobpulley/work"
)

// reasonNoEndpoint is why a job is refused while no endpoint can run it.
const reasonNoEndpoint = "no endpoint is in service"

// refusalReason returns why a new job is refused, or an empty string if it is
// accepted. The job is expected to wait behind the queued tasks of this coordinator that come
// before it, and as many at each coordinator that shares its endpoints.
func (t *Table) refusalReason(now time.Time, spec *work.Job) string {
	service := spec.Queue.Service
	class := t.classOf(service, &spec.Queue)
	load := t.loadOf(service)
	slack := spec.Objective() - spec.CriticalPath()
	ahead := t.cpuAhead(now, class, service, now.Add(slack))
	peers := int64(max(t.coordinators, 1))
	if ahead*peers+spec.CPU() > load.Room(class, spec.Steps[0].Resources.CPU) {
		moreCores, moreFree := t.extraCapacity(now, service, spec)
		load.Capacity += moreCores
		load.Free += moreFree
		if moreCores > 0 {
			// The waiting work is this coordinator's own as long as others may have capacity.
			peers = 1
		}
	}
	if load.Capacity == 0 {
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
	estimate := time.Duration(spec.Steps[0].EstimateMS) * time.Millisecond
	wait := load.Wait(class, spec.Steps[0].Resources.CPU, ahead*peers+spec.CPU(), &t.turnover, estimate)
	bearable := load.Bearable(class, slack)
	if wait <= bearable {
		return ""
	}
	return fmt.Sprintf("overload: a wait of %d ms is expected, %d ms are bearable, %d cores are in service",
		wait.Milliseconds(), bearable.Milliseconds(), load.Capacity/1000)
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
