package runs

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/work"
)

const testShards = 1

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fixture is a controller with an endpoint that has sent a heartbeat and one attached coordinator.
type fixture struct {
	t          *testing.T
	controller *Controller
	now        time.Time
	echo       int64
	// suspended is the length of all suspensions.
	suspended time.Duration
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: testStart}
	f.controller = New(Config{Agent: "a", Incarnation: 1, Token: 100, MaxLease: time.Second, Shards: testShards}, f.now)
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 1, Sequence: 1, Service: "s",
		Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	})
	f.poll(carobpulley.RunLists{})
	f.attach("c", 1, nil)
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) poll(lists carobpulley.RunLists) {
	f.t.Helper()
	sent := f.controller.BeginPoll(f.now)
	f.advance(time.Millisecond)
	if lists.Clock == 0 {
		lists.Clock = 5000 + f.now.Sub(testStart).Milliseconds()
	}
	lists.Generation = 1
	f.controller.HandlePoll(f.now, sent, lists)
}

func (f *fixture) attach(name string, attachment uint64, epochs map[int]uint64) {
	f.t.Helper()
	ok := f.controller.HandleAttach(f.now, AttachRequest{Coordinator: name, Incarnation: 7, Addr: "127.0.0.1:1", Attachment: attachment, Epochs: epochs})
	if !ok {
		f.t.Fatalf("attach of %s refused", name)
	}
	f.report(name, epochs)
}

// report lets the coordinator answer a report, which proves that it is alive.
func (f *fixture) report(name string, epochs map[int]uint64) []work.End {
	f.t.Helper()
	sent := f.controller.Report(f.now, name)
	f.advance(time.Millisecond)
	f.controller.HandleReportReply(f.now, name, sent, ReportReply{Epochs: epochs})
	f.echo = sent.SentAt
	return sent.Ends
}

func newRun(n int) work.Run {
	return work.Run{Task: fmt.Sprintf("%016x.0.0.0", n), Number: 1}
}

func (f *fixture) dispatch(name string, starts ...work.Start) []RefusedStart {
	f.t.Helper()
	refused, stale := f.controller.HandleDispatch(f.now, Dispatch{Coordinator: name, Incarnation: 7, Attachment: 1, Echo: f.echo, Starts: starts})
	if stale {
		f.t.Fatal("dispatch rejected as stale")
	}
	return refused
}

// confirmStarts confirms all starts that the controller commands, and returns their number.
func (f *fixture) confirmStarts() int {
	f.t.Helper()
	n := 0
	for _, c := range f.controller.Commands() {
		if c.Start == nil {
			continue
		}
		n++
		f.controller.HandleStartReply(f.now, c.Start.Run, f.controller.Lease(f.now), carobpulley.StartAnswer{}, nil)
	}
	return n
}

func newStart(n int, cpu int64) work.Start {
	return work.Start{Run: newRun(n), Spec: "x", Resources: work.Resources{CPU: cpu}}
}

// Guards against runs that are reported as lost, and requeued, because their ends come after a full
// page of unstored ends.
func TestEndsBehindFullPageAreNotLost(t *testing.T) {
	f := newFixture(t)
	f.attach("owner", 1, map[int]uint64{0: 1})
	page := make([]work.End, 0, maxPageSize)
	for n := range maxPageSize {
		page = append(page, work.End{Sequence: int64(n + 1), Run: newRun(1000 + n), Outcome: work.OutcomeDone})
	}
	f.poll(carobpulley.RunLists{Finished: page})
	f.report("c", nil)
	f.dispatch("c", newStart(1, 100))
	if got := f.confirmStarts(); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	f.advance(10 * time.Millisecond)
	f.poll(carobpulley.RunLists{Finished: page})
	if ends := f.report("c", nil); len(ends) != 0 {
		t.Errorf("a run without a listed end was reported as ended: %v", ends)
	}
}

// Guards against unstored ends of best-effort jobs holding back the number up to which the endpoint
// may drop ends, when their coordinator is gone.
func TestEndsOfBestEffortJobsAreDroppedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.advance(10 * time.Millisecond)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone}}})
	f.poll(carobpulley.RunLists{})
	if got := f.controller.BeginPoll(f.now).AckedUpTo; got != 1 {
		t.Errorf("ends acknowledged up to %d, want 1", got)
	}
	want := []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeDone, ElapsedMS: 11}}
	if diff := cmp.Diff(want, f.report("c", nil)); diff != "" {
		t.Errorf("reported ends (-want +got):\n%s", diff)
	}
}

// Guards against an unanswered start that delays its task until another endpoint is found: once the
// endpoint is certain to refuse the first command, the start is repeated.
func TestUnansweredStartIsGivenAgain(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.controller.Commands()
	lease := f.controller.Lease(f.now)
	unanswered := &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown}
	f.controller.HandleStartReply(f.now, newRun(1), lease, carobpulley.StartAnswer{}, unanswered)
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{})
	commands := f.controller.Commands()
	got := make([]work.Run, 0, len(commands))
	for _, c := range commands {
		got = append(got, c.Start.Run)
	}
	if diff := cmp.Diff([]work.Run{newRun(1)}, got); diff != "" {
		t.Fatalf("repeated starts (-want +got):\n%s", diff)
	}
	if f.controller.Token() <= lease.Token {
		t.Errorf("token %d is not above that of the unanswered start, %d", f.controller.Token(), lease.Token)
	}
}

