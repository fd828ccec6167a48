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

// domainBound is how long tasks may still start in a domain after the change that takes it out of
// service is accepted, according to RULES.md.
const domainBound = 5 * time.Second

// reloadSignals is the number of signals that one reload fault sends.
const reloadSignals = 4

// callersResetInterval is the mean time between two resets of a series, each of the callers'
// connections to one coordinator.
const callersResetInterval = 150 * time.Millisecond

// operatorRetryDelay is the pause between an operator's attempts.
const operatorRetryDelay = 100 * time.Millisecond

// fault is a fault that is injected and removed again.
type fault struct {
	// name is printed in the report.
	name string
	// target is what the fault affects; faults on one target exclude each other.
	target int
	inject func(s *soak, rng *rand.Rand)
}

// Targets of faults.
const (
	targetCoordinators = iota
	targetAgents
	targetEndpoints
	targetStore
	targetLinks
	targetDomains
	targetSignals
	targetCallers
	targetCount
)

// faultDuration returns a random duration of a fault, of less than maxFaultDuration.
func faultDuration(rng *rand.Rand) time.Duration {
	return time.Duration(200+rng.IntN(3800)) * time.Millisecond
}

func pick[T any](rng *rand.Rand, all []T) T { return all[rng.IntN(len(all))] }

func faults() []fault {
	return []fault{
		{"kill coordinator", targetCoordinators, func(s *soak, rng *rand.Rand) { s.kill(pick(rng, s.fleet.coordinators), faultDuration(rng)) }},
		{"stop coordinator", targetCoordinators, func(s *soak, rng *rand.Rand) { s.terminate(pick(rng, s.fleet.coordinators)) }},
		{"pause coordinator", targetCoordinators, func(s *soak, rng *rand.Rand) { s.pause(pick(rng, s.fleet.coordinators), faultDuration(rng)) }},
		{"kill agent", targetAgents, func(s *soak, rng *rand.Rand) { s.kill(pick(rng, s.fleet.agents), faultDuration(rng)/2) }},
		{"stop agent", targetAgents, func(s *soak, rng *rand.Rand) { s.terminate(pick(rng, s.fleet.agents)) }},
		{"pause agent", targetAgents, func(s *soak, rng *rand.Rand) { s.pause(pick(rng, s.fleet.agents), faultDuration(rng)) }},
		{"kill all coordinators", targetCoordinators, func(s *soak, rng *rand.Rand) { s.killAll(s.fleet.coordinators, faultDuration(rng)/2) }},
		{"kill all agents", targetAgents, func(s *soak, rng *rand.Rand) { s.killAll(s.fleet.agents, faultDuration(rng)/2) }},
		{"crash runner", targetEndpoints, func(s *soak, rng *rand.Rand) {
			e := pick(rng, s.fleet.endpoints)
			e.Crash()
			time.Sleep(faultDuration(rng))
			e.Restart()
		}},
		{"lose orders", targetEndpoints, func(s *soak, rng *rand.Rand) {
			e := pick(rng, s.fleet.endpoints)
			e.SetLossRate(0.05 + 0.4*rng.Float64())
			time.Sleep(faultDuration(rng))
			e.SetLossRate(0)
		}},
		{"store", targetStore, func(s *soak, rng *rand.Rand) {
			s.fleet.store.SetFault(randomStoreFault(rng))
			time.Sleep(faultDuration(rng))
			s.fleet.store.SetFault(emul.FaultNone)
		}},
		{"store for one coordinator", targetStore, func(s *soak, rng *rand.Rand) {
			v := pick(rng, s.fleet.coordinators).storeView
			v.SetFault(randomStoreFault(rng))
			time.Sleep(faultDuration(rng))
			v.SetFault(emul.FaultNone)
		}},
		{"history", targetStore, func(s *soak, _ *rand.Rand) {
			s.fleet.store.Compact(carobpulley.Partition{Topic: carobpulley.TopicControl})
			s.fleet.store.Compact(carobpulley.Partition{Topic: carobpulley.TopicJobs})
			s.fleet.store.Compact(stand.ConfigPartition())
		}},
		{"coordinator's links", targetLinks, func(s *soak, rng *rand.Rand) { injectLinkFault(pick(rng, s.fleet.coordinators).proxy, rng) }},
		{"agent's links", targetLinks, func(s *soak, rng *rand.Rand) { injectLinkFault(pick(rng, s.fleet.agents).proxy, rng) }},
		{"reset", targetLinks, func(s *soak, rng *rand.Rand) { pick(rng, s.fleet.agents).proxy.resetConns() }},
		{"reload", targetSignals, func(s *soak, rng *rand.Rand) {
			for range reloadSignals {
				pick(rng, append(append([]*process(nil), s.fleet.coordinators...), s.fleet.agents...)).signal(syscall.SIGHUP)
				time.Sleep(faultDuration(rng) / reloadSignals)
			}
		}},
		{"domain", targetDomains, func(s *soak, rng *rand.Rand) { s.takeDomainOutOfService(rng) }},
	}
}

