package place

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobpulley"
)

// Naive implements carobpulley.Placer by picking a random endpoint. It learns
// nothing from results. Tests and benchmarks compare Placer with it.
type Naive struct {
	rng       *rand.Rand
	catalogue *carobpulley.Catalogue
	endpoints []carobpulley.Endpoint
	suspects  map[string]bool
}

var _ carobpulley.Placer = (*Naive)(nil)

// NewNaive returns a Naive that picks endpoints at random from src.
func NewNaive(src rand.Source) *Naive {
	return &Naive{
		rng:       rand.New(src),
		catalogue: &carobpulley.Catalogue{},
		suspects:  map[string]bool{},
	}
}

// Configure implements carobpulley.Placer.
func (p *Naive) Configure(_ time.Time, c *carobpulley.Catalogue) {
	p.catalogue = c
}

// Upsert implements carobpulley.Placer.
func (p *Naive) Upsert(_ time.Time, e carobpulley.Endpoint, _ carobpulley.Load) {
	i, found := p.find(e.ID)
	switch {
	case !found:
		p.endpoints = slices.Insert(p.endpoints, i, e)
	case e.Incarnation < p.endpoints[i].Incarnation:
		return
	default:
		p.endpoints[i] = e
	}
	delete(p.suspects, e.ID)
}

// Remove implements carobpulley.Placer.
func (p *Naive) Remove(_ time.Time, id string) {
	if i, found := p.find(id); found {
		p.endpoints = slices.Delete(p.endpoints, i, i+1)
	}
	delete(p.suspects, id)
}

// Suspect implements carobpulley.Placer.
func (p *Naive) Suspect(_ time.Time, id string) {
	p.suspects[id] = true
}

// Pick implements carobpulley.Placer.
func (p *Naive) Pick(_ time.Time, service string) (carobpulley.Endpoint, bool) {
	var usable []carobpulley.Endpoint
	for _, e := range p.endpoints {
		if p.usable(e) && slices.Contains(e.Services, service) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return carobpulley.Endpoint{}, false
	}
	return usable[p.rng.IntN(len(usable))], true
}

// Done implements carobpulley.Placer.
func (p *Naive) Done(time.Time, carobpulley.Sample) {}

// CanRun implements carobpulley.Placer.
func (p *Naive) CanRun(service string) bool {
	return slices.ContainsFunc(p.endpoints, func(e carobpulley.Endpoint) bool {
		return slices.Contains(e.Services, service)
	})
}

// Expect implements carobpulley.Placer. It returns the zero time, because Naive
// estimates no run times.
func (p *Naive) Expect(time.Time, string, int) time.Time {
	return time.Time{}
}

// MinRunTime returns 0, because Naive estimates no run times.
func (p *Naive) MinRunTime(string) time.Duration {
	return 0
}

func (p *Naive) usable(e carobpulley.Endpoint) bool {
	if e.Draining || p.catalogue.Draining[e.ID] || p.suspects[e.ID] {
		return false
	}
	return p.catalogue.InService(e.Domain)
}

func (p *Naive) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.endpoints, id, func(e carobpulley.Endpoint, id string) int {
		return cmp.Compare(e.ID, id)
	})
}
