package work

import (
	"sort"
	"strings"
	"time"
)

// Route binds a host name and a path prefix to a queue.
type Route struct {
	Queue  Queue
	Host   string
	Prefix string
	// Refusal tells why jobs of this queue are not served; empty if they are.
	Refusal string
}

// RoutingConfig is one version of the operators' configuration.
type RoutingConfig struct {
	// Version only grows.
	Version int64
	Routes  []Route
	// Standby holds the services whose runners are off.
	Standby map[string]bool
	// MaxBodyBytes bounds a submission's body; 0 means no limit.
	MaxBodyBytes int64
	// IdleTimeout is how long an idle connection of a caller is kept; 0 means
	// the server's default.
	IdleTimeout time.Duration

	byHost map[string][]*Route
	byName map[string]*Route
}

// Index prepares the plan for lookups. It is called once, before the plan is
// shared.
func (p *RoutingConfig) Index() {
	p.byHost = make(map[string][]*Route)
	p.byName = make(map[string]*Route)
	for i := range p.Routes {
		r := &p.Routes[i]
		p.byHost[r.Host] = append(p.byHost[r.Host], r)
		p.byName[r.Queue.Name] = r
	}
	for _, rs := range p.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// Route returns the route with the longest prefix that the path begins with.
func (p *RoutingConfig) Route(host, path string) (*Route, bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Queue returns the queue's part of the configuration in force.
func (p *RoutingConfig) Queue(name string) (Queue, bool) {
	r, ok := p.byName[name]
	if !ok {
		return Queue{}, false
	}
	return r.Queue, true
}

// MaxShards is the number of partitions that a topic of the store has.
const MaxShards = 32
