//go:build review

package main

import (
	"errors"
	"fmt"
	"time"

	"carobpulley/work"
)

func init() {
	scenarios["probed"] = scenario{shape: shape{coordinators: 3, agents: 11, labels: oneB}, play: playProbed}
}

// greyTime is how long a runner fails all that it starts, by the site's srv_grey.
const greyTime = 6500 * time.Millisecond

// playProbed lets the one runner of kind b, which has a long task, fail all that it starts for a while. The jobs that
// need it have attempts left, so they have to go on afterwards.
func playProbed(f *fleet, trouble bool) (bool, error) {
	b := f.runners[10]
	long := newJob("00000000000000e0", 1, 20_000, 75*time.Second, "b")
	if accepted, err := f.submit(0, long); err != nil || !accepted {
		return false, errors.Join(err, errors.New("the long job was not accepted"))
	}
	if _, err := f.awaitRun(work.TaskName(long.ID, 0, 0), 5*time.Second); err != nil {
		return false, err
	}
	b.fails.Store(trouble)
	began := time.Now()
	var all []*job
	for n := range 3 {
		j := newJob(fmt.Sprintf("00000000000000e%d", n+1), 1, 6200, 900*time.Millisecond, "b")
		if accepted, err := f.submit(n, j); err != nil || !accepted {
			return false, errors.Join(err, errors.New("a job was not accepted"))
		}
		all = append(all, j)
	}
	lastSent := time.Now()
	if trouble {
		time.Sleep(time.Until(began.Add(greyTime)))
		b.fails.Store(false)
		f.rec.add("runner 10 is sound again")
	}
	back := time.Now()
	rests := false
	for _, j := range all {
		if f.restsIdle(j, 1, lastSent, back) {
			f.rec.add("job %s rests; runs of it that ended failed: %d, attempts allowed: %d", j.ID, f.jobs.failures(j.ID), maxAttempts)
			rests = rests || f.jobs.failures(j.ID) < maxAttempts
		}
	}
	return rests, nil
}
