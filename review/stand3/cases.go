//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"carobpulley/work"
)

const (
	// crashTime is for_s of the crashes that the site files name.
	crashTime = 4500 * time.Millisecond
	// visibleTime is visible_ms and the 2 s for which a count may be old.
	visibleTime = 5 * time.Second
	callTimeout = 4 * time.Second
)

var errNotAccepted = errors.New("the job was not accepted")

func durationByEstimate(f **fleet) func(s work.Start) time.Duration {
	return func(s work.Start) time.Duration {
		_, step := (*f).jobs.step(s.Run.Task)
		if step == nil {
			return time.Second
		}
		return time.Duration(step.EstimateMS) * time.Millisecond
	}
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

func oneTask(n int, cpu, estimateMS int64, label string) *work.Job {
	return &work.Job{ID: jobID(n), Spec: "review", Steps: []work.Step{{
		Count: 1, Resources: work.Resources{CPU: cpu, MemMB: 64}, EstimateMS: estimateMS, Label: label,
	}}}
}

func sameKinds(n int) []string {
	kinds := make([]string, n)
	for i := range kinds {
		kinds[i] = "a"
	}
	return kinds
}

// playKind lets a runner crash and come back under its id and address as another kind.
func playKind(ctx context.Context, dir string, r *record, trouble bool) (string, error) {
	const (
		jobs     = 60
		interval = 350 * time.Millisecond
		// firstBeat is the time from the opening of the runner's address to its first heartbeat.
		firstBeat = 200 * time.Millisecond
	)
	var f *fleet
	f, err := newFleet(ctx, dir, r, smallFronts(), []string{"a", "a", "b", "b", "b", "b", "b", "b"}, durationByEstimate(&f))
	defer f.close()
	if err != nil {
		return "", err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() { _, _, _ = f.submit(n%3, oneTask(n+1, 30_000, 1000, "a"), callTimeout) })
			pause(ctx, interval)
		}
		wg.Wait()
	}()
	pause(ctx, 5*time.Second)
	if trouble {
		f.runners[0].crash()
		pause(ctx, crashTime)
		if err := f.runners[0].restart("b", firstBeat); err != nil {
			return "", err
		}
	}
	<-done
	pause(ctx, 5*time.Second)
	wrong := 0
	for _, s := range r.startsOf("") {
		if s.lacks != "" {
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("%d tasks began at a runner without the label that they require", wrong), nil
	}
	return "", ctx.Err()
}

// playPending asks for the number of a queue's pending jobs while the process that owns them is killed and
// started again.
func playPending(ctx context.Context, dir string, r *record, trouble bool) (string, error) {
	const (
		jobs     = 20
		interval = 10 * time.Millisecond
		// restartDelay is the short delay after which a process that is killed is started again.
		restartDelay = 300 * time.Millisecond
	)
	var f *fleet
	f, err := newFleet(ctx, dir, r, smallFronts(), []string{"a", "a", "a", "a", "a", "b"}, durationByEstimate(&f))
	defer f.close()
	if err != nil {
		return "", err
	}
	// The only runner of kind b is busy for a minute; the jobs that need it wait.
	if status, _, err := f.submit(0, oneTask(1, runnerCPU, 60_000, "b"), callTimeout); err != nil || status != http.StatusOK {
		return "", errNotAccepted
	}
	pause(ctx, time.Second)
	accepted := 0
	for n := range jobs {
		if status, _, err := f.submit(n%3, oneTask(n+2, 6200, 500, "b"), callTimeout); err == nil && status == http.StatusOK {
			accepted++
		}
	}
	if accepted < jobs {
		return "", errNotAccepted
	}
	pause(ctx, visibleTime+time.Second)
	owner := f.owner()
	if owner < 0 {
		return "", errors.New("no owner found")
	}
	r.add("coordinator-%d owns the jobs", owner)
	var mu sync.Mutex
	var low []string
	stop, stopped := make(chan struct{}), sync.WaitGroup{}
	for n := range f.coordinators {
		if n == owner {
			continue // it is not in touch after its kill
		}
		stopped.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				status, answer, err := f.ask(n, http.MethodGet, "", nil, callTimeout)
				var doc struct {
					Pending int `json:"pending"`
				}
				if err != nil || status != http.StatusOK || json.Unmarshal(answer, &doc) != nil || 2*doc.Pending >= accepted {
					continue
				}
				mu.Lock()
				low = append(low, fmt.Sprintf("%d at coordinator-%d", doc.Pending, n))
				mu.Unlock()
			}
		})
	}
	pause(ctx, time.Second)
	if trouble {
		f.end(f.coordinators[owner], syscall.SIGKILL)
		pause(ctx, restartDelay)
		if err := f.startProcess(f.coordinators[owner]); err != nil {
			return "", err
		}
	}
	pause(ctx, 6*time.Second)
	close(stop)
	stopped.Wait()
	if n := len(r.startsOf("")); n != 1 {
		return "", fmt.Errorf("%d tasks have begun, not 1", n)
	}
	if len(low) > 0 {
		return fmt.Sprintf("%d answers give under half of the %d jobs that were accepted over %s before and haven't begun; the first: %s", len(low), accepted, visibleTime, low[0]), nil
	}
	return "", ctx.Err()
}

// owner returns the number of the coordinator that has logged last that it owns the jobs' shard; -1 if none has.
func (f *fleet) owner() int {
	owner, newest := -1, ""
	for n, p := range f.coordinators {
		b, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(b, []byte("\n")) {
			var doc struct {
				Message string      `json:"message"`
				Epoch   json.Number `json:"epoch"`
			}
			if json.Unmarshal(line, &doc) == nil && doc.Message == "shard owned" && fmt.Sprintf("%20s", doc.Epoch) > newest {
				owner, newest = n, fmt.Sprintf("%20s", doc.Epoch)
			}
		}
	}
	return owner
}
