package coloc

import (
	"cmp"
	"math"
	"slices"

	"carobpulley/work"
)

// maxHarm bounds the CPU capacity of the tasks that a new task slows down, as a multiple of its own.
const maxHarm = 4.0

// effect is the effect of one kind on another.
type effect struct {
	kind string
	// log is the logarithm of the slowdown, and excess the part by which run times grow.
	log, excess float64
}

// Partners holds the kinds with which a kind forms pairs in force.
type Partners struct {
	// slowedBy holds the kinds that slow it down, and slows those that it slows down, by name.
	slowedBy, slows []effect
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
	p := &Partners{}
	for other, k := range m.kinds {
		for beside, pair := range k.pairs {
			if !pair.inForce {
				continue
			}
			if other == name {
				p.slowedBy = append(p.slowedBy, effect{kind: beside, log: pair.slowdown})
			}
			if beside == name {
				p.slows = append(p.slows, effect{kind: other, excess: math.Exp(pair.slowdown) - 1})
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

// Cost returns the cost of running a task beside others, as a part of its estimate: the time by which it takes
// longer itself, and the CPU capacity times time that the others lose, over its own CPU capacity in millicores.
// The kinds that run at the endpoint are given in parts, such as this coordinator's own and others' tasks.
func (p *Partners) Cost(cpu int64, parts ...[]work.KindLoad) float64 {
	slowdown, harm := 0.0, 0.0
	for _, e := range p.slowedBy {
		if load(e.kind, parts) > 0 {
			slowdown += e.log
		}
	}
	for _, e := range p.slows {
		harm += e.excess * float64(load(e.kind, parts)) / float64(max(cpu, 1))
	}
	return math.Exp(slowdown) - 1 + min(harm, maxHarm)
}

func load(kind string, parts [][]work.KindLoad) int64 {
	var sum int64
	for _, part := range parts {
		for _, l := range part {
			if l.Kind == kind {
				sum += max(l.CPU, 0)
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
