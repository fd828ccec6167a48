//go:build review

package main

import (
	"net/http"
	"time"

	"carobpulley/work"
)

// downTime is how long a crashed runner is away, by the site's srv_crash.
const downTime = 4500 * time.Millisecond

const (
	// finish is finish_s, settle stability-ms and idle the time without a run that counts.
	finish = 14 * time.Second
	settle = 3 * time.Second
	idle   = 3 * time.Second
)

// restsIdle reports whether nothing of a job of one task runs for idle, from finish after the last submission on
// and once all has been calm for settle since the last runner came back. The job has not ended then.
func (f *fleet) restsIdle(j *job, coordinator int, lastSent, back time.Time) bool {
	task := work.TaskName(j.ID, 0, 0)
	from := lastSent.Add(finish)
	if calm := back.Add(settle + heartbeatInterval); calm.After(from) {
		from = calm
	}
	ended := false
	for until := from.Add(2 * idle); time.Now().Before(until) && !ended; time.Sleep(250 * time.Millisecond) {
		a := f.call(http.MethodGet, coordinator, j.ID, nil, callTimeout)
		ended = a.status == http.StatusOK && work.State(a.State).Ended()
	}
	f.jobs.mu.Lock()
	_, on := f.jobs.on[task]
	off := f.jobs.lastOff[task]
	cpu := int64(0)
	for name := range f.jobs.on {
		cpu += f.jobs.jobs[work.JobOfTask(name)].Steps[0].Resources.CPU
	}
	f.jobs.mu.Unlock()
	f.rec.add("the job has ended: %v; a run of it is on: %v; nothing of it has run for %s; %d of %d thousandths of a core are in use",
		ended, on, time.Since(off).Round(time.Millisecond), cpu, int64(len(f.runners))*capacityCPU)
	if off.Before(from) {
		off = from
	}
	return !ended && !on && time.Since(off) >= idle
}
