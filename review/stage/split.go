//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"carobpulley/work"
)

// splitCase: the zone of the front whose process owns the jobs is partitioned from the others for 4 s, nine times. No
// task of a durable job may run twice at a time, or start after an end that was taken note of.
func splitCase(record string, trouble bool) (broken []string, err error) {
	r := route{name: "rent-confirm", host: "rent.example", prefix: "/rent/", attempts: 4}
	g, err := newRig(record, program, []route{r})
	if err != nil {
		return nil, err
	}
	defer g.close()
	g.apart = true
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(36, 2))
	g.behavior = func(int, work.Start) (time.Duration, work.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(500+rng.IntN(800)) * time.Millisecond, work.OutcomeDone
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	const (
		callers     = 18
		length      = 88 * time.Second
		rounds      = 9
		cutFor      = 4 * time.Second
		betweenCuts = 5 * time.Second
	)
	began := time.Now()
	var wg sync.WaitGroup
	accepted := 0
	for n := range callers {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			for k := 0; time.Since(began) < length; k++ {
				if g.submit(c, n%fronts, r, g.job(fmt.Sprintf("%08x%08x", n+1, k), 2, 900)) == http.StatusOK {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
				time.Sleep(time.Duration(700+n*10) * time.Millisecond)
			}
		})
	}
	for range rounds {
		time.Sleep(betweenCuts)
		h := g.owner()
		if !trouble || h == nil {
			continue
		}
		g.rec.note("zone %s, with %s, which owns the jobs: partitioned from the others", h.zone, h.name)
		g.cutZone(h.zone)
		time.Sleep(cutFor)
		g.cutZone("")
		g.rec.note("zone %s: the partition is over", h.zone)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	broken = append(broken, g.checker.Violations()...)
	for i := range broken {
		broken[i] = "TWICE: " + broken[i]
	}
	fmt.Println(accepted, "jobs accepted,", len(broken), "violations")
	g.rec.note("%d jobs accepted, %d violations", accepted, len(broken))
	if accepted < 300 {
		return nil, fmt.Errorf("only %d jobs accepted", accepted)
	}
	return broken, nil
}
