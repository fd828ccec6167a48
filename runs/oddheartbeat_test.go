package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobpulley"
	"carobpulley/work"
)

// truth is an endpoint that answers truthfully, whatever heartbeats claim.
type truth struct {
	f          *fixture
	instance   string
	generation int64
	running    []carobpulley.ListedRun
	gone       bool
}

func (f *fixture) heartbeat(sequence int64) carobpulley.Heartbeat {
	return carobpulley.Heartbeat{
		Instance: "i", Generation: 1, Sequence: sequence, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	}
}

// answer lets the endpoint answer what the agent sends after a message: a probe and the next poll.
func (e *truth) answer() {
	e.f.advance(time.Millisecond)
	e.reply(e.f.controller.BeginProbe(e.f.now))
	e.f.advance(time.Millisecond)
	e.reply(e.f.controller.BeginPoll(e.f.now))
}

func (e *truth) reply(sent Poll) {
	c := e.f.controller
	e.f.advance(time.Millisecond)
	clock := 5000 + e.f.now.Sub(testStart).Milliseconds()
	switch {
	case e.gone:
		c.HandlePollError(e.f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindGone})
	case sent.Lease.Instance != "" && sent.Lease.Instance != e.instance:
		c.HandlePollError(e.f.now, sent, carobpulley.RefusalWrongInstance, nil)
	default:
		c.HandlePoll(e.f.now, sent, carobpulley.RunLists{Clock: clock, Generation: e.generation, Running: e.running})
	}
}

// newTruth returns a fixture whose endpoint runs one run.
func newTruth(t *testing.T) *truth {
	t.Helper()
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	return &truth{f: f, instance: "i", generation: 1, running: []carobpulley.ListedRun{{Run: newRun(1)}}}
}

// oddMessages are messages of another writer about the endpoint "i" of generation 1, whose last
// heartbeat had the number 1.
var oddMessages = map[string]func(f *fixture, c *Controller){
	"later birth": func(f *fixture, c *Controller) {
		hb := f.heartbeat(2)
		hb.Generation = 86_400_000
		c.HandleHeartbeat(f.now, hb)
	},
	"no birth": func(f *fixture, c *Controller) {
		hb := f.heartbeat(2)
		hb.Generation = 0
		c.HandleHeartbeat(f.now, hb)
	},
	"earlier birth": func(f *fixture, c *Controller) {
		hb := f.heartbeat(2)
		hb.Generation = -1
		c.HandleHeartbeat(f.now, hb)
	},
	"other instance": func(f *fixture, c *Controller) {
		hb := f.heartbeat(2)
		hb.Instance = "x"
		c.HandleHeartbeat(f.now, hb)
	},
	"other instance, later birth": func(f *fixture, c *Controller) {
		hb := f.heartbeat(2)
		hb.Instance, hb.Generation = "x", 86_400_000
		c.HandleHeartbeat(f.now, hb)
	},
	"shutdown": func(f *fixture, c *Controller) { c.HandleShutdown(f.now, "i") },
	"high sequence": func(f *fixture, c *Controller) {
		c.HandleHeartbeat(f.now, f.heartbeat(1<<40))
	},
}

// Guards against a heartbeat or a shutdown of another writer that ends runs: they are at work, and
// their tasks run twice.
func TestMessageOfAnotherWriterEndsNoRun(t *testing.T) {
	for name, send := range oddMessages {
		t.Run(name, func(t *testing.T) {
			e := newTruth(t)
			send(e.f, e.f.controller)
			e.answer()
			e.f.controller.Tick(e.f.now)
			e.f.controller.HandleHeartbeat(e.f.now, e.f.heartbeat(2))
			e.answer()
			if ends := e.f.report("c", nil); len(ends) != 0 || !e.f.controller.HasRun(newRun(1)) {
				t.Errorf("the run is at work, but was reported as ended: %v", ends)
			}
			if !e.f.controller.Usable() {
				t.Error("the endpoint gets no starts after its next heartbeat")
			}
			draining := e.f.heartbeat(3)
			draining.Draining = true
			if !e.f.controller.HandleHeartbeat(e.f.now, draining) || e.f.controller.Usable() {
				t.Error("the endpoint's draining did not take effect at once")
			}
		})
	}
}

