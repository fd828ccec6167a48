package roster

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"carobpulley"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(id int, incarnation uint64, host int) carobpulley.Endpoint {
	return carobpulley.Endpoint{
		ID:          fmt.Sprintf("runner-%04d", id),
		Incarnation: incarnation,
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(host >> 8), byte(host)}), 7000),
		Domain:      "north-1",
		Rack:        "r1",
		Services:    []string{"confirm", "check"},
		Slots:       8,
	}
}

// replica rebuilds the list from actions alone, as a placer does.
type replica map[string]carobpulley.RosterState

func (f replica) apply(t *rapid.T, actions []carobpulley.RosterAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.EndpointUp:
			f[a.Endpoint.ID] = carobpulley.RosterAlive
		case carobpulley.EndpointLoad:
			if f[a.ID] != carobpulley.RosterAlive {
				t.Fatalf("load of %s, which is %q", a.ID, f[a.ID])
			}
		case carobpulley.EndpointSuspect:
			if f[a.ID] != carobpulley.RosterAlive {
				t.Fatalf("suspicion of %s, which is %q", a.ID, f[a.ID])
			}
			f[a.ID] = carobpulley.RosterSuspect
		case carobpulley.EndpointRemoved:
			if f[a.ID] == "" {
				t.Fatalf("removal of %s, which is unknown", a.ID)
			}
			delete(f, a.ID)
		}
	}
}

// TestRoster guards against a difference to the naive roster, silent endpoints
// that keep getting work, two endpoints at one address, departed or replaced
// ones that come back, and a mass removal after a pause of this process.
func TestRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fast, naive := New(), NewNaive()
		seen := replica{}
		now, clock := start, int64(0)
		// left is the time since an incarnation announced its departure.
		left := map[string]time.Duration{}
		var sent []carobpulley.Announced
		step := func(ev carobpulley.RosterEvent) {
			got, want := fast.Step(now, ev), naive.Step(now, ev)
			if d := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); d != "" {
				t.Fatalf("actions at %v for %+v (-naive +fast):\n%s", now.Sub(start), ev, d)
			}
			seen.apply(t, got)
		}
		// quiet is the silence of each endpoint, with pauses counted as maxGap.
		quiet := map[string]time.Duration{}
		pass := func(d, counted time.Duration) {
			now = now.Add(d)
			for id := range quiet {
				quiet[id] += counted
			}
			for key := range left {
				left[key] += counted
			}
			step(carobpulley.RosterTick{})
		}
		announce := func(t *rapid.T, a carobpulley.Announced) {
			n := fast.nodes[a.Endpoint.ID]
			gone := n != nil && n.tombstone && n.Endpoint.Incarnation == a.Endpoint.Incarnation
			step(a)
			key := fmt.Sprint(a.Endpoint.ID, a.Endpoint.Incarnation)
			if e, ok := fast.Get(a.Endpoint.ID); ok && e.HeardAt.Equal(now) && e.Endpoint.Incarnation == a.Endpoint.Incarnation {
				quiet[a.Endpoint.ID] = 0
				if since, ok := left[key]; ok && since < carobpulley.RemoveAfter {
					t.Fatalf("%s came back %v after it left", key, since)
				}
			} else if n := fast.nodes[a.Endpoint.ID]; a.Leaving && !gone && n != nil && n.tombstone && n.Endpoint.Incarnation == a.Endpoint.Incarnation {
				// Other departures were ignored as older than what is known.
				left[key] = 0
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				clock++
				id := rapid.IntRange(0, 3).Draw(t, "id")
				e := endpoint(id, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.IntRange(0, 3).Draw(t, "host"))
				e.Draining = rapid.Bool().Draw(t, "draining")
				a := carobpulley.Announced{Endpoint: e, AgentTime: clock, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
				sent = append(sent, a)
				announce(t, a)
			},
			"late copy": func(t *rapid.T) {
				if len(sent) > 0 {
					announce(t, rapid.SampledFrom(sent).Draw(t, "copy"))
				}
			},
			"connect failed": func(t *rapid.T) {
				e := endpoint(rapid.IntRange(0, 3).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"), 0)
				step(carobpulley.ConnectFailed{ID: e.ID, Incarnation: e.Incarnation})
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "steps") {
					pass(250*time.Millisecond, 250*time.Millisecond)
				}
			},
			"pause": func(*rapid.T) {
				before := fast.All()
				pass(time.Minute, maxGap)
				for _, e := range before {
					id := e.Endpoint.ID
					if _, ok := fast.Get(id); !ok && quiet[id] < carobpulley.RemoveAfter {
						t.Fatalf("%s was removed by a pause, after %v of silence", id, quiet[id])
					}
				}
			},
			"": func(t *rapid.T) {
				addrs := map[netip.AddrPort]bool{}
				all := fast.All()
				for _, e := range all {
					id := e.Endpoint.ID
					if quiet[id] >= carobpulley.RemoveAfter || e.State == carobpulley.RosterAlive && quiet[id] >= carobpulley.SuspectAfter {
						t.Fatalf("%s is %s after %v of silence", id, e.State, quiet[id])
					}
					if addrs[e.Endpoint.Addr] {
						t.Fatalf("two endpoints at %v", e.Endpoint.Addr)
					}
					addrs[e.Endpoint.Addr] = true
					if seen[e.Endpoint.ID] != e.State {
						t.Fatalf("%s is %q, actions say %q", e.Endpoint.ID, e.State, seen[e.Endpoint.ID])
					}
				}
				if len(seen) != len(all) || len(fast.timeouts) != len(fast.nodes) {
					t.Fatalf("%d by actions, %d listed, %d due of %d", len(seen), len(all), len(fast.timeouts), len(fast.nodes))
				}
			},
		})
	})
}

