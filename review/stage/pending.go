//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobpulley/work"
)

// pendingCase: callers cancel a third of the best-effort jobs while they run, each at the front where the job was
// handed in and at which its caller waits. After a cancel was acknowledged with 2xx or 410 no task of the job may start later than
// 3 s after it. Nothing else disturbs the system.
func pendingCase(record string, trouble bool) (broken []string, err error) {
	r := route{name: "rent-confirm", host: "rent.example", prefix: "/rent/", attempts: 4}
	g, err := newRig(record, program, []route{r})
	if err != nil {
		return nil, err
	}
	defer g.close()
	const (
		cancelMS = 3 * time.Second
		patience = 10 * time.Second
		steps    = 5
		jobs     = 18
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
	type outcome struct {
		answered  answer
		cancelled answer
		at        time.Time
	}
	outcomes := make(map[string]*outcome)
	var wg sync.WaitGroup
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xbe00+n)
		j := g.job(id, 1, 900)
		j.BestEffort = true
		for step := 1; step < steps; step++ {
			next := j.Steps[0]
			next.After = []int{step - 1}
			j.Steps = append(j.Steps, next)
		}
		o := &outcome{}
		outcomes[id] = o
		front := n % fronts
		wg.Go(func() {
			a := g.postWaiting(&http.Client{Transport: &http.Transport{}}, front, r, j, patience)
			g.rec.note("caller: POST %s at front %d: %d %s", id, front, a.status, a.state)
			mu.Lock()
			o.answered = a
			mu.Unlock()
		})
		if trouble && n/fronts%3 == 0 {
			wg.Go(func() {
				time.Sleep(400 * time.Millisecond)
				a := g.call(&http.Client{Transport: &http.Transport{}}, front, http.MethodDelete, r, id, nil, 1500*time.Millisecond)
				g.rec.note("caller: DELETE %s at front %d: %d", id, front, a.status)
				mu.Lock()
				o.cancelled, o.at = a, time.Now()
				mu.Unlock()
			})
		}
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	counts := make(map[string]int)
	for id, o := range outcomes {
		counts[fmt.Sprintf("DELETE %d, POST %d %s", o.cancelled.status, o.answered.status, o.answered.state)]++
		if o.cancelled.status != http.StatusOK && o.cancelled.status != http.StatusGone {
			continue
		}
		late, last := 0, time.Duration(0)
		for _, at := range starts[id] {
			if after := at.Sub(o.at); after > cancelMS {
				late++
				last = after
			}
		}
		if late > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: DELETE of job %s was answered %d while its caller waited, %d tasks of it start more than %s later, the last after %.3f s; its POST is answered %d %s",
				id, o.cancelled.status, late, cancelMS, last.Seconds(), o.answered.status, o.answered.state))
		}
	}
	g.rec.note("%v; %d jobs with starts more than %s after the answer to their cancel", counts, len(broken), cancelMS)
	fmt.Println(counts)
	return broken, nil
}
