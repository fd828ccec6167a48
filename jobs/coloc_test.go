package jobs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/coloc"
	"carobpulley/work"
)

// tableWithPair returns a table in which check tasks take twice as long beside report tasks.
func tableWithPair(now time.Time) *Table {
	table := New(Config{Name: "c", Shards: 1, Sharing: true})
	for n := range 1000 {
		run := coloc.Run{Kind: "check#0", Endpoint: "e", Took: 50 * time.Millisecond, Ratio: 1 + 0.1*float64(n%3), Counts: true}
		if n%2 == 0 {
			run.Ratio *= 2
			run.Beside = []work.Beside{{Kind: "report#0", Share: 1}}
		}
		table.interference.model.Observe(now, run)
	}
	return table
}

// freeAgent returns an agent with free capacity.
func freeAgent(name string) *agentState {
	a := &agentState{name: name, attached: true, echo: 1, runTimeRatio: 1, bias: 1, free: work.Resources{CPU: 50}}
	a.endpoint = work.EndpointState{Service: "s", Ready: true, Capacity: work.Resources{CPU: 100}}
	return a
}

// Guards against a task that waits since the only free capacity is beside a kind that slows it down, and against
// one that runs there while another endpoint is free.
func TestPairChoosesAmongFreeEndpoints(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := tableWithPair(now)
	spec := &work.Job{
		ID: "0000000000000001", BestEffort: true, Queue: work.Queue{Name: "check", Service: "s", Stretch: 1, TargetMS: 1},
		Steps: []work.Step{{Count: 1, Resources: work.Resources{CPU: 10}, EstimateMS: 50}},
	}
	agents := []*agentState{freeAgent("beside"), freeAgent("alone")}
	agents[0].bias = 0.9 // the better one but for the pair
	agents[0].endpoint.Kinds = []work.KindLoad{{Kind: "report#0", CPU: 50}}
	got := make([]string, 0, 2)
	for _, free := range []int64{50, 0} {
		agents[1].free.CPU = free
		tk := &newJob(spec, bestEffortShard, now).tasks[0][0]
		got = append(got, table.chooseAgent(now, tk, "s", agents).name)
	}
	if diff := cmp.Diff([]string{"alone", "beside"}, got); diff != "" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}
}

// Guards against an endpoint that counts as slow since a kind at it slows a run down.
func TestPairDoesNotDistortTheEndpointsSpeed(t *testing.T) {
	spec := &work.Job{ID: "0000000000000001", Steps: []work.Step{{Count: 1, EstimateMS: 100}}}
	tk := &newJob(spec, bestEffortShard, time.Time{}).tasks[0][0]
	a := &agentState{runTimeRatio: 1}
	a.recordSuccess(testStart, tk, &work.End{ElapsedMS: 180}, 1.8)
	if diff := cmp.Diff(1.0, a.runTimeRatio); diff != "" {
		t.Errorf("run time ratio (-want +got):\n%s", diff)
	}
}

// BenchmarkChooseAgent measures the choice among 300 agents of a task that forms a pair, and without the feature.
func BenchmarkChooseAgent(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	agents := make([]*agentState, 300)
	for n := range agents {
		agents[n] = freeAgent("a")
		agents[n].kinds = []work.KindLoad{{Kind: "quote#0", CPU: 5}, {Kind: "check#0", CPU: 5}}
		agents[n].endpoint.Kinds = []work.KindLoad{{Kind: "quote#0", CPU: 5}, {Kind: "report#0", CPU: 5}}
	}
	spec := &work.Job{ID: "0000000000000001", Queue: work.Queue{Name: "check"}, Steps: []work.Step{{Count: 1, EstimateMS: 50}}}
	tk := &newJob(spec, bestEffortShard, now).tasks[0][0]
	for name, table := range map[string]*Table{"off": New(Config{}), "on": tableWithPair(now)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.chooseAgent(now, tk, "s", agents)
			}
		})
	}
}
