//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobpulley/work"
)

// cancelCase: the front whose process owns the jobs is partitioned from the store and from the other machines
// of the system, three times for 4 s. Callers hand jobs in at another front and cancel them at that one. After a cancel was acknowledged with 2xx or 410
// no task of the job may start later than 3 s after it.
func cancelCase(record string, trouble bool) (broken []string, err error) {
	r := route{name: "rent-confirm", host: "rent.example", prefix: "/rent/", attempts: 4}
	g, err := newRig(record, program, []route{r})
	if err != nil {
		return nil, err
	}
	defer g.close()
	const (
		cancelMS = 3 * time.Second
		cutFor   = 4 * time.Second
		callers  = 6
		steps    = 5
	)
	var mu sync.Mutex
	starts := make(map[string][]time.Time)
	g.behavior = func(_ int, s work.Start) (time.Duration, work.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		id := work.JobOfTask(s.Run.Task)
		starts[id] = append(starts[id], time.Now())
		return 900 * time.Millisecond, work.OutcomeDone
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	type cancel struct {
		id     string
		status int
		at     time.Time
	}
	var cancels []cancel
	for round := range 3 {
		h := g.owner()
		if h == nil {
			return nil, fmt.Errorf("nobody owns the jobs")
		}
		at := 0
		for n := range g.fronts {
			if g.fronts[n] == h {
				at = n
			}
		}
		if trouble {
			g.rec.note("%s, which owns the jobs: partitioned from the store and from the other machines of the system", h.name)
			h.link.setCut(true)
			h.inner.setCut(true)
		}
		began := time.Now()
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				c := &http.Client{Transport: &http.Transport{}}
				for k := 0; time.Since(began) < cutFor; k++ {
					time.Sleep(100 * time.Millisecond)
					id := fmt.Sprintf("%04x%04x%08x", round+1, n+1, k)
					j := g.job(id, 1, 900)
					for step := 1; step < steps; step++ {
						next := j.Steps[0]
						next.After = []int{step - 1}
						j.Steps = append(j.Steps, next)
					}
					other := (at + 1 + n%2) % fronts
					a := g.post(c, other, r, j)
					g.rec.note("caller: POST %s at front %d: %d", id, other, a.status)
					if a.status != http.StatusOK {
						continue
					}
					b := g.call(c, at, http.MethodDelete, r, id, nil, 1500*time.Millisecond)
					g.rec.note("caller: DELETE %s at front %d: %d", id, at, b.status)
					if b.status == http.StatusOK || b.status == http.StatusGone {
						mu.Lock()
						cancels = append(cancels, cancel{id, b.status, time.Now()})
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		if trouble {
			g.rec.note("%s: the partition is over", h.name)
			h.link.setCut(false)
			h.inner.setCut(false)
		}
		time.Sleep(8 * time.Second)
	}
	c := &http.Client{}
	mu.Lock()
	defer mu.Unlock()
	gone := 0
	for _, q := range cancels {
		if q.status == http.StatusGone {
			gone++
		}
		late, last := 0, time.Duration(0)
		for _, at := range starts[q.id] {
			if after := at.Sub(q.at); after > cancelMS {
				late++
				last = after
			}
		}
		if late > 0 {
			a := g.call(c, 0, http.MethodGet, r, q.id, nil, 1500*time.Millisecond)
			broken = append(broken, fmt.Sprintf("UNASKED: DELETE of job %s was answered %d, %d tasks of it start more than %s later, the last after %.3f s; it is shown as %q",
				q.id, q.status, late, cancelMS, last.Seconds(), a.state))
		}
	}
	g.rec.note("%d cancels acknowledged, %d of them with 410; %d jobs with starts more than %s later", len(cancels), gone, len(broken), cancelMS)
	fmt.Printf("%d cancels acknowledged, %d of them with 410; %d jobs with starts more than %s later\n", len(cancels), gone, len(broken), cancelMS)
	if len(cancels) < 10 {
		return nil, fmt.Errorf("only %d cancels acknowledged", len(cancels))
	}
	return broken, nil
}
