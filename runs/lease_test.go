package runs

import (
	"testing"
	"time"

	"carobpulley"
	"carobpulley/work"
)

// leaseEnd returns the latest time at which a lease ends by an endpoint's clock that showed reading at
// a time and is as slow as it may be.
func leaseEnd(deadlineMS, reading int64, at time.Time) time.Time {
	span := time.Duration(deadlineMS-reading) * time.Millisecond
	return at.Add(time.Duration(float64(span) / (1 - ClockSlack)))
}

// Guards against a run that goes on after its caller has submitted its job elsewhere, when the endpoint
// answers polls and doesn't carry out the stop: the polls must not renew the lease for it without end.
func TestStopThatIsNotCarriedOutEndsWithTheLease(t *testing.T) {
	f := newFixture(t)
	s := newStart(1, 100)
	f.dispatch("c", s)
	f.confirmStarts()
	f.report("c", nil)
	stoppedAt := f.now
	f.controller.HandleDispatch(f.now, Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: f.echo, Stops: []work.Run{s.Run}})
	var last time.Time
	for f.now.Sub(stoppedAt) < 3*time.Second {
		f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: s.Run}}})
		f.report("c", nil)
		reading := 5000 + f.now.Sub(testStart).Milliseconds()
		if l := f.controller.Lease(f.now); l.DeadlineMS > 0 {
			last = f.now.Add(time.Duration(l.DeadlineMS-reading) * time.Millisecond)
		}
		f.advance(40 * time.Millisecond)
	}
	if bound := stoppedAt.Add(ProofTTL); last.After(bound) {
		t.Errorf("the lease of a run that is to be stopped ends %v after the stop, later than %v", last.Sub(stoppedAt), ProofTTL)
	}
	if f.controller.State(f.now, "c").Ready {
		t.Error("an endpoint without a lease takes starts")
	}
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: s.Run, Outcome: work.OutcomeLeaseExpired}}})
	if !f.controller.State(f.now, "c").Ready {
		t.Error("the endpoint takes no starts after the run has ended")
	}
}

// Guards against a run that is told lost while its lease goes on: the endpoint has answered no poll for
// some seconds, its clock is slow, and the polls renew the lease nevertheless.
func TestLeaseAllowsForTheAgeOfTheClockReading(t *testing.T) {
	f := newFixture(t)
	s := newStart(1, 100)
	f.dispatch("c", s)
	f.confirmStarts()
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: s.Run}}})
	read, reading := f.now, 5000+f.now.Sub(testStart).Milliseconds()
	var end time.Time
	for f.now.Sub(read) < 8*time.Second {
		f.report("c", nil)
		sent := f.controller.BeginPoll(f.now)
		end = leaseEnd(sent.Lease.DeadlineMS, reading, read)
		f.advance(40 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "renew", Kind: carobpulley.KindUnknown})
	}
	for f.controller.HasRun(s.Run) {
		f.controller.Tick(f.now)
		f.advance(time.Millisecond)
	}
	if f.now.Before(end) {
		t.Errorf("the run is told lost %v before its lease ends", end.Sub(f.now))
	}
}

// Guards against a run that counts as lost while a lease of the agent's earlier process keeps it at
// work, so that its task starts elsewhere.
func TestInheritedRunIsKeptUntilItsLeaseHasExpired(t *testing.T) {
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 2, Token: 200, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{Instance: "i", Generation: 1, Sequence: 9, Service: "s", Capacity: work.Resources{CPU: 10_000, MemMB: 1000}})
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	for range maxFailedPolls {
		sent := f.controller.BeginPoll(f.now)
		f.advance(20 * time.Millisecond)
		f.controller.HandlePollError(f.now, sent, "", &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown})
	}
	for f.now.Before(testStart.Add(time.Second)) {
		f.controller.Tick(f.now)
		if !f.controller.HasRun(newRun(1)) || f.controller.CanAttach(f.now) {
			t.Fatalf("%s after the agent's start: run known %v, attachments answered %v", f.now.Sub(testStart), f.controller.HasRun(newRun(1)), f.controller.CanAttach(f.now))
		}
		f.advance(40 * time.Millisecond)
	}
}

