package emul

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// overlap is a time in which two runs of a task were on.
type overlap struct {
	task     string
	from, to time.Time
	starts   [2]runEvent
}

// overlaps returns the times in which two runs of a task were on.
func (c *Checker) overlaps() []overlap {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []overlap
	for task, events := range c.histories {
		var on []runEvent
		for i := range events {
			if events[i].what == eventStarted {
				on = append(on, events[i])
				continue
			}
			same := func(e runEvent) bool { return e.run == events[i].run && e.endpoint == events[i].endpoint }
			n := slices.IndexFunc(on, same)
			ended := on[n]
			on = slices.Delete(on, n, n+1)
			for _, other := range on {
				from := ended.at
				if other.at.After(from) {
					from = other.at
				}
				found = append(found, overlap{task, from, events[i].at, [2]runEvent{ended, other}})
			}
		}
	}
	return found
}

// isOverlap reports whether a violation is that of two runs of a task at a time.
func isOverlap(violation string) bool { return strings.HasPrefix(violation, "two runs of ") }

// hostSuspension is a time for which the host of an endpoint was suspended.
type hostSuspension struct {
	endpoint   int
	began, end time.Time
}

// wakes reports whether a run wakes with the host, or its start waited in the endpoint's socket meanwhile.
func (s hostSuspension) wakes(start runEvent) bool {
	return start.endpoint == s.endpoint && start.at.Before(s.end.Add(2*commandLatency))
}

// longestAfterWaking returns the longest time after its awakening for which an endpoint whose host was
// suspended had a run on whose task ran elsewhere too, and records all other overlaps as violations.
func longestAfterWaking(f *Fleet, suspensions []hostSuspension) time.Duration {
	longest := time.Duration(0)
	for _, o := range f.Checker.overlaps() {
		explained := false
		after := time.Duration(math.MaxInt64)
		for _, s := range suspensions {
			if o.starts[0].endpoint == o.starts[1].endpoint {
				break // its agent knows of both
			}
			if s.wakes(o.starts[0]) && o.to.After(s.began) || s.wakes(o.starts[1]) && o.to.After(s.began) {
				explained = true
				after = min(after, o.to.Sub(s.end))
			}
		}
		if explained {
			longest = max(longest, after)
		} else {
			f.Checker.AddViolation(fmt.Sprintf("two runs of %s at a time, from %s to %s%s", o.task, o.from.Format("05.000"), o.to.Format("05.000"), f.Checker.history(o.task)))
		}
	}
	return longest
}

// suspendHosts suspends the hosts of agents and their endpoints for a time.
func (f *Fleet) suspendHosts(d time.Duration, agents ...int) []hostSuspension {
	began := time.Now()
	var wg sync.WaitGroup
	out := make([]hostSuspension, 0, len(agents))
	for _, n := range agents {
		wg.Go(func() { f.SuspendHost(n, d) })
		out = append(out, hostSuspension{n, began, began.Add(d)})
	}
	wg.Wait()
	return out
}

const (
	// agentStopTime is the time from the awakening of a host within which its agent stops runs whose tasks may
	// run elsewhere, and pollStopTime that in which an agent that has told them lost finds them.
	agentStopTime = 5 * time.Millisecond
	pollStopTime  = 70 * time.Millisecond
	// leaseStopTime is the same for an endpoint that carries out no stop: what was left of its lease.
	leaseStopTime = maxLease*100/98 + commandLatency
)

// hostCases are orders in which hosts are suspended, with the time within which runs are stopped that wake
// there while their tasks run elsewhere.
var hostCases = []struct {
	name     string
	stopTime time.Duration
	suspend  func(f *Fleet, d time.Duration) []hostSuspension
}{
	{"host", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension { return f.suspendHosts(d, 1) }},
	{"host, cut off", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		for n := range f.Coordinators {
			f.Net.SetBlocked(AgentAddr(1), CoordinatorAddr(n), true)
		}
		time.AfterFunc(d+1500*time.Millisecond, func() {
			for n := range f.Coordinators {
				f.Net.SetBlocked(AgentAddr(1), CoordinatorAddr(n), false)
			}
		})
		return f.suspendHosts(d, 1)
	}},
	{"all hosts", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension { return f.suspendHosts(d, 0, 1, 2, 3) }},
	{"endpoint alone", pollStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		began := time.Now()
		f.Endpoints[1].Suspend(d)
		return []hostSuspension{{1, began, began.Add(d)}}
	}},
	{"agent alone", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		f.Agents[1].Suspend(d)
		return nil
	}},
	{"coordinator", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		f.coordinator(0).Suspend(d)
		return nil
	}},
	{"coordinator and host", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		go f.coordinator(0).Suspend(d - 20*time.Millisecond)
		return f.suspendHosts(d, 1)
	}},
	{"coordinator then host", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		f.coordinator(0).Suspend(d)
		return f.suspendHosts(d, 1)
	}},
	{"host twice", agentStopTime, func(f *Fleet, d time.Duration) []hostSuspension {
		first := f.suspendHosts(d, 1)
		time.Sleep(30 * time.Millisecond)
		return append(first, f.suspendHosts(d, 1)...)
	}},
}

