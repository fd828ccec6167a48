package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/place"
)

// way is a method of placement and admission.
type way struct {
	name string
	// agentQueue bounds the tasks that wait at an agent.
	agentQueue int
	build      func(rand.Source, place.Distances, string) (carobpulley.Placer, carobpulley.Admitter)
}

var ways = []way{
	{name: "naive", agentQueue: math.MaxInt, build: func(src rand.Source, _ place.Distances, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.NewNaive(src)
		return p, admit.NewNaive(p)
	}},
	{name: "random two", agentQueue: math.MaxInt, build: func(src rand.Source, d place.Distances, domain string) (carobpulley.Placer, carobpulley.Admitter) {
		p := &twoChoices{Naive: place.NewNaive(src), distances: d, domain: domain, known: map[string]*known{}}
		return p, admit.New(p)
	}},
	{name: "pull", agentQueue: 0, build: func(src rand.Source, _ place.Distances, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := &puller{Naive: place.NewNaive(src), rng: rand.New(src)}
		return p, admit.New(p)
	}},
	{name: "ours", agentQueue: 2, build: func(src rand.Source, d place.Distances, domain string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.New(src, d, domain)
		return p, admit.New(p)
	}},
}

// twoChoices pushes to the better of two random endpoints by estimated finish,
// without late binding.
type twoChoices struct {
	*place.Naive
	distances place.Distances
	domain    string
	known     map[string]*known
}

type known struct {
	mine, others int
	run          float64
}

// Upsert implements carobpulley.Placer.
func (p *twoChoices) Upsert(now time.Time, e carobpulley.Endpoint, l carobpulley.Load) {
	p.Naive.Upsert(now, e, l)
	if p.known[e.ID] == nil {
		p.known[e.ID] = &known{run: float64(300 * time.Millisecond)}
	}
	p.known[e.ID].others = max(0, l.Running+l.Queued-p.known[e.ID].mine)
}

// Pick implements carobpulley.Placer.
func (p *twoChoices) Pick(now time.Time, service string) (carobpulley.Endpoint, bool) {
	a, ok := p.Naive.Pick(now, service)
	b, _ := p.Naive.Pick(now, service)
	if ok && p.finish(b) < p.finish(a) {
		a = b
	}
	if ok {
		p.known[a.ID].mine++
	}
	return a, ok
}

func (p *twoChoices) finish(e carobpulley.Endpoint) float64 {
	k := p.known[e.ID]
	rounds := float64(k.mine+k.others)/float64(e.Slots) + 1
	return float64(p.distances.Between(p.domain, e.Domain)) + rounds*k.run
}

// Done implements carobpulley.Placer.
func (p *twoChoices) Done(_ time.Time, s carobpulley.Sample) {
	k := p.known[s.Endpoint]
	k.mine--
	k.others = max(0, s.Load.Running+s.Load.Queued-k.mine)
	if !s.Refused {
		k.run += (float64(s.Run) - k.run) / 32
	}
}

// pullHold is the time for which an entry holds the offer of an idle slot
// before it answers empty and the endpoint offers the slot to another entry.
const pullHold = 50 * time.Millisecond

// puller hands tasks to endpoints that offered an idle slot. Each offer is a
// message to one random entry.
type puller struct {
	*place.Naive
	world  *world
	entry  *entry
	rng    *rand.Rand
	offers []*offer
	seen   map[string]bool
	in     *carobpulley.Catalogue
}

type offer struct {
	agent *agent
	taken bool
}

// Configure implements carobpulley.Placer.
func (p *puller) Configure(now time.Time, c *carobpulley.Catalogue) {
	p.Naive.Configure(now, c)
	p.in = c
}

// Upsert implements carobpulley.Placer. The first announcement at the first
// entry makes the endpoint offer its slots.
func (p *puller) Upsert(now time.Time, e carobpulley.Endpoint, l carobpulley.Load) {
	p.Naive.Upsert(now, e, l)
	if p.entry != p.world.entries[0] || p.seen[e.ID] {
		return
	}
	if p.seen == nil {
		p.seen = map[string]bool{}
	}
	p.seen[e.ID] = true
	for _, a := range p.world.agents {
		for range e.Slots {
			if a.info.ID == e.ID {
				p.offer(a)
			}
		}
	}
}

// offer sends an idle slot to a random entry.
func (p *puller) offer(a *agent) {
	s := p.world
	if s.left == 0 {
		return
	}
	e := s.entries[p.rng.IntN(len(s.entries))]
	s.messages.Wasted++
	o := &offer{agent: a}
	s.after(s.distance(a.info.Domain, e.domain), func() {
		q := e.placer.(*puller)
		q.offers = append(q.offers, o)
		s.after(pullHold, func() { q.giveBack(o) })
		e.pump()
	})
}

func (p *puller) giveBack(o *offer) {
	if o.taken {
		return
	}
	p.offers = slices.DeleteFunc(p.offers, func(other *offer) bool { return other == o })
	p.world.messages.Wasted++
	p.world.after(p.world.distance(p.entry.domain, o.agent.info.Domain), func() { p.offer(o.agent) })
}

// Pick implements carobpulley.Placer.
func (p *puller) Pick(_ time.Time, _ string) (carobpulley.Endpoint, bool) {
	for i, o := range p.offers {
		if p.in.InService(o.agent.info.Domain) {
			p.offers = slices.Delete(p.offers, i, i+1)
			o.taken = true
			return o.agent.info, true
		}
	}
	return carobpulley.Endpoint{}, false
}
