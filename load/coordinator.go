package load

import (
	"fmt"
	"time"

	"carobpulley/jobs"
	"carobpulley/work"
)

// coordinator plays one coordinator.
type coordinator struct {
	s        *simulation
	n        int
	name     string
	table    *jobs.Table
	arrivals map[string]arrival
	agents   map[string]bool
	// incarnation is that of its process.
	incarnation uint64
}

// arrival is a job that has arrived, and the time by which it is in time.
type arrival struct {
	at    time.Time
	due   time.Time
	class int
}

func (s *simulation) addCoordinator(n int) {
	co := &coordinator{s: s, n: n, name: fmt.Sprintf("c-%d", n), arrivals: make(map[string]arrival), incarnation: incarnation}
	s.coordinators = append(s.coordinators, co)
	co.open(s.begin)
	if after := s.pattern.Interference.Restart; after > 0 {
		s.at(s.begin.Add(after), co.restart)
	}
	stagger := tickInterval * time.Duration(n) / time.Duration(s.pattern.Coordinators)
	s.every(s.begin.Add(stagger), tickInterval, func(now time.Time) {
		co.table.Tick(now)
		co.flush(now)
	})
	for class := range s.pattern.Classes {
		s.arrive(co, class, s.begin)
	}
}

// share returns the number of coordinators that work with an endpoint.
func (s *simulation) share() int {
	if s.pattern.Share == 0 {
		return s.pattern.Coordinators
	}
	return s.pattern.Share
}

// works reports whether a coordinator works with an endpoint.
func (s *simulation) works(coordinator, endpoint int) bool {
	first := endpoint * 7 % s.pattern.Coordinators
	return (coordinator-first+s.pattern.Coordinators)%s.pattern.Coordinators < s.share()
}

// config returns the configuration with the queues of the classes.
func (s *simulation) config() *work.RoutingConfig {
	c := &work.RoutingConfig{Version: 1}
	for class := range s.pattern.Classes {
		c.Routes = append(c.Routes, work.Route{Queue: s.queueOf(class)})
	}
	c.Index()
	return c
}

// queueOf returns the queue of a class.
func (s *simulation) queueOf(class int) work.Queue {
	return work.Queue{
		Name: fmt.Sprintf("%s%d", queueName, class), Service: serviceName, MaxAttempts: 4, Stretch: stretch,
		TargetMS: target.Milliseconds(), Priority: s.pattern.Classes[class].Priority,
	}
}

// open begins with an empty table and attaches to the agents.
func (co *coordinator) open(now time.Time) {
	s := co.s
	co.table = jobs.New(jobs.Config{Name: co.name, AgentTimeout: 1323 * time.Millisecond, Shards: 1, Sharing: s.pattern.Interference.Sharing})
	co.table.SetCoordinatorCount(s.share())
	co.table.SetConfig(s.config())
	co.agents = make(map[string]bool)
	for _, a := range s.agents {
		if s.works(co.n, a.n) {
			co.agents[a.name] = true
			co.table.AddAgent(a.name, a.name, nil)
			a.attach(now, co)
		}
	}
}

func (co *coordinator) submit(now time.Time, j *work.Job, a arrival) {
	co.s.count(a, func(w *Window) { w.Asked++ })
	if s := co.s; s.pattern.Patience > 0 {
		j.SubmittedAt, j.AnswerBy = now, now.Add(s.pattern.Patience)
		s.at(j.AnswerBy, func(now time.Time) {
			if _, waits := co.arrivals[j.ID]; waits {
				delete(co.arrivals, j.ID)
				s.count(a, func(w *Window) { w.Left++ })
				co.table.Abandon(now, j.ID, "its caller has left")
				co.flush(now)
			}
		})
	}
	status, _ := co.table.Submit(now, j)
	if status == jobs.SubmitRefused {
		co.s.count(a, func(w *Window) { w.Refused++ })
		return
	}
	co.arrivals[j.ID] = a
	co.flush(now)
}

// flush sends the table's dispatches and records the ends of jobs.
func (co *coordinator) flush(now time.Time) {
	for _, d := range co.table.Dispatches() {
		co.s.result.Starts += len(d.Starts)
		if len(d.Starts) > 0 {
			co.s.result.Dispatches++
		}
		co.s.at(now.Add(messageDelay), func(now time.Time) { co.s.agentNamed(d.Agent).order(now, co, d) })
	}
	for _, r := range co.table.Results() {
		a, waits := co.arrivals[r.Job]
		if !waits {
			continue
		}
		delete(co.arrivals, r.Job)
		co.s.count(a, func(w *Window) {
			if r.State == work.StateCompleted {
				w.Took += now.Sub(a.at)
			}
			switch {
			case r.State == work.StateCancelled:
				w.Refused++
			case r.State == work.StateCompleted && !now.After(a.due):
				w.InTime++
			default:
				w.Late++
			}
		})
	}
	co.s.countPairs(co.table.Decisions())
}
