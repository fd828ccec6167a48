package coloc

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobpulley/work"
)

// maxHarm bounds the cost of slowing others down, as a multiple of the task's own time.
const maxHarm = 4.0

// effect is the effect of one kind on another.
type effect struct {
	kind string
	// log is the logarithm of the slowdown, and excess the part by which run times grow.
	log, excess float64
	// took is the mean run time of the kind that is slowed down.
	took time.Duration
}

// Partners holds the kinds with which a kind forms pairs in force.
type Partners struct {
	kind string
	// slowedBy holds the kinds that slow it down, and slows those that it slows down, by name.
	slowedBy, slows []effect
}

// Task is a task that is to be placed.
type Task struct {
	// CPU is in millicores.
	CPU      int64
	Estimate time.Duration
}

// Partners returns the partners of a kind; nil if it has none.
func (m *Model) Partners(name string) *Partners {
	if m.inForce == 0 {
		return nil
	}
	p, known := m.partners[name]
	if !known {
		p = m.findPartners(name)
		if len(m.partners) < 2*MaxKinds {
			m.partners[name] = p
		}
	}
	return p
}

func (m *Model) findPartners(name string) *Partners {
	p := &Partners{kind: name}
	for other, k := range m.kinds {
		for beside, pair := range k.pairs {
			if !pair.inForce {
				continue
			}
			if other == name {
				p.slowedBy = append(p.slowedBy, effect{kind: beside, log: pair.slowdown})
			}
			if beside == name {
				p.slows = append(p.slows, effect{kind: other, excess: math.Exp(pair.slowdown) - 1, took: k.took})
			}
		}
	}
	if len(p.slowedBy) == 0 && len(p.slows) == 0 {
		return nil
	}
	byKind := func(a, b effect) int { return cmp.Compare(a.kind, b.kind) }
	slices.SortFunc(p.slowedBy, byKind)
	slices.SortFunc(p.slows, byKind)
	return p
}

// Cost returns the cost of running a task of the kind at an endpoint, as multiples of its estimate: own is the time
// by which it takes longer itself, and harm the CPU capacity times time that others lose, over its own CPU capacity.
// usual is the mean load of an endpoint by kind, and present the load of this endpoint in parts, such as this
// coordinator's own and others' tasks.
//
// Load pattern: a long task slows down short ones, few of which run at any time. Those that come while it runs
// count too, so that long tasks gather at endpoints that have one already, where another one does no harm.
func (p *Partners) Cost(t Task, usual []work.KindLoad, present ...[]work.KindLoad) (own, harm float64) {
	slowdown := 0.0
	for i := range p.slowedBy {
		if e := &p.slowedBy[i]; load(e.kind, present...) > 0 {
			slowdown += e.log
		}
	}
	same := load(p.kind, present...)
	for i := range p.slows {
		e := &p.slows[i]
		// A second task of the kind slows the others down no further. One of a kind that slows itself down
		// meets the first one.
		if e.kind != p.kind && same == 0 || e.kind == p.kind && same <= t.CPU {
			now := float64(load(e.kind, present...)) * min(float64(e.took)/float64(max(t.Estimate, 1)), 1)
			harm += e.excess * max(now, float64(load(e.kind, usual))) / float64(max(t.CPU, 1))
		}
	}
	return math.Exp(slowdown) - 1, min(harm, maxHarm)
}

func load(kind string, parts ...[]work.KindLoad) int64 {
	var sum int64
	for _, part := range parts {
		for i := range part {
			if part[i].Kind == kind {
				sum += max(part[i].CPU, 0)
			}
		}
	}
	return sum
}

// Slowdown returns the greatest factor that is expected on the kind's run times.
func (p *Partners) Slowdown() float64 {
	sum := 0.0
	for _, e := range p.slowedBy {
		sum += e.log
	}
	return math.Exp(sum)
}
