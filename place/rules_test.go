package place_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobpulley"
	"carobpulley/place"
)

// TestMain gives rapid a fixed seed unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// reservation is a reservation that the test has not released.
type reservation struct {
	endpoint carobpulley.Endpoint
	at       time.Time
}

// machine drives a Placer and a Naive with the same events.
type machine struct {
	placer       *place.Placer
	naive        *place.Naive
	now          time.Time
	reservations []reservation
	outOfService string
	suspect      map[string]bool
}

const machineEndpoints = 6

func (m *machine) both(f func(carobpulley.Placer)) {
	f(m.placer)
	f(m.naive)
}

func (m *machine) configure(domain string) {
	m.outOfService = domain
	c := catalogue("a", "b", "c")
	c.Domains[domain] = carobpulley.Domain{Name: domain}
	m.both(func(p carobpulley.Placer) { p.Configure(m.now, c) })
}

func (m *machine) reservedAt(id string) int {
	n := 0
	for _, r := range m.reservations {
		if r.endpoint.ID == id {
			n++
		}
	}
	return n
}

func (m *machine) pick(t *rapid.T) {
	m.placer.Backlog(rapid.IntRange(0, 50).Draw(t, "backlog"))
	e, ok := m.placer.Pick(m.now, service)
	if _, possible := m.naive.Pick(m.now, service); ok && !possible {
		t.Fatalf("picked %s, the reference finds no usable endpoint", e.ID)
	}
	if !ok {
		return
	}
	if e.Domain == m.outOfService || m.suspect[e.ID] || e.Draining {
		t.Fatalf("picked %s: domain %s out of service: %v, suspect: %v, draining: %v",
			e.ID, e.Domain, e.Domain == m.outOfService, m.suspect[e.ID], e.Draining)
	}
	m.reservations = append(m.reservations, reservation{e, m.now})
	if n := m.reservedAt(e.ID); n > e.Slots+1 {
		t.Fatalf("%d reservations at %s with %d slots and a look-ahead of 1", n, e.ID, e.Slots)
	}
}

func (m *machine) done(t *rapid.T) {
	if len(m.reservations) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reservations)-1).Draw(t, "held")
	r := m.reservations[i]
	m.reservations = slices.Delete(m.reservations, i, i+1)
	// Run times far above the round trip keep the look-ahead at one task.
	s := sample(r.endpoint, r.at, max(100*time.Millisecond, m.now.Sub(r.at)))
	s.Load.Running = m.reservedAt(r.endpoint.ID)
	switch rapid.IntRange(0, 5).Draw(t, "end") {
	case 0:
		s.Failed = true
	case 1:
		s.Refused = true
	case 2:
		s.Lost = true
	}
	m.both(func(p carobpulley.Placer) { p.Done(m.now, s) })
}

// Guards against tasks for an endpoint that must not get any (domain out of
// service, suspect, draining), against oversubscribed slots, and against leaked
// reservations: once all are released and all endpoints are healthy, every slot
// can be reserved again.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, suspect: map[string]bool{}}
		m.placer = place.New(rand.NewPCG(1, 2), nil, "a")
		m.naive = place.NewNaive(rand.NewPCG(1, 2))
		m.configure("none")
		draw := func() carobpulley.Endpoint {
			i := rapid.IntRange(0, machineEndpoints-1).Draw(t, "endpoint")
			return endpoint(i, string("abc"[i%3]))
		}
		announce := func(e carobpulley.Endpoint) {
			load := carobpulley.Load{Running: m.reservedAt(e.ID)}
			m.both(func(p carobpulley.Placer) { p.Upsert(m.now, e, load) })
			delete(m.suspect, e.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick":  m.pick,
			"pick2": m.pick,
			"done":  m.done,
			"announce": func(t *rapid.T) {
				e := draw()
				e.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
				announce(e)
			},
			"suspect": func(*rapid.T) {
				e := draw()
				m.suspect[e.ID] = true
				m.both(func(p carobpulley.Placer) { p.Suspect(m.now, e.ID) })
			},
			"configure": func(t *rapid.T) {
				m.configure(rapid.SampledFrom([]string{"none", "a", "b"}).Draw(t, "out"))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for len(m.reservations) > 0 {
			r := m.reservations[0]
			m.reservations = m.reservations[1:]
			m.placer.Done(m.now, sample(r.endpoint, r.at, 100*time.Millisecond))
		}
		m.configure("none")
		for range 2 {
			for i := range machineEndpoints {
				announce(endpoint(i, string("abc"[i%3])))
			}
			m.now = m.now.Add(time.Minute)
		}
		// Under full load, half-open breakers get their probes and slow starts end.
		m.placer.Backlog(0)
		n := 0
		for range 40 {
			m.now = m.now.Add(time.Second)
			var all []carobpulley.Endpoint
			for e, ok := m.placer.Pick(m.now, service); ok; e, ok = m.placer.Pick(m.now, service) {
				all = append(all, e)
			}
			n = len(all)
			for _, e := range all {
				m.placer.Done(m.now, sample(e, m.now, 100*time.Millisecond))
			}
		}
		if n < 8*machineEndpoints {
			t.Fatalf("%d reservations for %d slots", n, 8*machineEndpoints)
		}
	})
}