// playHostSuspension plays suspensions beside trouble of the endpoints, and returns for how long after waking
// a run was on at most whose task ran elsewhere.
func playHostSuspension(t *testing.T, coordinators int, trouble func(*Fleet), suspend func(*Fleet, time.Duration) []hostSuspension, d time.Duration) (longest time.Duration, violations []string) {
	synctest.Test(t, func(*testing.T) {
		spec := suspensionSpec(d)
		spec.Coordinators = coordinators
		f := New(spec)
		defer f.Close()
		time.Sleep(4 * time.Second)
		var suspensions []hostSuspension
		trouble(f)
		playSuspension(f, func(f *Fleet, d time.Duration) {
			time.Sleep(800 * time.Millisecond)
			suspensions = suspend(f, d)
			time.Sleep(400 * time.Millisecond)
			suspensions = append(suspensions, suspend(f, d)...)
		}, d)
		violations = slices.DeleteFunc(f.Checker.Violations(), isOverlap)
		before := len(f.Checker.Violations())
		longest = longestAfterWaking(f, suspensions)
		violations = append(violations, f.Checker.Violations()[before:]...)
	})
	return longest, violations
}

// Guards against runs that go on for longer than they have to after the host of their endpoint, whose clock
// stood still, was suspended for so long that their tasks run elsewhere. Nothing can end them before.
func TestRunsThatWakeWithTheirHost(t *testing.T) {
	for _, trouble := range []struct {
		name  string
		set   func(*Fleet)
		bound func(stopTime time.Duration) time.Duration
		times []time.Duration
	}{
		{"no trouble", noFault, func(stopTime time.Duration) time.Duration { return stopTime }, []time.Duration{500, 1050, 1330, 2000}},
		{"stops late", troubled(Trouble{Late: 0.5}, CommandStop), func(time.Duration) time.Duration { return leaseStopTime }, []time.Duration{1330}},
	} {
		for _, c := range hostCases {
			for _, d := range trouble.times {
				d *= time.Millisecond
				t.Run(fmt.Sprintf("%s/%s/%s", trouble.name, c.name, d), func(t *testing.T) {
					longest, violations := playHostSuspension(t, 1, trouble.set, c.suspend, d)
					if bound := trouble.bound(c.stopTime); longest > bound {
						t.Errorf("two runs of a task until %s after the host woke, bound %s", longest, bound)
					}
					for _, v := range violations {
						t.Errorf("violation: %s", v)
					}
				})
			}
		}
	}
}

// Guards against two runs of a task at a time because leases were computed from a reading of an endpoint's
// clock before its host was suspended: the clock stood still meanwhile, so they outlast their proof.
func TestLeasesAfterASuspensionOfTheHost(t *testing.T) {
	for _, d := range []time.Duration{300, 500, 700} {
		d *= time.Millisecond
		t.Run(d.String(), func(t *testing.T) {
			runFleet(t, elsewhereSpec(1, longRun), func(t *testing.T, f *Fleet) {
				go f.submitUntil(0, longJob(1, 8), 9*time.Second)
				time.Sleep(time.Second)
				if got := len(f.Endpoints[1].runLists().Running); got == 0 {
					t.Fatal("no run at endpoint 1")
				}
				f.Endpoints[1].SetTrouble(Trouble{Unsent: 1}, CommandStop)
				f.Endpoints[1].SetTrouble(Trouble{Lost: 1}, CommandRenew)
				time.Sleep(60 * time.Millisecond) // the answer to the last poll before
				f.SuspendHost(1, d)
				time.Sleep(300 * time.Millisecond)
				f.Net.SetBlocked(AgentAddr(1), CoordinatorAddr(0), true)
				f.Net.SetBlocked(CoordinatorAddr(0), AgentAddr(1), true)
				time.Sleep(4 * time.Second)
			})
		})
	}
}

// Guards against runs of a task at one endpoint beside each other: its agent told the first one lost, as its
// lease seemed over, just before the endpoint, whose clock had stood still, answered again.
func TestNoRunBesideOneThatWasToldLost(t *testing.T) {
	for d := 1400 * time.Millisecond; d < 1600*time.Millisecond; d += 4 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			spec := elsewhereSpec(1, longRun)
			spec.Coordinators, spec.Endpoints = 1, 1
			f := New(spec)
			defer f.Close()
			time.Sleep(4 * time.Second)
			go f.submitUntil(0, longJob(1, 4), 9*time.Second)
			go f.submitUntil(0, longJob(2, 4), 1300*time.Millisecond) // leases end with the proof of its stop
			time.Sleep(time.Second)
			f.Endpoints[0].Suspend(d)
			time.Sleep(time.Second)
			for _, v := range f.Checker.Violations() {
				t.Errorf("suspended for %s: %s", d, v)
			}
		})
	}
}
