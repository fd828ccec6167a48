package place_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carobpulley"
	"carobpulley/place"
)

// With a fast and a slow endpoint, the placer learns their run times and prefers
// the fast one.
func ExamplePlacer() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := place.New(rand.NewPCG(1, 1), nil, "d1")
	p.Configure(now, &carobpulley.Catalogue{
		Version:  1,
		Services: map[string]carobpulley.Service{"check": {Name: "check", RunTime: 100 * time.Millisecond}},
		Domains:  map[string]carobpulley.Domain{"d1": {Name: "d1", InService: true}},
	})
	runTimes := map[string]time.Duration{"fast": 50 * time.Millisecond, "slow": 400 * time.Millisecond}
	for _, id := range []string{"fast", "slow"} {
		ep := carobpulley.Endpoint{ID: id, Incarnation: 1, Domain: "d1", Services: []string{"check"}, Slots: 2}
		p.Upsert(now, ep, carobpulley.Load{})
	}
	count := map[string]int{}
	for range 100 {
		ep, ok := p.Pick(now, "check")
		if !ok {
			fmt.Println("Pick returned no endpoint")
			return
		}
		count[ep.ID]++
		sent := now
		now = now.Add(runTimes[ep.ID])
		p.Done(now, carobpulley.Sample{Endpoint: ep.ID, Service: "check", SentAt: sent, EndedAt: now, Run: runTimes[ep.ID]})
	}
	fmt.Println("mostly fast:", count["fast"] > 80)
	// Output:
	// mostly fast: true
}