// TestTimes guards against wrong limits: an endpoint is suspect after 2 s and
// removed after 10 s of silence, and a pause of this process counts as 1 s.
func TestTimes(t *testing.T) {
	r := New()
	now := start
	var log []string
	step := func(d time.Duration, ev carobpulley.RosterEvent) {
		now = now.Add(d)
		for _, a := range r.Step(now, ev) {
			log = append(log, fmt.Sprintf("%v %T", now.Sub(start), a))
		}
	}
	step(0, carobpulley.Announced{Endpoint: endpoint(1, 1, 1), AgentTime: 1})
	step(time.Minute, carobpulley.RosterTick{})
	for range 100 {
		step(100*time.Millisecond, carobpulley.RosterTick{})
	}
	want := []string{
		"0s carobpulley.EndpointUp",
		"1m1s carobpulley.EndpointSuspect",
		"1m9s carobpulley.EndpointRemoved",
	}
	if d := cmp.Diff(want, log); d != "" {
		t.Errorf("actions (-want +got):\n%s", d)
	}
}

// BenchmarkAnnounce is the cost of one announcement among 2,600 endpoints that
// each announce themselves every second.
func BenchmarkAnnounce(b *testing.B) {
	const size = 2600
	events := make([]carobpulley.RosterEvent, size)
	for name, newRoster := range map[string]func() carobpulley.Roster{
		"roster": func() carobpulley.Roster { return New() },
		"naive":  func() carobpulley.Roster { return NewNaive() },
	} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			for i := range events {
				events[i] = carobpulley.Announced{Endpoint: endpoint(i, 1, i)}
			}
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := newRoster()
			for _, ev := range events {
				r.Step(start, ev)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				a := events[i%size].(carobpulley.Announced)
				a.AgentTime = int64(i + 1)
				r.Step(start.Add(time.Duration(i)*time.Second/size), a)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/size, "heap_B/endpoint")
			if len(r.All()) != size {
				b.Fatalf("%d endpoints", len(r.All()))
			}
		})
	}
}
