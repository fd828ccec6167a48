package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"carobpulley"
	"carobpulley/admit"
	"carobpulley/inner"
	"carobpulley/place"
	"carobpulley/roster"
)

// Sizes at which quantities are measured. The last or the last but one is the design
// size (docs/design.md, section 1.6).
var (
	endpointSizes = []int{300, 1000, 2600}
	memberSizes   = []int{5, 47, 470}
	serviceSizes  = []int{8, 47, 94}
	taskSizes     = []int{1, 20, 120}
)

const (
	// designMembers and designEndpoints are the numbers at the design size.
	designMembers   = 47
	designEndpoints = 2600
	// servicesPerMember is an assumption; the design gives no figure.
	servicesPerMember = 2
	// servicesPerEndpoint is an assumption where the quantity is not varied.
	servicesPerEndpoint = 8
	// designSlots and designRunTime let 2,600 workers start 120,000 tasks/s.
	designSlots   = 8
	designRunTime = 173 * time.Millisecond
	// payloadBytes is the size of payloads and results where it is not varied.
	payloadBytes = 256
)

// virtualStart is the start of the virtual time.
var virtualStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func memberName(i int) string  { return fmt.Sprintf("team-%03d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func domainName(i int) string  { return fmt.Sprintf("region-%d-%c", i%9/3, 'a'+i%3) }

// newEndpoint returns endpoint i, which runs some of a total number of services.
func newEndpoint(i, services, total int) carobpulley.Endpoint {
	e := carobpulley.Endpoint{
		ID:          fmt.Sprintf("worker-%05d", i),
		Incarnation: 1,
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7400),
		Domain:      domainName(i),
		Rack:        fmt.Sprintf("rack-%03d", i/16),
		Slots:       designSlots,
	}
	for k := range services {
		e.Services = append(e.Services, serviceName((i*services+k)%total))
	}
	return e
}

// newCatalogue returns a catalogue with 9 domains and a number of members.
func newCatalogue(members int) *carobpulley.Catalogue {
	c := &carobpulley.Catalogue{
		Version:  1,
		Members:  map[string]carobpulley.Member{},
		Services: map[string]carobpulley.Service{},
		Domains:  map[string]carobpulley.Domain{},
	}
	for i := range 9 {
		c.Domains[domainName(i)] = carobpulley.Domain{Name: domainName(i), InService: true}
	}
	classes := carobpulley.Classes()
	for i := range members {
		name := memberName(i)
		c.Members[name] = carobpulley.Member{Name: name, StartsPerSecond: 1e6, Weight: 1 + i%3}
		for k := range servicesPerMember {
			s := serviceName(i*servicesPerMember + k)
			c.Services[s] = carobpulley.Service{
				Name: s, Member: name, Class: classes[(i+k)%len(classes)], MaxTasks: carobpulley.MaxTasks, RunTime: designRunTime,
			}
		}
	}
	return c
}

// newAnnouncement returns an announcement as an entry decodes it. Its strings are not
// shared with other announcements.
func newAnnouncement(i, services, total int) carobpulley.Announced {
	a, err := inner.AnnouncementFromWire(inner.AnnouncementToWire(inner.Announcement{
		Endpoint:  newEndpoint(i, services, total),
		AgentTime: 1,
	}))
	if err != nil {
		panic(err)
	}
	return carobpulley.Announced{Endpoint: a.Endpoint, Load: a.Load, AgentTime: a.AgentTime}
}

func measureRoster(context.Context) ([]measurement, error) {
	const all = designMembers * servicesPerMember
	build := func(n int) *roster.Roster {
		r := roster.New()
		for i := range n {
			r.Step(virtualStart, newAnnouncement(i, servicesPerEndpoint, all))
		}
		return r
	}
	base := measurement{Per: "endpoint", Fixed: "8 services per endpoint"}
	size := base
	size.Quantity, size.Unit, size.Code = "roster", unitBytes, "roster.Roster.announced"
	size = measureSizes(size, endpointSizes, func(n int) float64 {
		return heapBytes(func() any { return build(n) })
	})
	round := base
	round.Quantity, round.Unit, round.Code = "roster announcements", unitNanos, "roster.Roster.Step(Announced)"
	round = measureSizes(round, endpointSizes, func(n int) float64 {
		r, now := build(n), virtualStart
		events := make([]carobpulley.Announced, n)
		for i := range events {
			events[i] = newAnnouncement(i, servicesPerEndpoint, all)
		}
		return cpuNanos(20, func() {
			now = now.Add(carobpulley.AnnounceInterval)
			for i := range events {
				events[i].AgentTime++
				r.Step(now, events[i])
			}
		})
	})
	return []measurement{size, round}, nil
}

// newPlacer returns a placer with a number of endpoints, and these endpoints.
func newPlacer(endpoints, services, members int) (*place.Placer, []carobpulley.Endpoint) {
	p := place.New(rand.NewPCG(1, 2), nil, domainName(0))
	p.Configure(virtualStart, newCatalogue(members))
	list := make([]carobpulley.Endpoint, endpoints)
	for i := range list {
		list[i] = newEndpoint(i, services, members*servicesPerMember)
		p.Upsert(virtualStart, list[i], carobpulley.Load{})
	}
	return p, list
}

func measurePlacer(context.Context) ([]measurement, error) {
	byEndpoints := func(quantity, unit, code string, measure func(n int) float64) measurement {
		s := measurement{Quantity: quantity, Unit: unit, Per: "endpoint", Code: code, Fixed: "94 services, 8 per endpoint"}
		return measureSizes(s, endpointSizes, measure)
	}
	byServices := func(quantity, unit, code string, measure func(n int) float64) measurement {
		s := measurement{Quantity: quantity, Unit: unit, Per: "service of an endpoint", Code: code, Fixed: "2,600 endpoints, 94 services"}
		return measureSizes(s, serviceSizes, measure)
	}
	size := func(endpoints, services int) float64 {
		list := make([]carobpulley.Endpoint, endpoints)
		for i := range list {
			list[i] = newEndpoint(i, services, designMembers*servicesPerMember)
		}
		cat := newCatalogue(designMembers)
		v := heapBytes(func() any {
			p := place.New(rand.NewPCG(1, 2), nil, domainName(0))
			p.Configure(virtualStart, cat)
			for _, e := range list {
				p.Upsert(virtualStart, e, carobpulley.Load{})
			}
			return p
		})
		runtime.KeepAlive(list)
		return v
	}
	const picks, upserts = "place.Placer.Pick, Done", "place.Placer.Upsert"
	return []measurement{
		byEndpoints("placer", unitBytes, upserts, func(n int) float64 { return size(n, servicesPerEndpoint) }),
		byEndpoints("placer loads", unitNanos, upserts, func(n int) float64 { return upsertNanos(n, servicesPerEndpoint) * float64(n) }),
		byEndpoints("placer picks", unitNanos, picks, func(n int) float64 { return pickNanos(n, servicesPerEndpoint) * float64(n) }),
		byServices("placer by services", unitBytes, upserts, func(n int) float64 { return size(designEndpoints, n) }),
		byServices("one load by services", unitNanos, upserts, func(n int) float64 { return upsertNanos(designEndpoints, n) }),
		byServices("one pick by services", unitNanos, picks, func(n int) float64 { return pickNanos(designEndpoints, n) }),
	}, nil
}

// upsertNanos returns the processor time for updating the load of one endpoint.
func upsertNanos(endpoints, services int) float64 {
	p, list := newPlacer(endpoints, services, designMembers)
	now, k := virtualStart, 0
	return cpuNanos(3, func() {
		now = now.Add(carobpulley.AnnounceInterval)
		k++
		for i, e := range list {
			p.Upsert(now, e, carobpulley.Load{Running: (i + k) % designSlots})
		}
	}) / float64(endpoints)
}

// pickNanos returns the processor time for placing one task and handling its result.
func pickNanos(endpoints, services int) float64 {
	p, _ := newPlacer(endpoints, services, designMembers)
	now := virtualStart
	const tasks = 10_000
	return cpuNanos(1, func() {
		for i := range tasks {
			now = now.Add(time.Millisecond)
			name := serviceName(i % (designMembers * servicesPerMember))
			e, ok := p.Pick(now, name)
			if !ok {
				continue
			}
			p.Done(now.Add(designRunTime), carobpulley.Sample{
				Endpoint: e.ID, Service: name, SentAt: now, EndedAt: now.Add(designRunTime), Run: designRunTime,
			})
		}
	}) / tasks
}

// newAdmitter returns an admitter for endpoints that run all services.
func newAdmitter(members int) *admit.Admitter {
	p, _ := newPlacer(50, members*servicesPerMember, members)
	a := admit.New(p)
	a.Configure(virtualStart, newCatalogue(members))
	return a
}

// newWaitingTask returns task i of jobs of 20 tasks each, which are distributed evenly
// over the members.
func newWaitingTask(i, members int) carobpulley.Waiting {
	job := i / 20
	m := job % members
	k := job / members % servicesPerMember
	return carobpulley.Waiting{
		Task: carobpulley.TaskID{
			Job:   carobpulley.JobID{Member: memberName(m), Key: fmt.Sprintf("key-%032d", job)},
			Index: i % 20,
		},
		Service: serviceName(m*servicesPerMember + k), Member: memberName(m),
		Class: carobpulley.Classes()[(m+k)%3], QueuedAt: virtualStart,
	}
}

func allServicesReady(string) bool { return true }
func noServiceReady(string) bool   { return false }

func measureAdmitter(context.Context) ([]measurement, error) {
	byMembers := func(quantity, unit, code string, measure func(n int) float64) measurement {
		return measureSizes(measurement{Quantity: quantity, Unit: unit, Per: "member", Code: code, Fixed: "2 services per member"}, memberSizes, measure)
	}
	// fill queues one job for each service of each member.
	fill := func(a *admit.Admitter, members int) {
		for i := range 20 * members * servicesPerMember {
			a.Push(virtualStart, newWaitingTask(i, members))
		}
	}
	configure := func(n int) float64 {
		a := newAdmitter(n)
		fill(a, n)
		c := newCatalogue(n)
		return cpuNanos(100, func() { a.Configure(virtualStart, c) })
	}
	none := func(n int) float64 {
		a := newAdmitter(n)
		fill(a, n)
		return cpuNanos(1000, func() { a.Next(virtualStart, noServiceReady) })
	}
	queued := measurement{Quantity: "queued tasks", Unit: unitBytes, Per: "task", Code: "admit.Admitter.Push", Fixed: "47 members, jobs of 20 tasks"}
	return []measurement{
		byMembers("admitter with a job per service", unitBytes, "admit.Admitter.Push", func(n int) float64 {
			a := newAdmitter(n)
			return heapBytes(func() any { fill(a, n); return a })
		}),
		byMembers("admitter configuration", unitNanos, "admit.Admitter.Configure", configure),
		byMembers("start of a queued task", unitNanos, "admit.Admitter.Push, Next, Done", startNanos),
		byMembers("admission of a job", unitNanos, "admit.Admitter.Admit", admitNanos),
		byMembers("look for a task when no service is ready", unitNanos, "admit.Admitter.Next", none),
		measureSizes(queued, []int{2000, 20_000, 200_000}, func(n int) float64 {
			a := newAdmitter(designMembers)
			return heapBytes(func() any {
				for i := range n {
					a.Push(virtualStart, newWaitingTask(i, designMembers))
				}
				return a
			})
		}),
	}, nil
}

// startNanos returns the processor time for queueing, starting and ending one task.
func startNanos(members int) float64 {
	a, now := newAdmitter(members), virtualStart
	const tasks = 20_000
	list := make([]carobpulley.Waiting, tasks)
	for i := range list {
		list[i] = newWaitingTask(i, members)
	}
	return cpuNanos(1, func() {
		now = now.Add(time.Second)
		for _, w := range list {
			a.Push(now, w)
		}
		for range list {
			if w, ok := a.Next(now, allServicesReady); ok {
				a.Done(now, w)
			}
		}
	}) / tasks
}

// admitNanos returns the processor time for admitting one job.
func admitNanos(members int) float64 {
	a := newAdmitter(members)
	specs := make([]carobpulley.JobSpec, 1000)
	for i := range specs {
		specs[i] = newJobSpec(i, 20)
		w := newWaitingTask(i*20, members)
		specs[i].ID.Member, specs[i].Service = w.Member, w.Service
	}
	return cpuNanos(20, func() {
		for _, s := range specs {
			if err := a.Admit(virtualStart, s); err != nil {
				panic(err)
			}
		}
	}) / float64(len(specs))
}
