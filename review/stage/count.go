//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"carobpulley/work"
)

// countCase: six times one of 11 runners fails 4 in 10 of its runs for 6.5 s, and the process that owns the
// jobs is killed meanwhile. A job may be shown as failed only if max-attempts runs of one of its tasks have ended failed.
// TROUBLE=grey leaves the kills out; STOP=term stops the processes by SIGTERM instead.
func countCase(record string, trouble bool) (broken []string, err error) {
	r := route{name: "temp-ack", host: "temp.example", prefix: "/temp/", attempts: 2}
	g, err := newRig(record, program, []route{r})
	if err != nil {
		return nil, err
	}
	defer g.close()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(36, 1))
	const grey, greyShare, greyFor = 4, 0.4, 6500 * time.Millisecond
	var greyUntil time.Time
	g.behavior = func(n int, _ work.Start) (time.Duration, work.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		d := time.Duration(120+rng.IntN(160)) * time.Millisecond
		if n == grey && time.Now().Before(greyUntil) && rng.Float64() < greyShare {
			return d, work.OutcomeFailed
		}
		return d, work.OutcomeDone
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	const (
		callers = 24
		length  = 58 * time.Second
		kills   = 6
		pause   = 8 * time.Second
	)
	began := time.Now()
	var ids []string
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			for k := 0; time.Since(began) < length; k++ {
				id := fmt.Sprintf("%08x%08x", n+1, k)
				if g.submit(c, n%fronts, r, g.job(id, 2, 200)) == http.StatusOK {
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
				}
				time.Sleep(time.Duration(150+n*3) * time.Millisecond)
			}
		})
	}
	for range kills {
		time.Sleep(pause - greyFor/2)
		if trouble {
			g.rec.note("runner %d: fails 4 in 10 of what it starts for %s", grey, greyFor)
			mu.Lock()
			greyUntil = time.Now().Add(greyFor)
			mu.Unlock()
		}
		time.Sleep(greyFor / 2)
		h := g.owner()
		if !trouble || os.Getenv("TROUBLE") == "grey" || h == nil {
			continue
		}
		if err := g.stopAndStart(h, os.Getenv("STOP") == "term"); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	failed := g.failedRuns()
	c := &http.Client{}
	shown, causeless := 0, 0
	for _, id := range ids {
		a := g.await(c, r, id, time.Now().Add(5*time.Second))
		most := 0
		for i := range 2 {
			most = max(most, failed[work.TaskName(id, 0, i)])
		}
		switch {
		case a.state == string(work.StateFailed):
			shown++
			if most < r.attempts {
				causeless++
				broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed; no task of it has more than %d run that ended failed, max-attempts is %d", id, most, r.attempts))
			}
		case a.status == http.StatusGone:
			broken = append(broken, fmt.Sprintf("LOST: job %s is answered 410", id))
		}
	}
	g.rec.note("%d jobs accepted, %d shown as failed, %d of them without cause", len(ids), shown, causeless)
	fmt.Printf("%d jobs accepted, %d shown as failed, %d of them without cause\n", len(ids), shown, causeless)
	if len(ids) < 1000 {
		return nil, fmt.Errorf("only %d jobs accepted", len(ids))
	}
	return broken, nil
}

// stopAndStart ends a host's process by SIGKILL, or by SIGTERM as the platform does, and starts it again
// a second later.
func (g *rig) stopAndStart(h *host, term bool) error {
	if term {
		g.rec.note("%s: its process gets SIGTERM", h.name)
		h.mu.Lock()
		cmd, done := h.cmd, h.done
		h.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
		select {
		case <-done:
		case <-time.After(grace):
			g.kill(h)
		}
	} else {
		g.rec.note("%s: its process is killed", h.name)
		g.kill(h)
	}
	time.Sleep(time.Second)
	g.rec.note("%s: its process is started again", h.name)
	return g.run(h)
}
