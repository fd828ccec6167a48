package emul

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// pauseAtCommands pauses an agent between its decision to send a command of a kind and the endpoint, each
// time for d, and not again within a second. It returns a function that ends this and returns the number of
// pauses.
func (f *Fleet) pauseAtCommands(agent int, c Command, frozen bool, d time.Duration) func() int {
	s := f.Agents[agent].suspension
	var mu sync.Mutex
	var next time.Time
	pauses := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeSending = func(sent Command) {
		mu.Lock()
		defer mu.Unlock()
		if sent != c || time.Now().Before(next) {
			return
		}
		next = time.Now().Add(d + time.Second)
		pauses++
		s.begin(frozen)
		time.AfterFunc(d, s.end)
	}
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.beforeSending = nil
		mu.Lock()
		defer mu.Unlock()
		return pauses
	}
}

// pauseLengths are shorter and longer than the times after which runs are stopped, coordinators attach
// again, leases end and tasks are placed elsewhere.
var pauseLengths = []time.Duration{50, 400, 700, 950, 1020, 1180, 1330, 1450, 2000, 3500, 6000}

// goOn lets jobs of playSuspension go on for four seconds. For pauses at stops some are cancelled, so that
// agents send stops whatever else is stopped.
func goOn(c Command) func(f *Fleet, _ time.Duration) {
	return func(f *Fleet, _ time.Duration) {
		const ticks, interval = 40, 100 * time.Millisecond
		for n := range ticks {
			if c == CommandStop {
				f.coordinator(0).Coordinator.Cancel(f.ctx, testQueue, jobID(n+n/4))
			}
			time.Sleep(interval)
		}
	}
}

// Guards against a command that reaches the endpoint after its sender was paused, and takes effect under a
// lease that was renewed since: a start whose task runs elsewhere, a renewal, a stop of another run.
func TestPausedSender(t *testing.T) {
	for _, c := range []struct {
		name    string
		command Command
		lengths []time.Duration
	}{
		{"start", CommandStart, pauseLengths},
		{"renewal", CommandRenew, []time.Duration{700, 1330}},
		{"stop", CommandStop, []time.Duration{700, 1330}},
	} {
		for _, frozen := range []bool{false, true} {
			for _, d := range c.lengths {
				d *= time.Millisecond
				t.Run(fmt.Sprintf("%s/frozen %v/%s", c.name, frozen, d), func(t *testing.T) {
					spec := suspensionSpec(d)
					spec.Coordinators = 1
					runFleet(t, spec, func(t *testing.T, f *Fleet) {
						ends := make([]func() int, 0, 2)
						for agent := range 2 { // one endpoint of each reading of a start's deadline
							ends = append(ends, f.pauseAtCommands(agent, c.command, frozen, d))
						}
						playSuspension(f, goOn(c.command), d)
						for agent, end := range ends {
							if n := end(); n == 0 {
								t.Errorf("no pause of agent %d", agent)
							}
						}
					})
				})
			}
		}
	}
}
