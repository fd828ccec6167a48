package single

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// play plays a time and returns what broke, with the trace.
func play(seed uint64, m mix, length time.Duration) *world {
	rng := rand.New(rand.NewPCG(seed, 77))
	if m.drawn {
		m = m.draw(rng)
	}
	w := &world{
		mix: m, rng: rng, now: testStart, placements: map[string][]*placement{}, basis: map[string]string{}, again: map[string]int{},
		ownDeadline: seed%2 == 0, pollsFromArrival: seed%3 == 0 && m.commands,
	}
	w.co = newCoordinator(w)
	for n := range agents {
		w.agents = append(w.agents, newAgent(w, agentName(n)))
	}
	w.after(w.ms(1, 200), func() { w.callers(1) })
	w.after(500*time.Millisecond, w.faults)
	w.run(testStart.Add(length))
	return w
}

// chosen returns the seeds of the environment variable SINGLE_SEEDS, as FIRST-LAST, or the given ones.
func chosen(t *testing.T, given []uint64) []uint64 {
	text := os.Getenv("SINGLE_SEEDS")
	if text == "" {
		return given
	}
	low, high, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(low, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	last, err := strconv.ParseUint(high, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return upTo(first, last)
}

// upTo returns the seeds from first to last.
func upTo(first, last uint64) []uint64 {
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

const (
	// allFaults are the faults, of which each seed plays a part.
	allFaults = "draw,commands,refusals,crashes,leaves,freezes,restarts,low-tokens,network,co-freezes,co-restarts,callers,at-once," +
		"beats,ends,overdue"
	// rebirths adds starts that a later generation of their endpoint carries out, which knows no token yet.
	rebirths = ",across-rebirths,except-refused-before,except-lapsed"
)

// check plays seeds of a mix of faults, which the environment variable SINGLE_MIX replaces.
func check(t *testing.T, names string, seeds ...uint64) {
	t.Helper()
	if text := os.Getenv("SINGLE_MIX"); text != "" {
		names = text
	}
	begun, placed, tasks := 0, 0, 0
	again := map[string]int{}
	var leftOut []time.Duration
	seeds = chosen(t, seeds)
	for _, seed := range seeds {
		w := play(seed, parseMix(names), 20*time.Second)
		begun += w.begun
		placed += w.placed
		tasks += len(w.placements)
		leftOut = append(leftOut, w.leftOut...)
		for basis, n := range w.again {
			again[basis] += n
		}
		if w.broke == "" {
			continue
		}
		t.Errorf("seed %d: %s", seed, w.broke)
		if dir := os.Getenv("SINGLE_TRACE"); dir != "" {
			name := filepath.Join(dir, strconv.FormatUint(seed, 10)+".trace")
			if err := os.WriteFile(name, []byte(strings.Join(w.trace, "\n")), 0o600); err != nil {
				t.Error(err)
			}
		}
		if len(seeds) == 1 {
			for _, line := range w.trace[max(0, len(w.trace)-400):] {
				t.Log(line)
			}
		}
	}
	slices.Sort(leftOut)
	if n := len(leftOut); n > 0 {
		t.Logf("left out: %d runs that began in spite of a later placement, on for %v (median), %v at most", n, leftOut[n/2], leftOut[n-1])
	}
	t.Logf("%d seeds of %s: %d runs began, %d placements of %d tasks; placed again by basis: %v", len(seeds), names, begun, placed, tasks, again)
}

// Guards against a task that is placed while an earlier run of it is at work or can still begin.
func TestEarlierRunIsOver(t *testing.T) {
	check(t, allFaults+",late-after-break", upTo(1, 6)...)
}

// Guards against the same where a start that was repeated is carried out by its endpoint's next generation.
func TestEarlierRunIsOverAtARebornEndpoint(t *testing.T) {
	check(t, allFaults+rebirths, 38, 140)
}

// Guards against the same where the agent is frozen right before it sends a start.
func TestEarlierRunIsOverBesidePausedStarts(t *testing.T) {
	// The order of maps decides whether a play meets it.
	check(t, allFaults+",late-after-break,paused-starts", slices.Repeat([]uint64{24}, 20)...)
}

// Guards against the same where a start is carried out by its endpoint's next generation after its connection
// has ended.
func TestEarlierRunIsOverAfterABrokenCall(t *testing.T) {
	check(t, allFaults+rebirths+",late-after-break", 234)
}
