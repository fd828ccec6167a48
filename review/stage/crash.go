//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"carobpulley/work"
)

// crashCase: two runners crash, the second after the first is back, while they run the only task of a durable
// job. No run of it ends as failed, so the job may not be shown as failed.
func crashCase(record string, trouble bool) (broken []string, err error) {
	r := route{name: "rent-confirm", host: "rent.example", prefix: "/rent/", attempts: 4}
	g, err := newRig(record, program, []route{r})
	if err != nil {
		return nil, err
	}
	defer g.close()
	const downFor = 800 * time.Millisecond
	started := make(chan int, 100)
	const id = "5c0e7a21d94b36f8"
	g.behavior = func(n int, s work.Start) (time.Duration, work.Outcome) {
		if work.JobOfTask(s.Run.Task) == id {
			started <- n
		}
		return 3 * time.Second, work.OutcomeDone
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	c := &http.Client{}
	// A few other jobs run beside it, as on a calm day.
	for n := range 4 {
		if status := g.submit(c, n%fronts, r, g.job(fmt.Sprintf("%016x", 0xa0+n), 1, 3000)); status != http.StatusOK {
			return nil, fmt.Errorf("a job was answered %d", status)
		}
	}
	if status := g.submit(c, 0, r, g.job(id, 1, 3000)); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	for range 2 {
		p, ok := next(started)
		if !ok || !trouble {
			break
		}
		time.Sleep(time.Second)
		g.rec.note("runner %d: crashes", p)
		g.runners[p].crash()
		time.Sleep(downFor)
		if err := g.runners[p].restart(); err != nil {
			return nil, err
		}
		g.rec.note("runner %d: is back", p)
	}
	a := g.await(c, r, id, time.Now().Add(30*time.Second))
	failed := 0
	for task, n := range g.failedRuns() {
		if work.JobOfTask(task) == id {
			failed += n
		}
	}
	g.rec.note("job %s: shown as %q with status %d; runs of it that ended failed: %d", id, a.state, a.status, failed)
	if a.state == string(work.StateFailed) && failed < r.attempts {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, %d runs of its task have ended failed, max-attempts is %d", id, failed, r.attempts))
	} else if a.state != string(work.StateCompleted) {
		return nil, fmt.Errorf("the job is %q", a.state)
	}
	return broken, nil
}

// next returns the next value of a channel, if one comes within 15 s.
func next(ch <-chan int) (int, bool) {
	select {
	case n := <-ch:
		return n, true
	case <-time.After(15 * time.Second):
		return 0, false
	}
}
