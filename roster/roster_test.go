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

// replica rebuilds the list from the actions alone, as a placer does.
type replica map[string]carobpulley.RosterState

func (r replica) apply(t *rapid.T, actions []carobpulley.RosterAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case carobpulley.EndpointUp:
			r[a.Endpoint.ID] = carobpulley.RosterAlive
		case carobpulley.EndpointLoad:
			if r[a.ID] != carobpulley.RosterAlive {
				t.Fatalf("load of %s, whose state is %q", a.ID, r[a.ID])
			}
		case carobpulley.EndpointSuspect:
			if r[a.ID] != carobpulley.RosterAlive {
				t.Fatalf("%s became suspect from state %q", a.ID, r[a.ID])
			}
			r[a.ID] = carobpulley.RosterSuspect
		case carobpulley.EndpointRemoved:
			if r[a.ID] == "" {
				t.Fatalf("removal of %s, which is not listed", a.ID)
			}
			delete(r, a.ID)
		}
	}
}

// TestRoster guards against differences from the reference implementation, against
// endpoints that stay alive or listed without announcing themselves, against two
// endpoints at one address, against endpoints that are listed again after they left
// or were replaced, and against the removal of all endpoints after a pause of this
// process.
func TestRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roster, naive := New(), NewNaive()
		seen := replica{}
		now, agentTime := start, int64(0)
		// sinceLeft is the time since an incarnation announced its departure.
		sinceLeft := map[string]time.Duration{}
		var sent []carobpulley.Announced
		step := func(ev carobpulley.RosterEvent) {
			got, want := roster.Step(now, ev), naive.Step(now, ev)
			if d := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); d != "" {
				t.Fatalf("actions at %v for %+v (-naive +roster):\n%s", now.Sub(start), ev, d)
			}
			seen.apply(t, got)
		}
		// sinceReport is the time since the last announcement of each endpoint, with
		// pauses counted as maxGap.
		sinceReport := map[string]time.Duration{}
		advance := func(d, counted time.Duration) {
			now = now.Add(d)
			for id := range sinceReport {
				sinceReport[id] += counted
			}
			for key := range sinceLeft {
				sinceLeft[key] += counted
			}
			step(carobpulley.RosterTick{})
		}
		announce := func(t *rapid.T, a carobpulley.Announced) {
			n := roster.nodes[a.Endpoint.ID]
			gone := n != nil && n.tombstone && n.Endpoint.Incarnation == a.Endpoint.Incarnation
			step(a)
			key := fmt.Sprint(a.Endpoint.ID, a.Endpoint.Incarnation)
			if e, ok := roster.Get(a.Endpoint.ID); ok && e.AnnouncedAt.Equal(now) && e.Endpoint.Incarnation == a.Endpoint.Incarnation {
				sinceReport[a.Endpoint.ID] = 0
				if since, ok := sinceLeft[key]; ok && since < carobpulley.RemoveAfter {
					t.Fatalf("%s was listed again %v after it left", key, since)
				}
			} else if n := roster.nodes[a.Endpoint.ID]; a.Leaving && !gone && n != nil && n.tombstone && n.Endpoint.Incarnation == a.Endpoint.Incarnation {
				// Other departures were ignored as stale.
				sinceLeft[key] = 0
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				agentTime++
				id := rapid.IntRange(0, 3).Draw(t, "id")
				e := endpoint(id, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.IntRange(0, 3).Draw(t, "host"))
				e.Draining = rapid.Bool().Draw(t, "draining")
				a := carobpulley.Announced{Endpoint: e, AgentTime: agentTime, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
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
					advance(250*time.Millisecond, 250*time.Millisecond)
				}
			},
			"pause": func(*rapid.T) {
				before := roster.All()
				advance(time.Minute, maxGap)
				for _, e := range before {
					id := e.Endpoint.ID
					if _, ok := roster.Get(id); !ok && sinceReport[id] < carobpulley.RemoveAfter {
						t.Fatalf("%s was removed after a pause, %v after its last announcement", id, sinceReport[id])
					}
				}
			},
			"": func(t *rapid.T) {
				addrs := map[netip.AddrPort]bool{}
				all := roster.All()
				for _, e := range all {
					id := e.Endpoint.ID
					if sinceReport[id] >= carobpulley.RemoveAfter || e.State == carobpulley.RosterAlive && sinceReport[id] >= carobpulley.SuspectAfter {
						t.Fatalf("%s is %s %v after its last announcement", id, e.State, sinceReport[id])
					}
					if addrs[e.Endpoint.Addr] {
						t.Fatalf("two endpoints at %v", e.Endpoint.Addr)
					}
					addrs[e.Endpoint.Addr] = true
					if seen[e.Endpoint.ID] != e.State {
						t.Fatalf("%s is %q, but %q according to the actions", e.Endpoint.ID, e.State, seen[e.Endpoint.ID])
					}
				}
				if len(seen) != len(all) || len(roster.timeouts) != len(roster.nodes) {
					t.Fatalf("%d endpoints according to the actions, %d listed; %d timeouts for %d nodes", len(seen), len(all), len(roster.timeouts), len(roster.nodes))
				}
			},
		})
	})
}

// TestTimeouts guards against wrong timeouts. An endpoint is suspect 2 s and removed
// 10 s after its last announcement, and a pause of this process counts as 1 s.
func TestTimeouts(t *testing.T) {
	r := New()
	now := start
	var actions []string
	step := func(d time.Duration, ev carobpulley.RosterEvent) {
		now = now.Add(d)
		for _, a := range r.Step(now, ev) {
			actions = append(actions, fmt.Sprintf("%v %T", now.Sub(start), a))
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
	if d := cmp.Diff(want, actions); d != "" {
		t.Errorf("actions (-want +got):\n%s", d)
	}
}

// BenchmarkAnnounce measures one announcement among 2,600 endpoints that announce
// themselves every second.
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
				b.Fatalf("%d endpoints are listed", len(r.All()))
			}
		})
	}
}
