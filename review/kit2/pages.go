//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"carobpulley/work"
)

func init() {
	scenarios["pages"] = scenario{shape: shape{coordinators: 3, agents: 11, labels: oneB}, play: playPages}
}

const (
	// slowAnswer is the time of an answer of the store that is 60 times as slow, by the site's platform_slow, and
	// slowTime how long it is.
	slowAnswer = 60 * 4 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 200 * time.Millisecond
	// page is the number of ends that a runner returns at a time.
	page = 500
)

// playPages kills the agent of a runner that lists more ends than one page holds, while the store is slow.
func playPages(f *fleet, trouble bool) (bool, error) {
	const number = 10
	if trouble {
		f.storeDelay.Store(int64(slowAnswer))
	}
	began := time.Now()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	// Usual traffic: short jobs that needn't be kept.
	for c := range f.coordinators {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				j := newJob(fmt.Sprintf("%08x%08x", c+1, n), 1, 1000, 60*time.Millisecond, "b")
				j.BestEffort = true
				wg.Go(func() { _, _ = f.submit(c, j) }) // its answer doesn't matter
			}
		})
	}
	var all []*job
	var mu sync.Mutex
	var submits sync.WaitGroup
	for n := range 6 {
		j := newJob(fmt.Sprintf("00000000000000f%d", n), 120, 80, time.Second, "b")
		submits.Go(func() {
			accepted, err := f.submit(n%3, j)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && accepted {
				all = append(all, j)
			}
		})
	}
	submits.Wait()
	if len(all) < 5 {
		return false, errors.New("jobs were refused")
	}
	if trouble {
		for until := time.Now().Add(5 * time.Second); f.runners[number].unacknowledged() < page+100; time.Sleep(2 * time.Millisecond) {
			if time.Now().After(until) {
				f.rec.add("there were never more than a page of ends")
				break
			}
		}
		f.rec.add("kill of the agent, with %d ends of durable tasks that are not acknowledged", f.runners[number].unacknowledged())
		f.agents[number].kill()
		time.Sleep(restartDelay)
		if err := f.start(f.agents[number]); err != nil {
			return false, err
		}
		time.Sleep(time.Until(began.Add(slowTime)))
		f.storeDelay.Store(0)
	}
	for _, j := range all {
		if state := f.awaitState(0, j.ID, 20*time.Second); state != string(work.StateCompleted) {
			f.rec.add("job %s is shown as %q", j.ID, state)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	violations := f.runners[number].checker.Violations()
	f.jobs.mu.Lock()
	defer f.jobs.mu.Unlock()
	f.rec.add("violations that the project's own checker of the runner names: %d %.200s", len(violations), append(violations, "")[0])
	f.rec.add("tasks that were started after an end done of which note was taken then or later: %d", len(f.jobs.again))
	return len(f.jobs.again) > 0, nil
}
