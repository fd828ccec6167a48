package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/place"
)

// Guards against an endpoint that fails every task quickly and therefore looks
// idle and fast. It may get the tasks whose failure opens its breaker and then
// one probe per pause.
func TestFailingEndpointGetsOnlyProbes(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 3)
	failed := 0
	now := start
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		if i%100 < 3 {
			p.Upsert(now, endpoint(i%100, string("abc"[i%100])), carobpulley.Load{})
		}
		e, ok := p.Pick(now, service)
		if !ok {
			t.Fatal("Pick returned no endpoint")
		}
		s := sample(e, now, 100*time.Millisecond)
		if e.ID == "e0000" {
			failed++
			s.Run, s.Failed = time.Millisecond, true
		}
		p.Done(now, s)
	}
	// Five failures open the breaker. One probe follows each pause of 1, 2, 4, 8, 16
	// and 30 s within the minute.
	if failed > 5+6 {
		t.Errorf("the failing endpoint got %d of 6000 tasks", failed)
	}
}

// Guards against a service that fails everywhere opening the breakers of all
// endpoints, which would make them unavailable to other services.
func TestServiceThatFailsEverywhere(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	c := catalogue("a")
	p.Configure(start, c)
	for i := range 3 {
		e := endpoint(i, "a")
		e.Services = []string{"broken", service}
		p.Upsert(start, e, carobpulley.Load{})
	}
	now := start
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		if e, ok := p.Pick(now, "broken"); ok {
			s := sample(e, now, time.Millisecond)
			s.Service, s.Failed = "broken", true
			p.Done(now, s)
		}
	}
	n := 0
	for ok := true; ok; n++ {
		_, ok = p.Pick(now, service)
	}
	if n-1 < 8*3 {
		t.Errorf("%d reservations for the other service, want at least the 24 slots", n-1)
	}
}

// Guards against an open breaker that allows tasks, against several concurrent
// probes, and against full load immediately after a successful probe.
func TestBreaker(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 1)
	now := start
	reserveAll := func() (all []carobpulley.Endpoint) {
		for e, ok := p.Pick(now, service); ok; e, ok = p.Pick(now, service) {
			all = append(all, e)
		}
		return all
	}
	end := func(all []carobpulley.Endpoint, failed bool) {
		for _, e := range all {
			s := sample(e, now, 100*time.Millisecond)
			s.Failed = failed
			p.Done(now, s)
		}
	}
	got := make([]int, 0, 7)
	// Failures open the breaker for 1 to 1.25 s, a failed probe opens it for 2 to
	// 2.5 s.
	for _, step := range []struct {
		wait   time.Duration
		failed bool
	}{{0, true}, {900, false}, {400, true}, {1900, false}, {700, false}, {10, false}, {2000, false}} {
		now = now.Add(step.wait * time.Millisecond)
		all := reserveAll()
		got = append(got, len(all))
		end(all, step.failed)
	}
	if d := cmp.Diff([]int{9, 0, 1, 0, 1, 1, 9}, got); d != "" {
		t.Errorf("reservations at each step (-want +got):\n%s", d)
	}
}

// Guards against a failing endpoint that remains the first choice until its
// breaker opens.
func TestFailureRaisesEstimate(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 2)
	now := start
	for i := range 40 {
		now = now.Add(time.Second)
		p.Done(now, sample(endpoint(i%2, string("ab"[i%2])), now, 200*time.Millisecond))
	}
	first, _ := p.Pick(now, service)
	s := sample(first, now, time.Millisecond)
	s.Failed = true
	p.Done(now, s)
	if next, _ := p.Pick(now, service); next.ID == first.ID {
		t.Errorf("%s is still the first choice after a failure", first.ID)
	}
}
