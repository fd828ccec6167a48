//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// playLoad kills, or with STOP=term stops as planned, the owner of stored jobs whose records take longer to read over its successor's link than the
// system waits for them.
func playLoad(ctx context.Context, dir string, r *record, trouble bool) (string, error) {
	const (
		jobs     = 2400
		clients  = 24
		runTime  = 200 * time.Second
		cpu      = 100
		specSize = 4000
		// downTime is for_s of the kill.
		downTime  = 3500 * time.Millisecond
		watchTime = 14 * time.Second
	)
	fronts := []front{{0.8, 536, 200}, {0.192, 184, 25}, {0.192, 184, 25}}
	f, err := newFleet(ctx, dir, r, fronts, sameKinds(6), func(work.Start) time.Duration { return runTime })
	defer f.close()
	if err != nil {
		return "", err
	}
	spec := strings.Repeat("0123456789abcdef", specSize/16)
	numbers := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []int
	for range clients {
		wg.Go(func() {
			for n := range numbers {
				j := oneTask(n+1, cpu, runTime.Milliseconds(), "")
				j.Spec = spec
				if status, _, err := f.submitQuietly(0, j, callTimeout); err == nil && status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, n)
					mu.Unlock()
				}
			}
		})
	}
	for n := range jobs {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	r.add("%d of %d jobs were accepted", len(accepted), jobs)
	if len(accepted) < jobs*9/10 {
		return "", errNotAccepted
	}
	pause(ctx, 2*time.Second)
	r.add("coordinator-%d owns the jobs", f.owner())
	r.add("the store returns their records in %d bytes", f.newestBytes())
	if trouble {
		signal := syscall.SIGKILL
		if os.Getenv("STOP") == "term" {
			signal = syscall.SIGTERM
		}
		f.end(f.coordinators[0], signal)
		pause(ctx, downTime)
		if err := f.startProcess(f.coordinators[0]); err != nil {
			return "", err
		}
	}
	pause(ctx, finishTime)
	from := time.Now()
	pause(ctx, watchTime)
	until := time.Now()
	idle, unanswered := 0, 0
	for k, n := range accepted {
		if r.idle(jobID(n+1), from, until) >= idleTime {
			idle++
		}
		if k%100 != 0 {
			continue
		}
		if status, _, err := f.ask(1+k/100%2, http.MethodGet, jobID(n+1), nil, callTimeout); err != nil || status != http.StatusOK {
			unanswered++
		}
	}
	for _, p := range f.coordinators {
		if b, err := os.ReadFile(p.log.Name()); err == nil {
			r.add("%s has failed to load the jobs %d times", p.name, strings.Count(string(b), `"what":"load"`))
		}
	}
	if idle > 0 || unanswered > 0 {
		return fmt.Sprintf("%d of %d accepted jobs had nothing running for %s on end, and %d of %d calls for the state of one got no answer 200, over %s after the restart, with 6 runners up",
			idle, len(accepted), idleTime, unanswered, (len(accepted)+99)/100, finishTime), nil
	}
	return "", ctx.Err()
}

// newestBytes returns the size of all pages of the newest records of the jobs.
func (f *fleet) newestBytes() int {
	sum, after := 0, ""
	for {
		w := httptest.NewRecorder()
		writeNewest(f.ctx, w, f.store.View(), carobpulley.TopicJobs, "0", after)
		sum += w.Body.Len()
		var page struct {
			Items []struct {
				Key string `json:"key"`
			} `json:"items"`
			More bool `json:"more"`
		}
		if json.Unmarshal(w.Body.Bytes(), &page) != nil || !page.More {
			return sum
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
