package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
)

// Guards against a claim that names a lost agent, whose process may still run, against
// departures that grow without bound, and against one that is removed too early.
func TestDepartures(t *testing.T) {
	var d Departures
	d.AddLost(start)
	for i := range carobpulley.MaxGone + 1 {
		d.AddAnnounced(start, "e", uint64(i))
	}
	announced := d.Announced(start)
	if len(announced) != carobpulley.MaxGone || announced[0] != AgentKey("e", 1) {
		t.Errorf("the claim names %d departures, want the %d newest", len(announced), carobpulley.MaxGone)
	}
	last := start.Add(DepartureWindow - 1)
	if left, lost := d.Recent(last); len(left) != carobpulley.MaxGone+1 || !lost {
		t.Errorf("%d agents left, lost %v", len(left), lost)
	}
	if left, lost := d.Recent(start.Add(DepartureWindow)); len(left) != 0 || lost {
		t.Errorf("after the longest deadline %d agents left, lost %v", len(left), lost)
	}
	if n := len(d.Announced(start.Add(DepartureWindow + time.Second))); n != carobpulley.MaxGone {
		t.Errorf("the claim names %d departures while others may still count them", n)
	}
	if n := len(d.Announced(start.Add(departureRetention))); n != 0 || len(d.announced) != 0 {
		t.Errorf("%d departures named and %d stored after their retention", n, len(d.announced))
	}
}

// Guards against a second start of a task whose agent left after the job was accepted, and
// against a job that fails although all departures were before it.
func TestTakeoverAfterDepartures(t *testing.T) {
	early, late := AgentKey("early", 1), AgentKey("late", 1)
	for name, c := range map[string]struct {
		departed []uint64
		gone     [][]uint64
		claims   bool
		want     carobpulley.Phase
	}{
		"no departure":                 {nil, [][]uint64{nil}, true, carobpulley.PhaseWaiting},
		"before the job":               {[]uint64{early}, [][]uint64{{early}}, true, carobpulley.PhaseWaiting},
		"during the job":               {[]uint64{early, late}, [][]uint64{{early}}, true, carobpulley.PhaseUnknown},
		"before the resubmission only": {[]uint64{late}, [][]uint64{{early}, {early, late}}, true, carobpulley.PhaseUnknown},
		"claims may be lost":           {[]uint64{early}, [][]uint64{{early}}, false, carobpulley.PhaseUnknown},
	} {
		ev := carobpulley.ShardOpened{Epoch: 2, AllAgents: true, AllClaims: c.claims, Departed: c.departed}
		for _, gone := range c.gone {
			ev.Claims = append(ev.Claims, carobpulley.Claim{Spec: spec("k", 1), Epoch: 1, Gone: gone})
		}
		tab := NewTable("a", 1)
		tab.Step(start, ev)
		if got := tab.shards[0].jobs[taskID("k", 0).Job].tasks[0].phase; got != c.want {
			t.Errorf("%s: the task is %s, want %s", name, got, c.want)
		}
		if open := tab.UnknownUntil(0).IsZero(); open != c.claims {
			t.Errorf("%s: unknown keys are accepted: %v", name, open)
		}
	}
}

// Guards against a held copy that is replaced by a newer one and then names departures that
// followed the first copy.
func TestWitnessKeepsDeparturesOfFirstCopy(t *testing.T) {
	w := NewWitness(1)
	c := carobpulley.Claim{Spec: spec("k", 1), Epoch: 1, Pending: true, Gone: []uint64{1}}
	w.Hold(start, c)
	c.Gone = []uint64{1, 2}
	w.Hold(start, c)
	if d := cmp.Diff([]uint64{1}, w.list(0)[0].Gone, cmpopts.EquateEmpty()); d != "" {
		t.Errorf("departures (-want +got):\n%s", d)
	}
}
