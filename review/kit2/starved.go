//go:build review

package main

import (
	"errors"
	"time"

	"carobpulley/work"
)

func init() {
	scenarios["starved"] = scenario{shape: shape{coordinators: 3, agents: 11, labels: twoB}, play: playStarved}
}

// playStarved keeps the two runners of kind b at work with one long task each, and crashes one of them while
// a stored job that needs the kind b is at work on it. Nothing else happens, so that job has to go on.
func playStarved(f *fleet, trouble bool) (bool, error) {
	var long []*job
	for _, id := range []string{"00000000000000c1", "00000000000000c2"} {
		j := newJob(id, 1, 45_000, 75*time.Second, "b")
		accepted, err := f.submit(0, j)
		if err != nil || !accepted {
			return false, errors.Join(err, errors.New("a long job was not accepted"))
		}
		long = append(long, j)
		if _, err := f.awaitRun(work.TaskName(id, 0, 0), 5*time.Second); err != nil {
			return false, err
		}
	}
	first, _ := f.jobs.runOf(work.TaskName(long[0].ID, 0, 0))
	second, _ := f.jobs.runOf(work.TaskName(long[1].ID, 0, 0))
	if first.runner == second.runner {
		return false, errors.New("both long tasks are on one runner")
	}
	j := newJob("00000000000000c3", 1, 6200, 3*time.Second, "b")
	accepted, err := f.submit(1, j)
	if err != nil || !accepted {
		return false, errors.Join(err, errors.New("the job was not accepted"))
	}
	lastSent := time.Now()
	task := work.TaskName(j.ID, 0, 0)
	s, err := f.awaitRun(task, 5*time.Second)
	if err != nil {
		return false, err
	}
	back := time.Now()
	if trouble {
		time.Sleep(time.Second)
		f.runners[s.runner].crash()
		time.Sleep(downTime)
		if err := f.runners[s.runner].restart(); err != nil {
			return false, err
		}
		back = time.Now()
	}
	return f.restsIdle(j, 2, lastSent, back), nil
}
