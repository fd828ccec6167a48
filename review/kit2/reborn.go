//go:build review

package main

import (
	"errors"
	"time"

	"carobpulley/work"
)

func init() {
	scenarios["reborn"] = scenario{shape: shape{coordinators: 3, agents: 11, labels: twoB}, play: playReborn}
}

// playReborn crashes a runner as a start is on its way to it. The start is carried out late, by the runner's next
// life.
func playReborn(f *fleet, trouble bool) (bool, error) {
	f.delays.Store(trouble)
	j := newJob("00000000000000f1", 1, 6200, 8*time.Second, "b")
	if accepted, err := f.submit(0, j); err != nil || !accepted {
		return false, errors.Join(err, errors.New("the job was not accepted"))
	}
	state := f.awaitState(1, j.ID, 30*time.Second)
	f.jobs.mu.Lock()
	defer f.jobs.mu.Unlock()
	f.rec.add("the job is shown as %q; starts beside another run of the task: %d", state, f.jobs.beside[work.TaskName(j.ID, 0, 0)])
	return f.jobs.beside[work.TaskName(j.ID, 0, 0)] > 0, nil
}
