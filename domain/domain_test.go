package domain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a domain that is put back into service by a list of records that is older than
// what the process already knows.
func TestOlderListPutsNothingBack(t *testing.T) {
	v := View{Offset: 4}
	v.Apply(4, "d", true)
	if v.Replace(4, nil) || v.Merge(View{Offset: 4, ProvenAt: testStart}) || v.Apply(4, "d", false) {
		t.Error("an older list has changed the view")
	}
	want := View{Offset: 5, Out: []string{"d"}, ProvenAt: testStart}
	if diff := cmp.Diff(want, v); diff != "" {
		t.Errorf("view (-want +got):\n%s", diff)
	}
}

// Guards against a change that is missed or kept back when views meet in any order: the newest of
// the records that any of them covers decides, and a proof is never newer than the knowledge.
func TestViewsConvergeInAnyOrder(t *testing.T) {
	const seed, processes, changes = 7, 4, 40
	random := rand.New(rand.NewPCG(seed, 0))
	for round := range 200 {
		var log []bool // record n sets whether domain "d" is out
		var acknowledged []time.Time
		views := make([]View, processes)
		now := testStart
		for range changes {
			now = now.Add(time.Second)
			switch n := random.IntN(3); n {
			case 0:
				log = append(log, random.IntN(2) == 0)
				acknowledged = append(acknowledged, now)
			case 1:
				v := &views[random.IntN(processes)]
				for offset := v.Offset; offset < int64(len(log)); offset++ {
					v.Apply(offset, "d", log[offset])
				}
				v.Confirm(int64(len(log)), now)
			case 2:
				views[random.IntN(processes)].Merge(views[random.IntN(processes)])
			}
			for n := range views {
				v := &views[n]
				if want := v.Offset > 0 && log[v.Offset-1]; v.IsOut("d") != want {
					t.Fatalf("seed %d, round %d: out %v at offset %d, want %v", seed, round, !want, v.Offset, want)
				}
				if int(v.Offset) < len(log) && !acknowledged[v.Offset].After(v.ProvenAt) {
					t.Fatalf("seed %d, round %d: proof at %s, but record %d was acknowledged at %s", seed, round, v.ProvenAt, v.Offset, acknowledged[v.Offset])
				}
			}
		}
	}
}
