package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"carobpulley"
	"carobpulley/place"
)

const (
	runners     = 10
	runnerSlots = 8
	// jobDeadline is the longest deadline of a job (design section 3).
	jobDeadline = 10 * time.Minute
	warmUp      = 15 * time.Second
	runFor      = 120 * time.Second
	// A domain is out of service between these times in an outage.
	outageStart = 40 * time.Second
	outageEnd   = 70 * time.Second
	// A member's burst of 20 s begins at this time.
	burstStart = 40 * time.Second
	// A burst of a show night lasts burstFor in every burstEvery.
	burstFor   = time.Second
	burstEvery = 15 * time.Second
	// The rates of a show night as parts of the capacity.
	nightBase, nightBurst = 0.5, 3.0
)

// deployment is one of the installations of design section 1.2.
type deployment struct {
	name           string
	entries        int
	between        time.Duration
	client         time.Duration
	urgent, normal float64
}

var deployments = []deployment{
	{name: "van", entries: 3, between: 1500 * time.Microsecond, client: time.Millisecond, urgent: 0.3, normal: 0.5},
	{name: "co-op", entries: 2, between: time.Millisecond, client: 3 * time.Millisecond, urgent: 0.4, normal: 0.5},
}

// withinDomain is the one-way time inside a domain: a round trip takes under 1 ms.
const withinDomain = 250 * time.Microsecond

func (d deployment) domain(i int) string {
	return []string{"a", "b", "c"}[i%3]
}

func (d deployment) distances() place.Distances {
	return place.Distances{
		{"a", "a"}: withinDomain, {"b", "b"}: withinDomain, {"c", "c"}: withinDomain,
		{"a", "b"}: d.between, {"a", "c"}: d.between, {"b", "c"}: d.between,
	}
}

// scenario is one experiment.
type scenario struct {
	deployment
	load                   float64
	night, unequal, outage bool
	// burst lets one member submit ten times its share for 20 s.
	burst bool
	// quota limits that member to quotaOver times its share.
	quota bool
}

const quotaOver = 1.8

func (s scenario) title() string {
	load, speeds, quota := fmt.Sprintf("%.0f%%", 100*s.load), "equal", ""
	if s.night {
		load = "show night"
	}
	if s.unequal {
		speeds = "unequal"
	}
	if s.quota {
		quota = ", quota"
	}
	return s.name + ", " + load + ", " + speeds + quota
}

// unequalSpeeds sum up to the number of runners, so that the capacity is that
// of equal speeds.
var unequalSpeeds = []float64{1, 0.4, 1.7, 0.5, 1.5, 0.8, 1.3, 0.7, 1.1, 1.0}

func (s scenario) speeds() []float64 {
	if s.unequal {
		return unequalSpeeds
	}
	return slices.Repeat([]float64{1}, runners)
}

// serviceSpec is a service of the workload; the run times are log-normal around
// the median, and declared is what the catalogue says.
type serviceSpec struct {
	name, member string
	class        carobpulley.Class
	median       time.Duration
	declared     time.Duration
}

var members = []string{"north", "south", "east"}

// serviceSpecs declares run times up to ten times off.
func serviceSpecs() []serviceSpec {
	specs := make([]serviceSpec, 0, 3*len(members))
	medians := []time.Duration{120 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}
	off := []float64{10, 0.1, 1}
	for i, m := range members {
		for k, c := range carobpulley.Classes() {
			declared := time.Duration(float64(medians[k]) * off[(i+k)%3])
			specs = append(specs, serviceSpec{name: m + "-" + string(c), member: m, class: c, median: medians[k], declared: declared})
		}
	}
	return specs
}

