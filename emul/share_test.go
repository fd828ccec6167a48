package emul

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/share"
	"carobpulley/work"
)

// pairs returns the number of attachments in the fleet and the least and the most of one
// coordinator, from the agents' side.
func (f *Fleet) pairs() (total, least, most int) {
	counts := make(map[string]int)
	for _, p := range f.Agents {
		for _, co := range p.Agent.Coordinators() {
			counts[co]++
		}
	}
	least = len(f.Agents)
	for _, p := range f.Coordinators {
		n := counts[p.Name]
		total += n
		least, most = min(least, n), max(most, n)
	}
	return total, least, most
}

// Answers the pattern of a fleet that grows: the attachments of one process, and with them the
// reports, must not grow with the fleet, and every caller must be served all the same.
func TestAttachmentsDoNotGrowWithTheFleet(t *testing.T) {
	spec := testSpec()
	spec.Coordinators, spec.Endpoints = 16, 64
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		total, least, most := f.pairs()
		if limit := share.DefaultCoordinators * spec.Endpoints; total > limit {
			t.Errorf("%d attachments, want at most %d", total, limit)
		}
		if least < share.DefaultAgents/2 || most > 2*share.DefaultCoordinators*spec.Endpoints/spec.Coordinators {
			t.Errorf("a coordinator has %d to %d agents", least, most)
		}
		for n := range spec.Coordinators {
			if a := submit(f, n, testJob(n, true, 30)); a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
				t.Errorf("job at coordinator %d: %+v", n, a)
			}
		}
	})
}

// Answers callers that all come to one coordinator: it must use endpoints outside its share,
// and let them go afterwards.
func TestOneBusyCoordinatorUsesMoreOfTheFleet(t *testing.T) {
	spec := testSpec()
	spec.Coordinators, spec.Endpoints = 16, 64
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		before, _, _ := f.pairs()
		const count = 60
		answers := make(chan carobpulley.JobAnswer, count)
		for n := range count {
			go func() { answers <- submit(f, 0, testJob(n, true, 8)) }()
		}
		for range count {
			if a := <-answers; a.Code != carobpulley.AnswerOK {
				t.Errorf("answer %+v", a)
			}
		}
		time.Sleep(10 * time.Second)
		if after, _, _ := f.pairs(); after > before {
			t.Errorf("%d attachments ten seconds after the load, %d before", after, before)
		}
	})
}

// Answers callers that come back together after a loss of power: a coordinator that has just
// started must hold their jobs until it is attached, instead of sending them away for a second.
func TestJobsAtTheStartOfACoordinatorAreServed(t *testing.T) {
	runFleet(t, testSpec(), func(t *testing.T, f *Fleet) {
		for n := range f.Coordinators {
			f.Coordinators[n].Kill()
		}
		for n := range f.Coordinators {
			f.StartCoordinator(n)
		}
		answers := make(chan carobpulley.JobAnswer, len(f.Coordinators))
		for n := range f.Coordinators {
			go func() { answers <- submit(f, n, testJob(n, true, 3)) }()
		}
		for range f.Coordinators {
			if a := <-answers; a.Code != carobpulley.AnswerOK || a.State != work.StateCompleted {
				t.Errorf("answer %+v", a)
			}
		}
	})
}

// unacknowledged returns the number of ends that the endpoint still lists.
func (e *Endpoint) unacknowledged() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.finished)
}

// Guards against ends that nobody acknowledges: an agent that has restarted doesn't know whose runs
// its endpoint ran, and the owner of the shard has to ask it even outside its share. An endpoint
// lists such an end, and all later ones, for ever.
func TestRestartedAgentsOutsideTheShareAreAsked(t *testing.T) {
	spec := testSpec()
	spec.Coordinators, spec.Endpoints = 16, 64
	spec.Behavior = func(work.Start) (time.Duration, work.Outcome) { return 400 * time.Millisecond, work.OutcomeDone }
	runFleet(t, spec, func(t *testing.T, f *Fleet) {
		for n := range spec.Coordinators {
			go submit(f, n, testJob(n, true, 20))
		}
		time.Sleep(200 * time.Millisecond)
		const restarted = 12
		for n := range restarted {
			f.Agents[n].Kill()
		}
		time.Sleep(600 * time.Millisecond)
		for n := range restarted {
			f.StartAgent(n)
		}
		time.Sleep(8 * time.Second)
		for n := range restarted {
			if got := f.Endpoints[n].unacknowledged(); got != 0 {
				t.Errorf("endpoint %d still lists %d ends", n, got)
			}
		}
	})
}
