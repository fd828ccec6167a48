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
	endpointCount = 10
	endpointSlots = 8
	capacity      = endpointCount * endpointSlots
	// jobDeadline is the longest deadline of a job (design section 3).
	jobDeadline = 10 * time.Minute
	warmUp      = 15 * time.Second
	runDuration = 120 * time.Second
	// In an outage a domain is out of service between these times.
	outageStart = 40 * time.Second
	outageEnd   = 70 * time.Second
	// burstStart is when the burst of one member begins; it lasts 20 s.
	burstStart = 40 * time.Second
	// On a show night a burst of nightBurstDuration begins in each nightBurstPeriod.
	nightBurstDuration = time.Second
	nightBurstPeriod   = 15 * time.Second
	// nightBurstLoad is the offered load in such a burst, relative to the capacity.
	nightBurstLoad = 3.0
	// quotaFactor is the quota of a member relative to its share of the load.
	quotaFactor = 1.8
)

// deployment is one of the installations of design section 1.2. domainDelay and
// clientDelay are one-way message delays, urgentShare and normalShare the shares of
// jobs of these classes.
type deployment struct {
	name                     string
	entries                  int
	domainDelay, clientDelay time.Duration
	urgentShare, normalShare float64
}

var deployments = []deployment{
	{name: "van", entries: 3, domainDelay: 1500 * time.Microsecond, clientDelay: time.Millisecond, urgentShare: 0.3, normalShare: 0.5},
	{name: "co-op", entries: 2, domainDelay: time.Millisecond, clientDelay: 3 * time.Millisecond, urgentShare: 0.4, normalShare: 0.5},
}

func (d deployment) domain(i int) string {
	return []string{"a", "b", "c"}[i%3]
}

// latencies returns the latencies between domains. The default applies within a domain.
func (d deployment) latencies() place.DomainLatencies {
	return place.DomainLatencies{{"a", "b"}: d.domainDelay, {"a", "c"}: d.domainDelay, {"b", "c"}: d.domainDelay}
}

// scenario is one simulated workload. In a burst one member submits ten times its share
// for 20 s; the quota limits that member to quotaFactor times its share.
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

// speeds returns the relative speeds of the endpoints. Their sum is the number of
// endpoints in either case.
func (s scenario) speeds() []float64 {
	if s.unequal {
		return []float64{1, 0.4, 1.7, 0.5, 1.5, 0.8, 1.3, 0.7, 1.1, 1.0}
	}
	return slices.Repeat([]float64{1}, endpointCount)
}

var members = []string{"north", "south", "east"}

// workloadService is a service of the workload. The run times of its tasks are
// log-normally distributed around the median.
type workloadService struct {
	carobpulley.Service
	medianRunTime time.Duration
}

// services has three services for each member. The declared run times are too long or
// too short by a factor of up to ten.
var services = func() []workloadService {
	all := make([]workloadService, 0, 3*len(members))
	medians := []time.Duration{120 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}
	errorFactors := []float64{10, 0.1, 1}
	for i, m := range members {
		for k, c := range carobpulley.Classes() {
			s := carobpulley.Service{Name: m + "-" + string(c), Member: m, Class: c}
			s.RunTime = time.Duration(float64(medians[k]) * errorFactors[(i+k)%3])
			all = append(all, workloadService{s, medians[k]})
		}
	}
	return all
}()

func (s scenario) catalogue(allInService bool) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{
		Members: map[string]carobpulley.Member{}, Services: map[string]carobpulley.Service{},
		Domains: map[string]carobpulley.Domain{},
	}
	if s.quota {
		work, tasks := s.meanJob()
		starts := quotaFactor * s.load / float64(len(members)) * capacity / work * tasks
		c.Members[members[0]] = carobpulley.Member{Name: members[0], StartsPerSecond: starts}
	}
	for _, v := range services {
		c.Services[v.Name] = v.Service
	}
	for i := range 3 {
		name := s.domain(i)
		c.Domains[name] = carobpulley.Domain{Name: name, InService: allInService || i != 1}
	}
	return c
}

func (s scenario) endpoint(i int) carobpulley.Endpoint {
	e := carobpulley.Endpoint{ID: fmt.Sprintf("runner%02d", i), Incarnation: 1, Domain: s.domain(i), Slots: endpointSlots}
	for _, v := range services {
		e.Services = append(e.Services, v.Name)
	}
	return e
}

// arrival is the arrival of one job. runTimes holds its tasks' run times at speed 1.
type arrival struct {
	workloadService
	at              time.Duration
	runTimes        []time.Duration
	receiver, owner int
}

// arrivals draws the jobs of a run. Those of a burst are added to the others.
func (s scenario) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	mean, _ := s.meanJob()
	var all []arrival
	poisson := func(from, to time.Duration, rate func(time.Duration) float64, services []workloadService) {
		for at := from; at < to; {
			at += time.Duration(rng.ExpFloat64() / (rate(at) * capacity / mean) * float64(time.Second))
			all = append(all, s.drawJob(rng, at, services))
		}
	}
	poisson(0, runDuration, s.rate, services)
	if s.burst {
		share := 9 * s.load / float64(len(members))
		poisson(burstStart, burstStart+20*time.Second, func(time.Duration) float64 { return share }, services[:3])
		slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	}
	return all
}

// rate returns the offered load at a time, relative to the capacity.
func (s scenario) rate(at time.Duration) float64 {
	if s.night && at%nightBurstPeriod < nightBurstDuration && at > nightBurstPeriod {
		return nightBurstLoad
	}
	return s.load
}

// meanJob returns the mean work of a job in seconds and its mean number of tasks,
// estimated by sampling.
func (s scenario) meanJob() (work, tasks float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	const n = 20_000
	for range n {
		j := s.drawJob(rng, 0, services)
		tasks += float64(len(j.runTimes)) / n
		for _, t := range j.runTimes {
			work += t.Seconds() / n
		}
	}
	return work, tasks
}

// drawJob draws a job of one of the services, which are ordered by member and then by
// class.
func (s scenario) drawJob(rng *rand.Rand, at time.Duration, services []workloadService) arrival {
	k := 2
	switch u := rng.Float64(); {
	case u < s.urgentShare:
		k = 0
	case u < s.urgentShare+s.normalShare:
		k = 1
	}
	j := arrival{workloadService: services[rng.IntN(len(services)/3)*3+k], at: at}
	j.receiver, j.owner = rng.IntN(s.entries), rng.IntN(s.entries)
	for range drawTaskCount(rng) {
		j.runTimes = append(j.runTimes, drawRunTime(rng, j.medianRunTime))
	}
	return j
}

// drawTaskCount draws the number of tasks of a job. Most jobs are small, few are large.
func drawTaskCount(rng *rand.Rand) int {
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

// drawRunTime draws a run time between 50 ms and 1 s; one task in 1,000 takes 2 to 5 s.
func drawRunTime(rng *rand.Rand, median time.Duration) time.Duration {
	if rng.Float64() < 0.001 {
		return 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	}
	w := time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
	return min(time.Second, max(50*time.Millisecond, w))
}
