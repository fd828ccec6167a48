package link

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobpulley/jobs"
	"carobpulley/runs"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// Guards against kinds that are lost on the way, and against messages with kinds that can't be true.
func TestKindsInMessages(t *testing.T) {
	end := work.End{Run: work.Run{Task: "t", Number: 1}, Beside: []work.Beside{{Kind: "b", Share: 0.25}}, BesideKnown: true}
	state := work.EndpointState{Kinds: []work.KindLoad{{Kind: "b", CPU: 6600}}}
	got := ReportFromWire(ReportToWire("a", 1, runs.Report{Ends: []work.End{end}, State: state}))
	if diff := cmp.Diff(jobs.Report{Agent: "a", Incarnation: 1, Running: []work.Run{}, Ends: []work.End{end}, State: state}, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	starts := []work.Start{{Run: end.Run, Kind: "k"}}
	if diff := cmp.Diff(starts, startsFromWire(startsToWire(starts))); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
	long := strings.Repeat("x", work.MaxKindBytes+1)
	odd := &relay.ReportRequest{
		Runner: &relay.Runner{Kinds: []*relay.KindLoad{{Kind: long, Cpu: 1}, {Kind: "n", Cpu: -1}, {Kind: "h", Cpu: 1 << 62}}},
		Ends:   []*relay.End{{Beside: []*relay.Beside{{Kind: long, Share: 1}, {Kind: "s", Share: 1 << 31}}}},
	}
	r := ReportFromWire(odd)
	if diff := cmp.Diff([]work.KindLoad{{Kind: "h", CPU: work.MaxResource}}, r.State.Kinds); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]work.Beside{{Kind: "s", Share: 1}}, r.Ends[0].Beside); diff != "" {
		t.Errorf("kinds beside a run (-want +got):\n%s", diff)
	}
}
