package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var begin = time.Unix(1_700_000_000, 0)

// testLedger has a budget of 64 KiB and four connections for clients.
func testLedger() *Ledger {
	l := NewLedger(Limits{BudgetBytes: 64 << 10, Connections: 8})
	l.SetTimeouts(RoleClients, Timeouts{Head: 3 * time.Second, Body: 10 * time.Second, Idle: 15 * time.Second, MaxHeadBytes: 8 << 10})
	return l
}

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// receive opens a connection whose request has n bytes of its body.
func receive(t *testing.T, l *Ledger, now time.Time, n int) *Entry {
	t.Helper()
	e, victim := l.Open(now, RoleClients)
	if e == nil || victim != nil {
		t.Fatalf("connection refused, or for %+v", victim)
	}
	l.Begin(now, e, true)
	if aborted := l.Body(now, e, n); len(aborted) != 0 {
		t.Fatalf("%d requests aborted for %d bytes", len(aborted), n)
	}
	return e
}

// Guards against a request that makes progress and is aborted for one that has stalled, also if that one
// sends single bytes to look busy.
func TestSlowestIsAbortedFirst(t *testing.T) {
	l := testLedger()
	trickling, stalled, steady := receive(t, l, at(0), 10<<10), receive(t, l, at(10), 10<<10), receive(t, l, at(0), 2<<10)
	for ms := 20; ms < 60; ms++ {
		l.Body(at(ms), trickling, 1)
		l.Body(at(ms), steady, 200)
	}
	l.Body(at(60), steady, 4<<10)
	got := []Reason{trickling.Aborted(), stalled.Aborted(), steady.Aborted()}
	if diff := cmp.Diff([]Reason{ReasonBudget, "", ""}, got); diff != "" {
		t.Errorf("aborted (-want +got):\n%s", diff)
	}
	if !l.Whole(at(61), steady) {
		t.Error("a request that fits is refused")
	}
}

// Guards against a submission that waits for its job and is cut off for others, and against one that is
// carried out without memory for it.
func TestServedRequestsAreKept(t *testing.T) {
	l := testLedger()
	waiting := receive(t, l, at(0), 20<<10)
	if !l.Whole(at(0), waiting) {
		t.Fatal("the only request is refused")
	}
	second := receive(t, l, at(1), 6<<10)
	if l.Whole(at(1), second) {
		t.Error("more than three quarters of the budget are held")
	}
	if l.Ahead(waiting, 1) {
		t.Error("bytes are read ahead into the rest of the budget")
	}
	if e := receive(t, l, at(2), 1); e.Aborted() != "" {
		t.Error("there is no room to receive")
	}
	last := receive(t, l, at(3), 1)
	if diff := cmp.Diff(0, len(l.Expired(at(9000)))); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
	l.Whole(at(9001), last)
	if _, victim := l.Open(at(9002), RoleClients); victim == nil || victim.phase == phaseServed {
		t.Errorf("ended for a new connection: %+v", victim)
	}
	l.Expired(at(1e6))
	if waiting.Aborted() != "" || second.Aborted() != "" {
		t.Error("a served request was aborted")
	}
}

// Guards against new clients that are kept out by stalled or idle connections, and against idle
// connections of ordinary clients that are closed before stalled ones.
func TestPlaceForANewConnection(t *testing.T) {
	l := testLedger()
	stalled, idle, fresh := receive(t, l, at(0), 9), receive(t, l, at(0), 9), receive(t, l, at(900), 9)
	l.Whole(at(1), idle)
	l.Done(idle)
	l.Idle(at(1), idle)
	served := receive(t, l, at(901), 9)
	l.Whole(at(901), served)
	got := make([]Reason, 0, 12)
	for n := range 3 {
		e, _ := l.Open(at(1001+n), RoleClients)
		l.Begin(at(1001+n), e, false)
		got = append(got, stalled.Aborted(), idle.Aborted(), fresh.Aborted(), served.Aborted())
	}
	const c = ReasonConnections
	if diff := cmp.Diff([]Reason{c, "", "", "", c, c, "", "", c, c, c, ""}, got); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
	if e, victim := l.Open(at(1010), RoleClients); e != nil || victim != nil {
		t.Error("a connection is ended although all are served")
	}
}

