package owner

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sizes of the fault matrix.
const (
	cellSeeds = 2
	// probeSeeds bounds the number of schedules within which a missing protection must
	// show.
	probeSeeds = 1800
	probeChunk = 90
	simTime    = 27 * time.Second
	// schedulesEnv sets the number of further random schedules.
	schedulesEnv = "CAROB_SCHEDULES"
	matrixFile   = "../docs/fault-matrix.md"
)

var simSteps = []string{
	"submitted", "claim held", "queued", "dispatched", "started", "ended", "answered", "resubmitted", "cancelled",
}

var simFaults = []string{
	"entry crash", "owner paused", "message lost", "answer lost", "connection silent", "log down", "log answer lost",
	"domain out", "domain lost", "agent gone", "agent leaves", "other entry", "cancellation", "conflicting claims", "owner drains",
}

// schedule is one run of the simulation, with faults injected when the first job reaches a
// step.
type schedule struct {
	step    string
	faults  []string
	seed    uint64
	without string
	slow    bool
	// find is a substring of the violation that the missing protection must cause.
	find string
}

// probes lists protections to leave out, with faults under which their absence shows.
var probes = []schedule{
	{without: "table", faults: []string{"message lost"}, find: "started twice"},
	{without: "holder", faults: []string{"entry crash", "cancellation"}},
	{without: "echo", faults: []string{"connection silent", "domain out"}, slow: true, find: "after its removal"},
	{without: "query", faults: []string{"connection silent", "cancellation"}},
	{without: "incarnation", faults: []string{"agent gone"}, find: "started twice"},
	{without: "departure", faults: []string{"agent leaves", "entry crash"}, slow: true},
	{without: "authority epoch", faults: []string{"owner cut off"}, slow: true, find: "started twice"},
	{without: "authority epoch config", faults: []string{"owner cut off", "domain out"}, slow: true, find: "after its removal"},
}

// schedules returns the fixed schedules: each fault and each pair of faults at each step.
func schedules() (out []schedule) {
	seed := uint64(1)
	for _, step := range simSteps {
		for i, f := range simFaults {
			for range cellSeeds {
				out = append(out, schedule{step: step, faults: []string{f}, seed: seed})
				seed++
			}
			for _, g := range simFaults[i:] {
				out = append(out, schedule{step: step, faults: []string{f, g}, seed: seed})
				seed++
			}
		}
	}
	return out
}

// play runs schedules in parallel and returns the simulations in order.
func play(all []schedule) []*simulation {
	runs := make([]*simulation, len(all))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, s := range all {
		g.Go(func() error {
			sim := runSchedule(s)
			sim.queue, sim.funcs, sim.entries, sim.agents, sim.history.claimers = nil, nil, nil, nil, nil
			runs[i] = sim
			return nil
		})
	}
	_ = g.Wait()
	return runs
}

// Guards against every violation of a guarantee that one or two faults at any step of a job
// can cause.
func TestFaultMatrix(t *testing.T) {
	all := schedules()
	fixed := len(all)
	more, _ := strconv.Atoi(os.Getenv(schedulesEnv))
	for i := range more {
		s := all[i%fixed]
		s.seed = uint64(1_000_000 + i)
		all = append(all, s)
	}
	runs := play(all)
	finished := 0
	for i, sim := range runs {
		finished += sim.finished
		if len(sim.violations) > 0 {
			t.Errorf("%+v: %s", all[i], strings.Join(sim.violations, "; "))
		}
	}
	if finished < len(all) {
		t.Errorf("%d final answers in %d schedules", finished, len(all))
	}
	t.Logf("%d schedules, %d final answers", len(all), finished)
	writeMatrix(t, all[:fixed], runs)
}

// Guards against checks that find nothing: without a protection some schedule must violate
// a guarantee, and the same schedule must pass with all protections. Authority, the epoch
// and the agent's own configuration back each other up, so that only the absence of several
// shows.
func TestFaultMatrixFindsFaults(t *testing.T) {
	for i, p := range probes {
		t.Run(p.without, func(t *testing.T) {
			for from := 0; from < probeSeeds; from += probeChunk {
				all := make([]schedule, 0, probeChunk)
				for j := range probeChunk {
					p.step, p.seed = simSteps[j%len(simSteps)], uint64(10_000*i+from+j)
					all = append(all, p)
				}
				for j, sim := range play(all) {
					k := slices.IndexFunc(sim.violations, func(v string) bool { return strings.Contains(v, p.find) })
					if k < 0 {
						continue
					}
					t.Logf("%+v: %s", all[j], sim.violations[k])
					all[j].without = ""
					if v := runSchedule(all[j]).violations; len(v) > 0 {
						t.Errorf("with all protections: %v", v)
					}
					return
				}
			}
			t.Errorf("none of %d schedules violates a guarantee", probeSeeds)
		})
	}
}

// Guards against faults of the simulation itself: without an injected fault every job ends.
func TestNoFault(t *testing.T) {
	for seed := range uint64(20) {
		sim := runSchedule(schedule{seed: seed})
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %v", seed, sim.violations)
		}
		if !sim.slow && len(sim.complete) < 3 {
			t.Errorf("seed %d: %d complete jobs of 4", seed, len(sim.complete))
		}
	}
}

// writeMatrix writes the table of tested combinations, if it changed.
func writeMatrix(t *testing.T, all []schedule, runs []*simulation) {
	t.Helper()
	cells, bad := map[string]int{}, map[string]int{}
	for i, s := range all {
		if !runs[i].fired {
			continue
		}
		keys := []string{s.step + "/" + s.faults[0]}
		if len(s.faults) == 2 {
			keys = []string{s.faults[0] + "+" + s.faults[1], s.faults[1] + "+" + s.faults[0]}
		}
		for _, k := range keys[:max(1, len(s.faults)-boolInt(s.faults[0] == s.faults[len(s.faults)-1]))] {
			cells[k]++
			bad[k] += min(1, len(runs[i].violations))
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Fault matrix\n\nWritten by `go test ./owner`: %d schedules with fixed seeds. A cell gives the number of\n", len(all))
	b.WriteString("schedules in which the fault was injected when the first job reached the step, and `broken` with the\n")
	b.WriteString("number of schedules that broke a guarantee. The checks are listed in `owner/sim_test.go`.\n")
	b.WriteString("Not tested here: single requests, agents that drain, connections cut at a planned stop.\n\n## One fault\n")
	table(&b, simSteps, "/", cells, bad)
	b.WriteString("\n## Two faults, over all steps\n\nThe second fault follows up to 3 s after the first.\n")
	table(&b, simFaults, "+", cells, bad)
	old, _ := os.ReadFile(matrixFile)
	if bytes.Equal(old, b.Bytes()) {
		return
	}
	if err := os.WriteFile(matrixFile, b.Bytes(), 0o644); err != nil {
		t.Error(err)
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// table writes one table with a column for each fault.
func table(b *bytes.Buffer, rows []string, sep string, cells, bad map[string]int) {
	fmt.Fprintf(b, "\n| | %s |\n|---|%s\n", strings.Join(simFaults, " | "), strings.Repeat("---|", len(simFaults)))
	for _, r := range rows {
		fmt.Fprintf(b, "| %s |", r)
		for _, f := range simFaults {
			k := r + sep + f
			switch {
			case cells[k] == 0:
				b.WriteString(" not tested |")
			case bad[k] > 0:
				fmt.Fprintf(b, " %d, %d broken |", cells[k], bad[k])
			default:
				fmt.Fprintf(b, " %d |", cells[k])
			}
		}
		b.WriteString("\n")
	}
}
