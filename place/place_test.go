package place_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"carobpulley"
	"carobpulley/place"
)

var start = time.Unix(1_000_000, 0)

const service = "check"

func catalogue(domains ...string) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{
		Services: map[string]carobpulley.Service{service: {Name: service, RunTime: 2 * time.Second}},
		Domains:  map[string]carobpulley.Domain{},
		Draining: map[string]bool{},
	}
	for _, d := range domains {
		c.Domains[d] = carobpulley.Domain{Name: d, InService: true}
	}
	return c
}

func endpoint(i int, domain string) carobpulley.Endpoint {
	return carobpulley.Endpoint{
		ID: fmt.Sprintf("e%04d", i), Incarnation: 1, Domain: domain, Services: []string{service}, Slots: 8,
	}
}

func fill(p carobpulley.Placer, now time.Time, n int) {
	p.Configure(now, catalogue("a", "b", "c"))
	for i := range n {
		p.Upsert(now, endpoint(i, string("abc"[i%3])), carobpulley.Load{})
	}
}

func sample(e carobpulley.Endpoint, at time.Time, run time.Duration) carobpulley.Sample {
	return carobpulley.Sample{Endpoint: e.ID, Service: service, SentAt: at, EndedAt: at.Add(run), Run: run}
}

// tenServices lists the services of each endpoint in the benchmarks.
var tenServices = []string{service, "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}

// newLoadedPlacer returns a Placer with n endpoints that run tenServices.
func newLoadedPlacer(n int) *place.Placer {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	p.Configure(start, catalogue("a", "b", "c"))
	for i := range n {
		e := endpoint(i, string("abc"[i%3]))
		e.Services = tenServices
		p.Upsert(start, e, carobpulley.Load{Running: i % 3})
	}
	return p
}

// Guards against a decision that allocates or scans all endpoints. Each
// iteration is a Pick and a Done with half of the slots reserved and ten services
// at each endpoint.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 300, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newLoadedPlacer(n)
			now := start
			running := make([]carobpulley.Endpoint, 4*n)
			for i := range running {
				running[i], _ = p.Pick(now, tenServices[i%len(tenServices)])
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s := sample(running[i%len(running)], now, time.Duration(100+i%50)*time.Millisecond)
				s.Service = tenServices[i%len(tenServices)]
				p.Done(now, s)
				e, ok := p.Pick(now, tenServices[i%len(tenServices)])
				if !ok {
					b.Fatal("Pick returned no endpoint")
				}
				running[i%len(running)] = e
				i++
			}
		})
	}
}

// Guards against oversubscription, that is more reservations than the slots and a
// look-ahead of one task, which hides the round trip of tasks of 2 s.
func TestPickStopsAtLookAhead(t *testing.T) {
	p := place.New(rand.NewPCG(1, 2), nil, "a")
	fill(p, start, 3)
	reserved := map[string]int{}
	for range 100 {
		e, ok := p.Pick(start, service)
		if !ok {
			break
		}
		reserved[e.ID]++
	}
	for id, n := range reserved {
		if n > 8+1 {
			t.Errorf("%s got %d tasks for 8 slots and a look-ahead of 1", id, n)
		}
	}
	if len(reserved) != 3 {
		t.Errorf("used %d endpoints, want 3", len(reserved))
	}
}

// Reports the time and allocations of an announcement.
func BenchmarkUpsert(b *testing.B) {
	const n = 2600
	p := newLoadedPlacer(n)
	now := start
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second / n)
		e := endpoint(i%n, string("abc"[i%n%3]))
		e.Services = tenServices
		p.Upsert(now, e, carobpulley.Load{Running: i % 7})
		i++
	}
}

// Reports the memory per endpoint with ten services.
func BenchmarkEndpointBytes(b *testing.B) {
	const n = 2600
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := newLoadedPlacer(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/endpoint")
		runtime.KeepAlive(p)
	}
}
