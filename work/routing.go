package work

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Route maps a host name and a path prefix to a queue.
type Route struct {
	Queue  Queue
	Host   string
	Prefix string
	// Refusal is the reason why jobs of this queue are not served; empty if they are.
	Refusal string
}

// RoutingConfig is one version of the operators' configuration.
type RoutingConfig struct {
	// Version only increases.
	Version int64
	Routes  []Route
	// Standby holds the services whose endpoints are switched off.
	Standby map[string]bool
	// MaxBodyBytes bounds the body of a submission; 0 means no limit.
	MaxBodyBytes int64
	// IdleTimeout is how long an idle connection of a caller stays open; 0 means
	// the server's default.
	IdleTimeout time.Duration
	// HeaderTimeout is how long a caller may take to send a request's header, and MaxHeaderBytes the most
	// that it may have; 0 means the server's default.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int64

	byHost map[string][]*Route
	byName map[string]*Route
	// priorities holds the priorities of each service's queues, the most urgent first.
	priorities map[string][]int
}

// Index builds the lookup tables. It is called once, before the configuration is
// shared.
func (c *RoutingConfig) Index() {
	c.byHost = make(map[string][]*Route)
	c.byName = make(map[string]*Route)
	c.indexPriorities()
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.byName[r.Queue.Name] = r
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// Route returns the host's route with the longest prefix that matches the path.
func (c *RoutingConfig) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Queue returns the configuration of a queue.
func (c *RoutingConfig) Queue(name string) (Queue, bool) {
	r, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return r.Queue, true
}

// Rank returns the number of priorities that are more urgent than one among the served queues of a service.
func (c *RoutingConfig) Rank(service string, priority int) int {
	rank, _ := slices.BinarySearch(c.priorities[service], priority)
	return rank
}

// Priorities returns the number of priorities of the served queues of a service.
func (c *RoutingConfig) Priorities(service string) int { return len(c.priorities[service]) }

func (c *RoutingConfig) indexPriorities() {
	c.priorities = make(map[string][]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Refusal == "" {
			c.priorities[r.Queue.Service] = append(c.priorities[r.Queue.Service], r.Queue.Priority)
		}
	}
	for service, priorities := range c.priorities {
		slices.Sort(priorities)
		c.priorities[service] = slices.Compact(priorities)
	}
}

// MaxShards is the number of partitions that a topic of the store has.
const MaxShards = 32
