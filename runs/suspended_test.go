package runs

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

// suspend lets the host of the agent and the endpoint be suspended for a time. The endpoint's clock stands.
func (f *fixture) suspend(d time.Duration) {
	f.advance(d)
	f.suspended += d
	f.controller.HandleSuspensions(f.now, f.suspended)
}

// Guards against a lease that outlasts its proof because the endpoint's clock stood still, as that of its
// host did, between its last reading and the lease.
func TestLeaseAfterASuspensionOfTheEndpointsHost(t *testing.T) {
	for _, d := range []time.Duration{200, 500, 900} {
		d *= time.Millisecond
		f := newFixture(t)
		f.dispatch("c", newStart(1, 100))
		f.confirmStarts()
		f.report("c", nil)
		proof := f.now.Add(-time.Millisecond)
		f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
		read, reading := f.now, 5000+f.now.Sub(testStart).Milliseconds()
		f.suspend(d)
		f.advance(40 * time.Millisecond)
		sent := f.controller.BeginPoll(f.now)
		end := leaseEnd(sent.Lease.DeadlineMS, reading, read).Add(d)
		if bound := ProofTTL + time.Duration(float64(ProofTTL)*ClockSlack) + 2*time.Millisecond; end.Sub(proof) > bound {
			t.Errorf("suspended for %s: the lease ends %s after its proof, bound %s", d, end.Sub(proof), bound)
		}
	}
}

// Guards against a run that is told lost, so that its task starts elsewhere, while the lease that its
// endpoint got before a suspension goes on.
func TestRunIsNotToldLostBeforeALeaseThatASuspensionHasProlonged(t *testing.T) {
	const d = 900 * time.Millisecond
	f := newFixture(t)
	f.report("c", nil)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	read, reading := f.now, 5000+f.now.Sub(testStart).Milliseconds()
	end := leaseEnd(f.controller.BeginPoll(f.now).Lease.DeadlineMS, reading, read).Add(d)
	f.suspend(d)
	for f.controller.HasRun(newRun(1)) {
		sent := f.controller.BeginPoll(f.now)
		f.advance(40 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
		f.controller.Tick(f.now)
	}
	if f.now.Before(end) {
		t.Errorf("the run is told lost %s before its lease ends", end.Sub(f.now))
	}
}

// Guards against the same for a run that an earlier process of the agent left.
func TestInheritedRunOutlastsASuspension(t *testing.T) {
	const d = 900 * time.Millisecond
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 2, Token: 200, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 9, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	f.suspend(d)
	for f.now.Before(testStart.Add(d + time.Second)) {
		sent := f.controller.BeginPoll(f.now)
		f.advance(20 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
		f.controller.Tick(f.now)
		if !f.controller.HasRun(newRun(1)) || f.controller.CanAttach(f.now) {
			t.Fatalf("%s after the agent's start: run known %v, attachments answered %v", f.now.Sub(testStart), f.controller.HasRun(newRun(1)), f.controller.CanAttach(f.now))
		}
	}
}

// Guards against a woken agent that starts, polls and reports before it stops the runs whose proof has
// expired.
func TestSuspensionStopsUnprovenRunsFirst(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.controller.Commands()
	f.suspend(orphanTimeout + time.Millisecond)
	for _, c := range f.controller.Commands() {
		if c.Start == nil && c.Stop == newRun(1) {
			return
		}
	}
	t.Error("no stop")
}

// Guards against starts that the endpoint refuses as late, one after the other, because its clock didn't stand
// while the host was suspended and has not been read since.
func TestNoStartBeforeTheClockIsReadAfterASuspension(t *testing.T) {
	f := newFixture(t)
	before := f.controller.BeginPoll(f.now)
	f.suspend(300 * time.Millisecond)
	f.report("c", nil)
	f.controller.HandlePoll(f.now, before, carobpulley.RunLists{Clock: 5001, Generation: 1})
	refused := f.dispatch("c", newStart(1, 100))
	if diff := cmp.Diff([]RefusedStart{{newRun(1), ReasonEndpoint}}, refused); diff != "" {
		t.Errorf("before the reading (-want +got):\n%s", diff)
	}
	f.poll(carobpulley.RunLists{})
	if refused := f.dispatch("c", newStart(2, 100)); len(refused) > 0 {
		t.Errorf("after the reading: refused %v", refused)
	}
}

// Guards against starts beside runs that are still on: they were told lost as the endpoint's lease seemed over,
// and the first answer after that is to a poll from before.
func TestRunThatWasToldLostAndIsListedAgain(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.report("c", nil)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	var sent Poll
	for f.controller.HasRun(newRun(1)) {
		sent = f.controller.BeginPoll(f.now)
		f.advance(40 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
		sent = f.controller.BeginPoll(f.now)
		f.advance(time.Millisecond)
		f.controller.Tick(f.now)
	}
	f.controller.Commands()
	f.advance(time.Millisecond)
	f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 5100, Generation: 1, Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	if f.controller.Usable() {
		t.Error("starts are taken beside the run")
	}
	if diff := cmp.Diff([]Command{{Stop: newRun(1)}}, f.controller.Commands()); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