// Guards against parts of a request that take forever, and against heads beyond their limit.
func TestDeadlines(t *testing.T) {
	l := testLedger()
	head, _ := l.Open(at(0), RoleClients)
	large, _ := l.Open(at(0), RoleClients)
	body := receive(t, l, at(0), 1)
	idle := receive(t, l, at(0), 1)
	l.Idle(at(0), idle)
	l.Head(at(1), large, 13<<10)
	l.Head(at(2900), head, 1)
	var got []Reason
	for _, ms := range []int{2999, 3000, 9999, 10_000, 14_999, 15_000} {
		for _, e := range l.Expired(at(ms)) {
			got = append(got, e.Aborted())
		}
	}
	if diff := cmp.Diff([]Reason{ReasonHead, ReasonBody, ReasonIdle}, got); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Reason{ReasonHeadSize, ReasonBody}, []Reason{large.Aborted(), body.Aborted()}); diff != "" {
		t.Errorf("aborted (-want +got):\n%s", diff)
	}
}

// Guards against memory that is charged twice or never freed, in any order of events.
func TestChargesAreFreed(t *testing.T) {
	for seed := range uint64(200) {
		l, rng := testLedger(), rand.New(rand.NewPCG(seed, 1))
		var all []*Entry
		for step := range 300 {
			now := at(step * 20)
			if e, _ := l.Open(now, RoleClients); e != nil && rng.IntN(2) == 0 {
				all = append(all, e)
			} else if e != nil {
				l.Close(e)
			}
			if len(all) == 0 {
				continue
			}
			e, n := all[rng.IntN(len(all))], rng.IntN(8<<10)
			[]func(){
				func() { l.Head(now, e, n/4) },
				func() { l.Begin(now, e, n%2 == 0) },
				func() { l.Body(now, e, n) },
				func() { l.Body(now, e, n) },
				func() { l.Whole(now, e) },
				func() { l.Done(e); l.Idle(now, e) },
				func() {
					if l.Ahead(e, n) {
						l.Ahead(e, -n)
					}
				},
				func() { l.Close(e) },
				func() { l.Expired(now) },
			}[rng.IntN(9)]()
			if l.charged-l.dying > l.limits.BudgetBytes || l.open[RoleClients] > 4 {
				t.Fatalf("seed %d, step %d: %d bytes charged, %d connections", seed, step, l.charged-l.dying, l.open[RoleClients])
			}
		}
		for _, e := range all {
			l.Close(e)
		}
		if l.charged != 0 || l.dying != 0 || l.held != 0 || l.open[RoleClients] != 0 {
			t.Fatalf("seed %d: %d, %d, %d bytes and %d connections are left", seed, l.charged, l.dying, l.held, l.open[RoleClients])
		}
	}
}

// Guards against limits under which the deployments' documented load is refused, and against contradictory ones.
func TestDeriveLimits(t *testing.T) {
	l, err := DeriveLimits(144, 3075)
	if err != nil {
		t.Fatal(err)
	}
	// 1,500 jobs/s over 13 coordinators wait 1.5 s each; 84 peers keep 8 connections each.
	if waiting := 1500 * 3 / 2 / 13; l.connections(RoleClients) < 3*waiting || l.connections(RoleInner) < 84*8 {
		t.Errorf("%+v: %d clients, %d peers", l, l.connections(RoleClients), l.connections(RoleInner))
	}
	if most := int64(3 * 1500 * 3 / 2 / 13 * 8 << 10 * bytesPerByte); float64(most) > float64(l.BudgetBytes)*heldFraction {
		t.Errorf("%+v: %d bytes are held", l, most)
	}
	for _, bad := range [][2]int64{{-1, 0}, {63, 0}, {144, 287}, {0, -5}} {
		if got, err := DeriveLimits(bad[0], bad[1]); err == nil {
			t.Errorf("%v: %+v", bad, got)
		}
	}
}
