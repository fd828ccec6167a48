package conf

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

	"carobpulley"
)

const (
	simSeeds = 3
	// ablationSeeds is the number of schedules of which one at least must break a
	// guarantee when a protection is disabled.
	ablationSeeds = 3000
	// schedulesEnv sets the number of additional random schedules.
	schedulesEnv = "CAROB_SPREAD_SCHEDULES"
	matrixFile   = "../docs/fault-matrix-config.md"
)

// simRows holds the steps of the first change, in order. They are the rows of the
// matrix.
var simRows = []string{
	"change sent", "appended", "read by one entry", "read by a majority", "told accepted", "in force everywhere", "reverted by rollback",
}

var simColumns = []string{
	"log down before", "log down during", "log down after", "append answer lost", "log slow", "two operators", "replayed records",
	"retention", "clock jump", "old version served", "agent replaced", "entry crash", "entry cut off", "regions parted", "entries changed",
}

// simSchedule is one run of the simulation with faults that begin at a step of the
// first change. without names a protection to disable.
type simSchedule struct {
	row     string
	faults  []string
	seed    uint64
	without string
}

// simAblations holds the protections to disable, each with faults under which a
// guarantee is then broken.
var simAblations = []simSchedule{
	{without: "majority", faults: []string{"regions parted"}},
	{without: "larger versions only", faults: []string{"old version served"}},
	{without: "attached version", faults: []string{"log down during"}},
	{without: "ids in doubt", faults: []string{"append answer lost", "log down after"}},
}

// simSchedules returns the schedules of the matrix: for each step, each fault with
// several seeds and each pair of faults.
func simSchedules() (out []simSchedule) {
	seed := uint64(1)
	add := func(row string, faults ...string) {
		out = append(out, simSchedule{row: row, faults: faults, seed: seed})
		seed++
	}
	for _, row := range simRows {
		for i, f := range simColumns {
			for range simSeeds {
				add(row, f)
			}
			for _, g := range simColumns[i:] {
				add(row, f, g)
			}
		}
	}
	return out
}

// runSim runs one schedule: a change takes a domain out of service, and a rollback
// brings it back one second after the change is in force everywhere.
func runSim(s simSchedule) *simulation {
	sim := newSimulation(s)
	sim.onStep = func(step string) {
		if len(s.faults) > 0 && step == simTrigger(s) {
			sim.inject(s.faults[0])
			for _, f := range s.faults[1:] {
				sim.pending++
				sim.after(sim.between(0, 2*time.Second), func() {
					sim.pending--
					sim.inject(f)
				})
			}
		}
		if step == simRows[5] {
			sim.pending++
			sim.after(time.Second, func() {
				sim.pending--
				sim.startChange(false, simEdit(false), func() { sim.step(simRows[6]) })
			})
		}
	}
	sim.after(simFirstChangeAfter, func() { sim.startChange(true, simEdit(true), func() {}) })
	sim.run()
	return sim
}

func simEdit(out bool) func(*carobpulley.Catalogue) []byte {
	return func(c *carobpulley.Catalogue) []byte { return simDocument(c.Entries, out) }
}

// simTrigger returns the step at which the faults begin. For a log that is down
// before a step, that is the previous step.
func simTrigger(s simSchedule) string {
	for i, row := range simRows {
		if i > 0 && row == s.row && s.faults[0] == "log down before" {
			return simRows[i-1]
		}
	}
	return s.row
}

// runSchedules runs the schedules in parallel and returns their results.
func runSchedules(all []simSchedule) []*simulation {
	runs := make([]*simulation, len(all))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, s := range all {
		g.Go(func() error {
			sim := runSim(s)
			runs[i] = &simulation{violations: sim.violations, injected: sim.injected, reached: sim.reached}
			return nil
		})
	}
	_ = g.Wait()
	return runs
}

