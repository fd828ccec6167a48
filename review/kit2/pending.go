//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() {
	scenarios["pending"] = scenario{shape: shape{coordinators: 3, agents: 11, labels: oneB}, play: playPending}
}

const (
	// shedTime is how long the runner refuses all starts, by the site's srv_grey.
	shedTime = 6500 * time.Millisecond
	// pendingAge is the age from which a job counts: visible_ms + 2 s.
	pendingAge = 5 * time.Second
)

// playPending submits jobs that one runner can run, which refuses each start for a while, and asks for the number
// of jobs that haven't begun.
func playPending(f *fleet, trouble bool) (bool, error) {
	b := f.runners[10]
	b.sheds.Store(trouble)
	began := time.Now()
	var all []*job
	for n := range 8 {
		j := newJob(fmt.Sprintf("00000000000000b%d", n), 1, 6200, 900*time.Millisecond, "b")
		accepted, err := f.submit(n%3, j)
		if err != nil {
			return false, err
		}
		if accepted {
			all = append(all, j)
		}
	}
	if len(all) < 4 {
		return false, errors.New("fewer than four jobs were accepted")
	}
	broken := false
	for time.Since(began) < shedTime {
		time.Sleep(200 * time.Millisecond)
		due := 0
		for _, j := range all {
			if time.Since(j.accepted) > pendingAge && !f.jobs.begun(j.ID) {
				due++
			}
		}
		for n := range f.coordinators {
			a := f.call(http.MethodGet, n, "", nil, callTimeout)
			still := 0
			for _, j := range all {
				if time.Since(j.accepted) > pendingAge && !f.jobs.begun(j.ID) {
					still++
				}
			}
			if a.status == http.StatusOK && a.Pending != nil && 2**a.Pending < min(due, still) {
				broken = true
				f.rec.add("coordinator %d gives %d as pending; %d jobs accepted over %s before haven't begun", n, *a.Pending, still, pendingAge)
			}
		}
	}
	b.sheds.Store(false)
	f.rec.add("starts that the runner refused: %d", f.jobs.sheds)
	for _, j := range all {
		if state := f.awaitState(0, j.ID, 20*time.Second); state != "completed" {
			f.rec.add("job %s is shown as %q at the end", j.ID, state)
		}
	}
	return broken, nil
}