func (s scenario) catalogue(allIn bool) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{
		Members: map[string]carobpulley.Member{}, Services: map[string]carobpulley.Service{},
		Domains: map[string]carobpulley.Domain{},
	}
	for _, m := range members {
		c.Members[m] = carobpulley.Member{Name: m, Weight: 1}
	}
	if s.quota {
		work, tasks := s.meanJob()
		starts := quotaOver * s.load / float64(len(members)) * runners * runnerSlots / work * tasks
		c.Members[members[0]] = carobpulley.Member{Name: members[0], Weight: 1, StartsPerSecond: starts}
	}
	for _, v := range serviceSpecs() {
		c.Services[v.name] = carobpulley.Service{Name: v.name, Member: v.member, Class: v.class, RunTime: v.declared}
	}
	for i := range 3 {
		name := s.domain(i)
		c.Domains[name] = carobpulley.Domain{Name: name, InService: allIn || i != 1}
	}
	return c
}

func (s scenario) endpoints() []carobpulley.Endpoint {
	specs := serviceSpecs()
	names := make([]string, 0, len(specs))
	for _, v := range specs {
		names = append(names, v.name)
	}
	all := make([]carobpulley.Endpoint, 0, runners)
	for i := range runners {
		id := fmt.Sprintf("runner%02d", i)
		all = append(all, carobpulley.Endpoint{ID: id, Incarnation: 1, Domain: s.domain(i), Services: names, Slots: runnerSlots})
	}
	return all
}

// arrival is one job; work holds its tasks' run times at speed 1.
type arrival struct {
	at              time.Duration
	member, service string
	class           carobpulley.Class
	work            []time.Duration
	receiver, owner int
}

// arrivals draws the jobs of a run.
func (s scenario) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	mean, _ := s.meanJob()
	var all []arrival
	for at := time.Duration(0); at < runFor; {
		rate := s.rate(at) * runners * runnerSlots / mean
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		all = append(all, s.draw(rng, at))
	}
	if !s.burst {
		return all
	}
	// The burst's jobs come beside the unchanged arrivals.
	rate := s.load * 9 / float64(len(members)) * runners * runnerSlots / mean
	for at := burstStart; at < burstStart+20*time.Second; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		j := s.draw(rng, at)
		j.service = strings.Replace(j.service, j.member, members[0], 1)
		j.member = members[0]
		all = append(all, j)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// rate is the offered load as a part of the capacity.
func (s scenario) rate(at time.Duration) float64 {
	switch {
	case !s.night:
		return s.load
	case at%burstEvery < burstFor && at > burstEvery:
		return nightBurst
	default:
		return nightBase
	}
}

// meanJob is the mean work of a job in seconds and its mean number of tasks, by
// sampling.
func (s scenario) meanJob() (work, tasks float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	const n = 20_000
	for range n {
		j := s.draw(rng, 0)
		tasks += float64(len(j.work)) / n
		for _, w := range j.work {
			work += w.Seconds() / n
		}
	}
	return work, tasks
}

func (s scenario) draw(rng *rand.Rand, at time.Duration) arrival {
	specs := serviceSpecs()
	k := 2
	switch u := rng.Float64(); {
	case u < s.urgent:
		k = 0
	case u < s.urgent+s.normal:
		k = 1
	}
	v := specs[rng.IntN(len(members))*3+k]
	j := arrival{at: at, member: v.member, service: v.name, class: v.class}
	j.receiver, j.owner = rng.IntN(s.entries), rng.IntN(s.entries)
	for range jobTasks(rng) {
		j.work = append(j.work, taskWork(rng, v.median))
	}
	return j
}

// jobTasks draws the number of tasks of a job: most are small, few are large.
func jobTasks(rng *rand.Rand) int {
	switch u := rng.Float64(); {
	case u < 0.60:
		return 1
	case u < 0.92:
		return 2 + rng.IntN(7)
	case u < 0.995:
		return 9 + rng.IntN(24)
	default:
		return 33 + rng.IntN(carobpulley.MaxTasks-32)
	}
}

// taskWork draws a run time between 50 ms and 1 s; one in 1,000 takes 2 to 5 s.
func taskWork(rng *rand.Rand, median time.Duration) time.Duration {
	if rng.Float64() < 0.001 {
		return 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	}
	w := time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
	return min(time.Second, max(50*time.Millisecond, w))
}
