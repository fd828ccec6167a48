package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"carobpulley"
	"carobpulley/emul"
	"carobpulley/platform/stand"
)

// domainBound is how long after its acceptance a domain that is taken out may
// still start tasks, as RULES.md gives it.
const domainBound = 5 * time.Second

// reloads is the number of signals in one series of reloads.
const reloads = 4

// operatorPause separates an operator's tries.
const operatorPause = 100 * time.Millisecond

// fault is something that mends itself.
type fault struct {
	name string
	// target keeps faults on the same things apart.
	target int
	do     func(s *soak, rng *rand.Rand)
}

// Targets of faults.
const (
	onCoordinators = iota
	onAgents
	onRunners
	onStore
	onLinks
	onDomains
	onSignals
	targets
)

// lasting returns how long a fault lasts.
func lasting(rng *rand.Rand) time.Duration {
	return time.Duration(200+rng.IntN(3800)) * time.Millisecond
}

func pick[T any](rng *rand.Rand, all []T) T { return all[rng.IntN(len(all))] }

func faults() []fault {
	return []fault{
		{"kill coordinator", onCoordinators, func(s *soak, rng *rand.Rand) { s.kill(pick(rng, s.fleet.coords), lasting(rng)) }},
		{"stop coordinator", onCoordinators, func(s *soak, rng *rand.Rand) { s.term(pick(rng, s.fleet.coords)) }},
		{"pause coordinator", onCoordinators, func(s *soak, rng *rand.Rand) { s.freeze(pick(rng, s.fleet.coords), lasting(rng)) }},
		{"kill agent", onAgents, func(s *soak, rng *rand.Rand) { s.kill(pick(rng, s.fleet.agents), lasting(rng)/2) }},
		{"stop agent", onAgents, func(s *soak, rng *rand.Rand) { s.term(pick(rng, s.fleet.agents)) }},
		{"pause agent", onAgents, func(s *soak, rng *rand.Rand) { s.freeze(pick(rng, s.fleet.agents), lasting(rng)) }},
		{"kill all coordinators", onCoordinators, func(s *soak, rng *rand.Rand) { s.killAll(s.fleet.coords, lasting(rng)/2) }},
		{"kill all agents", onAgents, func(s *soak, rng *rand.Rand) { s.killAll(s.fleet.agents, lasting(rng)/2) }},
		{"crash runner", onRunners, func(s *soak, rng *rand.Rand) {
			r := pick(rng, s.fleet.runners)
			r.Crash()
			time.Sleep(lasting(rng))
			r.Restart()
		}},
		{"lose orders", onRunners, func(s *soak, rng *rand.Rand) {
			r := pick(rng, s.fleet.runners)
			r.Lose(0.05 + 0.4*rng.Float64())
			time.Sleep(lasting(rng))
			r.Lose(0)
		}},
		{"store", onStore, func(s *soak, rng *rand.Rand) {
			s.fleet.store.Break(anyFault(rng))
			time.Sleep(lasting(rng))
			s.fleet.store.Break(emul.FaultNone)
		}},
		{"store for one coordinator", onStore, func(s *soak, rng *rand.Rand) {
			v := pick(rng, s.fleet.coords).view
			v.Break(anyFault(rng))
			time.Sleep(lasting(rng))
			v.Break(emul.FaultNone)
		}},
		{"history", onStore, func(s *soak, _ *rand.Rand) {
			s.fleet.store.Compact(carobpulley.Partition{Topic: carobpulley.TopicControl})
			s.fleet.store.Compact(carobpulley.Partition{Topic: carobpulley.TopicJobs})
			s.fleet.store.Compact(stand.ConfigPartition())
		}},
		{"coordinator's links", onLinks, func(s *soak, rng *rand.Rand) { strikeLinks(pick(rng, s.fleet.coords).proxy, rng) }},
		{"agent's links", onLinks, func(s *soak, rng *rand.Rand) { strikeLinks(pick(rng, s.fleet.agents).proxy, rng) }},
		{"reset", onLinks, func(s *soak, rng *rand.Rand) { pick(rng, s.fleet.agents).proxy.resetAll() }},
		{"reload", onSignals, func(s *soak, rng *rand.Rand) {
			for range reloads {
				pick(rng, append(append([]*process(nil), s.fleet.coords...), s.fleet.agents...)).signal(syscall.SIGHUP)
				time.Sleep(lasting(rng) / reloads)
			}
		}},
		{"domain", onDomains, func(s *soak, rng *rand.Rand) { s.takeOut(rng) }},
	}
}

func anyFault(rng *rand.Rand) emul.Fault {
	return pick(rng, []emul.Fault{emul.FaultBusy, emul.FaultSilent, emul.FaultLost})
}

func strikeLinks(p *proxy, rng *rand.Rand) {
	p.set(pick(rng, []mode{modeDelay, modeSilent, modeDeaf, modeStale}))
	time.Sleep(lasting(rng))
	p.set(modePass)
}

func (s *soak) restart(p *process) {
	if err := s.fleet.start(p); err != nil {
		s.fleet.judge.Fail("start of " + p.name + ": " + err.Error())
	}
}

func (s *soak) kill(p *process, dark time.Duration) {
	_ = p.end(syscall.SIGKILL) // killed as meant
	time.Sleep(dark)
	s.restart(p)
}

// term stops a process that serves: a signal that comes before a process takes it
// has its default action, with nothing to lose.
func (s *soak) term(p *process) {
	if !p.serves() {
		return
	}
	if err := p.end(syscall.SIGTERM); err != nil {
		s.fleet.judge.Fail(fmt.Sprintf("stop of %s: %v", p.name, err))
	}
	s.restart(p)
}

func (s *soak) freeze(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (s *soak) killAll(all []*process, dark time.Duration) {
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { s.kill(p, dark) })
	}
	wg.Wait()
}

// takeOut takes a domain out of service for longer than its bound.
func (s *soak) takeOut(rng *rand.Rand) {
	domain := domainOf(rng.IntN(domains))
	if err := s.fleet.setDomain(domain, true); err != nil {
		return // not accepted: the store is away
	}
	s.mu.Lock()
	s.out[domain] = time.Now().Add(domainBound)
	s.mu.Unlock()
	time.Sleep(domainBound + lasting(rng))
	s.mu.Lock()
	delete(s.out, domain)
	s.mu.Unlock()
	for s.fleet.ctx.Err() == nil && s.fleet.setDomain(domain, false) != nil {
		time.Sleep(operatorPause)
	}
}

// strike plays faults one after the other until the time is over.
func (s *soak) strike(rng *rand.Rand, until time.Time) {
	all := faults()
	for time.Now().Before(until) && s.fleet.ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		f := pick(rng, all)
		s.locks[f.target].Lock()
		s.mu.Lock()
		s.struck = append(s.struck, struck{AtMS: time.Since(s.began).Milliseconds(), Fault: f.name})
		s.mu.Unlock()
		f.do(s, rng)
		s.locks[f.target].Unlock()
	}
}