// Guards against a second run of a task whose first start took effect although its answer was lost.
func TestUnansweredStartThatRunsIsKept(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.controller.Commands()
	unanswered := &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown}
	f.controller.HandleStartReply(f.now, newRun(1), f.controller.Lease(f.now), carobpulley.StartAnswer{}, unanswered)
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(1)}}})
	if c := f.controller.Commands(); len(c) != 0 {
		t.Errorf("commands %v for a listed run", c)
	}
	if ends := f.report("c", nil); len(ends) != 0 {
		t.Errorf("ends %v of a listed run", ends)
	}
}

// Guards against a poll that was sent before the token was raised resolving a start that may still
// take effect.
func TestLookBeforeTokenSettlesNothing(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.controller.Commands()
	sent := f.controller.BeginPoll(f.now)
	unanswered := &carobpulley.Error{Op: "start", Kind: carobpulley.KindUnknown}
	f.controller.HandleStartReply(f.now, newRun(1), f.controller.Lease(f.now), carobpulley.StartAnswer{}, unanswered)
	f.advance(time.Millisecond)
	f.controller.HandlePoll(f.now, sent, carobpulley.RunLists{Clock: 6000, Generation: 1})
	if c := f.controller.Commands(); len(c) != 0 {
		t.Errorf("commands %v before the endpoint is certain to refuse the first start", c)
	}
}

// Guards against an endpoint that is treated as unresponsive, and loses its work, after a single
// unanswered poll.
func TestOneUnansweredLookIsNoSilence(t *testing.T) {
	f := newFixture(t)
	unanswered := &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown}
	f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", unanswered)
	if !f.controller.Usable() {
		t.Error("endpoint not usable after one unanswered poll")
	}
	f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", unanswered)
	if f.controller.Usable() {
		t.Error("endpoint usable after two unanswered polls")
	}
}

// Guards against a start that reaches the next generation of a crashed endpoint after its task was
// reported as lost and placed elsewhere.
func TestStartInFlightAtCrashIsResolvedByPoll(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100), newStart(2, 100))
	f.confirmStarts()
	f.dispatch("c", newStart(3, 100))
	f.controller.Commands()
	f.crash()
	ends := f.report("c", nil)
	for _, e := range ends {
		if e.Run == newRun(3) {
			t.Errorf("unanswered start reported as %s", e.Outcome)
		}
	}
	if len(ends) != 2 {
		t.Errorf("%d ends, want 2, of the confirmed runs", len(ends))
	}
}

// Guards against a job that is resubmitted to another coordinator and then waits for a run of the
// first coordinator: both give the same number to the first run.
func TestSameRunOfAnotherCoordinator(t *testing.T) {
	f := newFixture(t)
	f.dispatch("c", newStart(1, 100))
	f.confirmStarts()
	f.attach("d", 1, nil)
	refused := f.dispatch("d", newStart(1, 100))
	if diff := cmp.Diff([]RefusedStart{{newRun(1), ReasonStopped}}, refused); diff != "" {
		t.Errorf("refused beside the other run (-want +got):\n%s", diff)
	}
	f.advance(time.Millisecond)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: work.OutcomeStopped}}})
	f.report("d", nil)
	if refused := f.dispatch("d", newStart(1, 100)); len(refused) != 1 {
		t.Errorf("a start that was refused to its coordinator is accepted when it arrives again: %v", refused)
	}
	f.attach("e", 1, nil)
	if refused := f.dispatch("e", newStart(1, 100)); len(refused) != 0 {
		t.Errorf("refused after the other run ended: %v", refused)
	}
	if got := f.confirmStarts(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

// Guards against a run that this process didn't start continuing beside others: the free capacity
// is computed without it.
func TestStrangerIsStoppedBeforeAnythingStarts(t *testing.T) {
	f := newFixture(t)
	f.poll(carobpulley.RunLists{Running: []carobpulley.ListedRun{{Run: newRun(9)}}})
	if diff := cmp.Diff([]Command{{Stop: newRun(9)}}, f.controller.Commands()); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
	if f.controller.Usable() || f.controller.CanAttach(f.now) {
		t.Error("starts or attachments accepted beside an unknown run")
	}
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(9), Outcome: work.OutcomeStopped}}})
	if !f.controller.Usable() || !f.controller.CanAttach(f.now) {
		t.Error("starts or attachments refused after the end of the unknown run")
	}
}

