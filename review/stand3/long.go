//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobpulley/work"
)

const (
	// finishTime is finish_s, and idleTime the time for which a job may have nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// longFactor is the factor by which the tasks of the long jobs exceed their estimate.
	longFactor = 6.5
	estimateMS = 900
)

// playLong submits stored jobs of which a twentieth take longFactor times as long as estimated.
func playLong(ctx context.Context, dir string, r *record, trouble bool) (string, error) {
	const (
		jobs      = 100
		interval  = 30 * time.Millisecond
		longEvery = 20
		watchTime = 75 * time.Second
	)
	isLong := func(n int) bool { return trouble && n%longEvery == longEvery/2 }
	var f *fleet
	f, err := newFleet(ctx, dir, r, smallFronts(), sameKinds(6), func(s work.Start) time.Duration {
		var n int
		if _, err := fmt.Sscanf(work.JobOfTask(s.Run.Task), "5c0e7a21d94b%04x", &n); err == nil && isLong(n-1) {
			return time.Duration(longFactor * estimateMS * float64(time.Millisecond))
		}
		return estimateMS * time.Millisecond
	})
	defer f.close()
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	accepted := make(map[int]bool)
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() {
			status, _, err := f.submit(n%3, oneTask(n+1, 6200, estimateMS, ""), callTimeout)
			mu.Lock()
			defer mu.Unlock()
			accepted[n] = err == nil && status == http.StatusOK
		})
		pause(ctx, interval)
	}
	wg.Wait()
	asked := time.Now().Add(finishTime)
	pause(ctx, finishTime)
	broken := ""
	for n := range jobs {
		if !accepted[n] {
			continue
		}
		_, answer, err := f.ask(n%3, http.MethodGet, jobID(n+1), nil, callTimeout)
		if err != nil {
			broken += fmt.Sprintf("job %s gets no answer; ", jobID(n+1))
		} else if state := stateOf(answer); state != work.StateCompleted && !isLong(n) {
			broken += fmt.Sprintf("job %s is shown as %q; ", jobID(n+1), state)
		}
	}
	pause(ctx, watchTime)
	until := time.Now()
	for n := range jobs {
		if !accepted[n] || !isLong(n) {
			continue
		}
		_, answer, _ := f.ask(n%3, http.MethodGet, jobID(n+1), nil, callTimeout)
		state := stateOf(answer)
		if idle := r.idle(jobID(n+1), asked, until); state != work.StateCompleted && idle >= idleTime {
			broken += fmt.Sprintf("job %s is shown as %q %s after the end of the traffic, and had nothing running for %d ms on end while all runners were up and nearly idle; ",
				jobID(n+1), state, until.Sub(asked.Add(-finishTime)).Round(time.Second), idle.Milliseconds())
		}
	}
	return broken, ctx.Err()
}

// idle returns the longest time in a span in which no run of a job's task was at work. The last run counts as at
// work from its start on if it has no end.
func (r *record) idle(id string, from, until time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := id + ".0.0.0"
	var longest time.Duration
	free := from // the time from which nothing runs
	for _, s := range r.starts {
		if s.run.Task != task {
			continue
		}
		if s.at.After(free) {
			longest = max(longest, s.at.Sub(free))
		}
		free = until
		for _, e := range r.ends {
			if e.run == s.run && e.runner == s.runner && e.at.After(s.at) {
				free = e.at
				break
			}
		}
		if free.Before(from) {
			free = from
		}
	}
	return max(longest, until.Sub(free))
}
