package coloc

import (
	"math"
	"time"

	"carobpulley/work"
)

const (
	// MaxKinds bounds the kinds whose runs are judged, and the kinds beside each of them.
	MaxKinds = 32
	// maxEndpoints bounds the endpoints whose speeds are known.
	maxEndpoints = 1024
	// idleTime is the time without a run after which a kind, a pair that is not in force or an endpoint
	// may make room for another one.
	idleTime = 10 * time.Minute
	// maxDeviation bounds the distance of one run's log ratio from the median of its kind: it limits a run
	// that takes seven times as long to the influence of one that takes twice as long.
	maxDeviation = 0.7
	// maxLogRatio bounds the log ratio of one run.
	maxLogRatio = 4.0
	// kindStep and endpointStep are the steps of the medians of kinds and of endpoints. An endpoint's one
	// wanders by 0.04 in steady state, a tenth of the spread of single runs.
	kindStep, endpointStep = 0.02, 0.01
	// tookWeight is the weight of the newest run in the mean time of a kind's runs.
	tookWeight = 0.02
)

// Run is a run that ended with success.
type Run struct {
	Kind string
	// Endpoint names the endpoint's generation.
	Endpoint string
	// Took is its run time, and Ratio that over its estimate.
	Took  time.Duration
	Ratio float64
	// Counts is set for one run of each step, chosen without regard to its run time. The runs of a step
	// share the error of its estimate, so more of them would count one error several times.
	Counts bool
	// Beside holds the kinds that ran beside it.
	Beside []work.Beside
}

// Change is a pair that was found or dropped.
type Change struct {
	// Kind is slowed down by Beside.
	Kind, Beside string
	Found        bool
	// Slowdown is the factor on the run time, Error the relative standard error of it.
	Slowdown, Error float64
	// Runs is the number of runs behind the decision.
	Runs   int
	Reason string
}

// median follows the median of a series by steps of a bounded size.
type median struct {
	value float64
	n     int
	seen  time.Time
}

func (m *median) add(now time.Time, x, step float64) {
	m.n++
	m.seen = now
	step = max(step, 0.5/float64(m.n))
	switch {
	case x > m.value:
		m.value += step
	case x < m.value:
		m.value -= step
	}
}

// kind is what is known of the runs of one kind.
type kind struct {
	level median
	// took is the mean time of recent runs.
	took time.Duration
	// pairs holds the kinds that ran beside it.
	pairs map[string]*pair
}

// Model holds the evidence of a coordinator.
type Model struct {
	kinds     map[string]*kind
	endpoints map[string]*median
	// inForce counts the pairs in force, and partners caches the answers of Partners.
	inForce  int
	partners map[string]*Partners
	changes  []Change
}

// New returns a Model without evidence.
func New() *Model {
	return &Model{kinds: make(map[string]*kind), endpoints: make(map[string]*median), partners: make(map[string]*Partners)}
}

// InForce returns the number of pairs that are taken to interfere.
func (m *Model) InForce() int { return m.inForce }

// Changes returns and clears the pairs that were found and dropped since the last call.
func (m *Model) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Observe takes a run as evidence.
func (m *Model) Observe(now time.Time, r Run) {
	if !(r.Ratio > 0) || math.IsInf(r.Ratio, 0) {
		return
	}
	k, e := m.kind(now, r.Kind), m.endpoint(now, r.Endpoint)
	if k == nil || e == nil {
		return
	}
	k.took += time.Duration(float64(r.Took-k.took) * max(tookWeight, 1/float64(k.level.n+1)))
	log := min(max(math.Log(r.Ratio), -maxLogRatio), maxLogRatio)
	// Of a kind whose estimates are wrong by a constant factor the endpoint's speed must not depend.
	rest := log - k.expected(r.Beside) - k.level.value
	speed := e.value
	e.add(now, rest, endpointStep)
	k.level.add(now, log-k.expected(r.Beside)-speed, kindStep)
	if !r.Counts {
		return
	}
	m.addPairs(now, k, r.Beside)
	deviation := min(max(rest-speed, -maxDeviation), maxDeviation)
	for beside, p := range k.pairs {
		x := deviation
		if p.inForce {
			// Its own slowdown is what the runs are to show.
			share := shareOf(r.Beside, beside)
			x = min(max(rest-speed+p.slowdown*share, -maxDeviation), maxDeviation)
		}
		p.add(now, shareOf(r.Beside, beside), x)
	}
	m.judge(now, r.Kind, k)
}

// Slowdown returns the factor by which the kinds beside a run are expected to have slowed it down.
func (m *Model) Slowdown(kind string, beside []work.Beside) float64 {
	if m.inForce == 0 || m.kinds[kind] == nil {
		return 1
	}
	return math.Exp(m.kinds[kind].expected(beside))
}

// expected returns the logarithm of the slowdown by the pairs in force.
func (k *kind) expected(beside []work.Beside) float64 {
	sum := 0.0
	for _, b := range beside {
		if p := k.pairs[b.Kind]; p != nil && p.inForce {
			sum += p.slowdown * bounded(b.Share)
		}
	}
	return sum
}

func shareOf(beside []work.Beside, kind string) float64 {
	for _, b := range beside {
		if b.Kind == kind {
			return bounded(b.Share)
		}
	}
	return 0
}

func bounded(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}

// kind returns the entry of a kind; nil if there is no room for it.
func (m *Model) kind(now time.Time, name string) *kind {
	if k := m.kinds[name]; k != nil {
		return k
	}
	if len(m.kinds) >= MaxKinds {
		for other, k := range m.kinds {
			if now.Sub(k.level.seen) > idleTime {
				m.forget(other)
			}
		}
	}
	if len(m.kinds) >= MaxKinds {
		return nil
	}
	k := &kind{pairs: make(map[string]*pair)}
	m.kinds[name] = k
	return k
}

func (m *Model) forget(name string) {
	for beside, p := range m.kinds[name].pairs {
		if p.inForce {
			m.drop(name, beside, p, "the kind no longer runs")
		}
	}
	delete(m.kinds, name)
}

// endpoint returns the median of an endpoint's runs; nil if there is no room for it.
func (m *Model) endpoint(now time.Time, name string) *median {
	if e := m.endpoints[name]; e != nil {
		return e
	}
	if len(m.endpoints) >= maxEndpoints {
		for other, e := range m.endpoints {
			if now.Sub(e.seen) > idleTime {
				delete(m.endpoints, other)
			}
		}
	}
	if len(m.endpoints) >= maxEndpoints {
		return nil
	}
	e := &median{}
	m.endpoints[name] = e
	return e
}

// addPairs adds the kinds beside a run to those that are judged, as far as there is room.
func (m *Model) addPairs(now time.Time, k *kind, beside []work.Beside) {
	for _, b := range beside {
		p := k.pairs[b.Kind]
		if p == nil && len(k.pairs) >= MaxKinds {
			for other, old := range k.pairs {
				if !old.inForce && now.Sub(old.seen) > idleTime {
					delete(k.pairs, other)
				}
			}
		}
		if p == nil && len(k.pairs) < MaxKinds {
			p = &pair{began: now}
			k.pairs[b.Kind] = p
		}
		if p != nil {
			p.seen = now
		}
	}
}
