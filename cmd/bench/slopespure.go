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

// Sizes at which quantities are measured. The last but one or the last is the
// design size (docs/design.md, section 1.6).
var (
	endpointSizes = []int{300, 1000, 2600}
	memberSizes   = []int{5, 47, 470}
	serviceSizes  = []int{8, 47, 94}
	taskSizes     = []int{1, 20, 120}
)

const (
	// designMembers and designEndpoints are the design size.
	designMembers   = 47
	designEndpoints = 2600
	// servicesPerMember is an assumption; the design page gives no figure.
	servicesPerMember = 2
	// servicesPerEndpoint is an assumption for quantities that don't vary it.
	servicesPerEndpoint = 8
	// designSlots and designRunTime let 2,600 workers start 120,000 tasks/s.
	designSlots   = 8
	designRunTime = 173 * time.Millisecond
	// payloadBytes is the size of payloads and results unless it is varied.
	payloadBytes = 256
)

// origin is the start of the virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func memberName(i int) string  { return fmt.Sprintf("team-%03d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func domainName(i int) string  { return fmt.Sprintf("region-%d-%c", i%9/3, 'a'+i%3) }

// endpointAt returns an endpoint that runs a number of all services.
func endpointAt(i, services, of int) carobpulley.Endpoint {
	e := carobpulley.Endpoint{
		ID:          fmt.Sprintf("worker-%05d", i),
		Incarnation: 1,
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7400),
		Domain:      domainName(i),
		Rack:        fmt.Sprintf("rack-%03d", i/16),
		Slots:       designSlots,
	}
	for k := range services {
		e.Services = append(e.Services, serviceName((i*services+k)%of))
	}
	return e
}