// slowClock returns the reading of an endpoint's clock that is ClockSlack slow.
func slowClock(now time.Time) int64 {
	return 5000 + int64(float64(now.Sub(testStart).Milliseconds())*(1-ClockSlack))
}

// Guards against a lease that outlives its proof because it was computed from an old reading of a slow
// clock, as when the endpoint's answers are lost.
func TestLeaseFromAnOldReadingOfASlowClock(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second, 60 * time.Second} {
		f := newFixture(t)
		f.poll(carobpulley.RunLists{Clock: slowClock(f.now)})
		f.dispatch("c", newStart(1, 100))
		f.confirmStarts()
		until := f.now.Add(age)
		for f.now.Before(until) {
			f.advance(100 * time.Millisecond)
			f.report("c", nil)
		}
		lease := f.controller.Lease(f.now)
		lasts := time.Duration(float64(lease.DeadlineMS-slowClock(f.now))/(1-ClockSlack)) * time.Millisecond
		bound := min(f.controller.cfg.MaxLease, ProofTTL)
		bound += time.Duration(float64(bound)*ClockSlack) + 2*time.Millisecond
		if lasts > bound || f.now.Add(lasts).After(f.controller.leaseExpiresAt) {
			t.Errorf("reading %s old: the lease lasts %s, %s expected, bound %s", age, lasts, f.controller.leaseExpiresAt.Sub(f.now), bound)
		}
	}
}

// startWithOldEcho lets a coordinator start a run with an echo that is as old as it may be, and returns
// that proof.
func startWithOldEcho(f *fixture) (proof time.Time) {
	f.report("c", nil)
	proof = f.now.Add(-time.Millisecond)
	for f.now.Add(50 * time.Millisecond).Before(proof.Add(MaxEchoAge)) {
		f.advance(49 * time.Millisecond)
		f.poll(carobpulley.RunLists{})
	}
	f.controller.HandleDispatch(f.now, Dispatch{Coordinator: "c", Incarnation: 7, Attachment: 1, Echo: f.controller.encodeTime(proof), Starts: []work.Start{newStart(1, 100)}})
	return proof
}

// Guards against a run that is on when its coordinator, which hears nothing from the agent any more, has
// started its task elsewhere: the lease that polls gave to the endpoint before the run outlasts its proof.
func TestIdleEndpointHasNoLease(t *testing.T) {
	f := newFixture(t)
	proof := startWithOldEcho(f)
	lease, refusal := f.controller.StartLease(f.now, newRun(1))
	if refusal != "" || lease.DeadlineMS == 0 {
		t.Fatalf("the start is refused (%q) or has no lease", refusal)
	}
	if lasts := f.controller.leaseExpiresAt.Sub(proof); lasts > resubmitAfter {
		t.Errorf("the lease in force expires %v after the proof of the run", lasts)
	}
}

// Guards against the same where other runs keep the endpoint's lease.
func TestNoRunBeginsUnderALeaseThatOutlastsItsProof(t *testing.T) {
	f := newFixture(t)
	f.attach("d", 1, nil)
	f.report("d", nil)
	f.dispatch("d", newStart(2, 100))
	f.confirmStarts()
	f.report("c", nil)
	proof, echo := f.now.Add(-time.Millisecond), f.echo
	for f.now.Add(51 * time.Millisecond).Before(proof.Add(MaxEchoAge)) {
		f.advance(48 * time.Millisecond)
		f.report("d", nil)
		f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(2)}}})
	}
	f.echo = echo
	f.dispatch("c", newStart(1, 100))
	if _, refusal := f.controller.StartLease(f.now, newRun(1)); refusal != ReasonProof {
		t.Errorf("refusal %q, want %q: the lease in force expires %v after the proof of the run", refusal, ReasonProof, f.controller.leaseExpiresAt.Sub(proof))
	}
	f.report("c", nil)
	f.dispatch("c", newStart(3, 100))
	if _, refusal := f.controller.StartLease(f.now, newRun(3)); refusal != "" {
		t.Errorf("a start with a new proof is refused: %q", refusal)
	}
}
