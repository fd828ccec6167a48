package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobpulley"
	"carobpulley/place"
)

const (
	runners     = 10
	runnerSlots = 8
	capacity    = runners * runnerSlots
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
	// nightBurst is the rate of such a burst as a part of the capacity.
	nightBurst = 3.0
	quotaOver  = 1.8
)

// deployment is one of the installations of design section 1.2, with one-way
// times and the parts of urgent and normal jobs.
type deployment struct {
	name            string
	entries         int
	between, client time.Duration
	urgent, normal  float64
}

var deployments = []deployment{
	{name: "van", entries: 3, between: 1500 * time.Microsecond, client: time.Millisecond, urgent: 0.3, normal: 0.5},
	{name: "co-op", entries: 2, between: time.Millisecond, client: 3 * time.Millisecond, urgent: 0.4, normal: 0.5},
}

func (d deployment) domain(i int) string {
	return []string{"a", "b", "c"}[i%3]
}

// distances takes the default within a domain.
func (d deployment) distances() place.DomainLatencies {
	return place.DomainLatencies{{"a", "b"}: d.between, {"a", "c"}: d.between, {"b", "c"}: d.between}
}

// scenario is one experiment. In a burst one member submits ten times its share
// for 20 s; the quota limits that member to quotaOver times its share.
type scenario struct {
	deployment
	load                                 float64
	night, unequal, outage, burst, quota bool
}

func (s scenario) title() string {
	title := fmt.Sprintf("%s, %.0f%%", s.name, 100*s.load)
	for i, set := range []bool{s.night, s.unequal, s.quota} {
		if set {
			title += ", " + []string{"show night", "unequal", "quota"}[i]
		}
	}
	return title
}

// speeds are the relative speeds of the endpoints. Their sum is the number of
// endpoints in either case.
func (s scenario) speeds() []float64 {
	if s.unequal {
		return []float64{1, 0.4, 1.7, 0.5, 1.5, 0.8, 1.3, 0.7, 1.1, 1.0}
	}
	return slices.Repeat([]float64{1}, runners)
}

var members = []string{"north", "south", "east"}

// job is a service of the workload; the run times of its tasks are log-normal
// around the median.
type job struct {
	carobpulley.Service
	median time.Duration
}

// services has three services for each member. The declared run times are up to
// ten times off.
var services = func() []job {
	all := make([]job, 0, 3*len(members))
	medians := []time.Duration{120 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}
	off := []float64{10, 0.1, 1}
	for i, m := range members {
		for k, c := range carobpulley.Classes() {
			s := carobpulley.Service{Name: m + "-" + string(c), Member: m, Class: c}
			s.RunTime = time.Duration(float64(medians[k]) * off[(i+k)%3])
			all = append(all, job{s, medians[k]})
		}
	}
	return all
}()

func (s scenario) catalogue(allIn bool) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{
		Members: map[string]carobpulley.Member{}, Services: map[string]carobpulley.Service{},
		Domains: map[string]carobpulley.Domain{},
	}
	if s.quota {
		work, tasks := s.meanJob()
		starts := quotaOver * s.load / float64(len(members)) * capacity / work * tasks
		c.Members[members[0]] = carobpulley.Member{Name: members[0], StartsPerSecond: starts}
	}
	for _, v := range services {
		c.Services[v.Name] = v.Service
	}
	for i := range 3 {
		name := s.domain(i)
		c.Domains[name] = carobpulley.Domain{Name: name, InService: allIn || i != 1}
	}
	return c
}

func (s scenario) endpoint(i int) carobpulley.Endpoint {
	e := carobpulley.Endpoint{ID: fmt.Sprintf("runner%02d", i), Incarnation: 1, Domain: s.domain(i), Slots: runnerSlots}
	for _, v := range services {
		e.Services = append(e.Services, v.Name)
	}
	return e
}

// arrival is one job; work holds its tasks' run times at speed 1.
type arrival struct {
	job
	at              time.Duration
	work            []time.Duration
	receiver, owner int
}

// arrivals draws the jobs of a run. Those of a burst come beside the others.
func (s scenario) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	mean, _ := s.meanJob()
	var all []arrival
	poisson := func(from, to time.Duration, rate func(time.Duration) float64, services []job) {
		for at := from; at < to; {
			at += time.Duration(rng.ExpFloat64() / (rate(at) * capacity / mean) * float64(time.Second))
			all = append(all, s.draw(rng, at, services))
		}
	}
	poisson(0, runFor, s.rate, services)
	if s.burst {
		share := 9 * s.load / float64(len(members))
		poisson(burstStart, burstStart+20*time.Second, func(time.Duration) float64 { return share }, services[:3])
		slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	}
	return all
}

// rate is the offered load as a part of the capacity.
func (s scenario) rate(at time.Duration) float64 {
	if s.night && at%burstEvery < burstFor && at > burstEvery {
		return nightBurst
	}
	return s.load
}

// meanJob is the mean work of a job in seconds and its mean number of tasks, by
// sampling.
func (s scenario) meanJob() (work, tasks float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	const n = 20_000
	for range n {
		j := s.draw(rng, 0, services)
		tasks += float64(len(j.work)) / n
		for _, w := range j.work {
			work += w.Seconds() / n
		}
	}
	return work, tasks
}

// draw draws a job of one of the services, which come in threes by class.
func (s scenario) draw(rng *rand.Rand, at time.Duration, services []job) arrival {
	k := 2
	switch u := rng.Float64(); {
	case u < s.urgent:
		k = 0
	case u < s.urgent+s.normal:
		k = 1
	}
	j := arrival{job: services[rng.IntN(len(services)/3)*3+k], at: at}
	j.receiver, j.owner = rng.IntN(s.entries), rng.IntN(s.entries)
	for range jobTasks(rng) {
		j.work = append(j.work, taskWork(rng, j.median))
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