// Guards against a change that is reported accepted and is not in force, that comes
// into force although it was rejected, or that is lost, under one or two faults at
// any step of the change.
func TestSpreadMatrix(t *testing.T) {
	all := simSchedules()
	fixed := len(all)
	more, _ := strconv.Atoi(os.Getenv(schedulesEnv))
	for i := range more {
		s := all[i%fixed]
		s.seed = uint64(1_000_000 + i)
		all = append(all, s)
	}
	runs := runSchedules(all)
	bad := 0
	for i, sim := range runs {
		if len(sim.violations) > 0 {
			if bad++; bad < 20 {
				t.Errorf("%+v: %s", all[i], strings.Join(sim.violations, "; "))
			}
		}
	}
	t.Logf("%d schedules, %d broken", len(all), bad)
	writeMatrix(t, all[:fixed], runs)
}

// Guards against checks that find nothing: with a protection disabled, some schedule
// must break a guarantee that it keeps with the protection.
func TestSpreadMatrixFindsFaults(t *testing.T) {
	for i, p := range simAblations {
		t.Run(p.without, func(t *testing.T) {
			for from := 0; from < ablationSeeds; from += 100 {
				all := make([]simSchedule, 100)
				for j := range all {
					all[j] = p
					all[j].row, all[j].seed = simRows[j%len(simRows)], uint64(100_000*(i+1)+from+j)
				}
				for j, sim := range runSchedules(all) {
					if len(sim.violations) == 0 {
						continue
					}
					t.Logf("%+v: %s", all[j], sim.violations[0])
					all[j].without = ""
					if v := runSim(all[j]).violations; len(v) > 0 {
						t.Errorf("with all protections: %v", v)
					}
					return
				}
			}
			t.Errorf("none of %d schedules breaks a guarantee", ablationSeeds)
		})
	}
}

// Guards against errors in the simulation: without a fault, each step is reached.
func TestRolloutNoFault(t *testing.T) {
	for seed := range uint64(20) {
		sim := runSim(simSchedule{seed: seed})
		if len(sim.violations) > 0 || len(sim.reached) < len(simRows) {
			t.Errorf("seed %d: %v, reached %v", seed, sim.violations, sim.reached)
		}
	}
}

// writeMatrix writes the table of the schedules and their results, if it changed.
func writeMatrix(t *testing.T, all []simSchedule, runs []*simulation) {
	t.Helper()
	cells, bad := map[string]int{}, map[string]int{}
	for i, s := range all {
		if runs[i].injected < len(s.faults) {
			continue
		}
		keys := []string{s.row + "/" + s.faults[0]}
		if len(s.faults) == 2 {
			keys = []string{s.faults[0] + "+" + s.faults[1], s.faults[1] + "+" + s.faults[0]}
			if s.faults[0] == s.faults[1] {
				keys = keys[:1]
			}
		}
		for _, k := range keys {
			cells[k]++
			bad[k] += min(1, len(runs[i].violations))
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Fault matrix of configuration changes\n\nWritten by `go test ./conf`: %d schedules with fixed seeds, each with\n", len(all))
	b.WriteString("five entries, of which two or three are in the first catalogue, four agents and a log. A cell gives the\n")
	b.WriteString("number of schedules in which the fault was injected when the first change reached the step, and `broken`\n")
	b.WriteString("with the number that broke a guarantee. The checks are in `conf/simfault_test.go`.\n\n## One fault\n")
	writeTable(&b, simRows, "/", cells, bad)
	b.WriteString("\n## Two faults, over all steps\n\nThe second fault follows up to 2 s after the first.\n")
	writeTable(&b, simColumns, "+", cells, bad)
	old, _ := os.ReadFile(matrixFile)
	if bytes.Equal(old, b.Bytes()) {
		return
	}
	if err := os.WriteFile(matrixFile, b.Bytes(), 0o644); err != nil {
		t.Error(err)
	}
}

func writeTable(b *bytes.Buffer, rows []string, sep string, cells, bad map[string]int) {
	fmt.Fprintf(b, "\n| | %s |\n|---|%s\n", strings.Join(simColumns, " | "), strings.Repeat("---|", len(simColumns)))
	for _, r := range rows {
		fmt.Fprintf(b, "| %s |", r)
		for _, f := range simColumns {
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
