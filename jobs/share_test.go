package jobs

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley/work"
)

// newShared returns a table with a share of one agent, h0, out of the given number. The other
// agents are known from the store only.
func newShared(t *testing.T, agents int) *fixture {
	f := newFixture(t, agents)
	f.table.SetShare(map[string]bool{"h0": true})
	for _, name := range f.agents {
		f.table.AddAgent(name, "z"+name, &work.EndpointCapacity{Service: testService, Capacity: work.Resources{CPU: 64_000, MemMB: 1000}})
	}
	f.attachWanted()
	return f
}

// attachWanted attaches to the agents that the table asks for and returns their number.
func (f *fixture) attachWanted() int {
	names := f.table.AgentsToAttach(f.now)
	for _, name := range names {
		f.table.HandleAttachment(f.now, f.newReport(name, f.table.NextAttachment(name)), f.table.OwnedShards())
	}
	f.takeDispatches()
	return len(names)
}

// Answers the pattern of a large fleet: a coordinator that attaches to agents outside its share
// without need makes the messages grow with the fleet.
func TestOnlyTheShareIsAttached(t *testing.T) {
	f := newShared(t, 40)
	f.submit(testJob(1, 4, true))
	f.now = f.now.Add(100 * time.Millisecond)
	f.table.Tick(f.now)
	if got := len(f.table.AgentsToAttach(f.now)); got != 0 {
		t.Errorf("%d agents to attach beyond the share, want none", got)
	}
	if got := len(f.started["h0"]); got != 4 {
		t.Errorf("%d starts at the share's agent, want 4", got)
	}
}

// Answers the patterns of uneven callers and of a lost domain: work that waits for the share's
// endpoints although others are free.
func TestShareGrowsWhileWorkWaits(t *testing.T) {
	f := newShared(t, 40)
	f.submit(testJob(1, 60, true))
	if !f.table.Grow(f.now) {
		t.Fatal("the share is not extended although tasks wait")
	}
	if got := f.attachWanted(); got < minGrowStep || got > 12 {
		t.Fatalf("%d agents added for tasks that fill five", got)
	}
	if got := f.startCount(); got != 60 {
		t.Errorf("%d of 60 tasks started", got)
	}
}

// Answers an overload of the whole fleet: extensions that find no free capacity must become
// rare, or every coordinator ends up attached to every agent when it can least afford it.
func TestGrowthBacksOffInAFullFleet(t *testing.T) {
	f := newShared(t, 400)
	j := testJob(1, 12, true)
	j.Steps[0].Resources = work.Resources{CPU: 64_000}
	j.Queue.TargetMS = 60_000
	f.submit(j)
	extensions := 0
	for range 100 {
		f.now = f.now.Add(tickForGrowth)
		if f.table.Grow(f.now) {
			extensions++
		}
		// The added endpoints are full with other coordinators' runs.
		for _, name := range f.table.AgentsToAttach(f.now) {
			r := f.newReport(name, f.table.NextAttachment(name))
			r.State.Used = r.State.Capacity
			f.table.HandleAttachment(f.now, r, nil)
		}
		f.takeDispatches()
	}
	if extensions < 2 || extensions > 8 {
		t.Errorf("%d extensions in 4 s of a full fleet, want 2 to 8", extensions)
	}
}

const tickForGrowth = 40 * time.Millisecond

// Guards against an agent that reports for ever to a coordinator that no longer works with it,
// and against a release while tasks are placed there.
func TestExtraAgentIsReleased(t *testing.T) {
	f := newShared(t, 10)
	f.submit(testJob(1, 60, true))
	f.table.Grow(f.now)
	f.attachWanted()
	extra := ""
	for name, starts := range f.started {
		if name != "h0" && len(starts) > 0 {
			extra = name
		}
	}
	if extra == "" {
		t.Fatal("no task was started outside the share")
	}
	attachment := f.table.FollowingAttachment(extra) - 1
	f.now = f.now.Add(2 * extraRetention)
	f.table.AgentsToAttach(f.now)
	if answer := f.table.HandleReport(f.now, f.newReport(extra, attachment)); answer.Released || answer.Stale {
		t.Errorf("answer %+v while tasks are placed", answer)
	}
	for n, s := range f.started[extra] {
		f.report(extra, end(s, int64(n)+1, work.OutcomeDone))
	}
	f.now = f.now.Add(2 * extraRetention)
	f.table.AgentsToAttach(f.now)
	if answer := f.table.HandleReport(f.now, f.newReport(extra, attachment)); !answer.Released {
		t.Errorf("answer %+v after the last end, want a release", answer)
	}
}

