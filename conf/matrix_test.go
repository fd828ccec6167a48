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
	// probeSeeds bounds the schedules that the lack of a protection may take to show.
	probeSeeds = 3000
	// spreadEnv sets the number of further random schedules.
	spreadEnv  = "CAROB_SPREAD_SCHEDULES"
	spreadFile = "../docs/fault-matrix-config.md"
)

// simRows are the steps of the first change, in order.
var simRows = []string{
	"change sent", "appended", "read by one entry", "read by a majority", "told accepted", "in force everywhere", "reverted by rollback",
}

var simColumns = []string{
	"log down before", "log down during", "log down after", "append answer lost", "log slow", "two operators", "replayed records",
	"retention", "clock jump", "old version served", "agent replaced", "entry crash", "entry cut off", "regions parted", "entries changed",
}

// simSchedule is one run with faults at a step of the first change.
type simSchedule struct {
	row     string
	faults  []string
	seed    uint64
	without string
}

// simProbes are protections to leave out, with faults under which their lack shows.
var simProbes = []simSchedule{
	{without: "majority", faults: []string{"regions parted"}},
	{without: "larger versions only", faults: []string{"old version served"}},
	{without: "attached version", faults: []string{"log down during"}},
	{without: "ids in doubt", faults: []string{"append answer lost", "log down after"}},
}

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

// runSim runs one schedule: a domain is taken out of service, and brought back
// by a rollback a second after that is in force everywhere.
func runSim(s simSchedule) *simWorld {
	w := newSimWorld(s)
	w.onStep = func(step string) {
		if len(s.faults) > 0 && step == simTrigger(s) {
			w.inject(s.faults[0])
			for _, f := range s.faults[1:] {
				w.pending++
				w.after(w.between(0, 2*time.Second), func() {
					w.pending--
					w.inject(f)
				})
			}
		}
		if step == simRows[5] {
			w.pending++
			w.after(time.Second, func() {
				w.pending--
				w.operate(false, simEdit(false), func() { w.step(simRows[6]) })
			})
		}
	}
	w.after(simSend, func() { w.operate(true, simEdit(true), func() {}) })
	w.run()
	return w
}

func simEdit(out bool) func(*carobpulley.Catalogue) []byte {
	return func(c *carobpulley.Catalogue) []byte { return simDocument(c.Entries, out) }
}

// simTrigger is the step at which the faults begin: for a log that is down
// before a step, the one before it.
func simTrigger(s simSchedule) string {
	for i, row := range simRows {
		if i > 0 && row == s.row && s.faults[0] == "log down before" {
			return simRows[i-1]
		}
	}
	return s.row
}

func playSim(all []simSchedule) []*simWorld {
	worlds := make([]*simWorld, len(all))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, s := range all {
		g.Go(func() error {
			w := runSim(s)
			worlds[i] = &simWorld{broken: w.broken, faults: w.faults, reached: w.reached}
			return nil
		})
	}
	_ = g.Wait()
	return worlds
}

// Guards against a change that is told accepted and not in force, that comes
// into force though it was refused, or that is lost, by one fault or two at any
// step of its way.
func TestSpreadMatrix(t *testing.T) {
	all := simSchedules()
	fixed := len(all)
	more, _ := strconv.Atoi(os.Getenv(spreadEnv))
	for i := range more {
		s := all[i%fixed]
		s.seed = uint64(1_000_000 + i)
		all = append(all, s)
	}
	worlds := playSim(all)
	bad := 0
	for i, w := range worlds {
		if len(w.broken) > 0 {
			if bad++; bad < 20 {
				t.Errorf("%+v: %s", all[i], strings.Join(w.broken, "; "))
			}
		}
	}
	t.Logf("%d schedules, %d broken", len(all), bad)
	writeSpreadMatrix(t, all[:fixed], worlds)
}

// Guards against checks that find nothing: without a protection some schedule
// must break a guarantee that it keeps with it.
func TestSpreadMatrixFindsFaults(t *testing.T) {
	for i, p := range simProbes {
		t.Run(p.without, func(t *testing.T) {
			for from := 0; from < probeSeeds; from += 100 {
				all := make([]simSchedule, 100)
				for j := range all {
					all[j] = p
					all[j].row, all[j].seed = simRows[j%len(simRows)], uint64(100_000*(i+1)+from+j)
				}
				for j, w := range playSim(all) {
					if len(w.broken) == 0 {
						continue
					}
					t.Logf("%+v: %s", all[j], w.broken[0])
					all[j].without = ""
					if v := runSim(all[j]).broken; len(v) > 0 {
						t.Errorf("with all protections: %v", v)
					}
					return
				}
			}
			t.Errorf("none of %d schedules breaks a guarantee", probeSeeds)
		})
	}
}

// Guards against faults of the harness: without a fault every step is reached.
func TestSpreadNoFault(t *testing.T) {
	for seed := range uint64(20) {
		w := runSim(simSchedule{seed: seed})
		if len(w.broken) > 0 || len(w.reached) < len(simRows) {
			t.Errorf("seed %d: %v, reached %v", seed, w.broken, w.reached)
		}
	}
}

// writeSpreadMatrix writes the table of what was tested, if it changed.
func writeSpreadMatrix(t *testing.T, all []simSchedule, worlds []*simWorld) {
	t.Helper()
	cells, bad := map[string]int{}, map[string]int{}
	for i, s := range all {
		if worlds[i].faults < len(s.faults) {
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
			bad[k] += min(1, len(worlds[i].broken))
		}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Fault matrix of configuration changes\n\nWritten by `go test ./conf`: %d schedules with fixed seeds, each with\n", len(all))
	b.WriteString("five entries, of which two or three are in the first catalogue, four agents and a log. A cell gives the\n")
	b.WriteString("number of schedules in which the fault was injected when the first change reached the step, and `broken`\n")
	b.WriteString("with the number that broke a guarantee. The checks are in `conf/simfault_test.go`.\n\n## One fault\n")
	spreadTable(&b, simRows, "/", cells, bad)
	b.WriteString("\n## Two faults, over all steps\n\nThe second fault follows up to 2 s after the first.\n")
	spreadTable(&b, simColumns, "+", cells, bad)
	old, _ := os.ReadFile(spreadFile)
	if bytes.Equal(old, b.Bytes()) {
		return
	}
	if err := os.WriteFile(spreadFile, b.Bytes(), 0o644); err != nil {
		t.Error(err)
	}
}

func spreadTable(b *bytes.Buffer, rows []string, sep string, cells, bad map[string]int) {
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