// Guards against the capacity of another writer's heartbeat that stays in force since its number is
// higher than the endpoint's own ones, and against delayed heartbeats that replace a newer one.
func TestHighSequenceIsReplaced(t *testing.T) {
	for _, tt := range []struct {
		name     string
		interval time.Duration
		want     int64
	}{
		{"the endpoint's own heartbeats follow", 1500 * time.Millisecond, 10_000},
		{"delayed heartbeats arrive together", time.Millisecond, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			high := f.heartbeat(1000)
			high.Capacity.CPU = 1
			f.controller.HandleHeartbeat(f.now, high)
			for sequence := int64(2); sequence <= 1+minStreak; sequence++ {
				f.advance(tt.interval)
				f.controller.HandleHeartbeat(f.now, f.heartbeat(sequence))
			}
			if got := f.controller.State(f.now, "c").Capacity.CPU; got != tt.want {
				t.Errorf("capacity %d in force, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a heartbeat of an earlier generation, delayed by a partition, that counts as a restart
// since a poll has shown the new generation before any of its heartbeats.
func TestDelayedHeartbeatOfAnEarlierGeneration(t *testing.T) {
	e := newTruth(t)
	e.generation, e.running = 2, nil
	e.answer()
	e.f.report("c", nil)
	e.f.dispatch("c", newStart(2, 100))
	if e.f.confirmStarts() != 1 {
		t.Fatal("the new generation got no start")
	}
	e.running = []carobpulley.ListedRun{{Run: newRun(2)}}
	e.f.controller.HandleHeartbeat(e.f.now, e.f.heartbeat(7))
	e.answer()
	if ends := e.f.report("c", nil); len(ends) != 0 {
		t.Errorf("the run is at work, but was reported as ended: %v", ends)
	}
}

// Guards against a restart, a new instance or a shutdown that is believed, but not noticed with the
// first answer of the endpoint after its message.
func TestTrueMessagesEndRunsWithTheNextAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(e *truth)
		want   work.Outcome
	}{
		"restart": {func(e *truth) {
			hb := e.f.heartbeat(1)
			hb.Generation, e.generation = 2, 2
			e.f.controller.HandleHeartbeat(e.f.now, hb)
		}, work.OutcomeCrashed},
		"new instance": {func(e *truth) {
			hb := e.f.heartbeat(1)
			hb.Generation, e.generation = 2, 2
			hb.Instance, e.instance = "j", "j"
			e.f.controller.HandleHeartbeat(e.f.now, hb)
		}, work.OutcomeCrashed},
		"new instance, its clock set back": {func(e *truth) {
			hb := e.f.heartbeat(1)
			hb.Generation, e.generation = -5, -5
			hb.Instance, e.instance = "j", "j"
			e.f.controller.HandleHeartbeat(e.f.now, hb)
		}, work.OutcomeCrashed},
		"shutdown": {func(e *truth) {
			e.gone = true
			e.f.controller.HandleShutdown(e.f.now, "i")
		}, work.OutcomeLost},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTruth(t)
			e.running = nil
			tt.change(e)
			e.f.advance(time.Millisecond)
			e.reply(e.f.controller.BeginProbe(e.f.now))
			want := []work.End{{Run: newRun(1), Outcome: tt.want}}
			if diff := cmp.Diff(want, e.f.report("c", nil), cmpopts.IgnoreFields(work.End{}, "ElapsedMS")); diff != "" {
				t.Errorf("ends (-want +got):\n%s", diff)
			}
			e.answer()
			if got := e.f.controller.Usable(); got == e.gone {
				t.Errorf("the endpoint gets starts: %v", got)
			}
		})
	}
}

// Guards against an agent that starts, believes a heartbeat of another writer, and takes the endpoint's
// refusal of that instance for its end: what runs there would run twice.
func TestFirstHeartbeatOfAnotherWriter(t *testing.T) {
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 1, Token: 100, MaxLease: time.Second, Shards: testShards}, f.now)
	e := &truth{f: f, instance: "i", generation: 1, running: []carobpulley.ListedRun{{Run: newRun(9)}}}
	odd := f.heartbeat(1)
	odd.Instance = "x"
	f.controller.HandleHeartbeat(f.now, odd)
	f.advance(time.Millisecond)
	e.reply(f.controller.BeginPoll(f.now))
	if f.controller.CanAttach(f.now) {
		t.Error("coordinators can attach before the endpoint's lists are known")
	}
	f.controller.HandleHeartbeat(f.now, f.heartbeat(1))
	e.answer()
	e.running = nil
	e.answer()
	if !f.controller.CanAttach(f.now) || !f.controller.Usable() {
		t.Error("the endpoint is not in use after its own heartbeat")
	}
}

// Guards against heartbeats of another writer that nothing names.
func TestRejectedHeartbeatsAreNamed(t *testing.T) {
	want := map[string][]string{
		"later birth": {RejectedGeneration}, "no birth": {RejectedGeneration},
		"earlier birth":  nil, // a delayed heartbeat is no odd one
		"other instance": {RejectedInstance}, "other instance, later birth": {RejectedInstance},
		"shutdown": nil, "high sequence": {RejectedSequence},
	}
	for name, send := range oddMessages {
		e := newTruth(t)
		send(e.f, e.f.controller)
		for sequence := int64(2); sequence <= 1+minStreak; sequence++ {
			e.answer()
			e.f.advance(1500 * time.Millisecond)
			e.f.controller.HandleHeartbeat(e.f.now, e.f.heartbeat(sequence))
		}
		rejected := e.f.controller.RejectedHeartbeats()
		got := make([]string, 0, len(rejected))
		for _, r := range rejected {
			got = append(got, r.Reason)
		}
		if diff := cmp.Diff(want[name], got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: reasons (-want +got):\n%s", name, diff)
		}
	}
}