// Guards against runs of a new generation of the endpoint that are reported as lost because a
// heartbeat of that generation arrives after a poll has already shown it.
func TestHeartbeatAfterPollOfNewGeneration(t *testing.T) {
	f := newFixture(t)
	restarted := carobpulley.RunLists{Clock: 10, Generation: 2}
	for range 2 {
		sent := f.controller.BeginPoll(f.now)
		f.advance(time.Millisecond)
		f.controller.HandlePoll(f.now, sent, restarted)
	}
	f.report("c", nil)
	f.dispatch("c", newStart(1, 100))
	if got := f.confirmStarts(); got != 1 {
		t.Fatalf("%d starts, want 1", got)
	}
	f.controller.HandleHeartbeat(f.now, carobpulley.Heartbeat{
		Instance: "i", Generation: 2, Sequence: 1, Service: "s",
		Capacity: work.Resources{CPU: 10_000, MemMB: 1000},
	})
	if ends := f.report("c", nil); len(ends) != 0 {
		t.Errorf("ends %v of runs that continue", ends)
	}
}

// Guards against concurrent runs of a task: a restarted agent that hasn't read its endpoint's lists
// yet must not answer a coordinator that nothing runs.
func TestAttachWaitsForRunnersLists(t *testing.T) {
	unanswered := &carobpulley.Error{Op: "hold", Kind: carobpulley.KindUnknown}
	gone := &carobpulley.Error{Op: "hold", Kind: carobpulley.KindGone}
	for _, tt := range []struct {
		name  string
		after time.Duration
		fails error
		reads bool
		want  bool
	}{
		{"no poll yet", 0, nil, false, false},
		{"polls without an answer", 300 * time.Millisecond, unanswered, false, false},
		{"the earlier process's leases have expired", 1100 * time.Millisecond, unanswered, false, true},
		{"nothing listens there", 0, gone, false, true},
		{"the lists are read", 0, nil, true, true},
	} {
		f := &fixture{t: t, now: testStart}
		f.controller = New(Config{Agent: "a", Incarnation: 1, Token: 100, MaxLease: time.Second, Shards: testShards}, f.now)
		f.advance(tt.after)
		for range maxFailedPolls {
			if tt.fails != nil {
				f.controller.HandlePollError(f.now, f.controller.BeginPoll(f.now), "", tt.fails)
			}
		}
		if tt.reads {
			f.poll(carobpulley.RunLists{})
		}
		if got := f.controller.CanAttach(f.now); got != tt.want {
			t.Errorf("%s: can attach %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against an endpoint that gets no starts for as long as it lists an unstored end: once the
// lease has expired, the end no longer limits starts. Until then starts are refused at once, not
// sent to the endpoint with an expired lease.
func TestUnstoredEndHoldsStartsUpOnce(t *testing.T) {
	f := newFixture(t)
	f.attach("owner", 1, map[int]uint64{0: 1})
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1000), Outcome: work.OutcomeDone}}})
	f.advance(ProofTTL / 2)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1000), Outcome: work.OutcomeDone}}})
	f.advance(ProofTTL/2 + time.Millisecond)
	f.report("c", nil)
	want := []RefusedStart{{Run: newRun(1), Reason: ReasonEndpoint}}
	if diff := cmp.Diff(want, f.dispatch("c", newStart(1, 100))); diff != "" {
		t.Errorf("before the lease has expired (-want +got):\n%s", diff)
	}
	f.advance(time.Second)
	f.controller.Tick(f.now)
	f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1000), Outcome: work.OutcomeDone}}})
	f.report("c", nil)
	if diff := cmp.Diff([]RefusedStart(nil), f.dispatch("c", newStart(2, 100))); diff != "" {
		t.Errorf("after the lease has expired (-want +got):\n%s", diff)
	}
	if l := f.controller.Lease(f.now); l.DeadlineMS == 0 {
		t.Error("no lease after the earlier one has expired")
	}
}

// Answers a restart of everything: a new agent stops what its endpoint runs. Until the owner of
// the shard has stored an end that counts, the endpoint takes no starts and must say so; the ends
// of stopped runs count for nothing and must not keep it idle.
func TestEndpointIsUsableAfterItsAgentHasRestarted(t *testing.T) {
	for _, outcome := range []work.Outcome{work.OutcomeStopped, work.OutcomeLeaseExpired, work.OutcomeDone, work.OutcomeFailed} {
		f := newFixture(t)
		f.poll(carobpulley.RunLists{Finished: []work.End{{Sequence: 1, Run: newRun(1), Outcome: outcome}}})
		counts := outcome == work.OutcomeDone || outcome == work.OutcomeFailed
		if got := f.controller.State(f.now, "c").Ready; got == counts {
			t.Errorf("%s: ready %v", outcome, got)
		}
		refused := f.dispatch("c", newStart(2, 100))
		if got := len(refused) > 0; got != counts {
			t.Errorf("%s: start refused %v", outcome, got)
		}
		if got := f.controller.BeginPoll(f.now).AckedUpTo; (got == 0) != counts {
			t.Errorf("%s: ends up to %d are acknowledged to the endpoint", outcome, got)
		}
		f.controller.HandleAcks(f.controller.EndpointGeneration(), []int64{1})
		if !f.controller.State(f.now, "c").Ready {
			t.Errorf("%s: not ready after the end was stored", outcome)
		}
	}
}
