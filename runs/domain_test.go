package runs

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/domain"
	"carobpulley/work"
)

const (
	testDomain    = "d"
	testDomainTTL = 4 * time.Second
)

// newDomainFixture is a fixture in a failure domain whose state has to be known.
func newDomainFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.controller.cfg.DomainTTL = testDomainTTL
	f.controller.heartbeat.Domain = testDomain
	f.tellDomains(1)
	return f
}

// tellDomains tells the agent which domains are out of service at an offset.
func (f *fixture) tellDomains(offset int64, out ...string) {
	f.controller.HandleDomains(f.now, domain.View{Offset: offset, Out: out, ProvenAt: f.now})
}

// pass lets time pass in which the endpoint and the coordinator answer, but nothing is told about
// the failure domains.
func (f *fixture) pass(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.advance(200 * time.Millisecond)
		f.poll(carobpulley.RunLists{})
		f.report("c", nil)
	}
}

// Guards against a start in a domain that is out of service, ordered by a coordinator that does not
// know it.
func TestAgentRefusesStartsInDomainOut(t *testing.T) {
	f := newDomainFixture(t)
	f.tellDomains(2, testDomain)
	if diff := cmp.Diff([]RefusedStart{{newRun(1), ReasonDomain}}, f.dispatch("c", newStart(1, 100))); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	f.tellDomains(1)
	if len(f.dispatch("c", newStart(2, 100))) != 1 {
		t.Error("started on records that are older than what is known")
	}
	f.tellDomains(3)
	if got := f.dispatch("c", newStart(3, 100)); len(got) != 0 {
		t.Errorf("domain back in service, refused %v", got)
	}
}

// Guards against starts that were accepted before their domain was taken out of service and take
// effect afterwards: queued, repeated after an unanswered call, or about to be sent.
func TestAcceptedStartsEndWithTheirDomain(t *testing.T) {
	for _, c := range []struct {
		name    string
		running []carobpulley.ListedRun
		set     func(f *fixture)
	}{
		{"queued", []carobpulley.ListedRun{{Run: newRun(2)}}, func(f *fixture) {
			f.dispatch("c", newStart(2, 9_950))
			f.confirmStarts()
			s := newStart(1, 100)
			s.WaitMS = 150
			f.dispatch("c", s)
		}},
		{"about to be sent", nil, func(f *fixture) { f.dispatch("c", newStart(1, 100)) }},
		{"unanswered", nil, func(f *fixture) {
			f.dispatch("c", newStart(1, 100))
			f.controller.Commands()
			lease, _ := f.controller.StartLease(f.now, newRun(1))
			f.controller.HandleStartReply(f.now, newRun(1), lease, carobpulley.StartAnswer{}, errors.New("no answer"))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDomainFixture(t)
			c.set(f)
			f.tellDomains(2, testDomain)
			started := false
			for range 3 {
				for _, command := range f.controller.Commands() {
					if command.Start != nil && command.Start.Run == newRun(1) {
						_, refusal := f.controller.StartLease(f.now, newRun(1))
						started = started || refusal == ""
					}
				}
				f.poll(carobpulley.RunLists{Running: c.running})
			}
			if started {
				t.Error("started in a domain that is out of service")
			}
			var got []work.Outcome
			for _, e := range f.report("c", nil) {
				if e.Run == newRun(1) {
					got = append(got, e.Outcome)
				}
			}
			if diff := cmp.Diff([]work.Outcome{work.OutcomeNotStarted}, got); diff != "" {
				t.Errorf("ends of the run (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a start by an agent that was paused, or whose coordinators have heard nothing of
// the operators, for longer than the bound; and against refusing all work while the store is down.
func TestStartNeedsRecentKnowledgeOfDomains(t *testing.T) {
	f := newDomainFixture(t)
	f.pass(testDomainTTL - time.Second)
	f.dispatch("c", newStart(1, 100))
	f.pass(2 * time.Second)
	if diff := cmp.Diff([]RefusedStart{{newRun(2), ReasonDomainAge}}, f.dispatch("c", newStart(2, 100))); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	if !f.controller.DomainReadDue(f.now) {
		t.Error("no read of the operators' records is due")
	}
	f.controller.HandleDomainRead(f.now, f.now, domain.View{}, errors.New("the store is down"))
	if got := f.dispatch("c", newStart(3, 100)); len(got) != 0 {
		t.Errorf("the store is down, refused %v", got)
	}
}

// Guards against a start that was accepted before a pause of the process and sent after it, when
// nothing recent is known of the failure domains.
func TestPausedAgentSendsNoStartOnOldKnowledge(t *testing.T) {
	f := newDomainFixture(t)
	f.pass(testDomainTTL - 200*time.Millisecond)
	f.dispatch("c", newStart(1, 100))
	f.advance(500 * time.Millisecond)
	if _, refusal := f.controller.StartLease(f.now, newRun(1)); refusal == "" {
		t.Errorf("start sent although the failure domains were last known %s ago", testDomainTTL+300*time.Millisecond)
	}
}