// callerFaults are the faults of the connections between callers and coordinators. They have a sequence
// of their own.
func callerFaults() []fault {
	return []fault{
		{"answers cut", targetCallers, func(s *soak, rng *rand.Rand) { s.disturbCallers(rng, modeCut) }},
		{"answers cut by a reset", targetCallers, func(s *soak, rng *rand.Rand) { s.disturbCallers(rng, modeCutReset) }},
		{"callers frozen", targetCallers, func(s *soak, rng *rand.Rand) { s.disturbCallers(rng, modeFreeze) }},
		{"callers delayed", targetCallers, func(s *soak, rng *rand.Rand) { s.disturbCallers(rng, modeDelay) }},
		{"callers reset", targetCallers, func(s *soak, rng *rand.Rand) { pick(rng, s.fleet.coordinators).callersProxy.resetConns() }},
		{"callers reset in series", targetCallers, func(s *soak, rng *rand.Rand) {
			// The process behind the slow proxy gets submissions, and the end of their connections, late.
			slow := pick(rng, s.fleet.coordinators).callersProxy
			slow.setMode(modeDelay)
			for until := time.Now().Add(faultDuration(rng)); time.Now().Before(until); {
				pick(rng, s.fleet.coordinators).callersProxy.resetConns()
				time.Sleep(time.Duration(rng.Int64N(int64(2 * callersResetInterval))))
			}
			slow.setMode(modePass)
		}},
	}
}

// disturbCallers sets a mode for the callers of one coordinator or of all.
func (s *soak) disturbCallers(rng *rand.Rand, m mode) {
	some := s.fleet.coordinators
	if n := rng.IntN(len(some) + 1); n < len(some) {
		some = some[n : n+1]
	}
	for _, p := range some {
		p.callersProxy.seedCuts(rng.Uint64())
		p.callersProxy.setMode(m)
	}
	time.Sleep(faultDuration(rng))
	for _, p := range some {
		p.callersProxy.setMode(modePass)
	}
}

func randomStoreFault(rng *rand.Rand) emul.Fault {
	return pick(rng, []emul.Fault{emul.FaultBusy, emul.FaultUnresponsive, emul.FaultLostAnswers})
}

func injectLinkFault(p *proxy, rng *rand.Rand) {
	p.setMode(pick(rng, []mode{modeDelay, modeDropAll, modeDropInbound, modeDropExisting}))
	time.Sleep(faultDuration(rng))
	p.setMode(modePass)
}

func (s *soak) restart(p *process) {
	if err := s.fleet.start(p); err != nil {
		s.fleet.checker.AddViolation("start of " + p.name + ": " + err.Error())
	}
}

func (s *soak) kill(p *process, downtime time.Duration) {
	_ = p.endBySignal(syscall.SIGKILL) // the error only says that the process was killed
	time.Sleep(downtime)
	s.restart(p)
}

// terminate stops a process that listens, and restarts it. Without a listener the process may not
// handle SIGTERM yet, and the signal would end it by its default action.
func (s *soak) terminate(p *process) {
	if !p.awaitListener() {
		return
	}
	if err := p.endBySignal(syscall.SIGTERM); err != nil {
		s.fleet.checker.AddViolation(fmt.Sprintf("stop of %s: %v", p.name, err))
	}
	s.restart(p)
}

func (s *soak) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (s *soak) killAll(all []*process, downtime time.Duration) {
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { s.kill(p, downtime) })
	}
	wg.Wait()
}

// takeDomainOutOfService takes a domain out of service for longer than domainBound.
func (s *soak) takeDomainOutOfService(rng *rand.Rand) {
	domain := domainOf(rng.IntN(domains))
	if err := s.fleet.setDomain(domain, true); err != nil {
		return // the store did not confirm the change
	}
	s.mu.Lock()
	s.domainsOutOfService[domain] = time.Now().Add(domainBound)
	s.mu.Unlock()
	time.Sleep(domainBound + faultDuration(rng))
	s.mu.Lock()
	delete(s.domainsOutOfService, domain)
	s.mu.Unlock()
	for s.fleet.ctx.Err() == nil && s.fleet.setDomain(domain, false) != nil {
		time.Sleep(operatorRetryDelay)
	}
}

// injectFaults injects random faults of a list one after the other until the given time.
func (s *soak) injectFaults(rng *rand.Rand, all []fault, until time.Time) {
	for time.Now().Before(until) && s.fleet.ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		f := pick(rng, all)
		s.targetLocks[f.target].Lock()
		s.mu.Lock()
		s.injected = append(s.injected, injectedFault{AtMS: time.Since(s.began).Milliseconds(), Fault: f.name})
		s.mu.Unlock()
		f.inject(s, rng)
		s.targetLocks[f.target].Unlock()
	}
}
