package owner

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sizes of the fault matrix.
const (
	cellSeeds = 2
	// probeSeeds bounds the schedules that a lack of a protection may take to show.
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
	"domain out", "domain lost", "agent gone", "agent leaves", "other entry", "cancellation", "conflicting claims",
}

// schedule is one run: faults at a step of the first job's life.
type schedule struct {
	step    string
	faults  []string
	seed    uint64
	without string
	slow    bool
}

// probes are protections to leave out, with faults under which their lack shows.
var probes = []schedule{
	{without: "table", faults: []string{"message lost"}},
	{without: "holder", faults: []string{"entry crash", "cancellation"}},
	{without: "echo", faults: []string{"connection silent", "domain out"}, slow: true},
	{without: "query", faults: []string{"connection silent", "cancellation"}},
	{without: "incarnation", faults: []string{"agent gone"}},
	{without: "departure", faults: []string{"agent leaves", "entry crash"}, slow: true},
	{without: "authority epoch", faults: []string{"owner cut off"}, slow: true},
	{without: "authority config", faults: []string{"owner cut off", "domain out"}, slow: true},
}

// schedules lists the fixed schedules: each fault and each pair at each step.
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

// play runs schedules in parallel and returns the worlds in order.
func play(all []schedule) []*world {
	worlds := make([]*world, len(all))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, s := range all {
		g.Go(func() error {
			w := runSchedule(s)
			w.queue, w.fns, w.entries, w.agents, w.history.by = nil, nil, nil, nil, nil
			worlds[i] = w
			return nil
		})
	}
	_ = g.Wait()
	return worlds
}

// Guards against every breach of a guarantee that one fault or two at any step
// of a job's life can cause.
func TestFaultMatrix(t *testing.T) {
	all := schedules()
	fixed := len(all)
	more, _ := strconv.Atoi(os.Getenv(schedulesEnv))
	for i := range more {
		s := all[i%fixed]
		s.seed = uint64(1_000_000 + i)
		all = append(all, s)
	}
	worlds := play(all)
	finished := 0
	for i, w := range worlds {
		finished += w.finished
		if len(w.violations) > 0 {
			t.Errorf("%+v: %s", all[i], strings.Join(w.violations, "; "))
		}
	}
	if finished < len(all) {
		t.Errorf("%d final answers in %d schedules", finished, len(all))
	}
	t.Logf("%d schedules, %d final answers", len(all), finished)
	writeMatrix(t, all[:fixed], worlds)
}

// Guards against checks that find nothing: without a protection some schedule
// must break a guarantee that it keeps with all of them. Authority and epoch,
// like authority and the agent's own configuration, back each other up, so that
// only the lack of both shows.
func TestFaultMatrixFindsFaults(t *testing.T) {
	for i, p := range probes {
		t.Run(p.without, func(t *testing.T) {
			for from := 0; from < probeSeeds; from += probeChunk {
				all := make([]schedule, 0, probeChunk)
				for j := range probeChunk {
					p.step, p.seed = simSteps[j%len(simSteps)], uint64(10_000*i+from+j)
					all = append(all, p)
				}
				for j, w := range play(all) {
					if len(w.violations) == 0 {
						continue
					}
					t.Logf("%+v: %s", all[j], w.violations[0])
					all[j].without = ""
					if v := runSchedule(all[j]).violations; len(v) > 0 {
						t.Errorf("with all protections: %v", v)
					}
					return
				}
			}
			t.Errorf("none of %d schedules breaks a guarantee", probeSeeds)
		})
	}
}

// Guards against faults of the harness: without a fault every job ends.
func TestNoFault(t *testing.T) {
	for seed := range uint64(20) {
		w := runSchedule(schedule{seed: seed})
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
		if !w.slow && len(w.complete) < 3 {
			t.Errorf("seed %d: %d complete jobs of 4", seed, len(w.complete))
		}
	}
}

// writeMatrix writes the table of what was tested, if it changed.
func writeMatrix(t *testing.T, all []schedule, worlds []*world) {
	t.Helper()
	cells, bad := map[string]int{}, map[string]int{}
	for i, s := range all {
		if !worlds[i].fired {
			continue
		}
		keys := []string{s.step + "/" + s.faults[0]}
		if len(s.faults) == 2 {
			keys = []string{s.faults[0] + "+" + s.faults[1], s.faults[1] + "+" + s.faults[0]}
		}
		for _, k := range keys[:max(1, len(s.faults)-boolInt(s.faults[0] == s.faults[len(s.faults)-1]))] {
			cells[k]++
			bad[k] += min(1, len(worlds[i].violations))
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Fault matrix\n\nWritten by `go test ./owner`: %d schedules with fixed seeds. A cell gives the number of\n", len(all))
	b.WriteString("schedules in which the fault was injected when the first job reached the step, and `broken` with the\n")
	b.WriteString("number of schedules that broke a guarantee. The checks are listed in `owner/sim_test.go`.\n\n## One fault\n")
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

// table writes rows against faults.
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