// Guards against full load on an endpoint immediately after it was suspect.
func TestSlowStart(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 1)
	p.Suspect(start, "e0000")
	p.Upsert(start, endpoint(0, "a"), carobpulley.Load{})
	got := 0
	for second, want := range []int{1, 2, 4, 9} {
		now := start.Add(time.Duration(second) * time.Second)
		for _, ok := p.Pick(now, service); ok; _, ok = p.Pick(now, service) {
			got++
		}
		if got != want {
			t.Errorf("second %d: %d reservations, want %d", second, got, want)
		}
	}
}

// Guards against declared run times that are wrong by a factor of ten, and against
// the mean of fast endpoints hiding a slow one.
func TestResultsReplaceDeclaredRunTime(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 3)
	now := start
	took := map[string]int{}
	for i := range 300 {
		now = now.Add(250 * time.Millisecond)
		e, _ := p.Pick(now, service)
		if i >= 100 {
			took[e.ID]++
		}
		run := 200 * time.Millisecond
		if e.ID == "e0000" {
			run *= 4
		}
		p.Done(now, sample(e, now, run))
	}
	if d := p.Expect(now, service, 0).Sub(now); d < 150*time.Millisecond || d > 300*time.Millisecond {
		t.Errorf("expected run time is %v, declared 2s, actual 200ms", d)
	}
	if took["e0000"] > 0 {
		t.Errorf("the slow endpoint got %d of 200 tasks while others were idle", took["e0000"])
	}
}

// Guards against starting tasks on a slow endpoint that would end sooner by waiting
// for a faster one, and against waiting for a faster endpoint when there is none.
func TestWaitForFasterEndpoint(t *testing.T) {
	for _, domain := range []string{"none", "b"} {
		p := place.New(rand.NewPCG(1, 2), nil, "a")
		p.Configure(start, catalogue("a", "b"))
		now := start
		for i := range 100 {
			e := endpoint(i%2, string("ab"[i%2]))
			p.Upsert(now, e, carobpulley.Load{})
			run := 1000 * time.Millisecond
			if i%2 == 1 {
				run = 200 * time.Millisecond
			}
			p.Done(now, sample(e, now, run))
		}
		c := catalogue("a", "b")
		c.Domains[domain] = carobpulley.Domain{Name: domain}
		p.Configure(now, c)
		fill := func(backlog int) map[string]int {
			p.Backlog(backlog)
			got := map[string]int{}
			for e, ok := p.Pick(now, service); ok; e, ok = p.Pick(now, service) {
				got[e.Domain]++
			}
			return got
		}
		// Each endpoint has 8 slots and a look-ahead of one task.
		want := []map[string]int{{"b": 9}, {"a": 9}}
		if domain == "b" {
			want = []map[string]int{{"a": 9}, {}}
		}
		if d := cmp.Diff(want, []map[string]int{fill(1), fill(1000)}); d != "" {
			t.Errorf("domain out of service: %s, reservations with a backlog of 1 and of 1000 (-want +got):\n%s", domain, d)
		}
	}
}

// Guards against an endpoint that is never tried again after it was slow for a time.
func TestRecoveredEndpointIsTriedAgain(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 3)
	now := start
	took := 0
	for i := range 12000 {
		now = now.Add(50 * time.Millisecond)
		if i%20 == 0 {
			for k := range 3 {
				p.Upsert(now, endpoint(k, string("abc"[k])), carobpulley.Load{})
			}
		}
		e, _ := p.Pick(now, service)
		run := 200 * time.Millisecond
		if e.ID == "e0000" && i < 300 {
			run *= 5
		} else if e.ID == "e0000" {
			took++
		}
		p.Done(now, sample(e, now, run))
	}
	// It was slow for 15 s of the 10 min and has the lowest latency.
	if took < 6000 {
		t.Errorf("the endpoint with the lowest latency got %d of 11700 tasks after it had become fast again", took)
	}
}

// Guards against results of an earlier incarnation counting for the new one.
func TestSampleOfEarlierIncarnation(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 1)
	old, _ := p.Pick(start, service)
	e := endpoint(0, "a")
	e.Incarnation = 2
	now := start.Add(time.Second)
	p.Upsert(now, e, carobpulley.Load{})
	if _, ok := p.Pick(now, service); !ok {
		t.Fatal("no reservation at the new incarnation")
	}
	p.Done(now, sample(old, start, time.Second))
	if _, ok := p.Pick(now, service); ok {
		t.Error("a result of the old incarnation released a reservation at the new one")
	}
}

// Guards against retries that add more than a tenth to a member's requests.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := place.NewBudget(rand.NewPCG(1, 2))
		now := start
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					b.Request(now, "m")
					requests++
				}
			},
			"retry": func(t *rapid.T) {
				if b.Retry(now, "m") {
					retries++
				}
				if retries*10 > requests {
					t.Fatalf("%d retries of %d requests", retries, requests)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		attempt := rapid.IntRange(1, 100).Draw(t, "attempt")
		if d := b.Backoff(attempt); d < 10*time.Millisecond || d > 2*time.Second {
			t.Fatalf("backoff %v before attempt %d", d, attempt)
		}
	})
}
