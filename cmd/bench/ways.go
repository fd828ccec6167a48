package main

import (
	"math"
	"math/rand/v2"
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
	build      func(rand.Source, place.DomainLatencies, string) (carobpulley.Placer, carobpulley.Admitter)
}

var ways = []way{
	{name: "naive", agentQueue: math.MaxInt, build: func(src rand.Source, _ place.DomainLatencies, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.NewNaive(src)
		return p, admit.NewNaive(p)
	}},
	{name: "random two", agentQueue: math.MaxInt, build: func(src rand.Source, _ place.DomainLatencies, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := &twoChoices{Naive: place.NewNaive(src), known: map[string]*known{}}
		return p, admit.New(p)
	}},
	{name: "ours", agentQueue: place.AgentQueueSize(runnerSlots), build: func(src rand.Source, d place.DomainLatencies, domain string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.New(src, d, domain)
		return p, admit.New(p)
	}},
}

// twoChoices pushes to the better of two random endpoints by estimated finish,
// without late binding.
type twoChoices struct {
	*place.Naive
	known map[string]*known
}

type known struct {
	mine, others int
	run          float64
}

// Pick implements carobpulley.Placer.
func (p *twoChoices) Pick(now time.Time, service string) (carobpulley.Endpoint, bool) {
	a, ok := p.Naive.Pick(now, service)
	b, _ := p.Naive.Pick(now, service)
	if !ok {
		return a, false
	}
	if p.finish(b) < p.finish(a) {
		a = b
	}
	p.at(a).mine++
	return a, true
}

func (p *twoChoices) at(e carobpulley.Endpoint) *known {
	if p.known[e.ID] == nil {
		p.known[e.ID] = &known{run: float64(300 * time.Millisecond)}
	}
	return p.known[e.ID]
}

func (p *twoChoices) finish(e carobpulley.Endpoint) float64 {
	k := p.at(e)
	rounds := float64(k.mine+k.others)/float64(e.Slots) + 1
	return rounds * k.run
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
