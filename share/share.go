// Package share assigns agents to coordinators, so that the number of agents that a
// coordinator works with doesn't grow with the fleet. Every coordinator computes the
// assignment by itself from the members it knows. The package holds no clock, does no I/O and
// starts no goroutines.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultCoordinators is the number of coordinators that work with an agent.
	DefaultCoordinators = 6
	// DefaultAgents is the least number of agents of a coordinator in a fleet that has as
	// many: enough for the widest usual jobs.
	DefaultAgents = 16
	// maxCandidates is the number of coordinators in its own domain, and of those in others, that
	// an agent chooses from in a fleet with more.
	maxCandidates = 128
)

// Member is an agent or a coordinator.
type Member struct {
	Name string
	// Domain is the failure domain of the member's host.
	Domain string
}

// Picker computes the assignment. It retains the preferences of each agent between calls.
type Picker struct {
	coordinators int
	agents       int

	peers      []Member
	candidates map[Member][]int32
}

// New returns a Picker for at least the given number of coordinators an agent and of agents a
// coordinator.
func New(coordinators, agents int) *Picker {
	return &Picker{coordinators: coordinators, agents: agents, candidates: make(map[Member][]int32)}
}

// Agents returns the agents of one coordinator.
//
// Half of an agent's coordinators are in its own failure domain, so that both halves of a
// domain that is cut off can go on working, and half are in others, so that the coordinators of
// a domain that is taken out of service have endpoints left. Coordinators are chosen by
// rendezvous hashing with a bound on their load: a member that joins or leaves moves few of the
// other pairs.
func (p *Picker) Agents(self string, coordinators, agents []Member) map[string]bool {
	p.update(coordinators, agents)
	need := p.Coordinators(len(agents))
	load := make([]int, len(p.peers))
	limit := need*len(agents)/max(len(p.peers), 1) + 1
	chosen := make(map[string]bool)
	for _, agent := range sortedByHash(agents) {
		for _, n := range p.choose(agent, need, limit, load) {
			load[n]++
			if p.peers[n].Name == self {
				chosen[agent.Name] = true
			}
		}
	}
	return chosen
}

// Coordinators returns the number of coordinators of each agent after the last call of Agents,
// in a fleet with the given number of agents.
func (p *Picker) Coordinators(agents int) int {
	if agents == 0 {
		return 0
	}
	forLeast := (min(p.agents, agents)*len(p.peers) + agents - 1) / agents
	return min(max(p.coordinators, forLeast), len(p.peers))
}

// choose returns an agent's coordinators: first those of its own domain, then those of others,
// each in the order of its preferences and within the load limit; then any.
func (p *Picker) choose(agent Member, need, limit int, load []int) []int32 {
	candidates := p.candidates[agent]
	chosen := make([]int32, 0, need)
	home := need / 2
	take := func(most int, fits func(n int32) bool) {
		for _, n := range candidates {
			if len(chosen) >= most {
				return
			}
			if fits(n) && !slices.Contains(chosen, n) {
				chosen = append(chosen, n)
			}
		}
	}
	free := func(n int32) bool { return load[n] < limit }
	local := func(n int32) bool { return p.peers[n].Domain == agent.Domain }
	take(home, func(n int32) bool { return local(n) && free(n) })
	take(need, func(n int32) bool { return !local(n) && free(n) })
	take(need, free)
	take(need, func(int32) bool { return true })
	return chosen
}

// update computes the preferences of new agents, and those of all agents after a change of the
// coordinators.
func (p *Picker) update(coordinators, agents []Member) {
	peers := slices.SortedFunc(slices.Values(coordinators), compareMembers)
	if !slices.Equal(peers, p.peers) {
		p.peers = peers
		clear(p.candidates)
	}
	known := make(map[Member]bool, len(agents))
	for _, agent := range agents {
		known[agent] = true
		if p.candidates[agent] == nil {
			p.candidates[agent] = p.preferences(agent)
		}
	}
	for agent := range p.candidates {
		if !known[agent] {
			delete(p.candidates, agent)
		}
	}
}

// preferences returns the coordinators of an agent's own domain and those of others, in the order
// in which it prefers them.
func (p *Picker) preferences(agent Member) []int32 {
	type ranked struct {
		n    int32
		hash uint64
	}
	var local, other []ranked
	for n := range p.peers {
		r := ranked{int32(n), xxhash.Sum64String(agent.Name + "/" + p.peers[n].Name)}
		if p.peers[n].Domain == agent.Domain {
			local = append(local, r)
		} else {
			other = append(other, r)
		}
	}
	out := make([]int32, 0, min(len(p.peers), 2*maxCandidates))
	for _, group := range [][]ranked{local, other} {
		slices.SortFunc(group, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
		for _, r := range group[:min(len(group), maxCandidates)] {
			out = append(out, r.n)
		}
	}
	return out
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Domain, b.Domain))
}

// sortedByHash returns the agents in an order that doesn't depend on their domains, whose names
// often sort together.
func sortedByHash(agents []Member) []Member {
	return slices.SortedFunc(slices.Values(agents), func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), compareMembers(a, b))
	})
}