// catalogueOf returns a catalogue with a number of members.
func catalogueOf(members int) *carobpulley.Catalogue {
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

// announcement returns an announcement as an entry gets it, with strings of its own.
func announcement(i, services, of int) carobpulley.Announced {
	a, err := inner.AnnouncementFromWire(inner.AnnouncementToWire(inner.Announcement{
		Endpoint:  endpointAt(i, services, of),
		AgentTime: 1,
	}))
	if err != nil {
		panic(err)
	}
	return carobpulley.Announced{Endpoint: a.Endpoint, Load: a.Load, AgentTime: a.AgentTime}
}

func rosterSlopes(context.Context) ([]slope, error) {
	const all = designMembers * servicesPerMember
	build := func(n int) *roster.Roster {
		r := roster.New()
		for i := range n {
			r.Step(origin, announcement(i, servicesPerEndpoint, all))
		}
		return r
	}
	base := slope{Per: "endpoint", Fixed: "8 services per endpoint"}
	size := base
	size.Quantity, size.Unit, size.Code = "roster", unitBytes, "roster.Roster.announced"
	size = series(size, endpointSizes, func(n int) float64 {
		return heapBytes(func() any { return build(n) })
	})
	round := base
	round.Quantity, round.Unit, round.Code = "roster announcements", unitNanos, "roster.Roster.Step(Announced)"
	round = series(round, endpointSizes, func(n int) float64 {
		r, now := build(n), origin
		events := make([]carobpulley.Announced, n)
		for i := range events {
			events[i] = announcement(i, servicesPerEndpoint, all)
		}
		return cpu(20, func() {
			now = now.Add(carobpulley.AnnounceInterval)
			for i := range events {
				events[i].AgentTime++
				r.Step(now, events[i])
			}
		})
	})
	return []slope{size, round}, nil
}

// placerOf returns a placer that knows endpoints, and those endpoints.
func placerOf(endpoints, services, members int) (*place.Placer, []carobpulley.Endpoint) {
	p := place.New(rand.NewPCG(1, 2), nil, domainName(0))
	p.Configure(origin, catalogueOf(members))
	list := make([]carobpulley.Endpoint, endpoints)
	for i := range list {
		list[i] = endpointAt(i, services, members*servicesPerMember)
		p.Upsert(origin, list[i], carobpulley.Load{})
	}
	return p, list
}

func placeSlopes(context.Context) ([]slope, error) {
	byEndpoints := func(q, unit, code string, measure func(n int) float64) slope {
		s := slope{Quantity: q, Unit: unit, Per: "endpoint", Code: code, Fixed: "94 services, 8 per endpoint"}
		return series(s, endpointSizes, measure)
	}
	byServices := func(q, unit, code string, measure func(n int) float64) slope {
		s := slope{Quantity: q, Unit: unit, Per: "service of an endpoint", Code: code, Fixed: "2,600 endpoints, 94 services"}
		return series(s, serviceSizes, measure)
	}
	size := func(endpoints, services int) float64 {
		list := make([]carobpulley.Endpoint, endpoints)
		for i := range list {
			list[i] = endpointAt(i, services, designMembers*servicesPerMember)
		}
		cat := catalogueOf(designMembers)
		v := heapBytes(func() any {
			p := place.New(rand.NewPCG(1, 2), nil, domainName(0))
			p.Configure(origin, cat)
			for _, e := range list {
				p.Upsert(origin, e, carobpulley.Load{})
			}
			return p
		})
		runtime.KeepAlive(list)
		return v
	}
	const picks, upserts = "place.Placer.Pick, Done", "place.Placer.Upsert"
	return []slope{
		byEndpoints("placer", unitBytes, upserts, func(n int) float64 { return size(n, servicesPerEndpoint) }),
		byEndpoints("placer loads", unitNanos, upserts, func(n int) float64 { return upsertTime(n, servicesPerEndpoint) * float64(n) }),
		byEndpoints("placer picks", unitNanos, picks, func(n int) float64 { return pickTime(n, servicesPerEndpoint) * float64(n) }),
		byServices("placer by services", unitBytes, upserts, func(n int) float64 { return size(designEndpoints, n) }),
		byServices("one load by services", unitNanos, upserts, func(n int) float64 { return upsertTime(designEndpoints, n) }),
		byServices("one pick by services", unitNanos, picks, func(n int) float64 { return pickTime(designEndpoints, n) }),
	}, nil
}

// upsertTime is the time of taking one endpoint's load.
func upsertTime(endpoints, services int) float64 {
	p, list := placerOf(endpoints, services, designMembers)
	now, k := origin, 0
	return cpu(3, func() {
		now = now.Add(carobpulley.AnnounceInterval)
		k++
		for i, e := range list {
			p.Upsert(now, e, carobpulley.Load{Running: (i + k) % designSlots})
		}
	}) / float64(endpoints)
}

// pickTime is the time of placing one task and learning from its answer.
func pickTime(endpoints, services int) float64 {
	p, _ := placerOf(endpoints, services, designMembers)
	now := origin
	const tasks = 10_000
	return cpu(1, func() {
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

// admitterOf returns an admitter in front of endpoints that run all services.
func admitterOf(members int) *admit.Admitter {
	p, _ := placerOf(50, members*servicesPerMember, members)
	a := admit.New(p)
	a.Configure(origin, catalogueOf(members))
	return a
}

// waitingAt returns task i of jobs of 20 tasks, spread over the members.
func waitingAt(i, members int) carobpulley.Waiting {
	job := i / 20
	m := job % members
	k := job / members % servicesPerMember
	return carobpulley.Waiting{
		Task: carobpulley.TaskID{
			Job:   carobpulley.JobID{Member: memberName(m), Key: fmt.Sprintf("key-%032d", job)},
			Index: i % 20,
		},
		Service: serviceName(m*servicesPerMember + k), Member: memberName(m),
		Class: carobpulley.Classes()[(m+k)%3], QueuedAt: origin,
	}
}

func anyReady(string) bool  { return true }
func noneReady(string) bool { return false }

func admitSlopes(context.Context) ([]slope, error) {
	byMembers := func(q, unit, code string, measure func(n int) float64) slope {
		return series(slope{Quantity: q, Unit: unit, Per: "member", Code: code, Fixed: "2 services per member"}, memberSizes, measure)
	}
	// fill queues a job in each service of each member.
	fill := func(a *admit.Admitter, members int) {
		for i := range 20 * members * servicesPerMember {
			a.Push(origin, waitingAt(i, members))
		}
	}
	configure := func(n int) float64 {
		a := admitterOf(n)
		fill(a, n)
		c := catalogueOf(n)
		return cpu(100, func() { a.Configure(origin, c) })
	}
	none := func(n int) float64 {
		a := admitterOf(n)
		fill(a, n)
		return cpu(1000, func() { a.Next(origin, noneReady) })
	}
	queued := slope{Quantity: "queued tasks", Unit: unitBytes, Per: "task", Code: "admit.Admitter.Push", Fixed: "47 members, jobs of 20 tasks"}
	return []slope{
		byMembers("admitter with a job per service", unitBytes, "admit.Admitter.Push", func(n int) float64 {
			a := admitterOf(n)
			return heapBytes(func() any { fill(a, n); return a })
		}),
		byMembers("admitter configuration", unitNanos, "admit.Admitter.Configure", configure),
		byMembers("start of a queued task", unitNanos, "admit.Admitter.Push, Next, Done", startTime),
		byMembers("admission of a job", unitNanos, "admit.Admitter.Admit", admitTime),
		byMembers("look for a task when no service is ready", unitNanos, "admit.Admitter.Next", none),
		series(queued, []int{2000, 20_000, 200_000}, func(n int) float64 {
			a := admitterOf(designMembers)
			return heapBytes(func() any {
				for i := range n {
					a.Push(origin, waitingAt(i, designMembers))
				}
				return a
			})
		}),
	}, nil
}

func startTime(members int) float64 {
	a, now := admitterOf(members), origin
	const tasks = 20_000
	list := make([]carobpulley.Waiting, tasks)
	for i := range list {
		list[i] = waitingAt(i, members)
	}
	return cpu(1, func() {
		now = now.Add(time.Second)
		for _, w := range list {
			a.Push(now, w)
		}
		for range list {
			if w, ok := a.Next(now, anyReady); ok {
				a.Done(now, w)
			}
		}
	}) / tasks
}

func admitTime(members int) float64 {
	a := admitterOf(members)
	specs := make([]carobpulley.JobSpec, 1000)
	for i := range specs {
		specs[i] = specAt(i, 20)
		w := waitingAt(i*20, members)
		specs[i].ID.Member, specs[i].Service = w.Member, w.Service
	}
	return cpu(20, func() {
		for _, s := range specs {
			if err := a.Admit(origin, s); err != nil {
				panic(err)
			}
		}
	}) / float64(len(specs))
}
