package coloc

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// Noise of runs as docs/overload.md gives it.
const (
	estimateError = 0.4
	tailShare     = 0.03
	tailFactor    = 7
)

// site plays runs of three kinds at endpoints of unequal speed.
type site struct {
	random *rand.Rand
	model  *Model
	now    time.Time
	runs   int
	// factor returns the slowdown of a kind by another.
	factor func(kind, beside string) float64
	found  []string
}

func newSite(seed uint64, factor func(kind, beside string) float64) *site {
	return &site{
		random: rand.New(rand.NewPCG(seed, 6)), model: New(),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), factor: factor,
	}
}

func none(string, string) float64 { return 1 }

func check(kind, beside string) float64 {
	if kind == "check" && beside == "quote" {
		return 1.5
	}
	return 1
}

// run plays one run: 25 each second, as at one of 13 coordinators.
func (s *site) run() {
	s.now = s.now.Add(40 * time.Millisecond)
	s.runs++
	kinds := []string{"check", "quote", "confirm"}
	kind, endpoint := kinds[s.random.IntN(3)], s.random.IntN(30)
	time := []float64{1, 1 / 1.3, 1 / 0.55}[endpoint%3] * (1 + estimateError*(2*s.random.Float64()-1))
	if s.random.Float64() < tailShare {
		time *= tailFactor
	}
	var beside []work.Beside
	// Endpoints that are busy have all kinds more often.
	busy := s.random.Float64()
	for _, other := range kinds {
		if s.random.Float64() < busy {
			share := min(1, 0.3+s.random.Float64())
			beside = append(beside, work.Beside{Kind: other, Share: share})
			time *= math.Pow(s.factor(kind, other), share)
		}
	}
	s.model.Observe(s.now, Run{Kind: kind, Endpoint: fmt.Sprint(endpoint), Ratio: time, Counts: true, Beside: beside})
	s.model.Expire(s.now)
	for _, c := range s.model.Changes() {
		s.found = append(s.found, fmt.Sprintf("%s beside %s %t", c.Kind, c.Beside, c.Found))
	}
}

func (s *site) play(runs int) {
	for range runs {
		s.run()
	}
}

// Guards against a pair that slows callers' jobs by half and is not found within a minute of runs, and
// against blaming kinds that often run beside the cause.
func TestFindsPair(t *testing.T) {
	for seed := range uint64(50) {
		s := newSite(seed, check)
		for s.model.InForce() == 0 && s.runs < 1500 {
			s.run()
		}
		s.play(3000)
		if diff := cmp.Diff([]string{"check beside quote true"}, s.found); diff != "" {
			t.Errorf("seed %d: changes (-want +got):\n%s", seed, diff)
		}
		got := s.model.Slowdown("check", []work.Beside{{Kind: "quote", Share: 1}})
		if got < 1.3 || got > 1.7 {
			t.Errorf("seed %d: slowdown %.2f, want 1.5", seed, got)
		}
	}
}

// Guards against pairs found in noise, which would make endpoints unequal for no reason: 200 sites with nine
// pairs each for 20,000 runs, where the bound allows one in a thousand such tests.
func TestNoPairInNoise(t *testing.T) {
	for seed := range uint64(200) {
		s := newSite(seed, none)
		s.play(20_000)
		if len(s.found) > 0 {
			t.Errorf("seed %d: %v", seed, s.found)
		}
	}
}

// Guards against a pair that stays in force after its interference has ended, or without any run that confirms it.
func TestDropsPair(t *testing.T) {
	s := newSite(1, check)
	s.play(1500)
	s.factor = none
	s.play(1500)
	if diff := cmp.Diff([]string{"check beside quote true", "check beside quote false"}, s.found); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	s = newSite(2, check)
	s.play(1500)
	if got := s.model.InForce(); got != 1 {
		t.Errorf("%d pairs in force, want 1", got)
	}
	s.model.Expire(s.now.Add(keepFor + time.Second))
	if p := s.model.Partners("check"); s.model.InForce() != 0 || p != nil {
		t.Errorf("%d pairs in force, partners %v, want none", s.model.InForce(), p)
	}
}

// Guards against memory that grows with the names that clients send, and against values that can't be true.
func TestBoundedMemory(t *testing.T) {
	m, now := New(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		beside := []work.Beside{{Kind: fmt.Sprint(i % 777), Share: math.NaN()}}
		for _, ratio := range []float64{1, 0, -1, math.NaN(), math.Inf(1)} {
			m.Observe(now, Run{Kind: fmt.Sprint(i % 999), Endpoint: fmt.Sprint(i), Ratio: ratio, Counts: true, Beside: beside})
		}
	}
	pairs := 0
	for _, k := range m.kinds {
		pairs += len(k.pairs)
	}
	if len(m.kinds) > MaxKinds || pairs > MaxKinds*MaxKinds || len(m.endpoints) > maxEndpoints {
		t.Errorf("%d kinds, %d pairs, %d endpoints", len(m.kinds), pairs, len(m.endpoints))
	}
}
