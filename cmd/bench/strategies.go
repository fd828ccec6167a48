package main

import (
	"math"
	"math/rand/v2"
	"time"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/place"
)

// strategy is a method of placement and admission.
type strategy struct {
	name string
	// maxAgentQueue bounds the number of tasks queued at an agent.
	maxAgentQueue int
	build         func(rand.Source, place.DomainLatencies, string) (carobpulley.Placer, carobpulley.Admitter)
}

var strategies = []strategy{
	{name: "naive", maxAgentQueue: math.MaxInt, build: func(src rand.Source, _ place.DomainLatencies, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.NewNaive(src)
		return p, admit.NewNaive(p)
	}},
	{name: "random two", maxAgentQueue: math.MaxInt, build: func(src rand.Source, _ place.DomainLatencies, _ string) (carobpulley.Placer, carobpulley.Admitter) {
		p := &twoChoices{Naive: place.NewNaive(src), estimates: map[string]*endpointEstimate{}}
		return p, admit.New(p)
	}},
	{name: "ours", maxAgentQueue: place.AgentQueueSize(endpointSlots), build: func(src rand.Source, d place.DomainLatencies, domain string) (carobpulley.Placer, carobpulley.Admitter) {
		p := place.New(src, d, domain)
		return p, admit.New(p)
	}},
}

// twoChoices places each task at once at the one of two random endpoints with the
// earlier estimated finish. There is no late binding.
type twoChoices struct {
	*place.Naive
	estimates map[string]*endpointEstimate
}

// endpointEstimate is an entry's estimate of the tasks at an endpoint and of their mean
// run time in ns.
type endpointEstimate struct {
	ownTasks, otherTasks int
	runTime              float64
}

// Pick implements carobpulley.Placer.
func (p *twoChoices) Pick(now time.Time, service string) (carobpulley.Endpoint, bool) {
	a, ok := p.Naive.Pick(now, service)
	b, _ := p.Naive.Pick(now, service)
	if !ok {
		return a, false
	}
	if p.expectedFinish(b) < p.expectedFinish(a) {
		a = b
	}
	p.estimate(a).ownTasks++
	return a, true
}

func (p *twoChoices) estimate(e carobpulley.Endpoint) *endpointEstimate {
	if p.estimates[e.ID] == nil {
		p.estimates[e.ID] = &endpointEstimate{runTime: float64(300 * time.Millisecond)}
	}
	return p.estimates[e.ID]
}

func (p *twoChoices) expectedFinish(e carobpulley.Endpoint) float64 {
	est := p.estimate(e)
	rounds := float64(est.ownTasks+est.otherTasks)/float64(e.Slots) + 1
	return rounds * est.runTime
}

// Done implements carobpulley.Placer.
func (p *twoChoices) Done(_ time.Time, s carobpulley.Sample) {
	est := p.estimates[s.Endpoint]
	est.ownTasks--
	est.otherTasks = max(0, s.Load.Running+s.Load.Queued-est.ownTasks)
	if !s.Refused {
		est.runTime += (float64(s.Run) - est.runTime) / 32
	}
}
