package load

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// beside returns a pattern in which the shortest tasks take longer by a factor beside the longest ones.
func beside(seed uint64, utilization, factor float64, sharing bool) Pattern {
	p := fleet(6, 26, utilization)
	if utilization > 1 {
		p = fleet(3, 13, utilization) // plays of full fleets take long
	}
	for n := range p.Classes {
		p.Classes[n].Spread = 0.23
	}
	p.Seed = seed
	p.Length = 150 * time.Second
	p.Interference = Interference{Slowdowns: []Slowdown{{Class: 0, Beside: 1, Factor: factor}}, Tail: 0.03, Sharing: sharing}
	return p
}

// lastMinute sums the windows of the last minute of a play, by which every coordinator has had time to learn.
func lastMinute(p Pattern) (sum Window, pairs Pairs) {
	r := Play(p)
	for _, w := range r.Windows[len(r.Windows)-int(time.Minute/WindowLength):] {
		sum.Asked += w.Asked
		sum.InTime += w.InTime
		sum.Late += w.Late
		sum.Refused += w.Refused
	}
	return sum, r.Pairs
}

const seeds = 2

// Guards against jobs that are late because their tasks run beside tasks that slow them down while other endpoints
// have room: at least half of those that are late for this reason are to be in time. All coordinators find the
// pair, and no other one.
func TestPairIsPlacedApart(t *testing.T) {
	var clean, without, with int
	for seed := uint64(1); seed <= seeds; seed++ {
		c, _ := lastMinute(beside(seed, 0.6, 1, true))
		w, _ := lastMinute(beside(seed, 0.6, 1.8, false))
		s, pairs := lastMinute(beside(seed, 0.6, 1.8, true))
		t.Logf("seed %d: no slowdown %+v\n without %+v\n with %+v %+v", seed, c, w, s, pairs)
		clean += c.Late + c.Refused
		without += w.Late + w.Refused
		with += s.Late + s.Refused
		if pairs.Found != 6 || pairs.Dropped != 0 {
			t.Errorf("seed %d: pairs %+v, want one at each of 6 coordinators", seed, pairs)
		}
	}
	if 2*(with-clean) > without-clean {
		t.Errorf("%d jobs late or refused, %d without the feature, %d without the slowdown", with, without, clean)
	}
}

// Guards against jobs that wait or are refused for a pair while the endpoints are full. Two plays that differ in one
// placement differ in what follows, so at 1.05 of the capacity up to 0.02 of the jobs may be served less.
func TestPairDelaysNothingAtFullEndpoints(t *testing.T) {
	var asked, without, with int
	for seed := uint64(1); seed <= seeds; seed++ {
		w, _ := lastMinute(beside(seed, 1.05, 1.8, false))
		s, pairs := lastMinute(beside(seed, 1.05, 1.8, true))
		t.Logf("seed %d: without %+v\n with %+v %+v", seed, w, s, pairs)
		asked += w.Asked
		without += w.InTime + w.Late
		with += s.InTime + s.Late
		if pairs.Found == 0 {
			t.Errorf("seed %d: no pair found", seed)
		}
	}
	if float64(without-with) > 0.02*float64(asked) {
		t.Errorf("%d of %d jobs served, %d without the feature", with, asked, without)
	}
}

// Guards against effects before a pair is found, and against agents of the earlier build, which report no
// kinds: everything is as without the feature.
func TestNothingChangesWithoutEvidence(t *testing.T) {
	p := beside(1, 0.7, 1.8, false)
	p.Length = 20 * time.Second
	want := Play(p)
	p.Interference.Sharing = true
	p.Interference.Earlier = len(p.Speeds)
	if diff := cmp.Diff(want, Play(p)); diff != "" {
		t.Errorf("results (-without +with agents of the earlier build):\n%s", diff)
	}
}

// Guards against a pair that is kept apart for ever after its interference has ended, and against coordinators that
// do not learn a pair again after a restart.
func TestPairsFollowTheFleet(t *testing.T) {
	ended, restarted := beside(1, 0.6, 1.8, true), beside(1, 0.6, 1.8, true)
	ended.Length, restarted.Length = 300*time.Second, 200*time.Second
	ended.Interference.Slowdowns[0].Until = 90 * time.Second
	restarted.Interference.Restart = 100 * time.Second
	got := []Pairs{Play(ended).Pairs, Play(restarted).Pairs}
	got[0].Moved, got[1].Moved = 0, 0
	if diff := cmp.Diff([]Pairs{{Found: 6, Dropped: 6}, {Found: 12, InForce: 6}}, got); diff != "" {
		t.Errorf("pairs after the end of the interference, and after a restart (-want +got):\n%s", diff)
	}
}