// Guards against refusing a job that only an endpoint outside the share can run, and against
// accepting one that none can run.
func TestFeasibilityIsKnownOutsideTheShare(t *testing.T) {
	f := newShared(t, 3)
	f.table.AddAgent("big", "zbig", &work.EndpointCapacity{Service: testService, Labels: []string{"large"}, Capacity: work.Resources{CPU: 128_000, MemMB: 1000}})
	fits := testJob(1, 1, true)
	fits.Steps[0].Resources = work.Resources{CPU: 100_000}
	if status, reason := f.table.Submit(f.now, fits); status != SubmitPending {
		t.Errorf("a job for the one large endpoint: status %v, %q", status, reason)
	}
	never := testJob(2, 1, true)
	never.Steps[0].Resources = work.Resources{CPU: 200_000}
	if status, _ := f.table.Submit(f.now, never); status != SubmitRefused {
		t.Errorf("a job larger than every endpoint: status %v, want a refusal", status)
	}
}

// Answers callers that come back together after a loss of power: a job that reaches a
// coordinator before its attachments waits for them, and is refused at once when they fail.
func TestJobWaitsForTheFirstAttachments(t *testing.T) {
	for _, alive := range []bool{true, false} {
		f := newFixture(t, 0)
		f.table.SetShare(nil)
		if status, reason := f.table.Submit(f.now, testJob(1, 2, true)); status != SubmitPending {
			t.Fatalf("status %v before the share is known: %s", status, reason)
		}
		f.table.AddAgent("h0", "zh0", &work.EndpointCapacity{Service: testService, Capacity: work.Resources{CPU: 64_000, MemMB: 1000}})
		f.table.SetShare(map[string]bool{"h0": true})
		f.now = f.now.Add(50 * time.Millisecond)
		f.table.AgentsToAttach(f.now)
		f.table.Tick(f.now)
		if r := f.table.Results(); len(r) != 0 {
			t.Fatalf("results %+v while the attachment is under way", r)
		}
		if alive {
			f.attachWanted()
			if got := f.startCount(); got != 2 {
				t.Errorf("%d starts after the attachment, want 2", got)
			}
			continue
		}
		f.now = f.now.Add(attachAllowance)
		f.table.Tick(f.now)
		want := []BestEffortResult{{Job: testJob(1, 2, true).ID, State: work.StateCancelled, Unstarted: true, Reason: reasonNoEndpoint}}
		if diff := cmp.Diff(want, f.table.Results()); diff != "" {
			t.Errorf("results after the attachment failed (-want +got):\n%s", diff)
		}
	}
}

// Guards against a stored job that is never started again after a crash: it is late by then, and the only
// endpoint that can run it is outside its owner's share. Jobs beside it, of which some can't be helped by any
// agent, must not keep it from that endpoint, nor it them.
func TestShareGrowsForALateStoredJob(t *testing.T) {
	f := newShared(t, 6)
	f.table.AcquireShard(f.now, 0, 1, nil)
	f.attachWanted()
	f.table.AddAgent("rack", "zrack", &work.EndpointCapacity{Service: testService, Labels: []string{"r"}, Capacity: work.Resources{CPU: 64_000, MemMB: 1000}})
	unhelped := testJob(1, 1, false)
	unhelped.Steps[0].Label = "gone"
	needsRack := testJob(2, 1, false)
	needsRack.Steps[0].Label = "r"
	for _, j := range []*work.Job{unhelped, needsRack} {
		f.table.AddAgent("gone", "zgone", &work.EndpointCapacity{Service: testService, Labels: []string{"gone"}, Capacity: work.Resources{CPU: 64_000, MemMB: 1000}})
		if status, reason := f.table.Submit(f.now, j); status != SubmitPending {
			t.Fatalf("status %v: %s", status, reason)
		}
	}
	f.table.RemoveAgent(f.now, "gone")
	f.commit()
	f.now = f.now.Add(5 * time.Second)
	f.prove()
	if !f.table.Grow(f.now) {
		t.Fatal("the share is not extended for a late stored job")
	}
	if names := f.table.AgentsToAttach(f.now); !slices.Contains(names, "rack") {
		t.Errorf("to be attached: %v, without the agent that the job needs", names)
	}
	f.now = f.now.Add(maxGrowInterval)
	f.submit(testJob(3, 30, true))
	f.table.Grow(f.now)
	if names := f.table.AgentsToAttach(f.now); len(names) < 1+minGrowStep {
		t.Errorf("to be attached: %v, want agents for the job that is not late too", names)
	}
}
